"""Settings that change: read again as a whole, live where they can be.

And seeds swapped under a running fleet.
"""

import io
import json
import os
import tempfile
import unittest

import yaml

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.common.events import SettingsChanged
from willowpost.node.failure_detector import watchers_of
from willowpost.node.node_state import LEASE, DaemonDescriptor, NodeState
from willowpost.shell.reload import SettingsReload
from willowpost.shell.settings import DaemonSettings, SettingsReader
from willowpost.shell.structured_log import StructuredLogger
from willowpost.sim.fleet.world import FleetWorld
from willowpost.sim.world import seconds

SETTINGS = {
    "name": "edge-1",
    "zone": "a",
    "address": "127.0.0.1:7000",
    "http": "127.0.0.1:8000",
    "seeds": ["127.0.0.2:7000"],
}


class Reload(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path, self.log = os.path.join(folder.name, "settings.json"), io.StringIO()
        self.reload = SettingsReload(
            self.path,
            {},
            ("http",),
            DaemonSettings(**SETTINGS),
            StructuredLogger("wpproxy", "edge-1", stream=self.log),
        )

    def read(self, **changes):
        with open(self.path, "w") as file:
            json.dump({**SETTINGS, **changes}, file)
        return self.reload.reload()

    def last(self):
        return json.loads(self.log.getvalue().strip().splitlines()[-1])

    def test_what_can_change_live_does_and_the_rest_is_named_until_a_restart(self):
        for _ in range(2):
            settings = self.read(
                seeds=["127.0.0.3:7000"], level="DEBUG", address="127.0.0.1:7001", zone="b"
            ).unwrap()
            self.assertEqual(
                (["127.0.0.3:7000"], "DEBUG", "127.0.0.1:7000", "a"),
                (settings.seeds, settings.level, settings.address, settings.zone),
            )
            self.assertEqual({"zone", "address"}, set(self.last()["needs_restart"]))
        self.assertEqual([], self.last()["changed"])

    def test_one_wrong_field_leaves_all_the_old_ones_and_every_issue_is_reported(self):
        read = self.read(seeds=["127.0.0.3:7000"], level="LOUD", zone="B!", nonsense=1)
        self.assertEqual(
            {"level", "zone", "nonsense"}, {finding["place"] for finding in read.unwrap_err()}
        )
        self.assertEqual(
            (SETTINGS["seeds"], "ERROR"), (self.reload.settings.seeds, self.last()["level"])
        )
        with open(self.path, "w") as file:
            file.write("{")
        self.assertTrue(self.reload.reload().is_err())
        os.unlink(self.path)
        self.assertTrue(self.reload.reload().is_err())


class Files(unittest.TestCase):
    def read(self, name, text, **flags):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, name)
            with open(path, "w") as file:
                file.write(text)
            return SettingsReader().read(path, flags)

    def test_yaml_and_json_are_equivalent(self):
        text = """
name: edge-1
zone: a
address: 127.0.0.1:7000
http: 127.0.0.1:8000
health: 127.0.0.1:8001
seeds: [127.0.0.2:7000]
voters: 3
may_bootstrap: false
regions: {a: north, b: south}
serve_on_ms: 60000
drain_ms: 2500
pace: {resend: 30}
"""
        for name in ("settings.yaml", "settings.yml"):
            settings = self.read(name, text).unwrap().to_process_settings()
            self.assertEqual(
                (3, False, {"a": "north", "b": "south"}, 60_000, 30 * MILLISECOND),
                (
                    settings.voters,
                    settings.may_bootstrap,
                    settings.regions,
                    settings.serve_on_ms,
                    settings.pace.resend,
                ),
            )
            self.assertEqual(
                settings,
                self.read("settings.json", json.dumps(yaml.safe_load(text)))
                .unwrap()
                .to_process_settings(),
            )
            self.assertEqual(
                (2500 * MILLISECOND, 30_000 * MILLISECOND),
                (settings.shutdown_timeouts().drain, settings.shutdown_timeouts().finish),
            )

    def test_wrong_files_and_fields_are_reported_as_issues(self):
        for name, text in (
            ("settings.yaml", "a: [1"),
            ("settings.yaml", "- 1"),
            ("settings.yaml", "1: 2"),
            ("settings.json", "[]"),
            ("settings.json", "{"),
        ):
            self.assertEqual(1, len(self.read(name, text).unwrap_err()), text)
        read = self.read(
            "settings.yaml",
            "name: e\nzone: a\naddress: 127.0.0.1:0\nhealth: x\nseeds: [127.0.0.1:1]\nserve_on_ms: 1\nmax_voters: 4\n",
        )
        self.assertEqual(
            {"address", "health", "serve_on_ms", "max_voters"},
            {finding["place"] for finding in read.unwrap_err()},
        )


class ServingOn(unittest.TestCase):
    def test_a_long_stale_serving_does_not_lengthen_the_ownership_lease(self):
        descriptor = DaemonDescriptor(
            "e/proxy", "proxy", "edge", "e", "a", "127.0.0.1:1", "127.0.0.1:2", 7
        )
        node_state = NodeState(descriptor, fresh_as_of=0)
        self.assertEqual(
            (True, True), (node_state.may_serve(LEASE), node_state.holds_ownership_lease(LEASE))
        )
        self.assertEqual(
            (False, False),
            (node_state.may_serve(LEASE + 1), node_state.holds_ownership_lease(LEASE + 1)),
        )
        node_state.max_stale_serving = 60 * SECOND
        self.assertEqual(
            (True, False),
            (node_state.may_serve(60 * SECOND), node_state.holds_ownership_lease(LEASE + 1)),
        )
        self.assertFalse(node_state.may_serve(60 * SECOND + 1))
        self.assertFalse(
            NodeState(descriptor, max_stale_serving=60 * SECOND).may_serve(0),
            "a new life has no state updates at all",
        )


class SwappedSeeds(unittest.TestCase):
    def test_a_daemon_whose_seeds_are_all_gone_joins_by_the_new_ones(self):
        world = FleetWorld(8)
        world.open()
        world.crash("e1")
        world.run(seconds(3))
        world.seed_names = ["x1", "x2"]  # nobody is there
        # nor does a watcher reach it
        world.cut(["e1"], [name for name in world.seats if name != "e1"])
        world.start("e1")
        world.run(seconds(4))
        node_state = world.seats["e1"].node.proxy
        watchers = watchers_of("e1/proxy", world.seats["r0"].node.registry.tables.daemons)
        helper = next(name for name in ("e0", "e2", "e3", "e4") if f"{name}/proxy" not in watchers)
        # it would answer, but e1 does not know of it
        world.cuts -= {("e1", helper), (helper, "e1")}
        world.run(seconds(1))
        self.assertEqual((0, ()), (node_state.tables.epoch, node_state.seed_store_addresses))
        world.give("e1", SettingsChanged((helper,)))
        world.run(seconds(1))
        self.assertEqual(5, len(node_state.seed_store_addresses))
        world.heal()
        self.assertTrue(
            world.until(lambda: node_state.may_serve(world.now(world.seats["e1"])), seconds(3))
        )

    def test_seeds_swapped_on_a_running_and_a_restarting_fleet_stores_included(self):
        world = FleetWorld(8)
        world.open()
        configuration = world.version
        for names in (["e0", "r4", "h2"], ["s3", "s4", "e2"], ["r1", "r2", "r3"]):
            world.seed_names = names
            for name in [*world.names, *world.registries, *world.edges, *world.shields]:
                world.give(name, SettingsChanged(tuple(seed for seed in names if seed != name)))
            for name in (*world.names, "r0", "e1", "h3"):
                world.crash(name, lose_disk=name == "s2")
                world.run(seconds(0.2))
                world.start(name)
            world.run(seconds(6))
            self.assertEqual(5, sum(node_state.is_voter for _, node_state in world.node_states()))
            world.put_configuration(1)
            world.run(seconds(2))
            configuration += 1
            self.assertEqual(configuration, world.version)
        world.settle()


if __name__ == "__main__":
    unittest.main()
