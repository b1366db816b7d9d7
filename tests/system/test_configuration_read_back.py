"""Configurations: nobody slides back, what is read back is the last accepted one.

What is invalid is accepted by no way in.
"""

import json
import unittest
from unittest.mock import patch

from tests.registry import test_registry
from willowpost.configuration.checker import MAX_CONFIGURATION_BYTES, ConfigurationChecker
from willowpost.consensus.replica.catchup import Catchup
from willowpost.consensus.replica.quorum_reads import QuorumReads
from willowpost.node.follower import Follower
from willowpost.registry.api.configurations import ConfigurationRoutes
from willowpost.registry.api.log_client import LogClient
from willowpost.shell.router import Router
from willowpost.sim.fleet.fault_schedule import FleetFaultSchedule
from willowpost.sim.fleet.world import FleetWorld
from willowpost.sim.rules import Broken
from willowpost.sim.world import seconds
from willowpost.store.voter_repair import VoterRepair


def ALWAYS(*args):
    return True


def opened(seed):
    world = FleetWorld(seed)
    world.open()
    return world


def late_snapshots(seed):
    """Messages take up to 0.9 s, so that answers come in any order.

    Daemons that know nothing yet ask several for a snapshot.
    """
    world = opened(seed)
    world.weather.spread = 900_000
    for number in range(14):
        world.configuration["settings"]["deadline_ms"] = 1500 + number
        world.put_configuration(number % 3)
        for name in ("e0", "r3", "s4"):
            world.crash(name, lose_disk=number % 7 == 0 and name == "s4")
            world.start(name)
        world.run(seconds(2))
    return world


def alone_with_a_minority(seed):
    """Two stores and a registry are cut from the rest.

    Operators change the configuration on the other side, and read on this one.
    """
    world = opened(seed)
    alone = ["s0", "s1", "r0", "r1"]
    world.cut(alone, [name for name in world.seats if name not in alone])
    world.configuration["settings"]["deadline_ms"] = 1900
    world.put_configuration(2)
    world.run(seconds(4))
    return world


class MonotonicConfigurations(unittest.TestCase):
    def test_no_daemon_slides_back_however_late_its_state_update(self):
        for seed in range(3):
            late_snapshots(seed)

    def test_tables_that_may_move_back_are_caught(self):
        """Whichever rule sees it first; that a registry went back, only the second one can see."""
        for place, who in ((Follower, "e0|r3|e|r|h"), (Catchup, "s")):
            with (
                self.subTest(place=place.__name__),
                patch.object(place, "_is_newer", ALWAYS),
                self.assertRaisesRegex(Broken, f"({who})[0-9]*:? (went back|unsaid|calls itself)"),
            ):
                for seed in range(12):
                    late_snapshots(seed)


class ReadBack(unittest.TestCase):
    def test_the_last_accepted_is_read_after_every_fault(self):
        """Configurations race before and after each fault.

        Whoever then calls itself whole is checked at every step, and all are read at the end.
        """
        for fault in (
            "kill_stores",
            "lose_disk",
            "newcomer",
            "split_core",
            "isolate",
            "cut_zone",
            "cut_pair",
            "cut_one_way",
            "dark_zone",
            "freeze",
            "tear",
        ):
            with self.subTest(fault=fault):
                # a seed whose schedules draw a race beside every one of the faults
                fault_schedule = FleetFaultSchedule(
                    23, only=(fault, "race", "mend"), rounds=14, wide=True
                ).run()
                self.assertGreater(fault_schedule.world.version, 1)

    def test_a_read_from_one_store_is_caught(self):
        self.assertEqual(2, alone_with_a_minority(3).version)

        def settle(self):
            for read in self.reads.by_nonce.values():
                self.node_state.fresh_as_of = read.started_at

        with (
            patch.object(QuorumReads, "_advance_freshness", settle),
            self.assertRaisesRegex(Broken, "calls itself whole"),
        ):
            alone_with_a_minority(3)

    def test_a_read_without_its_wait_is_caught(self):
        def read_alone():
            calls = test_registry.RegistryCalls("setUp")
            calls.setUp()
            self.addCleanup(calls.doCleanups)
            calls.call("PUT", "/v1/configuration", calls.world.configuration)
            calls.world.run(seconds(1))
            calls.world.cut(["r0"], [name for name in calls.world.seats if name != "r0"])
            self.assertEqual(
                200, calls.call("PUT", "/v1/configuration", calls.world.configuration, first=1).code
            )
            return calls.call("GET", "/v1/configuration")

        self.assertEqual(503, read_alone().code)
        with patch.object(LogClient, "quorum_read", ALWAYS):
            self.assertEqual((200, 1), ((held := read_alone()).code, held.value["version"]))


class Unattended(unittest.TestCase):
    def fade(self, seed):
        """A store's disk is lost in the night; hours later its zone-mates' zones hold.

        But another zone with two stores goes dark.
        """
        world = opened(seed)
        world.crash("s1", lose_disk=True)
        world.start("s1")
        world.run(seconds(8))
        for name in world.zone_seats("a"):
            world.crash(name)
            world.seats[name].dark = True
        world.run(seconds(6))
        return len([1 for moment, _ in world.traffic.served if moment > world.time - seconds(3)])

    def test_a_lost_disk_is_replaced_so_that_a_zone_may_still_go(self):
        self.assertGreater(self.fade(5), 100)

    def test_without_the_replace_voter_the_next_loss_stops_the_fleet(self):
        with patch.object(VoterRepair, "_replaceable_voter", lambda self: None):
            self.assertEqual(0, self.fade(5))


class Invalid(unittest.TestCase):
    def setUp(self):
        self.calls = test_registry.RegistryCalls("setUp")
        self.calls.setUp()
        self.addCleanup(self.calls.doCleanups)
        self.tree = self.calls.world.configuration
        self.assertEqual(200, self.calls.call("PUT", "/v1/configuration", self.tree).code)

    def attempts(self):
        whole = json.dumps(self.tree).encode()
        nowhere = json.loads(whole)
        nowhere["branches"]["art"]["settings"]["service"] = "nowhere"
        yield from (
            ("PUT", "/v1/configuration", body)
            for body in (
                whole[:-1],
                whole[: len(whole) // 2],
                whole + b"x",
                b"",
                b"\xff",
                nowhere,
                [],
                None,
            )
        )
        for change in (
            [{"op": "replace", "path": "/branches/art/settings/service", "value": "nowhere"}],
            [{"op": "remove", "path": "/services/art"}],
            [{"op": "add", "path": "/settings/tries", "value": 101}],
            [{"op": "replace", "path": "", "value": []}],
        ):
            yield "PATCH", "/v1/configuration", change

    def test_no_call_accepts_an_invalid_configuration(self):
        for method, path, value in self.attempts():
            held = self.calls.call(method, path, value)
            self.assertEqual(422, held.code, value)
            self.assertTrue(
                all(finding["place"] and finding["finding"] for finding in held.value["findings"]),
                held.value,
            )
        self.assertEqual(
            (1, self.tree["branches"]["art"]["settings"]["service"]),
            (
                (held := self.calls.call("GET", "/v1/configuration").value)["version"],
                held["configuration"]["branches"]["art"]["settings"]["service"],
            ),
        )

    def test_a_patch_that_only_an_older_configuration_bears_is_refused(self):
        """Worked out from one version while another came: the patched tree would undo it."""
        propose = ConfigurationRoutes._propose

        def raced(front, call, proposal, deadline):
            with patch.object(ConfigurationRoutes, "_propose", propose):
                other = json.loads(json.dumps(self.tree))
                other["services"]["late"] = {"rate": 5.0}
                self.assertEqual(
                    200, self.calls.call("PUT", "/v1/configuration", other, first=1).code
                )
                return propose(front, call, proposal, deadline)

        change = [{"op": "replace", "path": "/settings/tries", "value": 2}]
        with patch.object(ConfigurationRoutes, "_propose", raced):
            self.assertEqual(412, self.calls.call("PATCH", "/v1/configuration", change).code)
        self.assertIn(
            "late", self.calls.call("GET", "/v1/configuration").value["configuration"]["services"]
        )

    def test_without_the_checker_one_would_be_accepted(self):
        with patch.object(
            ConfigurationChecker,
            "check_value",
            lambda self, held: type(
                "Yes", (), {"is_err": lambda self: False, "unwrap": lambda self: held}
            )(),
        ):
            change = [
                {"op": "replace", "path": "/branches/art/settings/service", "value": "nowhere"}
            ]
            self.assertEqual(200, self.calls.call("PATCH", "/v1/configuration", change).code)
        tree = self.calls.world.seats["r0"].node.registry.tables.configuration.tree
        self.assertTrue(ConfigurationChecker().check(json.dumps(tree).encode()).is_err())

    def test_an_over_large_one_is_refused_before_it_is_read(self):
        read = []
        environ = {
            "REQUEST_METHOD": "PUT",
            "PATH_INFO": "/v1/configuration",
            "CONTENT_LENGTH": str(MAX_CONFIGURATION_BYTES + 1),
            "wsgi.input": type("Body", (), {"read": lambda self, size: read.append(size)})(),
        }
        codes = []
        Router(self.calls.fronts[0].routes(), None)(
            environ, lambda status, headers: codes.append(status)
        )
        self.assertEqual((["413 Content Too Large"], []), (codes, read))


if __name__ == "__main__":
    unittest.main()
