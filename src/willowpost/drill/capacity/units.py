"""The cost of single calls of the daemons' own code, on filled tables, as one size grows."""

import gc
import json
import os
import tracemalloc
from dataclasses import dataclass, replace
from pathlib import Path
from time import thread_time_ns

from willowpost.configuration.checker import ConfigurationChecker
from willowpost.drill.capacity.filled import FilledTables, configuration_of, purge_of
from willowpost.drill.capacity.size import Size
from willowpost.node.failure_detector import watchers_of
from willowpost.proxy.cache.entry import CacheEntry
from willowpost.proxy.cache.store import CacheStore
from willowpost.proxy.routing.snapshot_maker import SnapshotMaker
from willowpost.state.apply import StateMachine
from willowpost.state.codec import encode_operation
from willowpost.state.configuration_changes import ConfigurationProposal
from willowpost.state.entries import ActiveConfiguration
from willowpost.state.operations import Operation
from willowpost.state.tables import Tables, tables_from
from willowpost.wire.codec import Codec
from willowpost.wire.messages import Command, Decision, StateUpdate

TARGETS = 24  # of all those for whom a daemon works out the watchers; the rest cost the same


@dataclass(frozen=True, slots=True)
class Unit:
    """Costs of one piece of work at several values of what drives it."""

    name: str
    driver: str
    measure: str  # ms or bytes
    points: tuple  # (driver's value, cost)


def millis(call, *args, times: int = 5) -> float:
    """The least of a few: what the work takes when nobody else is on the processor."""

    def once():
        begun = thread_time_ns()
        call(*args)
        return (thread_time_ns() - begun) / 1e6

    return min(once() for _ in range(times))


def resident() -> int:
    """Resident memory of this process in bytes."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def memory_of(make) -> int:
    """Bytes of what make() gives.

    Counted by the interpreter: what the process holds resident hides small things in freed room.
    """
    gc.collect()
    tracemalloc.start()
    try:
        kept = make()
        gc.collect()
        return tracemalloc.get_traced_memory()[0] if kept is not None else 0
    finally:
        tracemalloc.stop()


def grown_by(make, copies: int) -> float:
    """Bytes by which this process's resident memory grows for each of some copies."""
    gc.collect()
    before, kept = resident(), [make() for _ in range(copies)]
    gc.collect()
    return max(0, resident() - before) / len(kept)


def slot_of(tables: Tables, *operations: Operation) -> Decision:
    """A decision that carries these operations in the next slot of the tables."""
    body = json.dumps([encode_operation(operation) for operation in operations])
    command = Command("core-0/registry", 10**15 + 1, 1, 1, body)
    return Decision(tables.slot, command.key, command)


class UnitCosts:
    """Measures only calls that the daemons themselves make."""

    def by_daemons(self, counts) -> list[Unit]:
        """Work that grows with the number of daemons."""
        tables = {
            count: FilledTables().make(
                Size(
                    count,
                    40,
                    100,
                    zones=max(4, count // 90),
                    registries=max(5, min(22, count // 80)),
                )
            )
            for count in counts
        }
        rows = {
            ("watch sets after one change of a card", "ms"): self._watch,
            ("snapshot made for one slot", "ms"): self._snapshot,
            ("a purge's slot applied", "ms"): lambda filled: millis(
                StateMachine().apply, filled, slot_of(filled, purge_of(1))
            ),
            ("tables written as text", "ms"): lambda filled: millis(filled.text),
            ("tables read from text", "ms"): lambda filled: millis(tables_from, filled.text()),
            ("tables as text", "bytes"): lambda filled: len(filled.text()),
            ("tables in memory", "bytes"): lambda filled: self._copied(filled.text(), memory_of),
            ("tables in resident memory", "bytes"): lambda filled: self._copied(
                filled.text(), lambda make: grown_by(make, 8)
            ),
        }
        return [
            Unit(
                name,
                "daemons",
                measure,
                tuple((count, cost(filled)) for count, filled in tables.items()),
            )
            for (name, measure), cost in rows.items()
        ]

    def by_routes(self, counts) -> list[Unit]:
        """Work that grows with the number of routes."""
        configurations = {count: configuration_of(Size(150, 310, count)) for count in counts}
        trees = {
            count: ConfigurationChecker().check_value(configuration).unwrap()
            for count, configuration in configurations.items()
        }
        tables = FilledTables().make(Size(150, 310, 100))

        def state_update(tree):
            return StateUpdate(
                1, tables.slot, 0, True, (slot_of(tables, ConfigurationProposal(tree=tree)),)
            )

        frames = {
            count: Codec().encode("10.0.0.1:7001", state_update(tree))
            for count, tree in trees.items()
        }
        rows = {
            ("configuration checked by a registry", "ms"): lambda count: millis(
                ConfigurationChecker().check, json.dumps(configurations[count]).encode()
            ),
            ("configuration in one message", "bytes"): lambda count: len(frames[count]),
            ("configuration encoded", "ms"): lambda count: millis(
                Codec().encode, "10.0.0.1:7001", state_update(trees[count])
            ),
            ("configuration decoded", "ms"): lambda count: millis(Codec().decode, frames[count]),
            ("configuration's slot applied", "ms"): lambda count: millis(
                StateMachine().apply,
                tables,
                slot_of(tables, ConfigurationProposal(tree=trees[count])),
            ),
            ("routes made of a configuration", "ms"): lambda count: millis(
                lambda: SnapshotMaker().make(self._with(tables, trees[count]))
            ),
            ("tables written as text, by routes", "ms"): lambda count: millis(
                self._with(tables, trees[count]).text
            ),
            ("routes in memory", "bytes"): lambda count: memory_of(
                lambda: SnapshotMaker().make(self._with(tables, trees[count]))
            ),
        }
        return [
            Unit(name, "routes", measure, tuple((count, cost(count)) for count in counts))
            for (name, measure), cost in rows.items()
        ]

    def by_entries(self, counts) -> list[Unit]:
        """A purge that strikes nothing, at a cache that keeps so many entries."""
        tables = FilledTables().make(Size(150, 40, 100))
        fresh = replace(
            tables,
            slot=tables.slot + 1,
            purges=(
                *tables.purges[1:],
                replace(tables.purges[0], path="/no/such", slot=tables.slot),
            ),
        )
        return [
            Unit(
                "one purge carried out by a cache",
                "entries",
                "ms",
                tuple((count, self._purge(tables, fresh, count)) for count in counts),
            )
        ]

    def by_purges(self, counts) -> list[Unit]:
        """Work that grows with the number of purges kept."""
        caches = {
            count: self._cache(FilledTables().make(Size(150, 40, 100), count), 1)
            for count in counts
        }
        return [
            Unit(
                "one answer checked against the purges",
                "purges",
                "ms",
                tuple(
                    (
                        count,
                        millis(
                            lambda: cache.is_purged_since(cache.purge_floor, "h.example", "/none"),
                            times=20,
                        ),
                    )
                    for count, cache in caches.items()
                ),
            )
        ]

    def _watch(self, tables):
        targets = list(tables.daemons)[:: max(1, len(tables.daemons) // TARGETS)]
        return (
            millis(lambda: [watchers_of(name, tables.daemons) for name in targets], times=2)
            * len(tables.daemons)
            / len(targets)
        )

    def _copied(self, text, weighed):
        return weighed(lambda: tables_from(text))

    def _snapshot(self, tables):
        maker = SnapshotMaker()
        maker.make(tables)
        return millis(maker.make, tables)

    def _with(self, tables, tree):
        return replace(tables, configuration=ActiveConfiguration(version=8, tree=tree))

    def _cache(self, tables, entries):
        cache = CacheStore()
        cache.purge(tables)
        for number in range(entries):
            cache.store(
                CacheEntry("h.example", f"/part/{number}", (), 200, (), b"", 0, 10**9, tables.slot)
            )
        return cache

    def _purge(self, tables, fresh, entries):
        def once():
            cache.slot = tables.slot
            cache.purge(fresh)

        cache = self._cache(tables, entries)
        return millis(once)
