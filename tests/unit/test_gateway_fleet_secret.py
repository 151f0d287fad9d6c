"""Tests of the secret that instances share through the store."""

import random
import unittest

import anyio
import result

from cardamomfork._internal.contracts import clock as clock_contract
from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.gateway.peers import fleet_secret
from cardamomfork._internal.standins import store as standin_store
from tests.lib import forwarding_peers

INSTANCES = 12
TIMEOUT_S = 6.0


async def wait_until_shared(secrets):
    """Waits until all instances send the same secret; returns the secrets."""

    def sent():
        return {one.current for one in secrets}

    await forwarding_peers.wait_until(
        lambda: len(sent()) == 1 and sent() != {""}, TIMEOUT_S
    )
    return sent()


class FleetSecretTest(unittest.TestCase):
    def run_fleet(self, scenario, instances=INSTANCES):
        async def main():
            memory = standin_store.MemoryStore(clock_contract.LoopClock())
            secrets = [fleet_secret.FleetSecret() for _ in range(instances)]
            async with anyio.create_task_group() as tasks:
                for number, secret in enumerate(secrets):
                    tasks.start_soon(
                        secret.run,
                        standin_store.StoreSession(memory),
                        lambda fault: None,
                        random.Random(number),
                    )
                await scenario(memory, secrets)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_instances_that_start_together_share_one_secret(self):
        async def scenario(memory, secrets):
            shared = await wait_until_shared(secrets)
            self.assertEqual(len(shared), 1)
            secret = shared.pop()
            self.assertGreaterEqual(len(secret), 32)
            stored = memory.read(fleet_secret.KEY)
            self.assertEqual(stored.value.decode(), secret)

        self.run_fleet(scenario)

    def test_secret_is_kept_when_a_restored_store_lacks_it(self):
        async def scenario(memory, secrets):
            empty = memory.copy()
            (before,) = await wait_until_shared(secrets)
            memory.restore(empty)
            await forwarding_peers.wait_until(
                lambda: memory.read(fleet_secret.KEY) is not None, TIMEOUT_S
            )
            stored = memory.read(fleet_secret.KEY)
            self.assertEqual(stored.value.decode(), before)
            self.assertTrue(all(before in one.accepted for one in secrets))

        self.run_fleet(scenario)

    def test_earlier_secrets_are_still_accepted(self):
        secret = fleet_secret.FleetSecret()
        secret.add("first")
        secret.add("second")
        self.assertEqual(secret.current, "second")
        self.assertEqual(set(secret.accepted), {"first", "second"})
        secret.add("first")
        self.assertEqual(secret.accepted, ("first", "second"))

    def test_unreadable_store_leaves_an_instance_without_a_secret(self):
        class DownStore:
            async def scan(self, prefix):
                return make_fault(prefix)

            async def wait_until_restored(self):
                await anyio.sleep_forever()

        faults = []

        async def main():
            secret = fleet_secret.FleetSecret()
            with anyio.move_on_after(0.2):
                await secret.run(DownStore(), faults.append, random.Random(1))
            return secret.current

        self.assertEqual(anyio.run(main), "")
        self.assertEqual(len(faults), 1)


def make_fault(prefix):
    """Returns the result of a call to a store that is down."""
    return result.Err(
        store_contract.StoreFault(
            store_contract.StoreFaultKind.UNAVAILABLE, prefix
        )
    )


if __name__ == "__main__":
    unittest.main()
