"""Each invariant of the tables is found violated, on whatever role."""

import unittest
from dataclasses import replace

from willowpost.common.events import Tick
from willowpost.node.tables_check import MAX_REMEMBERED_TOKENS, TablesCheck, TablesInvariant
from willowpost.state.entries import ActiveConfiguration, OriginEntry
from willowpost.state.lifecycle import OriginState
from willowpost.state.tables import Tables


def origin(state, token="t"):
    return OriginEntry("g", "o:1", "a", 10.0, 1.0, 1, state, token)


class Invariants(unittest.TestCase):
    def setUp(self):
        self.tables = Tables(slot=5, configuration=ActiveConfiguration(3))
        self.check = TablesCheck(lambda: self.tables)

    def change(self, **changes):
        self.tables = replace(self.tables, **changes)
        return [entry.fields["invariant"] for entry in self.check.step(Tick(), 0).log_entries]

    def test_tables_that_only_advance_violate_nothing(self):
        self.assertEqual([], self.change(slot=6))
        self.assertEqual([], self.change(slot=9, configuration=ActiveConfiguration(7)))
        for state in (OriginState.WARM, OriginState.DRAINING):
            self.assertEqual([], self.change(origins={"o": origin(state)}))
        self.assertEqual([], self.change(origins={"p": origin(OriginState.WARM, "another")}))
        self.assertEqual(0, sum(self.check.violations.values()))

    def test_a_slot_and_a_configuration_that_go_back(self):
        self.assertEqual([TablesInvariant.SLOT_ASCENDS], self.change(slot=4))
        older = ActiveConfiguration(2)
        self.assertEqual([TablesInvariant.VERSION_ASCENDS], self.change(configuration=older))
        self.assertEqual(1, self.check.violations[TablesInvariant.VERSION_ASCENDS])

    def test_an_origin_that_drained_returns_under_another_name(self):
        self.change(origins={"o": origin(OriginState.DRAINING)})
        self.change(origins={})
        returned = {"p": origin(OriginState.WARMING_UP)}
        self.assertEqual([TablesInvariant.DRAINED_STAYS_OUT], self.change(origins=returned))

    def test_memory_is_bounded(self):
        for number in range(MAX_REMEMBERED_TOKENS + 10):
            self.change(origins={"o": origin(OriginState.DRAINING, f"t{number}")})
        self.assertEqual(MAX_REMEMBERED_TOKENS, len(self.check._drained))


if __name__ == "__main__":
    unittest.main()
