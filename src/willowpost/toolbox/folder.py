"""Reads a store's folder: checks it, and replays its log to any slot. Writes nothing."""

import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from willowpost.common.formats import UnknownFormatError
from willowpost.consensus.replica.records import (
    RecordKind,
    bootstrap_voters_of,
    command_from,
    decision_from,
)
from willowpost.shell.disk import TEMPORARY_SUFFIX, segment_names
from willowpost.shell.segment_format import DiskDamagedError, parse_segment
from willowpost.state.apply import StateMachine
from willowpost.state.tables import Tables, tables_from


@dataclass(frozen=True, slots=True)
class Finding:
    """Something wrong in a folder; `place` is the file and the record or byte."""

    place: str
    finding: str


class FolderChecker:
    """Checks a folder, and reports everything that it finds.

    No finding means a store would start from it.
    """

    def check(self, folder: str) -> tuple[list[Finding], dict[str, Any]]:
        """Return all findings, and facts of the folder by name."""
        findings: list[Finding] = []
        facts: dict[str, Any] = {}
        if not os.path.isdir(folder):
            return [Finding(folder, "no such folder")], facts
        names = segment_names(folder)
        findings += [
            Finding(name, "left from an unfinished write; a store drops it")
            for name in sorted(os.listdir(folder))
            if name.endswith(TEMPORARY_SUFFIX)
        ]
        if not names:
            return [
                *findings,
                Finding(folder, "no segment: a store would start empty, under a new identity"),
            ], facts
        path = os.path.join(folder, names[-1])
        data = Path(path).read_bytes()
        try:
            records, sound = parse_segment(data)
        except (DiskDamagedError, UnknownFormatError) as damage:
            return [*findings, Finding(names[-1], str(damage))], facts
        if sound < len(data):
            findings.append(
                Finding(
                    f"{names[-1]} byte {sound}",
                    f"torn tail of {len(data) - sound} bytes; a store cuts it",
                )
            )
        findings += self._walk(names[-1], records, facts)
        return findings, {**facts, "segment": names[-1], "records": len(records)}

    def _walk(
        self, name: str, records: list[dict[str, Any]], facts: dict[str, Any]
    ) -> list[Finding]:
        findings: list[Finding] = []
        slot: int | None = None
        ballot_state: tuple[Any, ...] | None = None
        bootstrapped = False
        if not records or records[0]["k"] != RecordKind.IDENTITY:
            findings.append(Finding(f"{name} record 0", "not an identity"))
        for number, record in enumerate(records):
            place = f"{name} record {number}"
            match record["k"]:
                case RecordKind.FOUND:
                    slot, bootstrapped = 0, True
                case RecordKind.SNAPSHOT:
                    slot, bootstrapped = json.loads(record["text"])["slot"], True
                case RecordKind.DECISION if record["slot"] != slot:
                    findings.append(
                        Finding(place, f"decides slot {record['slot']} where {slot} is due")
                    )
                    slot = record["slot"] + 1
                case RecordKind.DECISION:
                    slot = record["slot"] + 1
                case RecordKind.BALLOT_STATE:
                    now = (record["epoch"], record["slot"])
                    if (
                        ballot_state
                        and ballot_state[0] == now
                        and (
                            ballot_state[1] != record["states"][: len(ballot_state[1])]
                            or ballot_state[2] != record["votes"][: len(ballot_state[2])]
                        )
                    ):
                        findings.append(
                            Finding(place, f"unsays its ballot state in slot {record['slot']}")
                        )
                    ballot_state = (now, record["states"], record["votes"])
        facts.update(
            identity=records[0].get("identity") if records else None,
            slot=slot,
            bootstrapped=bootstrapped,
        )
        return findings


class LogReplay:
    """Replays the log of a folder: run() returns the tables at a slot."""

    def run(self, folder: str, slot: int | None = None) -> Tables:
        """Return the tables before `slot` is applied; None: after the last decision.

        Raises:
            ValueError: the folder does not have that slot.
        """
        names = segment_names(folder)
        records, _ = parse_segment(Path(folder, names[-1]).read_bytes())
        tables, proposed = Tables(), None
        for record in records:
            if slot is not None and tables.epoch and tables.slot >= slot:
                break
            if record["k"] == RecordKind.FOUND:
                tables = Tables(epoch=1, voters=bootstrap_voters_of(record))
            elif record["k"] == RecordKind.SNAPSHOT:
                tables = tables_from(record["text"])
            elif record["k"] == RecordKind.BALLOT_STATE:
                proposed = command_from(record["command"]) or proposed
            elif record["k"] == RecordKind.DECISION:
                tables = StateMachine().apply(tables, decision_from(record, proposed))
        if slot is not None and tables.slot != slot:
            raise ValueError(
                f"the folder holds slots {tables.slot} and later"
                if tables.slot > slot
                else f"the folder ends at slot {tables.slot}"
            )
        return tables
