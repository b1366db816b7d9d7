"""A control machine that is cut off from the others: what it answers, when, and what comes later."""

import json
import unittest
from dataclasses import dataclass, replace
from unittest.mock import patch

from tests.support.registry_world import World
from willowpost.common.clock import MILLI, SECOND
from willowpost.common.events import SubmitOperations, Received, Tick, WithdrawSubmission
from willowpost.common.rendezvous import Rendezvous
from willowpost.node.command_client import AVOID_FOR, RETRY_AFTER, CommandClient
from willowpost.registry.origin_health import OriginHealthMonitor
from willowpost.shell.runner import Runner
from willowpost.sim.fleet.world import FleetWorld
from willowpost.sim.world import seconds
from willowpost.state.apply import OPS, StateMachine
from willowpost.state.apply.configurations import configuration
from willowpost.state.apply.daemons import suspicion
from willowpost.state.apply.operators import zone
from willowpost.state.apply.origins import register, turn
from willowpost.state.lifecycle import SUPERSEDED
from willowpost.state.tables import Tables
from willowpost.wire.messages import CommandAccepted, OriginHeartbeat, SubmitCommand

CALLERS_SECOND = SECOND
AT_ONCE = 100 * MILLI
CUT_SPAN = 20 * SECOND
CUT_MACHINE = ["r0", "s0"]
ORIGIN = {"service": "art", "address": "127.0.0.1:99", "zone": "a", "token": "life-1"}


@dataclass(frozen=True, slots=True)
class Told:
    """One call's answer, and how long its caller waited for it (µs)."""

    code: int
    value: object
    waited: int
    headers: tuple


class CutOff(World):
    """r0 and s0 stand on one machine; r1 is a registry of the other side."""

    def cut_off(self, way="silent"):
        others = [name for name in self.world.seats if name not in CUT_MACHINE]
        outward = {(own, other) for own in CUT_MACHINE for other in others}
        inward = {(other, own) for own, other in outward}
        cuts = {"silent": outward | inward, "hears": outward, "is heard": inward}
        self.world.cuts |= cuts[way]

    def told(self, method, path, value=b"", first=0, **headers):
        begun = self.world.time
        answer = self.call(method, path, value, first, **headers)
        waited = self.world.time - begun
        self.assertLess(waited, CALLERS_SECOND, (method, path, answer))
        return Told(answer.code, answer.value, waited, answer.headers)

    def orders(self):
        """Every call that asks something of the log, each valid."""
        tree = self.world.configuration
        return (
            ("GET", "/v1/configuration", b""),
            ("PUT", "/v1/configuration", tree),
            ("POST", "/v1/configurations", {"version": 90, "configuration": tree}),
            ("PATCH", "/v1/configuration", []),
            ("POST", "/v1/configuration/plan", tree),
            ("POST", "/v1/zones/b/empty", b""),
            ("POST", "/v1/zones/b/restore", b""),
            ("GET", "/v1/zones/b/plan", b""),
            ("POST", "/v1/purges", {"items": [{"kind": "all"}]}),
            ("POST", "/v1/origins", {**ORIGIN, "token": "other", "address": "127.0.0.1:98"}),
            ("POST", "/v1/origins/beat", ORIGIN),
            ("POST", "/v1/origins/beat", {**ORIGIN, "state": "draining"}),
            ("POST", "/v1/origins/beat", {**ORIGIN, "token": "third", "address": "127.0.0.1:97"}),
            ("POST", "/v1/origins/drain", {"token": "life-1"}),
            ("POST", "/v1/origins/drain", {"address": "127.0.0.1:99"}),
            ("POST", "/v1/origins/drain", {"address": "127.0.0.1:96"}),
            ("POST", "/v1/origins/leave", {"token": "life-1"}),
            ("POST", "/v1/origins/leave", {"address": "127.0.0.1:96"}),
        )

    def open(self):
        self.assertEqual(200, self.told("PUT", "/v1/configuration", self.world.configuration).code)
        self.assertEqual(200, self.told("POST", "/v1/origins/beat", ORIGIN).code)
        self.world.run(seconds(1))

    def refused_at_once(self):
        for method, path, value in self.orders():
            told = self.told(method, path, value)
            with self.subTest(method=method, path=path, value=value, told=told):
                self.assertEqual((503, "not-run"), (told.code, told.value["outcome"]))
                self.assertIn("Retry-After", dict(told.headers))
                self.assertLessEqual(told.waited, AT_ONCE)


class Answers(CutOff):
    def test_known_to_be_out_of_touch_every_call_is_refused_at_once_however_it_is_cut(self):
        self.open()
        for way in ("silent", "hears", "is heard"):
            with self.subTest(way=way):
                self.cut_off(way)
                self.world.run(2 * SECOND)
                self.refused_at_once()
                self.assertEqual(503, self.told("GET", "/v1/health").code)
                status = self.told("GET", "/v1/status")
                self.assertEqual(
                    (200, False, True),
                    (status.code, status.value["in_touch"], status.value["age_ms"] >= 2000),
                )
                self.world.heal()
                self.world.run(5 * SECOND)
                self.assertEqual(200, self.told("GET", "/v1/configuration").code)

    def test_not_yet_known_every_call_is_answered_within_the_callers_second(self):
        self.open()
        for method, path, value in self.orders():
            self.told("POST", "/v1/origins/beat", ORIGIN, first=1)
            self.world.run(300 * MILLI)
            self.cut_off()
            told = self.told(method, path, value)
            with self.subTest(method=method, path=path, value=value, told=told):
                known_life = path.endswith("/beat") and value == ORIGIN
                self.assertIn(told.code, (200,) if known_life else (503, 504))
            self.world.heal()
            self.world.run(2 * SECOND)

    def test_without_a_majority_anywhere_every_call_is_refused_at_once(self):
        self.open()
        for name in ("s1", "s2", "s3"):
            self.world.crash(name)
        self.world.run(2 * SECOND)
        self.refused_at_once()

    def test_restarted_inside_the_cut_it_refuses_at_once_until_it_is_back(self):
        self.open()
        self.cut_off()
        for name in CUT_MACHINE:
            self.world.crash(name)
            self.world.start(name)
        self.world.run(50 * MILLI)
        self.refused_at_once()
        self.world.run(5 * SECOND)
        self.refused_at_once()
        self.world.heal()
        self.world.run(5 * SECOND)
        self.assertEqual(200, self.told("GET", "/v1/configuration").code)

    def test_seeds_that_name_only_the_cut_off_are_enough_once_the_cut_heals(self):
        self.open()
        self.cut_off()
        self.world.seed_names = ["s0"]
        for name in CUT_MACHINE:
            self.world.crash(name)
            self.world.start(name)
        self.world.run(5 * SECOND)
        self.refused_at_once()
        self.world.heal()
        self.world.run(5 * SECOND)
        self.assertEqual(200, self.told("GET", "/v1/configuration").code)

    def test_a_wall_clock_that_was_stepped_meanwhile_changes_nothing(self):
        for step in (-3600 * SECOND, 3600 * SECOND):
            with self.subTest(step=step):
                self.setUp()
                self.open()
                self.cut_off()
                for name in CUT_MACHINE:
                    self.world.seats[name].wall_skew = step
                self.world.run(2 * SECOND)
                self.refused_at_once()
                self.world.crash("r0")
                self.world.start("r0")
                self.world.heal()
                self.world.run(5 * SECOND)
                for first in (0, 1, 0):
                    for action in ("empty", "restore"):
                        told = self.told("POST", f"/v1/zones/b/{action}", first=first)
                        self.assertEqual(200, told.code)

    def test_with_its_own_store_down_orders_go_by_way_of_the_next_from_the_second_on(self):
        self.open()
        self.world.crash("s0")
        self.world.run(2 * SECOND)
        self.assertEqual(200, self.told("POST", "/v1/zones/b/empty").code)
        told = self.told("POST", "/v1/zones/b/restore")
        self.assertEqual((200, True), (told.code, told.waited < 400 * MILLI))


class LateOrders(CutOff):
    def zone(self, registry="r1"):
        return self.world.seats[registry].node.registry.tables.zones.get("b", {})

    def late_order(self):
        """Whether the zone is empty after a cut that held back an older order to empty it."""
        self.open()
        self.cut_off()
        self.assertEqual(504, self.told("POST", "/v1/zones/b/empty").code)
        for action in ("empty", "restore"):
            told = self.told("POST", f"/v1/zones/b/{action}", first=1)
            self.assertEqual(200, told.code)
        self.world.run(CUT_SPAN)
        self.world.heal()
        self.world.run(5 * SECOND)
        return [self.zone(name)["empty"] for name in ("r0", "r1")]

    def test_an_order_left_behind_the_cut_takes_no_effect_after_a_newer_one(self):
        self.assertEqual([False, False], self.late_order())

    def test_without_the_fence_it_does(self):
        with patch.dict(OPS, zone=lambda tables, op: zone(tables, {**op, "as_of": None})):
            self.assertEqual([True, True], self.late_order())

    def test_with_nothing_newer_it_may_take_effect_late_but_once(self):
        self.open()
        self.cut_off()
        self.assertEqual(504, self.told("POST", "/v1/zones/b/empty").code)
        self.world.run(CUT_SPAN)
        self.world.heal()
        self.world.run(5 * SECOND)
        slot = self.zone().get("slot")
        self.world.run(5 * SECOND)
        self.assertEqual(slot, self.zone().get("slot"))

    def test_who_is_behind_follows_and_asks_again_while_its_caller_waits(self):
        self.open()
        for number in range(6):
            action, empty = (("empty", True), ("restore", False))[number % 2]
            told = self.told("POST", f"/v1/zones/b/{action}", first=number % 2)
            self.assertEqual((200, empty), (told.code, told.value["empty"]))
        self.world.run(SECOND)
        self.assertFalse(self.zone()["empty"])

    def late_configuration(self):
        """The configuration after a cut that held back an older one that required no version."""
        self.open()
        older = {**self.world.configuration, "settings": {"deadline_ms": 1234}}
        self.cut_off()
        self.assertEqual(504, self.told("PUT", "/v1/configuration", older).code)
        for _ in range(2):
            told = self.told("PUT", "/v1/configuration", self.world.configuration, first=1)
            self.assertEqual(200, told.code)
        self.world.run(CUT_SPAN)
        self.world.heal()
        self.world.run(5 * SECOND)
        held = self.told("GET", "/v1/configuration", first=1).value
        return held["version"] - told.value["version"], held["configuration"]["settings"]

    def test_a_configuration_left_behind_the_cut_replaces_no_newer_one(self):
        self.assertEqual((0, self.world.configuration["settings"]), self.late_configuration())

    def test_without_the_fence_it_replaces_it(self):
        def unfenced(tables, op):
            return configuration(tables, {**op, "as_of_version": None})

        with patch.dict(OPS, configuration=unfenced):
            self.assertEqual((1, {"deadline_ms": 1234}), self.late_configuration())

    def late_registration(self):
        """Whether the second life at an address stays in force, also after the first's late beat."""
        self.open()
        self.cut_off()
        first, second = (
            {**ORIGIN, "address": "127.0.0.1:95", "token": token} for token in ("t1", "t2")
        )
        self.assertEqual(504, self.told("POST", "/v1/origins/beat", first).code)
        states = []
        for moment in range(0, CUT_SPAN + 3 * SECOND, SECOND):
            if moment >= CUT_SPAN:
                self.world.heal()
            told = self.told("POST", "/v1/origins/beat", second, first=1)
            self.assertEqual(200, told.code)
            states.append(told.value["state"])
            self.world.run(SECOND)
        return "gone" not in states

    def test_a_registration_left_behind_the_cut_does_not_end_the_next_life(self):
        self.assertTrue(self.late_registration())

    def test_without_the_fence_it_ends_it(self):
        with patch.dict(OPS, register=lambda tables, op: register(tables, {**op, "as_of": None})):
            self.assertFalse(self.late_registration())


class OrdersAndReads(CutOff):
    def orders_and_reads(self, way):
        """Orders and reads at both sides all through a cut of twenty seconds, and after it."""
        self.open()
        accepted = self.told("GET", "/v1/configuration", first=1).value["version"]
        self.cut_off(way)
        healed_at = self.world.time + CUT_SPAN
        while self.world.time < healed_at + 3 * SECOND:
            if self.world.time >= healed_at:
                self.world.heal()
            for first in (0, 1):
                accepted = self.judge(first, accepted)
            self.world.run(300 * MILLI)
        for first in (0, 1):
            told = self.told("GET", "/v1/configuration", first=first)
            self.assertEqual((200, accepted), (told.code, told.value["version"]))

    def test_no_read_is_older_than_what_was_accepted_though_the_cut_is_silent(self):
        self.orders_and_reads("silent")

    def test_no_read_is_older_than_what_was_accepted_though_it_still_hears(self):
        self.orders_and_reads("hears")

    def test_no_read_is_older_than_what_was_accepted_though_it_is_still_heard(self):
        self.orders_and_reads("is heard")

    def judge(self, first, accepted):
        """One order and one read, judged by what has been accepted so far."""
        put = self.told("PUT", "/v1/configuration", self.world.configuration, first)
        self.assertIn(put.code, (200, 503, 504))
        if put.code == 200:
            self.assertGreater(put.value["version"], accepted)
            accepted = put.value["version"]
        read = self.told("GET", "/v1/configuration", first=first)
        self.assertIn(read.code, (200, 503))
        if read.code == 200:
            self.assertGreaterEqual(read.value["version"], accepted)
        return accepted


class OrdersAndReadsOfAnotherSeed(OrdersAndReads):
    seed = 10


class Heartbeats(CutOff):
    def held(self, registry="r1"):
        tables = self.world.seats[registry].node.registry.tables
        token = self.origin["token"]
        return [token for card in tables.origins.values() if card.get("token") == token]

    def beat_elsewhere(self, span):
        """The origin goes on to r1 for so long, as it must when r0 refuses its beat."""
        until = self.world.time + span
        while self.world.time < until:
            self.told("POST", "/v1/origins/beat", self.origin, first=1)
            self.world.run(500 * MILLI)

    def proposed_gone(self):
        return [
            (moment, name)
            for moment, name, part, sentence, more in self.world.notes
            if sentence == "proposes a turn"
            and more["state"] == "gone"
            and more["origin"].startswith(self.origin["address"])
        ]

    def owned_by_the_cut_one(self):
        """Registers the origin at addresses until its silence is for r0 to judge."""
        self.open()
        registries = [f"{name}/registry" for name in self.world.registries]
        for port in range(100, 200):
            self.origin = {**ORIGIN, "address": f"127.0.0.1:{port}", "token": f"life-{port}"}
            name = self.told("POST", "/v1/origins/beat", self.origin).value["origin"]
            if Rendezvous().rank(f"origin/{name}", registries)[0] == "r0/registry":
                self.world.run(SECOND)
                return
        self.fail("r0 judges no origin")

    def back_from_the_cut(self, way):
        """The origin's beats go to r1 during a cut of r0 and after it."""
        self.owned_by_the_cut_one()
        self.cut_off(way)
        self.beat_elsewhere(CUT_SPAN)
        self.world.heal()
        self.beat_elsewhere(8 * SECOND)
        return self.held(), self.proposed_gone()

    def stays(self, way):
        held, proposed = self.back_from_the_cut(way)
        self.assertEqual(([self.origin["token"]], []), (held, proposed))

    def test_who_was_cut_off_throws_out_nobody_whose_beats_went_elsewhere(self):
        self.stays("silent")

    def test_nor_does_one_that_still_heard(self):
        self.stays("hears")

    def test_nor_does_one_that_was_still_heard(self):
        self.stays("is heard")

    def test_judging_while_out_of_touch_is_caught(self):
        with patch.object(OriginHealthMonitor, "_informed", lambda self, live, now: True):
            self.assertTrue(self.back_from_the_cut("silent")[1])

    def test_a_fleet_back_from_having_no_majority_throws_out_nobody_who_beats(self):
        self.owned_by_the_cut_one()
        for name in ("s1", "s2", "s3"):
            self.world.crash(name)
        for _ in range(20):
            told = self.told("POST", "/v1/origins/beat", self.origin)
            self.world.run(seconds(1))
        self.assertEqual(503, told.code)
        for name in ("s1", "s2", "s3"):
            self.world.start(name)
        self.beat_elsewhere(10 * SECOND)
        self.assertEqual(([self.origin["token"]], []), (self.held(), self.proposed_gone()))

    def test_a_beat_that_is_refused_is_passed_on_all_the_same(self):
        self.owned_by_the_cut_one()
        for name in ("s1", "s2", "s3"):
            self.world.crash(name)
        self.world.run(2 * SECOND)
        before = self.world.sent[OriginHeartbeat.__name__]
        self.assertEqual(503, self.told("POST", "/v1/origins/beat", self.origin).code)
        self.assertGreater(self.world.sent[OriginHeartbeat.__name__], before)

    def test_silence_is_still_found_after_the_cut(self):
        self.owned_by_the_cut_one()
        self.cut_off()
        self.world.run(3 * SECOND)
        self.world.heal()
        self.assertTrue(self.world.until(lambda: not self.held(), 15 * SECOND))


class Suspicions(unittest.TestCase):
    def held_lost(self, seed):
        """Two zones are cut off for a while: who of the others is held lost afterwards?"""
        world = FleetWorld(seed)
        world.until(world.bootstrapped, 10 * SECOND)
        world.run(4 * SECOND)
        side = [name for zone in ("b", "c") for name in world.zone_seats(zone)]
        world.cut(side, [name for name in world.seats if name not in (*side, "caller")])
        world.run(6 * SECOND)
        world.heal()
        lost = set()
        for _ in range(60):
            world.run(50 * MILLI)
            daemons = world.seats["r0"].node.registry.tables.daemons
            lost |= {
                name
                for name, card in daemons.items()
                if card["state"] == "lost" and card["zone"] not in ("b", "c")
            }
        return lost

    def test_who_was_cut_off_has_nobody_held_lost_when_it_is_back(self):
        self.assertEqual(set(), self.held_lost(3))

    def test_if_the_lost_may_suspect_it_has(self):
        def unguarded(tables, op):
            watcher = tables.daemons.get(op["watcher"], {})
            daemons = {**tables.daemons, op["watcher"]: {**watcher, "state": "up"}}
            changed, answer = suspicion(replace(tables, daemons=daemons), op)
            restored = {**changed.daemons, op["watcher"]: watcher}
            return replace(changed, daemons=restored), answer

        with patch.dict(OPS, suspicion=unguarded):
            self.assertNotEqual(set(), self.held_lost(3))

    def test_only_a_watcher_that_is_not_lost_suspects_and_any_may_take_it_back(self):
        cards = {
            name: {"incarnation": 1, "state": "up", "name": name, "kind": "registry"}
            for name in ("one", "two", "target")
        }
        cards = {name: {**card, "zone": "a"} for name, card in cards.items()}
        cards["two"]["state"] = "lost"
        tables = Tables(daemons=cards)
        op = {"target": "target", "incarnation": 1, "watcher": "two", "suspected": True}
        self.assertFalse(suspicion(tables, op)[1]["ok"])
        tables, told = suspicion(tables, {**op, "watcher": "one"})
        self.assertEqual(({"one": True}, True), (tables.suspicions["target"], told["ok"]))
        self.assertTrue(suspicion(tables, {**op, "suspected": False})[1]["ok"])


class Submissions(unittest.TestCase):
    def setUp(self):
        self.client = CommandClient("r/registry", 1, lambda: ["a:1", "b:1", "c:1"], lambda: 5)
        self.now = 0

    def step(self, event, span=0):
        self.now += span
        return [message for _, message in self.sends(event)]

    def sends(self, event):
        return [
            (address, message)
            for address, message in self.client.step(event, self.now).sends
            if isinstance(message, SubmitCommand)
        ]

    def ticks(self, span):
        sent = []
        for _ in range(0, span, 20 * MILLI):
            self.now += 20 * MILLI
            sent += self.sends(Tick())
        return sent

    def test_it_is_submitted_again_until_its_caller_gives_up(self):
        self.step(SubmitOperations(1, ({"op": "x"},)))
        self.assertGreater(len(self.ticks(2 * SECOND)), 3)
        self.step(WithdrawSubmission(1))
        self.assertEqual(([], {}), (self.ticks(5 * SECOND), self.client.pending))

    def test_the_shell_withdraws_what_was_not_answered_in_time(self):
        runner = Runner("127.0.0.1:1", None)
        self.assertIsNone(runner.ask({"op": "x"}, timeout=0.01))
        waiting = [runner.inbox.get_nowait() for _ in range(runner.inbox.qsize())]
        self.assertEqual([SubmitOperations(1, ({"op": "x"},)), WithdrawSubmission(1)], waiting)

    def test_given_up_before_it_was_stamped_it_is_never_submitted(self):
        self.step(SubmitOperations(1, ({"op": "x"},)))
        self.step(WithdrawSubmission(1))
        self.assertEqual([], self.ticks(SECOND))

    def test_one_that_gives_up_takes_nothing_from_another(self):
        for token in (1, 2):
            self.step(SubmitOperations(token, ({"op": str(token)},)))
        ((_, submitted),) = self.ticks(40 * MILLI)
        self.step(WithdrawSubmission(1))
        self.assertTrue(self.ticks(RETRY_AFTER + 20 * MILLI))
        answers = json.dumps([{"ok": 1}, {"ok": 2}])
        plan = self.client.step(Received("a:1", CommandAccepted(submitted.command.key, 7, answers)), 0)
        self.assertEqual([(2, {"slot": 7, "answers": [{"ok": 2}]})], plan.replies)

    def test_what_nobody_waits_for_lasts_unless_it_expires_and_keeps_nothing_else_alive(self):
        self.step(SubmitOperations(None, ({"op": "join"},)))
        self.step(SubmitOperations(None, ({"op": "turn"},), SECOND))
        self.step(SubmitOperations(1, ({"op": "zone"},)))
        self.ticks(500 * MILLI)
        self.step(WithdrawSubmission(1))
        self.ticks(2 * SECOND)
        bodies = [entry.command.body for entry in self.client.pending.values()]
        self.assertEqual(['[{"op":"join"}]'], bodies)

    def test_a_store_that_does_not_answer_is_tried_last_for_a_while(self):
        self.step(SubmitOperations(1, ({"op": "x"},)))
        self.assertEqual(
            ["a:1", "b:1", "c:1"],
            [address for address, _ in self.ticks(2 * RETRY_AFTER + SECOND)][:3],
        )
        self.step(WithdrawSubmission(1))
        self.ticks(AVOID_FOR + SECOND)
        self.step(SubmitOperations(2, ({"op": "x"},)))
        self.assertEqual(["a:1"], [address for address, _ in self.ticks(40 * MILLI)])


class Fences(unittest.TestCase):
    def test_a_zone_that_changed_since_is_left_as_it_is(self):
        op = {"op": "zone", "zone": "b", "empty": True}
        tables, _ = zone(Tables(slot=9), {**op, "empty": False})
        for as_of, answer in ((9, {"ok": False, "why": SUPERSEDED}), (10, {"ok": True})):
            changed, told = zone(tables, {**op, "as_of": as_of})
            self.assertEqual((answer, as_of > 9), (told, changed.zones["b"]["empty"]))
        same, told = zone(tables, {**op, "empty": False, "as_of": 3})
        self.assertEqual(({"ok": True}, tables), (told, same))

    def test_a_registration_from_before_a_later_one_there_is_turned_away(self):
        op = {"address": "h:1", "service": "art", "zone": "a", "rate": 1.0, "cold_rate": 1.0}
        tables, _ = register(Tables(slot=9), {**op, "token": "t2", "as_of": 9})
        late, told = register(tables, {**op, "token": "t1", "as_of": 9})
        self.assertEqual(({"ok": False, "why": SUPERSEDED}, tables), (told, late))
        self.assertTrue(register(tables, {**op, "token": "t2", "as_of": 3})[1]["ok"])
        self.assertTrue(register(tables, {**op, "token": "t3", "as_of": 10})[1]["ok"])

    def test_silence_counts_only_on_the_word_of_a_registry_that_is_up(self):
        tables = Tables(
            origins={"o": {"state": "warm"}},
            daemons={"up": {"state": "up"}, "lost": {"state": "lost"}},
        )
        op = {"origin": "o", "state": "gone", "silent": True}
        for by, gone in (("lost", False), ("nobody", False), ("up", True)):
            self.assertEqual(gone, not turn(tables, {**op, "by": by})[0].origins, by)

    def test_malformed_fences_change_nothing(self):
        for op in ({"op": "zone", "zone": "b", "empty": True, "as_of": "x"},):
            tables = Tables(slot=9, zones={"b": {"empty": False, "slot": 1, "what": "all"}})
            changed, told = StateMachine()._change(tables, op, 0)
            self.assertEqual((False, tables), (told["ok"], changed))


if __name__ == "__main__":
    unittest.main()
