"""Replays the log in a store's data folder up to a slot. Writes nothing."""

from pathlib import Path

from willowpost.common.errors import WillowpostError
from willowpost.consensus.replica.records import (
    RecordKind,
    bootstrap_voters_of,
    command_from,
    decision_from,
)
from willowpost.shell.disk import segment_names
from willowpost.shell.segment_format import parse_segment
from willowpost.state.apply import StateMachine
from willowpost.state.tables import Tables, tables_from


class SlotNotInLogError(WillowpostError, ValueError):
    """The folder's newest segment does not reach the requested slot, or starts after it."""


class LogReplay:
    """Rebuilds the tables as they were when a given slot was the next one to decide."""

    def run(self, folder: str, slot: int | None = None) -> Tables:
        """Replay the newest segment of a folder.

        Args:
            folder: The store's data folder.
            slot: Stop before this slot; None replays to the end.

        Returns:
            The tables before `slot`, or at the end of the log.

        Raises:
            SlotNotInLogError: The segment does not contain the slot.
        """
        names = segment_names(folder)
        records, _ = parse_segment(Path(folder, names[-1]).read_bytes())
        tables, proposed = Tables(), None
        for record in records:
            if slot is not None and tables.epoch and tables.slot >= slot:
                break
            match record["k"]:
                case RecordKind.FOUND:
                    tables = Tables(epoch=1, voters=bootstrap_voters_of(record))
                case RecordKind.SNAPSHOT:
                    tables = tables_from(record["text"])
                case RecordKind.BALLOT_STATE:
                    proposed = command_from(record["command"]) or proposed
                case RecordKind.DECISION:
                    tables = StateMachine().apply(tables, decision_from(record, proposed))
        if slot is not None and tables.slot != slot:
            raise SlotNotInLogError(
                f"the folder holds slots {tables.slot} and later"
                if tables.slot > slot
                else f"the folder ends at slot {tables.slot}"
            )
        return tables
