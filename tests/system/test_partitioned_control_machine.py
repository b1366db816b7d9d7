"""A control machine that is cut off from the others: what it answers, when, and what comes later."""

import json
import unittest
from dataclasses import dataclass, replace
from unittest.mock import patch

from tests.support.entries import daemon_entry, origin_entry
from tests.support.registry_world import World
from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.common.events import Received, SubmitOperations, Tick, WithdrawSubmission
from willowpost.common.rendezvous import Rendezvous
from willowpost.node.command_client import (
    RETRY_INTERVAL_US,
    UNRESPONSIVE_STORE_PENALTY_US,
    CommandClient,
    SubmissionOutcome,
)
from willowpost.registry.origin_health import OriginHealthMonitor
from willowpost.shell.runner import Runner
from willowpost.sim.fleet.world import FleetWorld
from willowpost.sim.world import seconds
from willowpost.state.apply import StateMachine, apply_operation, recorded_results
from willowpost.state.apply.configurations import propose
from willowpost.state.apply.daemons import report_suspicion
from willowpost.state.apply.evacuations import evacuate
from willowpost.state.apply.origin_registration import register
from willowpost.state.apply.state_machine import HANDLERS
from willowpost.state.apply.transition import Transition
from willowpost.state.codec import encode_results
from willowpost.state.configuration_changes import ConfigurationProposal
from willowpost.state.entries import ZoneEvacuation
from willowpost.state.lifecycle import DaemonState
from willowpost.state.operations import (
    ChangeOriginState,
    EndOrigin,
    EvacuateZone,
    RegisterOrigin,
    RemoveDaemon,
    ReportSuspicion,
)
from willowpost.state.results import Accepted, PurgeAccepted, Reason, Rejected
from willowpost.state.tables import Tables
from willowpost.wire.messages import (
    Command,
    CommandAccepted,
    Decision,
    OriginHeartbeat,
    SubmitCommand,
)

CALLERS_SECOND = SECOND
AT_ONCE = 100 * MILLISECOND
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
            self.world.run(300 * MILLISECOND)
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
        self.world.run(50 * MILLISECOND)
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
        self.assertEqual((200, True), (told.code, told.waited < 400 * MILLISECOND))


class LateOrders(CutOff):
    def zone(self, registry="r1"):
        return self.world.seats[registry].node.registry.tables.zone_evacuations.get("b")

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
        return [self.zone(name).is_evacuated for name in ("r0", "r1")]

    def test_an_order_left_behind_the_cut_takes_no_effect_after_a_newer_one(self):
        self.assertEqual([False, False], self.late_order())

    def test_without_the_fence_it_does(self):
        def unfenced(tables, operation):
            return evacuate(tables, replace(operation, known_slot=None))

        with patch.dict(HANDLERS, {EvacuateZone: unfenced}):
            self.assertEqual([True, True], self.late_order())

    def test_with_nothing_newer_it_may_take_effect_late_but_once(self):
        self.open()
        self.cut_off()
        self.assertEqual(504, self.told("POST", "/v1/zones/b/empty").code)
        self.world.run(CUT_SPAN)
        self.world.heal()
        self.world.run(5 * SECOND)
        order = self.zone()
        self.world.run(5 * SECOND)
        self.assertEqual(order, self.zone())

    def test_who_is_behind_follows_and_asks_again_while_its_caller_waits(self):
        self.open()
        for number in range(6):
            action, empty = (("empty", True), ("restore", False))[number % 2]
            told = self.told("POST", f"/v1/zones/b/{action}", first=number % 2)
            self.assertEqual((200, empty), (told.code, told.value["empty"]))
        self.world.run(SECOND)
        self.assertFalse(self.zone().is_evacuated)

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
        def unfenced(tables, proposal):
            return propose(tables, replace(proposal, known_version=None))

        with patch.dict(HANDLERS, {ConfigurationProposal: unfenced}):
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
        def unfenced(tables, operation, index):
            return register(tables, replace(operation, known_slot=None), index)

        with patch("willowpost.state.apply.origin_registration.register", unfenced):
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
            self.world.run(300 * MILLISECOND)
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
        return [token for origin in tables.origins.values() if origin.token == token]

    def beat_elsewhere(self, span):
        """The origin goes on to r1 for so long, as it must when r0 refuses its beat."""
        until = self.world.time + span
        while self.world.time < until:
            self.told("POST", "/v1/origins/beat", self.origin, first=1)
            self.world.run(500 * MILLISECOND)

    def proposed_gone(self):
        return [
            (moment, name)
            for moment, name, part, sentence, more in self.world.notes
            if sentence == "origin state change proposed"
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
        with patch.object(OriginHealthMonitor, "_is_informed", lambda self, live, now: True):
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
            world.run(50 * MILLISECOND)
            daemons = world.seats["r0"].node.registry.tables.daemons
            lost |= {
                name
                for name, daemon in daemons.items()
                if daemon.state is DaemonState.LOST and daemon.zone not in ("b", "c")
            }
        return lost

    def test_who_was_cut_off_has_nobody_held_lost_when_it_is_back(self):
        self.assertEqual(set(), self.held_lost(3))

    def test_if_the_lost_may_suspect_it_has(self):
        def unguarded(tables, operation):
            watcher = tables.daemons.get(operation.watcher)
            if watcher is None:
                return report_suspicion(tables, operation)
            daemons = {**tables.daemons, watcher.id: replace(watcher, state=DaemonState.UP)}
            changed, result = report_suspicion(replace(tables, daemons=daemons), operation)
            restored = {**changed.daemons, watcher.id: watcher}
            return Transition(replace(changed, daemons=restored), result)

        with patch.dict(HANDLERS, {ReportSuspicion: unguarded}):
            self.assertNotEqual(set(), self.held_lost(3))

    def test_only_a_watcher_that_is_not_lost_suspects_and_any_may_take_it_back(self):
        daemons = {
            name: daemon_entry(name, kind="registry", state=state)
            for name, state in (
                ("one", DaemonState.UP),
                ("two", DaemonState.LOST),
                ("target", DaemonState.UP),
            )
        }
        tables = Tables(daemons=daemons)
        report = ReportSuspicion("target", incarnation=1, watcher="two", is_suspected=True)
        self.assertFalse(apply_operation(tables, report).result.is_accepted)
        tables, result = apply_operation(tables, replace(report, watcher="one"))
        self.assertEqual(
            (frozenset({"one"}), True), (tables.suspicions["target"], result.is_accepted)
        )
        withdrawn = replace(report, is_suspected=False)
        self.assertTrue(apply_operation(tables, withdrawn).result.is_accepted)


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
        for _ in range(0, span, 20 * MILLISECOND):
            self.now += 20 * MILLISECOND
            sent += self.sends(Tick())
        return sent

    def test_it_is_submitted_again_until_its_caller_gives_up(self):
        self.step(SubmitOperations(1, (EndOrigin("x"),)))
        self.assertGreater(len(self.ticks(2 * SECOND)), 3)
        self.step(WithdrawSubmission(1))
        self.assertEqual(([], {}), (self.ticks(5 * SECOND), self.client.pending))

    def test_the_shell_withdraws_what_was_not_answered_in_time(self):
        runner = Runner("127.0.0.1:1", None)
        self.assertIsNone(runner.submit(EndOrigin("x"), timeout=0.01))
        waiting = [runner.inbox.get_nowait() for _ in range(runner.inbox.qsize())]
        self.assertEqual([SubmitOperations(1, (EndOrigin("x"),)), WithdrawSubmission(1)], waiting)

    def test_given_up_before_it_was_stamped_it_is_never_submitted(self):
        self.step(SubmitOperations(1, (EndOrigin("x"),)))
        self.step(WithdrawSubmission(1))
        self.assertEqual([], self.ticks(SECOND))

    def test_one_that_gives_up_takes_nothing_from_another(self):
        for token in (1, 2):
            self.step(SubmitOperations(token, (EndOrigin(str(token)),)))
        ((_, submitted),) = self.ticks(40 * MILLISECOND)
        self.step(WithdrawSubmission(1))
        self.assertTrue(self.ticks(RETRY_INTERVAL_US + 20 * MILLISECOND))
        answers = json.dumps(encode_results((PurgeAccepted(1), PurgeAccepted(2))))
        plan = self.client.step(
            Received("a:1", CommandAccepted(submitted.command.key, 7, answers)), 0
        )
        self.assertEqual([(2, SubmissionOutcome(7, (PurgeAccepted(2),)))], plan.replies)

    def test_what_nobody_waits_for_lasts_unless_it_expires_and_keeps_nothing_else_alive(self):
        self.step(SubmitOperations(None, (RemoveDaemon("p", 1),)))
        self.step(SubmitOperations(None, (ChangeOriginState("warm", "o"),), SECOND))
        self.step(SubmitOperations(1, (EvacuateZone("b", is_evacuated=True),)))
        self.ticks(500 * MILLISECOND)
        self.step(WithdrawSubmission(1))
        self.ticks(2 * SECOND)
        bodies = [entry.command.body for entry in self.client.pending.values()]
        self.assertEqual(['[{"op":"leave","id":"p","incarnation":1}]'], bodies)

    def test_a_store_that_does_not_answer_is_tried_last_for_a_while(self):
        self.step(SubmitOperations(1, (EndOrigin("x"),)))
        self.assertEqual(
            ["a:1", "b:1", "c:1"],
            [address for address, _ in self.ticks(2 * RETRY_INTERVAL_US + SECOND)][:3],
        )
        self.step(WithdrawSubmission(1))
        self.ticks(UNRESPONSIVE_STORE_PENALTY_US + SECOND)
        self.step(SubmitOperations(2, (EndOrigin("x"),)))
        self.assertEqual(["a:1"], [address for address, _ in self.ticks(40 * MILLISECOND)])


class Fences(unittest.TestCase):
    def test_a_zone_that_changed_since_is_left_as_it_is(self):
        order = EvacuateZone("b", is_evacuated=True)
        tables, _ = evacuate(Tables(slot=9), replace(order, is_evacuated=False))
        for known_slot, result in ((9, Rejected(Reason.SUPERSEDED)), (10, Accepted())):
            changed, found = evacuate(tables, replace(order, known_slot=known_slot))
            self.assertEqual(
                (result, known_slot > 9), (found, changed.zone_evacuations["b"].is_evacuated)
            )
        same, found = evacuate(tables, replace(order, is_evacuated=False, known_slot=3))
        self.assertEqual((Accepted(), tables), (found, same))

    def test_a_registration_from_before_a_later_one_there_is_turned_away(self):
        def registered(tables, token, known_slot):
            return register(
                tables,
                RegisterOrigin(
                    address="h:1",
                    service="art",
                    zone="a",
                    rate=1.0,
                    slow_start_rate=1.0,
                    token=token,
                    known_slot=known_slot,
                ),
                index=0,
            )

        tables, _ = registered(Tables(slot=9), "t2", 9)
        late, result = registered(tables, "t1", 9)
        self.assertEqual((Rejected(Reason.SUPERSEDED), tables), (result, late))
        self.assertTrue(registered(tables, "t2", 3).result.is_accepted)
        self.assertTrue(registered(tables, "t3", 10).result.is_accepted)

    def test_silence_counts_only_on_the_word_of_a_registry_that_is_up(self):
        tables = Tables(
            origins={"o": origin_entry()},
            daemons={
                "up": daemon_entry("up"),
                "lost": daemon_entry("lost", state=DaemonState.LOST),
            },
        )
        gone = ChangeOriginState("gone", "o", timed_out=True)
        for registry, is_gone in (("lost", False), ("nobody", False), ("up", True)):
            after = apply_operation(tables, replace(gone, registry=registry)).tables
            self.assertEqual(is_gone, not after.origins, registry)

    def test_malformed_fences_change_nothing(self):
        for operation in ({"op": "zone", "zone": "b", "empty": True, "as_of": "x"},):
            evacuations = {"b": ZoneEvacuation(is_evacuated=False, slot=1, scope="all")}
            tables = Tables(slot=9, zone_evacuations=evacuations)
            command = Command("r", 1, 1, 1, json.dumps([operation]))
            applied = StateMachine().apply(tables, Decision(9, command.key, command))
            (result,) = recorded_results(applied, command).results
            unchanged = replace(applied, slot=9, command_histories={})
            self.assertEqual((False, tables), (result.is_accepted, unchanged))


if __name__ == "__main__":
    unittest.main()
