"""Checks the newest segment in a store's data folder. Writes nothing."""

import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from willowpost.common.formats import UnknownFormatError
from willowpost.consensus.replica.records import RecordKind
from willowpost.shell.disk import TEMPORARY_SUFFIX, segment_names
from willowpost.shell.segment_format import DiskDamagedError, parse_segment


@dataclass(frozen=True, slots=True)
class FolderIssue:
    """Something wrong in a folder.

    Attributes:
        location: The file, with the byte or the record where one is known.
        description: What is wrong there.
    """

    location: str
    description: str

    def to_json(self) -> dict[str, str]:
        """The issue as `wpdrill check` prints it."""
        return {"place": self.location, "finding": self.description}


@dataclass(frozen=True, slots=True)
class FolderFacts:
    """What a readable segment says about its store.

    Attributes:
        identity: Of the store; None if the segment does not name it.
        next_slot: The next slot to decide; None without a snapshot or a founding record.
        is_bootstrapped: Whether the store belongs to a cluster.
        segment: File name of the segment.
        record_count: How many records the segment has.
    """

    identity: str | None
    next_slot: int | None
    is_bootstrapped: bool
    segment: str
    record_count: int

    def to_json(self) -> dict[str, Any]:
        """The facts as `wpdrill check` prints them."""
        return {
            "identity": self.identity,
            "slot": self.next_slot,
            "bootstrapped": self.is_bootstrapped,
            "segment": self.segment,
            "records": self.record_count,
        }


@dataclass(frozen=True, slots=True)
class FolderReport:
    """The result of a check.

    Attributes:
        issues: Everything that was found wrong; a store would start from a folder without any.
        facts: None if there is no readable segment.
    """

    issues: tuple[FolderIssue, ...]
    facts: FolderFacts | None


class FolderChecker:
    """Reports every issue of a store's data folder, each with its file and record."""

    def check(self, folder: str) -> FolderReport:
        """Check the folder, which a running store may be using."""
        if not os.path.isdir(folder):
            return FolderReport((FolderIssue(folder, "no such folder"),), None)
        issues = [
            FolderIssue(name, "left from an unfinished write; a store drops it")
            for name in sorted(os.listdir(folder))
            if name.endswith(TEMPORARY_SUFFIX)
        ]
        names = segment_names(folder)
        if not names:
            missing = "no segment: a store would start empty, under a new identity"
            return FolderReport((*issues, FolderIssue(folder, missing)), None)
        segment = names[-1]
        data = Path(folder, segment).read_bytes()
        try:
            records, intact_bytes = parse_segment(data)
        except (DiskDamagedError, UnknownFormatError) as damage:
            return FolderReport((*issues, FolderIssue(segment, str(damage))), None)
        if intact_bytes < len(data):
            torn = f"torn tail of {len(data) - intact_bytes} bytes; a store cuts it"
            issues.append(FolderIssue(f"{segment} byte {intact_bytes}", torn))
        scan = _SegmentScan(segment)
        scan.read(records)
        return FolderReport((*issues, *scan.issues), scan.facts(records))


@dataclass(frozen=True, slots=True)
class _RecordedBallot:
    """What a ballot state record holds of one slot."""

    epoch: int
    slot: int
    states: list[int]
    votes: list[int]

    def contradicts(self, earlier: "_RecordedBallot | None") -> bool:
        """Whether a state or vote that was recorded earlier for this slot is missing or changed."""
        if earlier is None or (earlier.epoch, earlier.slot) != (self.epoch, self.slot):
            return False
        return (
            earlier.states != self.states[: len(earlier.states)]
            or earlier.votes != self.votes[: len(earlier.votes)]
        )


class _SegmentScan:
    """Reads a segment's records in order and collects contradictions between them."""

    def __init__(self, segment: str) -> None:
        self.segment = segment
        self.issues: list[FolderIssue] = []
        self._next_slot: int | None = None
        self._ballot: _RecordedBallot | None = None
        self._is_bootstrapped = False

    def read(self, records: list[dict[str, Any]]) -> None:
        """Check all records of the segment."""
        if not records or records[0]["k"] != RecordKind.IDENTITY:
            self._report(0, "not an identity")
        for number, record in enumerate(records):
            match record["k"]:
                case RecordKind.FOUND:
                    self._next_slot, self._is_bootstrapped = 0, True
                case RecordKind.SNAPSHOT:
                    self._next_slot = json.loads(record["text"])["slot"]
                    self._is_bootstrapped = True
                case RecordKind.DECISION:
                    self._check_decision(number, record["slot"])
                case RecordKind.BALLOT_STATE:
                    self._check_ballot(number, record)

    def facts(self, records: list[dict[str, Any]]) -> FolderFacts:
        """What the records say, after `read`."""
        return FolderFacts(
            identity=records[0].get("identity") if records else None,
            next_slot=self._next_slot,
            is_bootstrapped=self._is_bootstrapped,
            segment=self.segment,
            record_count=len(records),
        )

    def _report(self, record_number: int, description: str) -> None:
        self.issues.append(FolderIssue(f"{self.segment} record {record_number}", description))

    def _check_decision(self, number: int, slot: int) -> None:
        if slot != self._next_slot:
            self._report(number, f"decides slot {slot} where {self._next_slot} is due")
        self._next_slot = slot + 1

    def _check_ballot(self, number: int, record: dict[str, Any]) -> None:
        ballot = _RecordedBallot(record["epoch"], record["slot"], record["states"], record["votes"])
        if ballot.contradicts(self._ballot):
            self._report(number, f"unsays its ballot state in slot {ballot.slot}")
        self._ballot = ballot
