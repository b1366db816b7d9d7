"""The bounded history of commands: which were applied, with what results, and which never will be.

For each daemon the log keeps its newest incarnation, a floor of its counters, and the last results.
Daemons that are long absent are forgotten as a whole; `forgotten_incarnation` then bars commands of
theirs that may still arrive.
"""

from dataclasses import replace

from willowpost.state.entries import CommandHistory, RecordedResults
from willowpost.state.lifecycle import DaemonState
from willowpost.state.results import Result
from willowpost.state.tables import MAX_RECORDED_RESULTS, Tables
from willowpost.wire.messages import Command

MAX_ABSENT_DAEMONS = 256  # daemons that are neither up nor draining and are still remembered


def is_decided(tables: Tables, command: Command) -> bool:
    """Whether the command is in the log, or barred from it for ever."""
    history = tables.command_histories.get(command.daemon)
    if history is None:
        return command.incarnation <= tables.forgotten_incarnation
    if command.incarnation != history.incarnation:
        return command.incarnation < history.incarnation
    return command.counter <= history.floor or command.counter in history.results


def recorded_results(tables: Tables, command: Command) -> RecordedResults | None:
    """Return the slot and results of a command that was applied; None if they are not kept."""
    history = tables.command_histories.get(command.daemon)
    if history is None or history.incarnation != command.incarnation:
        return None
    return history.results.get(command.counter)


def with_results(tables: Tables, command: Command, results: tuple[Result, ...]) -> Tables:
    """Return the tables with the results of a command that was applied in slot `tables.slot`."""
    recorded = RecordedResults(tables.slot, results)
    history = _extended(tables.command_histories.get(command.daemon), command, recorded)
    histories = {**tables.command_histories, command.daemon: history}
    return _bounded(replace(tables, command_histories=histories))


def _extended(
    history: CommandHistory | None, command: Command, recorded: RecordedResults
) -> CommandHistory:
    if history is None or history.incarnation < command.incarnation:
        history = CommandHistory(command.incarnation, floor=0, results={})
    results = {**history.results, command.counter: recorded}
    floor = history.floor
    while len(results) > MAX_RECORDED_RESULTS:
        lowest = min(results)
        floor = max(floor, lowest)
        del results[lowest]
    return CommandHistory(command.incarnation, floor, results)


def _bounded(tables: Tables) -> Tables:
    """Forget the absent daemon whose last command is oldest, if too many daemons are absent.

    A command of it that still arrives must never run again: from now on no unknown daemon runs a
    command of an incarnation as old as that. Incarnations are wall times of starts, so a new daemon
    is above it, or learns the floor from its first response and continues above it.
    """
    histories = tables.command_histories
    if len(histories) <= MAX_ABSENT_DAEMONS:
        return tables
    absent = [name for name in histories if not _is_present(tables, name)]
    if len(absent) <= MAX_ABSENT_DAEMONS:
        return tables
    oldest = min(absent, key=lambda name: (histories[name].last_slot(), name))
    return replace(
        tables,
        command_histories={name: history for name, history in histories.items() if name != oldest},
        forgotten_incarnation=max(tables.forgotten_incarnation, histories[oldest].incarnation),
    )


def _is_present(tables: Tables, name: str) -> bool:
    daemon = tables.daemons.get(name)
    return daemon is not None and daemon.state in (DaemonState.UP, DaemonState.DRAINING)
