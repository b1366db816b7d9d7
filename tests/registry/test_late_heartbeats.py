"""Heartbeats that come after their incarnation has ended, and the process that runs at its address.

The review's fourth fault: a heartbeat that came 5.5 s late registered a crashed incarnation again,
and the running one at the address was barred for good: 0 of 120 requests on a route that a later
configuration added were served.
"""

import unittest
from dataclasses import replace

from tests.registry.test_origin_lifecycle import OriginMonitoring
from tests.support.operation_log import Log
from tests.support.registry_world import World
from willowpost.common.clock import SECOND
from willowpost.common.log_position import LogPosition
from willowpost.registry.origin_health import HealthCheckFinished
from willowpost.sim.world import seconds
from willowpost.state.configuration_changes import ConfigurationProposal
from willowpost.state.operations import ChangeOriginState, EndOrigin, RegisterOrigin
from willowpost.state.results import Reason, Rejected
from willowpost.state.tables import MAX_TOKENS_OF_ADDRESS, tables_from

ADDRESS = "127.0.0.1:1"


class Order(unittest.TestCase):
    """Incarnations at one address, in the order in which each was first seen."""

    def setUp(self):
        self.log = Log()
        self.log.put(ConfigurationProposal(tree={"services": {"named": {"named": True}}}))

    def register(self, token, **more):
        more = {"address": ADDRESS, "service": "named", "is_ordered": True, **more}
        return self.log.put(
            RegisterOrigin(zone="a", rate=9.0, slow_start_rate=1.0, token=token, **more)
        )

    def time_out(self, token):
        (name,) = (name for name, held in self.log.tables.origins.items() if held.token == token)
        self.log.put(ChangeOriginState("gone", name, timed_out=True))

    def in_force(self):
        return [held.token for held in self.log.tables.origins.values() if held.is_in_force]

    def test_a_late_heartbeat_of_one_that_timed_out_leaves_the_running_one_in_force(self):
        """Guards against CONFIG: a route's only origin barred by its predecessor's heartbeat."""
        self.register("crashed")
        self.time_out("crashed")
        self.register("running")
        for _ in range(2):
            late = self.register("crashed", heartbeat_number=9)
            self.assertEqual(Rejected(Reason.INCARNATION_SUCCEEDED), late)
            self.assertTrue(self.register("running").is_accepted)
            self.assertEqual(["running"], self.in_force())
            self.log.tables = tables_from(self.log.tables.text())

    def test_without_the_order_it_takes_the_address(self):
        self.register("crashed")
        self.time_out("crashed")
        self.register("running")
        bindings = self.log.tables.address_bindings
        forgotten = {ADDRESS: replace(bindings[ADDRESS], tokens=())}
        self.log.tables = replace(self.log.tables, address_bindings=forgotten)
        self.register("crashed")
        self.assertEqual(["crashed"], self.in_force())

    def test_one_whose_predecessor_did_not_time_out_yet_takes_the_address(self):
        self.register("crashed")
        self.register("running")
        self.assertFalse(self.register("crashed").is_accepted)
        self.assertEqual(["running"], self.in_force())

    def test_displaced_by_a_first_heartbeat_that_was_late_it_returns_when_that_one_times_out(self):
        """Nobody had seen the late one, so its order is not known before its health check."""
        self.register("running")
        self.register("late")
        self.assertFalse(self.register("running").is_accepted)
        self.time_out("late")
        self.assertTrue(self.register("running").is_accepted)
        self.assertEqual(["running"], self.in_force())
        self.register("next")
        self.assertEqual(["next"], self.in_force())

    def test_a_late_draining_heartbeat_displaces_nobody(self):
        self.register("running")
        for token in ("late", "late"):
            self.register(token, is_draining=True)
            self.assertEqual(["running"], self.in_force())
        self.assertFalse(self.register("late").is_accepted)

    def test_one_that_was_displaced_and_drains_is_over(self):
        """Its acknowledged end holds also after the one that displaced it has timed out."""
        self.register("first")
        self.register("second")
        self.register("first", is_draining=True)
        self.time_out("second")
        self.assertEqual(Rejected(Reason.INCARNATION_ENDED), self.register("first"))

    def test_one_that_left_does_not_return_to_a_vacant_address(self):
        self.register("first")
        self.log.put(EndOrigin("first"))
        self.register("second")
        self.time_out("second")
        self.assertEqual(Rejected(Reason.INCARNATION_ENDED), self.register("first"))

    def test_its_own_fence_does_not_bar_one_that_returns(self):
        self.register("running", known_slot=1)
        self.time_out("running")
        self.assertTrue(self.register("running", known_slot=1).is_accepted)
        self.assertEqual(Rejected(Reason.SUPERSEDED), self.register("older", known_slot=1))

    def test_so_many_are_remembered(self):
        for number in range(MAX_TOKENS_OF_ADDRESS + 2):
            self.register(f"t{number}")
        tokens = self.log.tables.address_bindings[ADDRESS].tokens
        self.assertEqual(
            [f"t{number}" for number in range(2, MAX_TOKENS_OF_ADDRESS + 2)], list(tokens)
        )

    def test_one_that_stands_there_since_an_earlier_build_comes_first(self):
        self.register("earlier", is_ordered=False)
        self.assertEqual((), self.log.tables.address_bindings[ADDRESS].tokens)
        self.register("running")
        self.assertEqual(Rejected(Reason.INCARNATION_SUCCEEDED), self.register("earlier"))
        self.assertEqual(["running"], self.in_force())

    def test_addresses_are_independent(self):
        self.register("one")
        self.register("two", address="127.0.0.1:2")
        self.register("one", address="127.0.0.1:2")
        self.assertEqual(["one"], self.in_force())


class HealthChecks(OriginMonitoring):
    """The health check of an address that another incarnation answers."""

    def checked(self, answered):
        name = self.choose_origin()
        self.set_origin(name, token="registered")
        operations = []
        for _ in range(60):
            operations += self.pass_time(SECOND // 10)
            if self.health_checks:
                self.health_checks.clear()
                self.step(HealthCheckFinished(name, True, answered))
        return [operation.state for operation in operations]

    def test_one_that_another_incarnation_answers_for_times_out(self):
        self.assertIn("gone", self.checked("another"))

    def test_one_that_answers_itself_or_does_not_say_stays(self):
        for answered in ("registered", None):
            self.setUp()
            self.assertEqual([], self.checked(answered))


class LateHeartbeats(World):
    """Through the registries' own calls."""

    def beat(self, token, number, first=0, **more):
        report = {"service": "art", "address": "127.0.0.1:99", "zone": "a", "token": token}
        return self.call_once(
            "POST", "/v1/origins/beat", {**report, "number": number}, first, **more
        )

    def tokens(self):
        self.world.run(seconds(1))
        origins = self.world.seats["r1"].node.registry.tables.origins.values()
        return [origin.token for origin in origins if origin.address == "127.0.0.1:99"]

    def time_out(self):
        self.assertTrue(self.world.until(lambda: not self.tokens(), seconds(30)))

    def test_a_heartbeat_that_comes_late_is_acknowledged_and_changes_nothing(self):
        self.call("PUT", "/v1/configuration", self.world.configuration)
        self.beat("crashed", 1)
        self.assertEqual(["crashed"], self.tokens())
        self.time_out()
        self.beat("running", 1, first=1)
        self.assertEqual(["running"], self.tokens())
        late = self.beat("crashed", 2)
        self.assertEqual(
            (200, "gone", ["running"]), (late.code, late.value["state"], self.tokens())
        )
        self.assertNotEqual("gone", self.beat("running", 2, first=1).value["state"])

    def test_one_that_waited_in_a_registry_that_stood_still_displaces_nobody(self):
        """Nobody had seen it: only the fence tells that it is older."""
        self.call("PUT", "/v1/configuration", self.world.configuration)
        self.world.run(seconds(1))
        before = self.world.seats["r0"].node.node.arrival_positions.before_arrival()
        self.beat("running", 1, first=1)
        self.assertEqual(["running"], self.tokens())
        late = self.beat("never-seen", 1, known_before=before)
        self.assertEqual((307, ["running"]), (late.code, self.tokens()))

    def test_without_the_fence_it_does(self):
        self.call("PUT", "/v1/configuration", self.world.configuration)
        self.beat("running", 1, first=1)
        self.world.run(seconds(1))
        late = self.beat("never-seen", 1, known_before=LogPosition(2**60))
        self.assertEqual((200, ["never-seen"]), (late.code, self.tokens()))


del OriginMonitoring  # its own tests run in its own module

if __name__ == "__main__":
    unittest.main()
