"""Histories of a sequential register are linearizable; each injected violation is found."""

import random
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from unittest.mock import patch

from cleo.application import Application
from cleo.testers.command_tester import CommandTester

from willowpost.common.clock import Clock
from willowpost.configuration.checker import ConfigurationChecker
from willowpost.drill.control_history import ControlHistory
from willowpost.drill.fleet import Fleet
from willowpost.drill.history_command import CheckHistoryCommand
from willowpost.drill.rules import Findings
from willowpost.history.checker import HistoryChecker, register_of
from willowpost.history.codec import HistoryFormatError, read_history, write_history
from willowpost.history.records import (
    CONFIGURATION_KEY,
    UNANSWERED,
    Answer,
    Call,
    Operation,
    Outcome,
    Request,
)
from willowpost.history.search import Linearizability, search

OK, REFUSED = Outcome.OK, Outcome.REFUSED
ZONE = "zone/a"


def verdicts_by_key(calls):
    return {verdict.key: verdict for verdict in HistoryChecker().check(calls)}


class HistoryMaker:
    """A register served one call after the other; the calls' intervals overlap at random."""

    def __init__(self, seed, unknown=0.2):
        self.random = random.Random(seed)
        self.unknown = unknown
        self.version, self.content, self.evacuated = 0, None, False
        self.time = 0
        self.calls = []

    def make(self, count):
        for _ in range(count):
            self.one()
        return self

    def one(self):
        self.time += self.random.randrange(1, 1000)
        step = self.random.choice(
            (self.put, self.conditional, self.numbered, self.read, self.read, self.zone, self.seen)
        )
        step()

    def call(self, request, answer, takes_effect=True):
        """`takes_effect`: it took effect now; the caller may get no answer either way."""
        number = len(self.calls) + 1
        invoked = self.time - self.random.randrange(3000)
        returned = self.time + self.random.randrange(3000)
        if not takes_effect or self.random.random() < self.unknown:
            returned, answer = None, UNANSWERED
        self.calls.append(Call(number, "operator", request, invoked, returned, answer))

    def never(self):
        return self.random.random() < self.unknown / 2

    def put_in_force(self, version, content):
        self.version, self.content = version, content

    def put(self, match=None):
        content = f"c{len(self.calls)}"
        request = Request(Operation.PUT, CONFIGURATION_KEY, match, content)
        if match is not None and match != self.version:
            return self.call(request, Answer(REFUSED, self.version))
        if self.never():
            return self.call(request, UNANSWERED, takes_effect=False)
        self.put_in_force(self.version + 1, content)
        return self.call(request, Answer(OK, self.version))

    def conditional(self):
        self.put(max(0, self.version - self.random.randrange(2)))

    def numbered(self):
        number = max(1, self.version + self.random.randrange(-3, 5))
        content = f"c{len(self.calls)}"
        if number == self.version:
            content = self.content
        request = Request(Operation.REPLACE, CONFIGURATION_KEY, number, content)
        if self.never():
            return self.call(request, UNANSWERED, takes_effect=False)
        if number > self.version:
            self.put_in_force(number, content)
        return self.call(request, Answer(OK, self.version))

    def read(self):
        self.call(
            Request(Operation.READ, CONFIGURATION_KEY), Answer(OK, self.version, self.content)
        )

    def zone(self):
        begin = self.random.random() < 0.5
        operation = Operation.EVACUATION_BEGIN if begin else Operation.EVACUATION_FINISH
        if self.never():
            return self.call(Request(operation, ZONE), UNANSWERED, takes_effect=False)
        self.evacuated = begin
        return self.call(Request(operation, ZONE), Answer(OK))

    def seen(self):
        self.call(Request(Operation.EVACUATION_READ, ZONE), Answer(OK, is_evacuated=self.evacuated))

    def later(self):
        """Let every call that is open now end before the next one is sent."""
        self.time += 10_000

    def certain(self, step):
        """Take a step whose answer comes, apart from all others in time."""
        self.later()
        unknown, self.unknown = self.unknown, 0.0
        step()
        self.unknown = unknown
        self.later()
        return self.calls[-1]


class LinearizableHistories(unittest.TestCase):
    def test_overlapping_histories_of_a_sequential_register_are_explained(self):
        for seed in range(150):
            with self.subTest(seed=seed):
                for verdict in verdicts_by_key(HistoryMaker(seed).make(60).calls).values():
                    self.assertIs(Linearizability.LINEARIZABLE, verdict.result)

    def test_a_long_history_is_judged_within_the_bound(self):
        for verdict in verdicts_by_key(HistoryMaker(7, unknown=0.05).make(1500).calls).values():
            self.assertIs(Linearizability.LINEARIZABLE, verdict.result)

    def test_an_unknown_outcome_may_take_effect_late_or_never(self):
        put = Call(1, "a", Request(Operation.PUT, CONFIGURATION_KEY, None, "x"), 0)
        before = Call(
            2, "b", Request(Operation.READ, CONFIGURATION_KEY), 9_000, 9_001, Answer(OK, 0)
        )
        after = Call(
            3,
            "b",
            Request(Operation.READ, CONFIGURATION_KEY),
            9_999_000,
            9_999_001,
            Answer(OK, 1, "x"),
        )
        for calls in ((put, before), (put, before, after)):
            self.assertIs(
                Linearizability.LINEARIZABLE, verdicts_by_key(calls)[CONFIGURATION_KEY].result
            )

    def test_a_repeat_is_acknowledged_with_its_version(self):
        request = Request(Operation.PUT, CONFIGURATION_KEY, 0, "x")
        first = Call(1, "a", request, 0)
        second = Call(2, "a", request, 10, 20, Answer(OK, 1))
        refused = replace(second, answer=Answer(REFUSED, 1))
        read = Call(3, "b", Request(Operation.READ, CONFIGURATION_KEY), 5, 6, Answer(OK, 1, "x"))
        self.assertIs(
            Linearizability.LINEARIZABLE,
            verdicts_by_key((first, second, read))[CONFIGURATION_KEY].result,
        )
        self.assertIs(
            Linearizability.NOT_LINEARIZABLE,
            verdicts_by_key((first, refused, read))[CONFIGURATION_KEY].result,
        )


class InjectedViolations(unittest.TestCase):
    """Each violation is put between two ordinary stretches of calls."""

    def assert_found(self, inject, key):
        for seed in range(40):
            with self.subTest(seed=seed):
                maker = HistoryMaker(seed).make(25)
                inject(maker)
                maker.later()
                maker.make(10)
                calls = tuple(call for call in maker.calls if call.request.key == key)
                self.assertIs(Linearizability.NOT_LINEARIZABLE, search(register_of(key), calls))

    def test_a_stale_read(self):
        def inject(maker):
            before = maker.version, maker.content
            while (maker.version, maker.content) == before:
                maker.certain(maker.put)
            read = maker.certain(maker.read)
            maker.calls[-1] = replace(read, answer=Answer(OK, *before))

        self.assert_found(inject, CONFIGURATION_KEY)

    def test_a_lost_order_of_a_zone(self):
        def inject(maker):
            # nothing of before may take effect later: its outcomes are known
            maker.calls = [call for call in maker.calls if call.outcome is not Outcome.UNKNOWN]
            wanted = not maker.evacuated
            while maker.evacuated is not wanted:
                maker.certain(maker.zone)
            read = maker.certain(maker.seen)
            maker.calls[-1] = replace(read, answer=Answer(OK, is_evacuated=not wanted))

        self.assert_found(inject, ZONE)

    def test_two_contents_under_one_number(self):
        def inject(maker):
            number = maker.version + 10
            for content in ("one", "two"):
                request = Request(Operation.REPLACE, CONFIGURATION_KEY, number, content)
                maker.certain(lambda request=request: maker.call(request, Answer(OK, number)))
            maker.put_in_force(number, "one")

        self.assert_found(inject, CONFIGURATION_KEY)

    def test_another_content_under_the_number_in_force_reported_as_no_change(self):
        def inject(maker):
            number = maker.version + 10
            for content, changed in (("one", True), ("two", False)):
                request = Request(Operation.REPLACE, CONFIGURATION_KEY, number, content)
                answer = Answer(OK, number, is_changed=changed)
                maker.certain(lambda request=request, answer=answer: maker.call(request, answer))
            maker.put_in_force(number, "one")

        self.assert_found(inject, CONFIGURATION_KEY)

    def test_confirmed_and_lost(self):
        def inject(maker):
            before = maker.version, maker.content
            while (maker.version, maker.content) == before:
                maker.certain(maker.put)
            maker.put_in_force(*before)
            maker.certain(maker.read)

        self.assert_found(inject, CONFIGURATION_KEY)

    def test_two_conditional_orders_that_both_win(self):
        def inject(maker):
            version = maker.version
            maker.later()
            for content in ("one", "two"):
                request = Request(Operation.PUT, CONFIGURATION_KEY, version, content)
                maker.certain(lambda request=request: maker.call(request, Answer(OK, version + 1)))
            maker.put_in_force(version + 1, "one")

        self.assert_found(inject, CONFIGURATION_KEY)

    def test_the_window_has_only_the_calls_that_contradict_each_other(self):
        maker = HistoryMaker(3, unknown=0.0).make(80)
        put = maker.certain(maker.put)
        maker.certain(maker.read)
        maker.calls[-1] = replace(maker.calls[-1], answer=Answer(OK, put.answer.version - 1, "c0"))
        window = verdicts_by_key(maker.calls)[CONFIGURATION_KEY].window
        self.assertIn(maker.calls[-1].number, {call.number for call in window})
        self.assertLessEqual(len(window), 3)


class HistoryFiles(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "history.jsonl"

    def checked(self):
        application = Application()
        application.add(CheckHistoryCommand())
        tester = CommandTester(application.find("check history"))
        return tester.execute(str(self.path)), tester.io.fetch_output()

    def test_a_history_is_read_back_as_written(self):
        calls = tuple(HistoryMaker(1).make(40).calls)
        write_history(self.path, calls)
        self.assertEqual(calls, read_history(self.path))
        code, output = self.checked()
        self.assertEqual(0, code)
        self.assertIn("configuration: explained", output)

    def test_a_violation_is_printed_with_its_window(self):
        read = Request(Operation.READ, CONFIGURATION_KEY)
        write_history(self.path, [Call(1, "reader", read, 0, 5, Answer(OK, 4, "never written"))])
        code, output = self.checked()
        self.assertEqual(1, code)
        self.assertIn("unexplained", output)
        self.assertIn("content=never written", output)

    def test_an_unknown_format_is_refused(self):
        for text in (
            "",
            "{}",
            '{"kind": "control-history", "format": 99}',
            '{"kind": "control-history", "format": 1}\n{"number": 1}',
            '{"kind": "control-history", "format": 1}\n[]',
        ):
            with self.subTest(text=text):
                self.path.write_text(text)
                with self.assertRaises(HistoryFormatError):
                    read_history(self.path)
                self.assertEqual(2, self.checked()[0])


class DrillHistories(unittest.TestCase):
    """The calls of a drill's operator and their answers, with registries that are mocked."""

    def setUp(self):
        self.history = ControlHistory(Clock())
        self.fleet = Fleet.__new__(Fleet)
        self.fleet.history = self.history
        self.fleet.registries = lambda: ["one", "two"]
        self.tree = {
            "services": {"s": {"rate": 5}},
            "settings": {"service": "s", "deadline_ms": 1000},
        }

    def call(self, answers, *arguments, **options):
        with patch("willowpost.drill.fleet.ask", side_effect=answers):
            self.fleet.call(*arguments, **options)

    def put(self, *answers, match=None):
        headers = {"If-Match": f'"{match}"'} if match is not None else None
        self.call(answers, "PUT", "/v1/configuration", self.tree, headers)

    def read(self, version, tree):
        body = {"version": version, "configuration": tree}
        self.call([(200, {}, body)], "GET", "/v1/configuration")

    def is_linearizable(self):
        findings = Findings()
        self.history.judge(findings)
        return not findings.broken

    def test_orders_and_reads_are_recorded_and_explained(self):
        checked_tree = ConfigurationChecker().check_value(self.tree).unwrap()
        self.put(None, (200, {}, {"version": 1}))
        self.put((412, {}, {"version": 1}), match=0)
        self.put((422, {}, {"findings": []}))
        self.read(1, checked_tree)
        self.call([(200, {}, {})], "POST", "/v1/zones/b/empty")
        self.call([(504, {}, {})], "POST", "/v1/zones/b/restore")
        outcomes = [call.outcome for call in self.history.calls()]
        unknown = Outcome.UNKNOWN
        self.assertEqual([unknown, OK, REFUSED, OK, OK, unknown], outcomes)
        self.assertEqual("zone/b", self.history.calls()[-1].request.key)

    def test_a_read_of_something_else_is_caught(self):
        self.put((200, {}, {"version": 1}))
        self.read(1, ConfigurationChecker().check_value(self.tree).unwrap())
        self.assertTrue(self.is_linearizable())
        self.read(1, {"other": True})
        self.assertFalse(self.is_linearizable())


if __name__ == "__main__":
    unittest.main()
