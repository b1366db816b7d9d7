"""A new configuration is parsed in steps; the rest of the tables comes into force at once."""

import unittest
from dataclasses import replace

from willowpost.common.events import Tick
from willowpost.configuration.checker import ConfigurationChecker
from willowpost.proxy.cache.store import CacheStore
from willowpost.proxy.proxy_state import ProxyState
from willowpost.proxy.routing.parsed_configuration import (
    MAX_ROUTES_OF_STEP,
    ConfigurationParser,
    ParsedConfiguration,
)
from willowpost.proxy.routing.snapshot_updater import SnapshotUpdater
from willowpost.state.entries import ActiveConfiguration, DaemonDescriptor, OriginEntry
from willowpost.state.lifecycle import OriginState

NOW = 1_000_000
HOST = "h.example"


def configuration(version, routes):
    """A configuration with so many routes, each with its number and version in its path."""
    branches = {
        f"r{number}": {"path": f"/{version}/{number}", "settings": {"kind": "kept"}}
        for number in range(routes)
    }
    tree = {
        "services": {"g": {"rate": 1000}},
        "settings": {"service": "g"},
        "branches": {"all": {"host": HOST, "branches": branches}},
    }
    return ActiveConfiguration(version, ConfigurationChecker().check_value(tree).unwrap())


class Steps(unittest.TestCase):
    def setUp(self):
        descriptor = DaemonDescriptor("e", "proxy", "edge", "e", "a", "x:1", "x:2", 1)
        self.state = ProxyState(descriptor)
        self.updater = SnapshotUpdater(self.state, CacheStore())
        self.take(configuration=configuration(1, 3))

    def take(self, **changes):
        tables = self.state.tables
        self.state.tables = replace(tables, slot=tables.slot + 1, **changes)
        self.state.fresh_as_of = NOW
        return self.step()

    def step(self):
        return self.updater.step(Tick(), NOW).log_entries

    def has_route(self, version, number=0):
        return self.state.snapshot.routes.find(HOST, f"/{version}/{number}") is not None

    def steps_until(self, version):
        for steps in range(100):
            if self.state.snapshot.version == version:
                return steps
            self.step()
        self.fail(f"version {version} did not come into force")

    def test_no_step_takes_more_routes_than_its_share_and_none_is_left_out(self):
        """Guards against one step of a large configuration that holds a proxy's loop."""
        routes = 3 * MAX_ROUTES_OF_STEP + 7
        self.assertEqual([], self.take(configuration=configuration(2, routes)))
        self.assertEqual((1, True), (self.state.snapshot.version, self.has_route(1)))
        self.assertFalse(self.state.may_deny(NOW))
        self.assertEqual(3, self.steps_until(2))
        self.assertTrue(all(self.has_route(2, number) for number in range(routes)))
        self.assertFalse(self.has_route(1))
        self.assertTrue(self.state.may_deny(NOW))

    def test_a_small_one_is_in_force_with_its_tables(self):
        (entry,) = self.take(configuration=configuration(2, MAX_ROUTES_OF_STEP - 1))
        self.assertEqual(("in force", 2), (entry.event, entry.fields["version"]))

    def test_an_origin_that_drains_meanwhile_gets_nothing_more(self):
        origin = OriginEntry("g", "o:1", "a", 10.0, 1.0, 1, OriginState.WARM)
        self.take(origins={"o": origin})
        self.assertEqual({"o"}, self.state.snapshot.origins)
        self.take(configuration=configuration(2, 5 * MAX_ROUTES_OF_STEP))
        self.take(origins={"o": replace(origin, state=OriginState.DRAINING)})
        self.assertEqual((1, set()), (self.state.snapshot.version, self.state.snapshot.origins))

    def test_changes_that_follow_faster_than_they_are_parsed_hold_nothing_up(self):
        for version in range(2, 12):
            self.take(configuration=configuration(version, 2 * MAX_ROUTES_OF_STEP + 1))
        self.assertGreater(self.state.snapshot.version, 1)
        self.assertLessEqual(self.steps_until(11), 6)

    def test_steps_and_one_go_find_the_same(self):
        large = configuration(2, MAX_ROUTES_OF_STEP + 1)
        parser = ConfigurationParser(large)
        self.assertIsNone(parser.advance())
        in_steps, at_once = parser.advance(), ParsedConfiguration.parse(large)
        self.assertEqual(
            (at_once.shielded, at_once.direct, at_once.tree, at_once.version),
            (in_steps.shielded, in_steps.direct, in_steps.tree, in_steps.version),
        )


if __name__ == "__main__":
    unittest.main()
