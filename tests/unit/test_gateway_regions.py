"""Tests of allowed regions, without processes."""

import random
import unittest

import anyio
import attrs
import hypothesis
from hypothesis import strategies
import msgspec

from cardamomfork._internal.gateway.choice import candidate_sampling
from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.queueing import scheduling
from cardamomfork._internal.gateway.state import evacuations
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.gateway.state import regions
from cardamomfork._internal.gateway.state import routes
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.models import fleet
from cardamomfork._internal.models import forwarding
from cardamomfork._internal.platform import configuration_format
from cardamomfork._internal.platform import node_settings
from tests.lib import gateway_parts

REGIONS = {"a": "east", "b": "west", "c": "south", "d": "east"}
NAMES = ("east", "west", "south")
ALLOWED = strategies.none() | strategies.frozensets(
    strategies.sampled_from(NAMES), min_size=1
)
REQUEST = forwarding.CallerRequest(
    "r", b"POST", b"/a/x", "/a/x", "callers.example", (), api_key="key"
)


def make_table(by_route, by_account, version=1):
    """Returns the routes of a configuration with one route and account."""
    return routes.RouteTable(
        fleet.FleetConfiguration(
            version,
            version,
            (gateway_parts.make_route(allowed_regions=by_route),),
            {"engines": gateway_parts.ENGINES},
            (fleet.ClientAccount("depot", ("key",), None, by_account),),
            fleet.CallerLimits(),
        )
    )


def make_match(table):
    return table.match(REQUEST, random.Random(1)).unwrap()


class Rules:
    """Region rules with a configuration that tests replace."""

    def __init__(self, by_route=None, by_account=None, data_centre="a"):
        self.table = make_table(by_route, by_account)
        self.match = make_match(self.table)
        self.rules = regions.RegionRules(
            gateway_parts.make_settings(
                data_centre=data_centre,
                region=REGIONS[data_centre],
                regions=REGIONS,
            ),
            lambda: self.table,
        )

    def allowed(self):
        return self.rules.allowed_data_centres(REQUEST, self.match)

    def may_pass(self, data_centre, region=""):
        request = attrs.evolve(REQUEST, region=region)
        return self.rules.may_pass(request, self.match, data_centre)


class DecodingTest(unittest.TestCase):
    def decode(self, route=None, account=None):
        value = msgspec.json.encode(
            {
                "version": 1,
                "routes": [
                    {
                        "name": "n",
                        "host": "h",
                        "prefix": "/",
                        "kind": "safe",
                        "timeoutMs": 10,
                        **(route or {}),
                    }
                ],
                "tenants": [{"name": "depot", **(account or {})}],
            }
        )
        return configuration_format.decode(value, 1)

    def test_allowed_regions_of_routes_and_accounts(self):
        fields = {"allowedRegions": ["east", "west"]}
        decoded = self.decode(fields, fields).unwrap()
        expected = frozenset({"east", "west"})
        self.assertEqual(decoded.routes[0].allowed_regions, expected)
        self.assertEqual(decoded.accounts[0].allowed_regions, expected)

    def test_without_names_any_region_is_allowed(self):
        for fields in ({}, {"allowedRegions": None}, {"allowedRegions": []}):
            decoded = self.decode(fields, fields).unwrap()
            self.assertIsNone(decoded.routes[0].allowed_regions)
            self.assertIsNone(decoded.accounts[0].allowed_regions)

    @hypothesis.given(
        strategies.one_of(
            strategies.integers(),
            strategies.text(),
            strategies.lists(strategies.integers(), min_size=1),
            strategies.dictionaries(strategies.text(), strategies.none()),
            strategies.lists(strategies.text()),
        )
    )
    def test_malformed_regions_never_allow_any(self, value):
        # A field that counted as absent would widen the choice.
        for decoded in (
            self.decode({"allowedRegions": value}),
            self.decode(None, {"allowedRegions": value}),
        ):
            if decoded.is_err() or value == []:
                continue
            found = decoded.unwrap()
            allowed = (
                found.routes[0].allowed_regions,
                found.accounts[0].allowed_regions,
            )
            self.assertIn(frozenset(value), allowed)

    def test_settings_name_the_regions(self):
        table = {
            "nodeName": "one",
            "zone": "a",
            "region": "east",
            "portRange": [1, 2],
            "listen": {"front": "h:1", "readyAddr": "h:2"},
            "platform": {"address": "h:3"},
            "zones": REGIONS,
        }
        decoded = node_settings.decode(table)
        self.assertEqual((decoded.region, decoded.regions), ("east", REGIONS))
        del table["zones"], table["region"]
        decoded = node_settings.decode(table)
        self.assertEqual((decoded.region, decoded.regions), ("", {}))


class RegionRulesTest(unittest.TestCase):
    @hypothesis.given(ALLOWED, ALLOWED)
    def test_both_route_and_account_apply(self, by_route, by_account):
        rules = Rules(by_route, by_account)
        if by_route is None and by_account is None:
            self.assertIsNone(rules.allowed())
            return
        everything = frozenset(NAMES)
        expected = (by_route or everything) & (by_account or everything)
        self.assertEqual(rules.match.allowed_regions, expected)
        self.assertEqual(
            rules.allowed(),
            {one for one, region in REGIONS.items() if region in expected},
        )

    def test_newest_configuration_counts(self):
        rules = Rules(None, frozenset({"east"}))
        self.assertEqual(rules.allowed(), {"a", "d"})
        rules.table = make_table(None, frozenset({"west"}), 2)
        self.assertEqual(rules.allowed(), {"b"})

    def test_regions_of_a_removed_account_still_count(self):
        # A key that is revoked while its request waits must not widen the
        # choice.
        rules = Rules(None, frozenset({"east"}))
        configuration = rules.table.configuration
        rules.table = routes.RouteTable(
            attrs.evolve(configuration, accounts=(), routes=())
        )
        self.assertEqual(rules.allowed(), {"a", "d"})

    def test_data_centre_without_a_region_is_in_no_allowed_one(self):
        rules = Rules(frozenset({"east"}))
        self.assertNotIn("z", rules.allowed())
        self.assertFalse(rules.may_pass("z"))

    def test_own_data_centre_has_the_region_of_the_instance(self):
        rules = regions.RegionRules(
            gateway_parts.make_settings(data_centre="a", region="east"),
            lambda: make_table(frozenset({"east"}), None),
        )
        match = make_match(make_table(frozenset({"east"}), None))
        self.assertEqual(rules.allowed_data_centres(REQUEST, match), {"a"})

    def test_changed_settings_count(self):
        rules = Rules(frozenset({"west"}))
        settings = gateway_parts.make_settings(regions={"q": "west"})
        rules.rules.update_settings(settings)
        self.assertEqual(rules.allowed(), {"q"})

    def test_body_goes_to_peers_in_allowed_regions_only(self):
        rules = Rules(frozenset({"west"}))
        self.assertTrue(rules.may_pass("b"))
        # Not even to a peer beside this instance, if the caller is elsewhere
        # or its region is not known.
        for region in ("", "south", "west"):
            self.assertFalse(rules.may_pass("a", region))
        self.assertTrue(rules.may_pass("d", "east"))
        self.assertFalse(rules.may_pass("c", "south"))

    def test_body_goes_to_any_peer_without_allowed_regions(self):
        self.assertTrue(Rules().may_pass("z"))


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.orders = evacuations.Evacuations(is_enabled=True)
        self.orders.apply_scan((), 1)
        self.table = target_table.TargetTable(excluded=self.orders)
        self.load = load_view.LoadView()
        self.placer = placement.Placer(
            self.table, self.load, "a", random.Random(1)
        )

    def add(self, *data_centres, count=1, **changes):
        for data_centre in data_centres:
            for _ in range(count):
                self.table.put(
                    gateway_parts.make_record(
                        len(self.table), data_centre=data_centre, **changes
                    )
                )

    def choose(self, allowed, tokens=5000, **changes):
        demand = gateway_parts.make_demand(
            tokens, allowed_data_centres=frozenset(allowed), **changes
        )
        return self.placer.choose(demand, 100.0)

    def test_target_and_helpers_are_in_allowed_data_centres(self):
        self.add("a", "b", "c", count=5)
        chosen = self.choose(
            "bc",
            500_000,
            max_gap_s=gateway_parts.LONG_GAP_S,
            objective_left_s=4.0,
        )
        self.assertTrue(chosen.helpers)
        for target in (chosen.target, *(one.target for one in chosen.helpers)):
            self.assertIn(target.record.data_centre, "bc")

    def test_large_fleet_samples_allowed_data_centres(self):
        self.add("a", "b", "c", count=candidate_sampling.MIN_SAMPLED_TARGETS)
        sampler = candidate_sampling.CandidateSampler(
            self.table, self.load, "a", random.Random(1)
        )
        for tokens in (1000, 190_000):
            demand = gateway_parts.make_demand(
                tokens, allowed_data_centres=frozenset("b")
            )
            sample = sampler.sample(demand, 0.0)
            self.assertGreaterEqual(
                len(sample.targets), candidate_sampling.SHORT_CANDIDATES // 2
            )
            for target in sample.targets:
                self.assertEqual(target.record.data_centre, "b")

    def test_request_without_a_target_in_an_allowed_region_is_refused(self):
        self.add("a", "b")
        for allowed in ("c", ""):
            chosen = self.choose(allowed)
            self.assertEqual(chosen.reason, "no target is in an allowed region")
            self.assertFalse(chosen.may_wait)

    def test_evacuated_allowed_data_centre_does_not_widen_the_choice(self):
        self.add("a", "b")
        self.orders.apply_changes([evacuations.Change("b", 2)], 2)
        chosen = self.choose("b")
        self.assertEqual(
            chosen.reason,
            "all allowed data centres of the service are evacuated",
        )
        self.assertFalse(chosen.may_wait)

    def test_paused_target_in_an_allowed_region_is_waited_for(self):
        self.add("a", "b")
        self.table.find("t1").paused_until = 100.4
        chosen = self.choose("b")
        self.assertEqual(chosen.reason, "no target")
        self.assertTrue(chosen.may_wait)

    def test_waiting_request_is_placed_by_the_newest_regions(self):
        # Guards against a request that keeps the regions at its arrival.
        self.add("a", "b", slots=1)
        self.load.start(load_view.Job("j", "t0", (), 9000, 100, 1.0, 1.0, 0.0))
        self.assertEqual(self.load.load("t0", 100.0).running, 1)
        allowed = [frozenset("a")]
        clock = gateway_parts.Clock()
        scheduler = scheduling.Scheduler(
            self.placer,
            lambda *_: None,
            lambda _: None,
            clock,
            random.Random(1),
        )
        found = []

        async def acquire():
            demand = gateway_parts.make_demand(
                allowed_data_centres=allowed[0],
                find_allowed=lambda: allowed[0],
                objective_left_s=9.0,
            )
            found.append(await scheduler.acquire(demand, 1))

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(acquire)
                await anyio.sleep(0.05)
                self.assertEqual(scheduler.waiting, 1)
                allowed[0] = frozenset("b")
                scheduler.dispatch_waiting()

        anyio.run(main)
        self.assertEqual(found[0].target.record.data_centre, "b")


if __name__ == "__main__":
    unittest.main()
