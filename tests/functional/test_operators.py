"""Tests of the operators' RPC over real sockets."""

import contextlib
import pathlib
import tempfile
import unittest
from unittest import mock

import anyio
import capnp
import trustme

from cardamomfork._internal.accounts import key_hashes
from cardamomfork._internal.configuration import editor
from cardamomfork._internal.contracts import clock
from cardamomfork._internal.links import tls
from cardamomfork._internal.links.operators import client
from cardamomfork._internal.links.operators import interfaces
from cardamomfork._internal.links.operators import server
from cardamomfork._internal.links.operators import wiring
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import settings
from cardamomfork._internal.standins import fleet
from cardamomfork._internal.standins import store
from cardamomfork._internal.telemetry import dump
from tests.lib import operator_fixture

SERVICE = configuration.ObjectKind.SERVICE
DRAIN = configuration.ObjectKind.DRAIN
BODY = b'{"name": "depot-desk", "kind": "plain"}'


def make_change(body=BODY, based_on=0, kind=SERVICE, name="depot-desk"):
    return interfaces.Change(kind, name, based_on, body)


class RpcTest(unittest.TestCase):
    def run_against(self, scenario, operators=None, key=None, context=None):
        anyio.run(self.serve, scenario, operators, key, context)

    async def serve(self, scenario, operators, key, context):
        fixture = operator_fixture.make_fixture()
        operators = operators or settings.OperatorSettings(port=0)
        rpc_server = server.OperatorServer(
            operators, fixture.dependencies, clock.LoopClock()
        )
        key = key or operator_fixture.KEY.text
        async with capnp.kj_loop(), anyio.create_task_group() as group:
            port = self.port = await group.start(rpc_server.run)
            group.start_soon(fixture.apply_store_changes)
            try:
                async with client.connect(
                    "127.0.0.1", port, key, context
                ) as session:
                    await scenario(fixture, session)
            finally:
                group.cancel_scope.cancel()

    def test_apply_get_list_and_delete(self):
        async def scenario(fixture, session):
            applied = await session.apply([make_change()])
            self.assertTrue(applied.all_accepted)
            version = applied.accepted[0].version
            got = await session.get(SERVICE, "depot-desk")
            self.assertEqual(got, applied.accepted[0])
            self.assertEqual(got.value.kind, configuration.ServiceKind.PLAIN)
            self.assertIsNone(await session.get(SERVICE, "other"))
            drained = make_change(b'{"name": "e1"}', 0, DRAIN, "e1")
            self.assertTrue((await session.apply([drained])).all_accepted)
            listing = await session.list_objects([DRAIN])
            self.assertEqual([o.name for o in listing.objects], ["e1"])
            self.assertEqual(len((await session.list_objects()).objects), 2)
            deletion = await session.apply([make_change(None, version)])
            await fixture.wait_until_applied()
            self.assertIsNone(deletion.accepted[0].value)
            self.assertIsNone((await session.get(SERVICE, "depot-desk")).value)

        self.run_against(scenario)

    def test_conflict_shows_both_sides(self):
        async def scenario(_, session):
            first = await session.apply([make_change()])
            concurrent = make_change(BODY[:-1] + b', "default_timeout_s": 9}')
            other = make_change(b'{"name": "a", "kind": "plain"}', name="a")
            refused = await session.apply([other, concurrent])
            self.assertFalse(refused.all_accepted)
            self.assertEqual((refused.accepted, refused.skipped), ((), 2))
            (conflict,) = refused.conflicts
            self.assertIn(b'"default_timeout_s":9', conflict.mine.body)
            self.assertEqual(conflict.theirs, first.accepted[0])

        self.run_against(scenario)

    def test_findings_and_check_only(self):
        async def scenario(_, session):
            undecodable = make_change(b'{"name": "depot-desk", "kind": "cube"}')
            misnamed = make_change(b'{"name": "x"}', name="y")
            refused = await session.apply(
                [make_change(), undecodable, misnamed]
            )
            self.assertEqual(len(refused.found), 2)
            self.assertIn("service/depot-desk", str(refused.found[0]))
            checked = await session.apply([make_change()], check_only=True)
            self.assertTrue(checked.all_accepted)
            self.assertEqual((await session.list_objects()).objects, ())

        self.run_against(scenario)

    def test_store_down_and_lost_answers(self):
        async def scenario(fixture, session):
            fixture.session.faults.down = True
            refused = await session.apply([make_change()])
            self.assertFalse(refused.unavailable[0].indeterminate)
            fixture.session.faults.down = False
            fixture.session.faults.lose_answers = 1
            self.assertTrue((await session.apply([make_change()])).all_accepted)
            fixture.session.faults.lose_answers = 99
            unconfirmed = make_change(
                b'{"name": "other", "kind": "plain"}', name="other"
            )
            refused = await session.apply([unconfirmed])
            self.assertTrue(refused.unavailable[0].indeterminate)

        with mock.patch.object(editor, "RETRY_BASE_DELAY_S", 0.001):
            self.run_against(scenario)

    def test_status_waits_for_every_instance(self):
        async def scenario(fixture, session):
            applied = await session.apply([make_change()])
            version = applied.accepted[0].version
            fixture.statuses.remote_versions["two"] = 0
            report = await session.status(version, 0.2)
            self.assertFalse(report.reached)
            await fixture.wait_until_applied()
            report = await session.status()
            self.assertEqual([s.version for s in report.instances], [1, 0])

            async def catch_up():
                await anyio.sleep(0.2)
                fixture.statuses.remote_versions["two"] = version

            async with anyio.create_task_group() as group:
                group.start_soon(catch_up)
                report = await session.status(version, 30)
            self.assertTrue(report.reached)

        self.run_against(scenario)

    def test_oversized_message_closes_only_its_connection(self):
        async def scenario(fixture, session):
            oversized = make_change(b" " * (8 * server.MAX_MESSAGE_WORDS + 100))
            with self.assertRaises(client.UnreachableError):
                await session.apply([oversized])
            port = self.port
            key = operator_fixture.KEY.text
            async with client.connect(
                "127.0.0.1", port, key
            ) as concurrent_session:
                self.assertTrue(
                    (
                        await concurrent_session.apply([make_change()])
                    ).all_accepted
                )

        self.run_against(scenario)

    def test_dump(self):
        async def scenario(_, session):
            taken = await session.dump(["configuration"], 5)
            self.assertEqual(taken.tables[0].name, "configuration")
            self.assertEqual(taken.tables[0].bound, 50_000)

        self.run_against(scenario)

    def test_wrong_key_and_key_revoked_in_session(self):
        async def scenario(fixture, session):
            fixture.verifier.apply_keys("operator", ())
            with self.assertRaises(client.UnreachableError) as caught:
                await session.list_objects()
            self.assertIn("no longer valid", str(caught.exception))

        self.run_against(scenario)
        wrong = key_hashes.generate().text
        with self.assertRaises(BaseException) as caught:
            self.run_against(scenario, key=wrong)
        inner = caught.exception.exceptions[0]
        self.assertIsInstance(inner, client.KeyRefusedError)
        self.assertNotIn(wrong, str(inner))

    def test_tls_and_renewed_certificate(self):
        with contextlib.ExitStack() as stack:
            folder = pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
            authority = trustme.CA()
            files = settings.TlsSettings(
                *(str(folder / name) for name in ("c.pem", "k.pem"))
            )
            root = folder / "ca.pem"
            authority.cert_pem.write_to_path(root)
            write_certificate(authority, files)
            context = tls.make_client_context(str(root))
            operators = settings.OperatorSettings(port=0, tls=files)

            async def scenario(_, session):
                self.assertEqual((await session.status()).version, 0)

            self.run_against(scenario, operators, context=context)
            with self.assertRaises(BaseException) as caught:
                self.run_against(scenario, operators)
            self.assertIn("Unreachable", repr(caught.exception.exceptions))
            server_tls = tls.ServerTls(files)
            self.assertFalse(server_tls.reload())
            pathlib.Path(files.key).write_text("half written")
            self.assertFalse(server_tls.reload())
            write_certificate(authority, files)
            self.assertTrue(server_tls.reload())


class FleetTest(unittest.TestCase):
    def test_accepted_change_is_in_force_on_every_instance(self):
        anyio.run(self.run_scenario)

    async def run_scenario(self):
        simulated = fleet.Fleet([3, 2])
        first = simulated.members[0]
        line = key_hashes.to_line(operator_fixture.KEY.hashed)
        daemon_settings = settings.DaemonSettings(
            operators=settings.OperatorSettings(port=0, keys=(line,))
        )
        rpc_server = wiring.make_server(
            daemon_settings,
            wiring.DaemonComponents(
                store.StoreSession(simulated.store),
                first.replica,
                first.members,
                first.peering._participants[1],
                first.peering,
                dump.TableRegistry("one"),
                simulated.clock,
            ),
        )
        async with capnp.kj_loop(), anyio.create_task_group() as group:
            simulated.start(group)
            port = await group.start(rpc_server.run)
            key = operator_fixture.KEY.text
            async with client.connect("127.0.0.1", port, key) as session:
                applied = await session.apply([make_change()])
                version = applied.accepted[0].version
                report = await session.status(version, 30)
            self.assertTrue(report.reached)
            self.assertEqual(len(report.instances), 5)
            for member in simulated.members:
                held = member.replica.get(SERVICE, "depot-desk")
                self.assertEqual(held, applied.accepted[0])
            group.cancel_scope.cancel()


def write_certificate(authority, files):
    issued = authority.issue_cert("127.0.0.1")
    issued.cert_chain_pems[0].write_to_path(files.certificate)
    issued.private_key_pem.write_to_path(files.key)


if __name__ == "__main__":
    unittest.main()
