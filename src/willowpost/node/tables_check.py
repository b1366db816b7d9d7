"""Checks, in every daemon, what must hold between any two states of its tables."""

from collections.abc import Callable
from enum import StrEnum

from willowpost.common.plan import Plan
from willowpost.state.lifecycle import STATES_IN_FORCE, OriginState
from willowpost.state.tables import Tables

MAX_REMEMBERED_TOKENS = 4096


class TablesInvariant(StrEnum):
    """What must hold for a daemon's tables, from its start to its end."""

    SLOT_ASCENDS = "the_slot_never_goes_back"
    VERSION_ASCENDS = "the_configuration_never_goes_back"
    DRAINED_STAYS_OUT = "an_origin_that_drains_never_returns"


class TablesCheck:
    """Compares the tables with those before whenever they have changed; counts and logs violations.

    Args:
        tables: Returns the daemon's tables.

    Attributes:
        violations: How often each invariant was violated, by its name.
    """

    def __init__(self, tables: Callable[[], Tables]) -> None:
        self._tables = tables
        self._checked = tables()
        self._drained: dict[str, None] = {}  # tokens of origins that drain or did, oldest first
        self.violations = {name.value: 0 for name in TablesInvariant}

    def step(self, event: object, now: int) -> Plan:
        """Check the tables if they are not those of the step before; `now` is in µs."""
        plan, tables, before = Plan(), self._tables(), self._checked
        if tables is before:
            return plan
        self._checked = tables
        if tables.slot < before.slot:
            self._violated(TablesInvariant.SLOT_ASCENDS, plan, slot=tables.slot, was=before.slot)
        version, was = tables.configuration.version, before.configuration.version
        if version < was:
            self._violated(TablesInvariant.VERSION_ASCENDS, plan, version=version, was=was)
        if tables.origins is not before.origins:
            self._check_origins(tables, plan)
        return plan

    def _check_origins(self, tables: Tables, plan: Plan) -> None:
        for name, origin in tables.origins.items():
            if origin.token is None:
                continue
            if origin.state is OriginState.DRAINING:
                self._drained[origin.token] = None
            elif origin.state in STATES_IN_FORCE and origin.token in self._drained:
                self._violated(TablesInvariant.DRAINED_STAYS_OUT, plan, origin=name)
        while len(self._drained) > MAX_REMEMBERED_TOKENS:
            del self._drained[next(iter(self._drained))]

    def _violated(self, invariant: TablesInvariant, plan: Plan, **fields: object) -> None:
        self.violations[invariant.value] += 1
        plan.log("tables", "invariant violated", invariant=invariant.value, **fields)
