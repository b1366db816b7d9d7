"""The model checker: no invariant breaks in small scopes, and each protection switched off breaks its rule."""

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from willowpost.model.actions import from_json, to_json
from willowpost.model.history import History
from willowpost.model.invariants import (
    AGREEMENT,
    BALLOT_CONTRADICTED,
    DURABILITY,
    SLOT_REGRESSION,
    STALE_READ,
    VERSION_CONFLICT,
    InvariantViolationError,
    record_configuration,
    record_decisions,
)
from willowpost.model.logical_time import BEFORE, NOW, aged
from willowpost.model.process_image import Fingerprints, copy_of
from willowpost.model.protections import PROTECTIONS
from willowpost.model.replay import (
    format_as_test,
    format_trace,
    load_trace,
    replay,
    save_trace,
    shorten,
)
from willowpost.model.scopes import SCOPES
from willowpost.model.search import BreadthFirstSearch, Limits
from willowpost.model.switches import ALL_PROTECTIONS_ON
from willowpost.model.system import System
from willowpost.model.walks import RandomWalks
from willowpost.state.entries import ActiveConfiguration
from willowpost.state.tables import Tables

# protection: (the rule that breaks without it, the length of a shortest trace)
BROKEN_WITHOUT = {
    "quorum": (DURABILITY, 1),
    "votes-to-decide": (AGREEMENT, 5),
    "sync-before-send": (SLOT_REGRESSION, 5),
    "synced-before-accepted": (DURABILITY, 4),
    "ballot-state-kept": (BALLOT_CONTRADICTED, 5),
    "epoch-barrier": (STALE_READ, 11),
    "barrier-over-new-voters": (DURABILITY, 2),
    "barrier-over-former-voters": (STALE_READ, 12),
    "new-identity": (DURABILITY, 7),
    "read-numbers-of-one-life": (STALE_READ, 10),
    "store-read-in-one-epoch": (STALE_READ, 5),
    "reader-read-in-one-epoch": (STALE_READ, 7),
}
# scope: how many actions deep every state of it is searched here; None: to its end
WALKED = {"three-voters", "five-voters", "growth", "replacement"}
DEPTHS = {
    "one-command": 5,
    "two-commands": 4,
    "restarted": 5,
    "split-proposals": 4,
    "wiped": 5,
    "reads": 5,
    "reader": 5,
    "replaced": 5,
    "replaced-late": 3,
    "race": 4,
    "former-life": 10,
    "unheard": None,
    "read-over-change": 4,
    "store-read-over-change": 4,
}


def search(scope, depth=None, switches=ALL_PROTECTIONS_ON):
    return BreadthFirstSearch(System(SCOPES[scope], switches), Limits(depth=depth)).run()


def broken_without(name):
    protection = PROTECTIONS[name]
    with protection.switched_off() as switches:
        return search(protection.scope, switches=switches).counterexample


class Protections(unittest.TestCase):
    def test_each_has_its_counterexample(self):
        self.assertEqual(set(PROTECTIONS), set(BROKEN_WITHOUT))

    def test_a_switched_off_protection_is_back_afterwards(self):
        for protection in PROTECTIONS.values():
            before = [getattr(each.owner, each.method) for each in protection.replacements]
            with protection.switched_off():
                pass
            after = [getattr(each.owner, each.method) for each in protection.replacements]
            self.assertEqual(before, after)


def _protection_test(name, rule, length):
    def test(self):
        found = broken_without(name)
        self.assertIsNotNone(found)
        self.assertEqual((rule, length), (found.rule, len(found.actions)))

    return test


for _name, (_rule, _length) in BROKEN_WITHOUT.items():
    setattr(
        Protections,
        f"test_without_{_name.replace('-', '_')}",
        _protection_test(_name, _rule, _length),
    )


class Scopes(unittest.TestCase):
    def test_each_is_searched(self):
        self.assertEqual(set(SCOPES), set(DEPTHS) | WALKED)

    def test_the_same_states_every_time(self):
        first, second = search("unheard"), search("unheard")
        self.assertTrue(first.complete)
        self.assertEqual(
            (first.progress.states, first.progress.transitions),
            (second.progress.states, second.progress.transitions),
        )


def _scope_test(name, depth):
    def test(self):
        result = search(name, depth)
        found = result.counterexample
        self.assertIsNone(found, found and format_trace(found))
        self.assertEqual(depth is None, result.complete)

    return test


for _name, _depth in DEPTHS.items():
    setattr(Scopes, f"test_{_name.replace('-', '_')}", _scope_test(_name, _depth))


class Walks(unittest.TestCase):
    def test_no_walk_breaks_a_rule(self):
        for name in sorted(WALKED):
            with self.subTest(scope=name):
                scope = replace(SCOPES[name], messages_stay=False)
                found = RandomWalks(System(scope), 60, 1).run(20).counterexample
                self.assertIsNone(found, found and format_trace(found))


class Traces(unittest.TestCase):
    def setUp(self):
        protection = PROTECTIONS["ballot-state-kept"]
        self.scope = protection.scope
        switches = self.enterContext(protection.switched_off())
        self.system = System(SCOPES[self.scope], switches)
        self.found = BreadthFirstSearch(self.system).run().counterexample

    def test_saved_loaded_and_replayed(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "trace.json"
            save_trace(path, self.scope, self.found)
            scope, actions = load_trace(path)
        self.assertEqual((self.scope, self.found.actions), (scope, actions))
        self.assertEqual(self.found, replay(self.system, actions))

    def test_a_file_that_is_no_trace_is_rejected(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "trace.json"
            for text in ("{}", "[]", "no json", '{"scope": "x", "actions": [{"do": "Fly"}]}'):
                path.write_text(text)
                with self.assertRaises(ValueError):
                    load_trace(path)

    def test_the_printed_test_fails_while_the_rule_is_broken(self):
        namespace = {"__name__": "printed"}
        exec(format_as_test(self.scope, self.found), namespace)
        result = unittest.TestResult()
        namespace["Trace"]("test_the_trace_breaks_no_rule").run(result)
        self.assertEqual(1, len(result.failures))

    def test_shortened_leaves_out_what_is_not_needed(self):
        first, *rest = self.found.actions
        longer = replay(self.system, (first, first, *rest))
        self.assertEqual(len(self.found.actions) + 1, len(longer.actions))
        self.assertEqual(len(self.found.actions), len(shorten(self.system, longer).actions))

    def test_actions_as_json(self):
        for action in self.found.actions:
            self.assertEqual(action, from_json(to_json(action)))

    def test_walks_with_one_seed_are_the_same(self):
        first, second = (
            RandomWalks(System(SCOPES[self.scope]), 20, 5).run(3).progress.steps for _ in range(2)
        )
        self.assertEqual(first, second)


class Invariants(unittest.TestCase):
    def test_two_decisions_of_one_slot_break_agreement(self):
        history = record_decisions(History(), [{"k": "decision", "slot": 0, "key": "a"}], "s0")
        with self.assertRaisesRegex(InvariantViolationError, AGREEMENT):
            record_decisions(history, [{"k": "decision", "slot": 0, "key": ""}], "s1")

    def test_two_contents_of_one_version_are_reported(self):
        one = Tables(configuration=ActiveConfiguration(2, {"host": "a"}))
        two = Tables(configuration=ActiveConfiguration(2, {"host": "b"}))
        history = record_configuration(History(), one, "s0")
        self.assertEqual(history, record_configuration(history, one, "s1"))
        with self.assertRaisesRegex(InvariantViolationError, VERSION_CONFLICT):
            record_configuration(history, two, "s1")


class Images(unittest.TestCase):
    def test_a_copy_shares_nothing_that_changes(self):
        system = System(SCOPES["one-command"])
        store = system.components.images[system.initial().processes[0]]
        copied = copy_of(store)
        self.assertEqual(Fingerprints().of(store), Fingerprints().of(copied))
        self.assertIs(copied.node_state, copied.controllers[0].node_state)
        copied.node_state.synced_indexes["s9"] = 7
        self.assertNotIn("s9", store.node_state.synced_indexes)
        self.assertNotEqual(Fingerprints().of(store), Fingerprints().of(copied))

    def test_a_timed_tick_ages_moments_and_nothing_else(self):
        values = {"asked_at": NOW, "slot": 7, "key": "a", "spans": [NOW, 40]}
        self.assertEqual(
            {"asked_at": BEFORE, "slot": 7, "key": "a", "spans": [BEFORE, 40]},
            copy_of(values, aged),
        )


if __name__ == "__main__":
    unittest.main()
