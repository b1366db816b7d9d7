"""A short soak: a fleet of real processes under seeded troubles; and the schedule and its judge."""

import json
import tempfile
import unittest
from collections import Counter
from contextlib import suppress
from dataclasses import replace
from datetime import datetime
from itertools import pairwise
from pathlib import Path

import gevent
from gevent import socket

from tests.support.loopback import free_addresses
from willowpost.common.clock import SECOND, Clock
from willowpost.drill.rules import Findings
from willowpost.drill.soak.callers import KEPT, ONCE, REPEATABLE, CallerTally, Sent
from willowpost.drill.soak.configuration_reads import ConfigurationRead, outdated_reads
from willowpost.drill.soak.configuration_rules import ConfigurationRules
from willowpost.drill.soak.configurations import Change
from willowpost.drill.soak.fleet import layout
from willowpost.drill.soak.in_force_times import (
    IN_FORCE_MESSAGE,
    TIME_FORMAT,
    InForceTimes,
    read_log,
)
from willowpost.drill.soak.judge import OriginShutdown, OutOfTouch, Record, SoakRules
from willowpost.drill.soak.probes import Probe
from willowpost.drill.soak.run import Soak
from willowpost.drill.soak.schedule import Kind, Parts, drawn
from willowpost.shell.addresses import split_address
from willowpost.stand_ins.ledger import Ledger
from willowpost.stand_ins.origin import StandInOrigin

EDGES, SECONDS = 3, 10.0
PARTS = Parts(
    ("core-0/wpstore", "core-1/wpstore", "core-1/wpregistry"),
    ("edge-0/wpproxy", "edge-1/wpproxy"),
    ("a:1", "b:1", "c:1"),
)


class Short(unittest.TestCase):
    """Even seeds hold proxies to the lease, odd ones let them serve on for long."""

    def kept(self, seed):
        with tempfile.TemporaryDirectory(prefix="wpsoak-") as folder:
            soak = Soak(layout(EDGES), Path(folder), seed, SECONDS, lambda text: None)
            findings = soak.run()
        self.assertEqual([], findings.broken)
        self.assertGreater(len(soak.callers.tally.sent), 500)
        outcomes = Counter(held.status for held in soak.callers.tally.sent.values())
        self.assertGreater(outcomes[200], 300)

    def test_served_on_by_old_tables(self):
        self.kept(1)

    def test_held_to_the_lease(self):
        self.kept(2)


class StandIns(unittest.TestCase):
    def test_an_origin_that_crashes_answers_nothing(self):
        """Soak seed 7: a slow request of a crashed origin was answered with 500."""
        (address,) = free_addresses(1)
        origin = StandInOrigin(Ledger(), Clock(), address, "pages", "a", 500.0, 1, [])
        origin.start()
        origin.mode = "slow"
        connection = socket.create_connection(split_address(address), timeout=5)
        self.addCleanup(connection.close)
        connection.sendall(b"GET /again/1 HTTP/1.1\r\nHost: x\r\n\r\n")
        with gevent.Timeout(5):
            while not origin.load:
                gevent.sleep(0)
        origin.crash()
        with suppress(ConnectionResetError):
            self.assertEqual(b"", connection.recv(1000))


class Schedule(unittest.TestCase):
    def test_a_seed_gives_the_same_troubles_and_another_seed_others(self):
        self.assertEqual(drawn(5, PARTS, 20.0), drawn(5, PARTS, 20.0))
        self.assertNotEqual(drawn(5, PARTS, 20.0), drawn(6, PARTS, 20.0))

    def test_every_kind_comes_up_and_several_overlap(self):
        kinds, overlaps = set(), 0
        for seed in range(20):
            troubles = drawn(seed, PARTS, 20.0)
            kinds |= {trouble.kind for trouble in troubles}
            overlaps += sum(
                later.at < former.at + former.span for former, later in pairwise(troubles)
            )
        self.assertEqual(set(Kind), kinds)
        self.assertGreater(overlaps, 200)

    def test_the_core_has_one_trouble_at_a_time(self):
        self.assertEqual(1, max(self.core_troubles_at_a_time(PARTS)))

    def test_a_core_that_bears_two_has_up_to_two_at_a_time(self):
        parts = replace(PARTS, core_tolerance=2)
        self.assertEqual({1, 2}, set(self.core_troubles_at_a_time(parts)))

    def core_troubles_at_a_time(self, parts):
        """How many troubles of the core go on when one begins, itself included."""
        for seed in range(30):
            troubles = [
                trouble
                for trouble in drawn(seed, parts, 30.0)
                if set(trouble.targets) & set(parts.core)
            ]
            for number, trouble in enumerate(troubles, 1):
                yield sum(other.at + other.span > trouble.at for other in troubles[:number])


class ConfigurationJudge(unittest.TestCase):
    """Change n has the routes n and n - 1; accepted at second n, in force two seconds later."""

    def broken(self, route, sent_at, ran_at=None, status=None, excused=False, **more):
        changes = [Change(n, n * SECOND - 100, n * SECOND) for n in range(1, 10)]
        for number, change in more.get("changed", {}).items():
            changes[number - 1] = replace(changes[number - 1], **change)
        probes = {
            "p": Probe("e", route, sent_at, None if status is None else sent_at + 10, status),
            **more.get("before", {}),
        }
        arrivals = {"p": [] if ran_at is None else [("o", ran_at)], **more.get("arrived", {})}
        findings = Findings()
        rules = ConfigurationRules(
            changes, probes, arrivals, more.get("starts", {}), lambda edge, at: excused
        )
        rules.judge(findings)
        return [row.rule for row in findings.broken]

    def test_what_any_change_in_force_allows_is_kept(self):
        for route, sent_at, ran_at, status in (
            (1, 2 * SECOND, 2 * SECOND, 200),
            (2, 5 * SECOND, 5 * SECOND, 200),  # change 3 was in force, or a later one
            (2, 5 * SECOND, None, 404),
            (9, 8 * SECOND, None, 404),
        ):
            self.assertEqual([], self.broken(route, sent_at, ran_at, status))

    def test_a_dropped_route_and_a_route_that_is_there(self):
        rule = "an accepted change is in force in time"
        self.assertEqual([rule], self.broken(1, 6 * SECOND, ran_at=6 * SECOND))
        self.assertEqual([rule], self.broken(9, 12 * SECOND, status=404))
        self.assertEqual([], self.broken(1, 6 * SECOND, ran_at=6 * SECOND, excused=True))
        self.assertEqual([], self.broken(9, 12 * SECOND, status=503))

    def test_a_change_without_an_answer_may_be_in_force_and_one_not_run_is_not(self):
        unknown = {9: {"accepted_at": None}}
        self.assertEqual([], self.broken(7, 12 * SECOND, status=404, changed=unknown))
        self.assertEqual([], self.broken(9, 12 * SECOND, ran_at=12 * SECOND, changed=unknown))
        refused = {9: {"accepted_at": None, "is_possible": False}}
        rule = "an accepted change is in force in time"
        self.assertEqual([rule], self.broken(7, 12 * SECOND, status=404, changed=refused))
        self.assertIn(rule, self.broken(9, 12 * SECOND, ran_at=12 * SECOND, changed=refused))

    def test_an_edge_that_goes_back_unless_it_was_started_anew(self):
        at = 6 * SECOND
        seen = {"before": {"q": Probe("e", 6, at)}, "arrived": {"q": [("o", at)]}}
        later = at + SECOND // 2
        rule = "no edge goes back to an older change"
        self.assertEqual([rule], self.broken(4, later, ran_at=later, **seen))
        self.assertEqual([rule], self.broken(4, later, ran_at=later, excused=True, **seen))
        self.assertEqual([], self.broken(4, at + SECOND // 5, ran_at=later, **seen))
        self.assertEqual([], self.broken(4, later, later, starts={"e": [at + 1000]}, **seen))
        self.assertEqual([], self.broken(5, later, ran_at=later, **seen))


class Reads(unittest.TestCase):
    """Version 3 is acknowledged at 30, and read at another registry from 40 to 50."""

    changes = (Change(1, 20, 30, 3), Change(2, 60, None, None))

    def outdated(self, *reads):
        return outdated_reads([ConfigurationRead(*read) for read in reads], self.changes)

    def test_a_read_older_than_what_was_acknowledged_before_it_was_sent(self):
        self.assertEqual([], self.outdated(("r", 29, 90, 2), ("r", 31, 40, 3), ("r", 31, 35, 4)))
        self.assertEqual([31], [read.sent_at for read in self.outdated(("r", 31, 40, 2))])

    def test_a_read_older_than_one_that_was_answered_before(self):
        reads = (("a", 40, 50, 7), ("b", 49, 55, 3), ("b", 51, 60, 6), ("a", 52, 61, 7))
        self.assertEqual(
            [("b", 51)], [(one.registry, one.sent_at) for one in self.outdated(*reads)]
        )


class InForce(unittest.TestCase):
    """Times from acknowledgements to versions in force, by logs of the same machine."""

    def line(self, seconds, version):
        moment = datetime.fromtimestamp(seconds).strftime(TIME_FORMAT)[:-3]
        return json.dumps({"time": moment, "message": IN_FORCE_MESSAGE, "version": version})

    def times(self, excused=()):
        changes = [
            Change(1, 0, 10 * SECOND, 1),
            Change(2, 0, None, None),
            Change(3, 0, 12 * SECOND, 4),
        ]
        return InForceTimes(changes, 1000 * SECOND, lambda proxy, at: (proxy, at) in excused)

    def test_the_first_line_of_the_version_or_a_later_one_counts(self):
        log = ["start", self.line(1010.25, 1), self.line(1011, 2), self.line(1013.5, 5), ""]
        times = self.times()
        times.add("p", read_log(log))
        self.assertEqual([250_000, 1_500_000], times.spans)
        self.assertEqual("2 times, p50 250 ms p99 1500 ms longest 1500 ms", times.text())

    def test_who_was_in_trouble_is_left_out(self):
        times = self.times(excused={("p", 12 * SECOND)})
        times.add("p", read_log([self.line(1010.25, 1), self.line(1019, 5)]))
        self.assertEqual([250_000], times.spans)

    def test_without_any_there_is_nothing_to_judge(self):
        self.assertEqual(0, self.times().percentile(1.0))


class Judge(unittest.TestCase):
    """Each rule finds what breaks it."""

    def broken(self, sent=None, writes=None, arrivals=None, done=None, excuse=None, **record):
        tally = CallerTally(sent or {})
        ledger = {"writes": writes or {}, "arrivals": arrivals or {}, "done": done or {}}
        findings = Findings()
        SoakRules(tally, ledger, Record(**record), excuse).judge(findings)
        return [row.rule for row in findings.broken]

    def sent(self, kind=REPEATABLE, **more):
        return Sent(kind, "edge", 0, "/again/1", **more)

    def test_nothing_broken(self):
        self.assertEqual([], self.broken({"s1": self.sent(status=200)}, {"s1": 1}))

    def test_twice_and_not_run(self):
        self.assertEqual(["no once-only request runs twice"], self.broken(writes={"s1": 2}))
        lied = {"s1": self.sent(ONCE, status=503)}
        self.assertEqual(["what is told not-run has not run"], self.broken(lied, {"s1": 1}))

    def test_sent_after_its_caller_left(self):
        late = {f"s{number}": [["o", SECOND]] for number in range(4)}
        left = {name: self.sent(left_at=SECOND // 4) for name in late}
        rule = "nothing is sent for a caller that left"
        self.assertEqual([rule], self.broken(left, arrivals=late))
        kept = {name: self.sent(KEPT, left_at=SECOND // 4) for name in late}
        self.assertEqual([], self.broken(kept, arrivals=late))

    def test_sent_to_an_origin_that_left(self):
        leaves = [OriginShutdown("o", SECOND, 9 * SECOND)]
        arrivals = {"s1": [["o", 4 * SECOND]]}
        rule = "nothing reaches an origin that left"
        self.assertEqual([rule], self.broken(arrivals=arrivals, leaves=leaves))
        excused = {"leaves": leaves, "out_of_touch": [OutOfTouch(SECOND, 2 * SECOND)]}
        self.assertEqual([], self.broken(arrivals=arrivals, excuse=3 * SECOND, **excused))
        self.assertEqual([rule], self.broken(arrivals=arrivals, excuse=SECOND, **excused))

    def test_the_trouble_of_one_edge_excuses_no_other(self):
        leaves = [OriginShutdown("o", SECOND, 9 * SECOND)]
        for edge, is_broken in (("edge", False), ("another", True), (None, False)):
            trouble = {"leaves": leaves, "out_of_touch": [OutOfTouch(SECOND, 2 * SECOND, edge)]}
            rows = self.broken(
                {"s1": self.sent(status=200)},
                arrivals={"s1": [["o", 4 * SECOND]]},
                excuse=3 * SECOND,
                **trouble,
            )
            self.assertEqual(is_broken, bool(rows), edge)

    def test_passed_on_and_not_answered(self):
        sent = {"s1": self.sent(ended="closed")}
        arrivals = {"s1": [["o", 1000]]}
        rule = "a request that was passed on is answered"
        self.assertEqual([rule], self.broken(sent, arrivals=arrivals))
        self.assertEqual([], self.broken(sent, arrivals=arrivals, killed={"edge": [(0, 10)]}))

    def test_cut_by_a_planned_end(self):
        """What an origin ends before the last sixth of the grace of 6 s is answered."""
        rule = "a request that was passed on is answered"
        at = 10 * SECOND
        for sent_at, done_at, is_lost in (
            (at + 2 * SECOND, at + 4_990_000, True),
            (at + 2 * SECOND, at + 5_010_000, False),
            (at - 4 * SECOND, at + 5_010_000, False),
            (at + 3_010_000, at + 5_500_000, True),
            (at - 2 * SECOND, at - SECOND, True),
        ):
            with self.subTest(sent_at=sent_at, done_at=done_at):
                sent = {"s1": replace(self.sent(ended="closed"), sent_at=sent_at)}
                rows = self.broken(
                    sent,
                    arrivals={"s1": [["o", sent_at + 1000]]},
                    done={"s1": done_at},
                    terminated={"edge": [at]},
                )
                self.assertEqual([rule] if is_lost else [], rows)


if __name__ == "__main__":
    unittest.main()
