"""Origins: a life registers once and ends once; late words change nothing.

Who is cold is known by beats.
"""

import itertools
import json
import unittest

from tests.support.operation_log import Log
from tests.support.registry_world import World
from willowpost.common.clock import MILLI, SECOND
from willowpost.common.events import Received, Tick
from willowpost.common.rendezvous import Rendezvous
from willowpost.node.command_client import CommandClient
from willowpost.node.node_state import DaemonDescriptor, NodeState
from willowpost.registry.origin_health import OriginHealthMonitor, HeartbeatReceived
from willowpost.sim.world import seconds
from willowpost.state.tables import MAX_ADDRESS_BINDINGS, MAX_ENDED_TOKENS, Tables, tables_from
from willowpost.wire.messages import OriginHeartbeat, SubmitCommand

SERVICES = {
    "plain": {},
    "other": {},
    "named": {"named": True, "cold_rate": 5.0},
    "careful": {"cold_rate": 5.0},
}


class Incarnations(unittest.TestCase):
    def setUp(self):
        self.log = Log()
        self.log.put(op="configuration", tree={"services": SERVICES})

    def register(self, token=None, address="127.0.0.1:1", service="plain", zone="a", **more):
        return self.log.put(
            op="register",
            address=address,
            service=service,
            zone=zone,
            rate=9.0,
            cold_rate=1.0,
            **({"token": token} if token else {}),
            **more,
        )

    def turn(self, origin, state, **more):
        return self.log.put(op="turn", origin=origin, state=state, **more)

    def state(self, name):
        return self.log.tables.origins.get(name, {}).get("state")

    def test_a_incarnation_registers_once_however_often_it_is_said(self):
        first = self.register("one", cold=False)
        self.assertEqual(
            {"ok": True, "origin": first["origin"], "state": "warm"},
            self.register("one", cold=True),
        )
        self.assertEqual([first["origin"]], list(self.log.tables.origins))

    def test_a_incarnation_that_left_does_not_come_back(self):
        for end in (
            lambda name: self.turn(name, "gone"),
            lambda name: self.log.put(op="end", token="one"),
        ):
            self.setUp()
            end(self.register("one")["origin"])
            for _ in range(2):
                self.assertFalse(self.register("one")["ok"])
            self.assertFalse(self.register("one", address="127.0.0.1:2", state="draining")["ok"])
            self.assertEqual({}, self.log.tables.origins)
            self.assertTrue(self.log.put(op="end", token="one")["ok"])
            self.assertEqual(
                "gone", self.log.put(op="turn", token="one", state="draining")["state"]
            )
            self.assertEqual(("one",), self.log.tables.ended)
            self.assertTrue(self.register("two")["ok"])

    def test_a_incarnation_that_was_never_heard_of_can_end(self):
        self.assertTrue(self.log.put(op="end", token="one")["ok"])
        self.assertFalse(self.register("one")["ok"])

    def test_one_that_fell_silent_may_come_back_unless_it_was_leaving(self):
        self.turn(self.register("one")["origin"], "gone", silent=True)
        name = self.register("one")["origin"]
        self.turn(name, "draining")
        self.turn(name, "gone", silent=True)
        self.assertFalse(self.register("one")["ok"])

    def test_another_incarnation_at_its_address_ends_it_but_its_own_new_address_does_not(self):
        self.register("one")
        moved = self.register("one", address="127.0.0.1:2")["origin"]
        self.assertEqual(([moved], ()), (list(self.log.tables.origins), self.log.tables.ended))
        self.register("two", address="127.0.0.1:2")
        self.assertEqual(("one",), self.log.tables.ended)

    def test_its_own_other_service_does_not_end_it(self):
        self.register("one")
        self.register("one", service="other")
        self.assertEqual((1, ()), (len(self.log.tables.origins), self.log.tables.ended))

    def test_the_last_ended_incarnations_are_remembered_also_by_whoever_reads_a_snapshot(self):
        for number in range(MAX_ENDED_TOKENS + 5):
            self.log.put(op="end", token=f"t{number}")
        self.log.tables = tables_from(self.log.tables.text())
        self.assertEqual(MAX_ENDED_TOKENS, len(self.log.tables.ended))
        self.assertEqual(
            [True, False, False],
            [self.register(f"t{number}")["ok"] for number in (4, 5, MAX_ENDED_TOKENS + 4)],
        )

    def test_it_enters_cold_or_warm_as_it_says(self):
        for cold, state, told in (
            (True, "cold", True),
            (False, "warm", True),
            (None, "cold", None),
        ):
            self.setUp()
            name = self.register("one", **({} if cold is None else {"cold": cold}))["origin"]
            self.assertEqual(
                (state, told), (self.state(name), self.log.tables.origins[name].get("told"))
            )

    def test_draining_is_the_end_of_being_ready(self):
        name = self.register("one", state="draining")["origin"]
        self.assertEqual("draining", self.state(name))
        self.assertEqual("draining", self.register("one")["state"])
        for state in ("warm", "cold"):
            self.assertFalse(self.turn(name, state)["ok"])
        self.assertEqual("draining", self.state(name))
        other = self.register("two", address="127.0.0.1:2")["origin"]
        self.assertEqual(
            "draining", self.register("two", address="127.0.0.1:2", state="draining")["state"]
        )
        self.assertEqual("draining", self.state(other))
        self.assertTrue(self.turn(other, "draining")["ok"])

    def test_a_used_address_waits_unless_the_service_names_its_incarnations(self):
        self.register("one")
        self.assertEqual("waiting", self.register("two", service="other", cold=False)["state"])
        self.assertEqual("warm", self.register("three", service="named", cold=False)["state"])
        self.assertEqual("waiting", self.register("four", service="plain", cold=False)["state"])

    def test_a_turn_of_an_earlier_beat_gives_route(self):
        name = self.register("one", cold=False, number=3)["origin"]
        self.turn(name, "cold", number=3)
        self.assertEqual("warm", self.state(name))
        self.turn(name, "cold", number=5)
        self.turn(name, "warm", number=4)
        self.assertEqual("cold", self.state(name))
        self.turn(name, "warm", number=6)
        self.assertEqual("warm", self.state(name))

    def test_a_zone_that_is_given_back_is_cold_until_a_later_beat(self):
        held = {
            service + zone: self.register(
                service + zone, f"127.0.0.1:{port}", service, zone, cold=False
            )["origin"]
            for port, (service, zone) in enumerate(
                (("careful", "a"), ("careful", "b"), ("plain", "a")), 1
            )
        }
        leaving = self.register("leaving", "127.0.0.1:9", "careful", "a", state="draining")[
            "origin"
        ]
        self.log.put(op="zone", zone="a", empty=True, what="origins")
        before = self.log.tables.slot
        self.log.put(op="zone", zone="a", empty=False)
        self.assertEqual(
            {"carefula": "cold", "carefulb": "warm", "plaina": "warm"},
            {name: self.state(origin) for name, origin in held.items()},
        )
        self.assertEqual("draining", self.state(leaving))
        self.assertFalse(self.turn(held["carefula"], "warm", as_of=before)["ok"])
        self.assertEqual("cold", self.state(held["carefula"]))
        self.assertTrue(self.turn(held["carefula"], "warm", as_of=before + 1)["ok"])
        self.log.put(op="zone", zone="a", empty=False)  # said again
        self.assertEqual("warm", self.state(held["carefula"]))

    def test_one_that_was_cold_already_is_cold_anew_when_its_zone_is_given_back(self):
        name = self.register("one", service="careful", cold=True)["origin"]
        before = self.log.tables.slot
        self.log.put(op="zone", zone="a", empty=True, what="origins")
        self.log.put(op="zone", zone="a", empty=False)
        self.assertFalse(self.turn(name, "warm", as_of=before)["ok"])

    def test_giving_back_what_was_not_emptied_of_origins_alone_turns_nothing_cold(self):
        name = self.register("one", service="careful", cold=False)["origin"]
        for empty, what in (
            (False, {}),
            (True, {}),
            (False, {}),
            (True, {"what": "origins"}),
            (True, {"what": "all"}),
            (False, {}),
        ):
            self.log.put(op="zone", zone="a", empty=empty, **what)
            self.assertEqual("warm", self.state(name), (empty, what))

    def test_the_oldest_bound_address_is_forgotten_first_also_after_a_snapshot(self):
        tables = Tables(
            epoch=1,
            slot=MAX_ADDRESS_BINDINGS,
            bound={
                f"z{number}": {"service": "plain", "slot": MAX_ADDRESS_BINDINGS - number}
                for number in range(MAX_ADDRESS_BINDINGS)
            },
        )
        self.log.tables = tables_from(tables.text())
        self.register()
        self.assertEqual(
            (MAX_ADDRESS_BINDINGS, False, True),
            (
                len(self.log.tables.bound),
                f"z{MAX_ADDRESS_BINDINGS - 1}" in self.log.tables.bound,
                "z0" in self.log.tables.bound,
            ),
        )


class OriginMonitoring(unittest.TestCase):
    """One registry's part, with others and a proxy beside it."""

    def setUp(self):
        def card(kind, name):
            return {
                "id": f"{name}/{kind}",
                "kind": kind,
                "role": "core",
                "name": name,
                "zone": "a",
                "address": name,
                "http": name,
                "incarnation": 1,
                "state": "up",
                "since": 0,
            }

        daemons = {
            held["id"]: held
            for held in (card("registry", "r0"), card("registry", "r1"), card("proxy", "p0"))
        }
        origin = {
            "service": "careful",
            "address": "127.0.0.1:9",
            "zone": "a",
            "rate": 9.0,
            "cold_rate": 1.0,
            "slot": 1,
            "state": "warm",
            "told": True,
        }
        self.node_state = NodeState(
            DaemonDescriptor("r0/registry", "registry", "core", "r0", "a", "r0", "r0", 1),
            Tables(
                slot=7,
                epoch=1,
                core=({"identity": "s", "name": "s", "zone": "a", "address": "s0"},),
                daemons=daemons,
                origins={"o": origin},
                configuration={
                    "version": 1,
                    "tree": {"services": {"careful": {"silent_seconds": 4.0, "ramp_seconds": 2.0}}},
                },
            ),
        )
        self.probed, self.now, self.in_touch = [], 100 * SECOND, True
        self.beats = OriginHealthMonitor(
            self.node_state,
            CommandClient("r0/registry", 1, self.node_state.cores, lambda: 1),
            lambda *probe: self.probed.append((self.now, probe)),
        )

    def card(self, **more):
        self.node_state.tables = Tables(
            **{
                **{name: getattr(self.node_state.tables, name) for name in Tables.__slots__},
                "origins": {"o": {**self.node_state.tables.origins["o"], **more}},
            }
        )

    def step(self, event, after=0):
        """The messages sent, and the ops proposed: the command client submits them some ms later."""
        self.now += after
        if self.in_touch:
            self.node_state.whole_as_of(self.now)
        plan = self.beats.step(event, self.now)
        plan.join(self.beats.command_client.step(Tick(), self.now + 10 * MILLI))
        ops = [
            op
            for _, message in plan.sends
            if isinstance(message, SubmitCommand)
            for op in json.loads(message.command.body)
        ]
        self.beats.command_client.pending.clear()
        return [
            (address, message) for address, message in plan.sends if not isinstance(message, SubmitCommand)
        ], ops

    def pass_time(self, span, step=100 * MILLI):
        return [op for _ in range(0, span, step) for op in self.step(Tick(), step)[1]]

    def owned(self, own=True):
        """Whether this registry has the duty: by the origin's name."""
        name = next(
            name
            for name in map(str, range(99))
            if (
                Rendezvous().rank(f"origin/{name}", ["r0/registry", "r1/registry"])[0]
                == "r0/registry"
            )
            == own
        )
        self.node_state.tables = Tables(
            **{
                **{held: getattr(self.node_state.tables, held) for held in Tables.__slots__},
                "origins": {name: self.node_state.tables.origins["o"]},
            }
        )
        return name

    def test_a_beat_goes_to_every_other_registry_and_proxy_at_once_whole(self):
        beat = OriginHeartbeat("o", 4, 1500, 32, 6)
        sent, ops = self.step(HeartbeatReceived(beat))
        self.assertEqual(([("r1", beat), ("p0", beat)], []), (sent, ops))

    def test_a_late_beat_changes_nothing_whoever_heard_the_later_one(self):
        for later in (HeartbeatReceived(OriginHeartbeat("o", number=6), True), Received("r1", OriginHeartbeat("o", number=6))):
            self.setUp()
            self.step(later)
            for number in (6, 5, 0):
                self.assertEqual(
                    ([], []), self.step(HeartbeatReceived(OriginHeartbeat("o", 1, 1500, number=number), True), SECOND)
                )
                self.assertEqual(([], []), self.step(Received("r1", OriginHeartbeat("o", number=number))))
            self.assertEqual(100 * SECOND, self.beats.heard["o"])
            self.assertEqual(2, len(self.step(HeartbeatReceived(OriginHeartbeat("o", number=7)))[0]))

    def test_beats_without_numbers_all_count(self):
        for _ in range(3):
            self.assertEqual(2, len(self.step(HeartbeatReceived(OriginHeartbeat("o")), SECOND)[0]))
            self.assertEqual(2, len(self.step(("beat", "o", 3), SECOND)[0]))
        self.assertEqual(self.now, self.beats.heard["o"])

    def test_who_takes_a_beat_proposes_at_once_what_it_says_of_being_cold(self):
        self.assertEqual(
            [{"op": "turn", "origin": "o", "state": "cold", "told": True, "number": 6}],
            self.step(HeartbeatReceived(OriginHeartbeat("o", 0, 1500, number=6), True))[1],
        )
        self.descriptor(state="cold")
        self.assertEqual(
            [{"op": "turn", "origin": "o", "state": "warm", "told": True, "number": 7, "as_of": 7}],
            self.step(HeartbeatReceived(OriginHeartbeat("o", number=7), True), 10 * MILLI)[1],
        )
        self.assertEqual([], self.step(HeartbeatReceived(OriginHeartbeat("o", 0, 1500, number=8), True))[1])
        self.assertEqual([], self.step(HeartbeatReceived(OriginHeartbeat("o", number=9)))[1])
        self.assertEqual([], self.step(Received("r1", OriginHeartbeat("o", number=10)))[1])
        for state in ("waiting", "draining"):
            self.descriptor(state=state)
            self.assertEqual([], self.step(HeartbeatReceived(OriginHeartbeat("o", number=99 + len(state)), True))[1])

    def test_a_ramp_is_guessed_only_for_those_who_do_not_say(self):
        name = self.owned()
        for told, states in ((True, []), (None, [("warm", 7)])):
            self.beats.seen.clear()
            self.node_state.tables.origins[name].update(state="cold", told=told)
            self.step(HeartbeatReceived(OriginHeartbeat(name)))
            self.assertEqual(
                states,
                [(op["state"], op.get("as_of")) for op in self.pass_time(int(2.5 * SECOND))][:1],
            )
            self.step(HeartbeatReceived(OriginHeartbeat(name)))

    def test_a_silent_one_is_probed_once_a_second_by_whose_duty_it_is_then_gone(self):
        self.owned(own=False)
        self.assertEqual(([], []), (self.pass_time(9 * SECOND), self.probed))
        self.setUp()
        name = self.owned()
        self.step(HeartbeatReceived(OriginHeartbeat(name)))
        ops = self.pass_time(int(4.5 * SECOND))
        gone = {"op": "turn", "origin": name, "state": "gone", "silent": True, "by": "r0/registry"}
        self.assertEqual([gone], ops[:1])
        moments = [moment for moment, _ in self.probed]
        self.assertEqual(3, len(moments))
        self.assertGreaterEqual(
            min(later - earlier for earlier, later in itertools.pairwise(moments)), SECOND
        )


class Calls(World):
    def setUp(self):
        super().setUp()
        self.call(
            "PUT",
            "/v1/configuration",
            {
                **self.world.configuration,
                "services": {
                    name: {**service, "cold_rate": 5.0}
                    for name, service in self.world.configuration["services"].items()
                },
            },
        )

    def beat(self, number, token="incarnation-one", first=0, address="127.0.0.1:99", **more):
        return self.call(
            "POST",
            "/v1/origins/beat",
            {
                "service": "art",
                "address": address,
                "zone": "x",
                "rate": 9,
                "token": token,
                "number": number,
                **more,
            },
            first,
        )

    def tables(self, first=1):
        self.world.run(seconds(0.5))
        return self.world.seats[f"r{first}"].node.registry.tables

    def states(self, token="incarnation-one", first=1):
        return [
            card["state"]
            for card in self.tables(first).origins.values()
            if card.get("token") == token
        ]

    def test_a_incarnation_from_its_first_beat_to_its_end_through_two_registries(self):
        self.assertEqual(
            (200, "warm"),
            ((answer := self.beat(1, cold_ms=0, slots=32)).code, answer.value["state"]),
        )
        self.assertEqual(
            (200, "warm"),
            ((answer := self.beat(1, first=1, cold_ms=0)).code, answer.value["state"]),
        )
        self.assertEqual(["warm"], self.states())
        self.assertEqual(
            (200, "draining"),
            ((answer := self.beat(3, state="draining")).code, answer.value["state"]),
        )
        self.assertEqual(["draining"], self.states())
        for number, first in ((2, 1), (3, 0), (4, 1)):
            self.assertEqual(
                (200, "draining"),
                ((answer := self.beat(number, first=first, cold_ms=0)).code, answer.value["state"]),
            )
        for first in (0, 1, 0):
            self.assertEqual(
                200,
                self.call("POST", "/v1/origins/drain", {"token": "incarnation-one"}, first).code,
            )
        self.assertEqual(["draining"], self.states())
        for first in (1, 0, 0):
            self.assertEqual(
                (200, "gone"),
                (
                    (
                        answer := self.call(
                            "POST", "/v1/origins/leave", {"token": "incarnation-one"}, first
                        )
                    ).code,
                    answer.value["state"],
                ),
            )
        self.assertEqual([], self.states())
        for first in (0, 1):
            for state in ("ready", "draining"):
                self.assertEqual(
                    (200, "gone"),
                    (
                        (answer := self.beat(9, first=first, state=state)).code,
                        answer.value["state"],
                    ),
                )
            self.assertEqual(
                200,
                self.call("POST", "/v1/origins/drain", {"token": "incarnation-one"}, first).code,
            )
        self.assertEqual([], self.states())
        self.assertEqual(
            409,
            self.call(
                "POST",
                "/v1/origins",
                {
                    "service": "art",
                    "address": "127.0.0.1:99",
                    "zone": "x",
                    "token": "incarnation-one",
                },
            ).code,
        )

    def test_who_says_its_slots_and_no_rate_is_bound_by_its_services_rate_alone(self):
        for number, said, rate in (
            (1, {}, 100.0),
            (2, {"slots": 32}, 1e6),
            (3, {"slots": 32, "rate": 50}, 50.0),
        ):
            self.call(
                "POST",
                "/v1/origins/beat",
                {
                    "service": "art",
                    "address": f"127.0.0.1:{number}",
                    "zone": "x",
                    "token": f"incarnation-{number}",
                    "cold_ms": 0,
                    **said,
                },
                0,
            )
            self.assertEqual(
                [rate],
                [
                    card["rate"]
                    for card in self.tables().origins.values()
                    if card.get("token") == f"incarnation-{number}"
                ],
            )

    def test_a_registry_that_has_not_heard_the_end_yet_does_not_undo_it(self):
        """The beat and the end go through two registries at the same moment.

        The tables of neither know of the other.
        """
        self.beat(1, cold_ms=0)
        self.states()
        self.call("POST", "/v1/origins/leave", {"token": "incarnation-one"})
        self.beat(2, first=1, cold_ms=0)
        self.assertEqual([], self.states())

    def test_a_beat_after_the_end_is_answered_by_the_log_where_the_end_is_not_known_yet_and_without_it_where_it_is(
        self,
    ):
        self.call("POST", "/v1/origins/leave", {"token": "incarnation-one"})
        self.assertNotIn("incarnation-one", self.world.seats["r1"].node.registry.tables.ended)
        self.assertEqual(
            (200, "gone"), ((answer := self.beat(2, first=1)).code, answer.value["state"])
        )
        self.assertIn("incarnation-one", self.tables().ended)
        for name in ("s0", "s1", "s2"):
            self.world.crash(name)
        self.assertEqual(
            (200, "gone"),
            ((answer := self.beat(3, first=1, state="draining")).code, answer.value["state"]),
        )

    def test_an_unknown_incarnation_may_register_as_draining_and_an_unknown_one_cannot_drain(self):
        self.assertEqual(
            404, self.call("POST", "/v1/origins/drain", {"token": "incarnation-one"}).code
        )
        self.assertEqual(
            (200, "draining"),
            ((answer := self.beat(1, state="draining")).code, answer.value["state"]),
        )
        self.assertEqual(["draining"], self.states())
        for wrong in (
            {},
            {"token": "t", "address": "127.0.0.1:99"},
            {"token": ""},
            {"token": "a b"},
        ):
            self.assertEqual(422, self.call("POST", "/v1/origins/drain", wrong).code)

    def test_draining_is_answered_only_once_accepted(self):
        self.beat(1, cold_ms=0)
        self.states()
        for name in ("s0", "s1", "s2"):
            self.world.crash(name)
        self.assertEqual(504, self.beat(2, state="draining").code)
        self.world.run(seconds(1))  # by then both registries know that they are out of touch
        leave = self.call("POST", "/v1/origins/leave", {"token": "incarnation-one"})
        for answer in (self.beat(2, state="draining", first=1), self.beat(3, cold_ms=0), leave):
            self.assertEqual((503, "not-run"), (answer.code, answer.value["outcome"]))

    def test_an_origin_turns_cold_and_warm_by_its_beats_and_by_nothing_else(self):
        self.beat(1, cold_ms=4000)
        self.assertEqual(["cold"], self.states())
        for number in range(2, 14):  # longer than the ramp
            self.beat(number, first=number % 2, cold_ms=4000)
            self.world.run(seconds(1))
        self.assertEqual(["cold"], self.states())
        self.beat(20, cold_ms=0)
        self.assertEqual(["warm"], self.states())
        self.beat(21, first=1, cold_ms=900)
        self.assertEqual(["cold"], self.states(first=0))
        self.beat(20, cold_ms=0)
        self.assertEqual(["cold"], self.states())

    def test_a_zone_given_back_is_cold_until_its_origins_beat_again(self):
        self.beat(1, cold_ms=0)
        self.assertEqual(200, self.call("POST", "/v1/zones/x/empty", {"what": "origins"}).code)
        self.assertEqual(["warm"], self.states())
        self.assertEqual(200, self.call("POST", "/v1/zones/x/restore").code)
        self.assertEqual(["cold"], self.states())
        self.beat(2, cold_ms=0)
        self.assertEqual(["warm"], self.states())

    def test_findings_have_their_place(self):
        for more, place in (
            ({"number": -1}, "number"),
            ({"number": "x"}, "number"),
            ({"state": "ill"}, "state"),
            ({"cold_ms": -1}, "cold_ms"),
            ({"slots": -1}, "slots"),
            ({"token": ""}, "token"),
            ({"address": "here"}, "address"),
            ({"x": 1}, "x"),
        ):
            answer = self.beat(**{"number": 1, **more})
            self.assertEqual(
                (422, place), (answer.code, answer.value["findings"][0]["place"]), more
            )


if __name__ == "__main__":
    unittest.main()
