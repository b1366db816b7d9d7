"""A store's data folder, one file per segment.

A new segment is written under a temporary name, synced and renamed; then it is appended to.
"""

import contextlib
import os
import shutil

from willowpost.common.errors import WillowpostError
from willowpost.shell.segment_format import Record, encode_batch, parse_segment, segment_lines

SEGMENT_PREFIX = "segment-"
SEGMENT_SUFFIX = ".wp"
TEMPORARY_SUFFIX = ".aside"
DAMAGED_MARK = ".damaged-"
FILE_MODE = 0o644


class NoSegmentError(WillowpostError):
    """Records were appended before a first segment was loaded or written."""


def segment_names(folder: str) -> list[str]:
    """Return the names of the folder's segments, oldest first."""
    return sorted(
        name
        for name in os.listdir(folder)
        if name.startswith(SEGMENT_PREFIX) and name.endswith(SEGMENT_SUFFIX)
    )


class Disk:
    """Writes segments; what append() and rotate() were given is synced when they return.

    If append() raises, nothing of it is in a segment that load() would read. If rotate() raises,
    the new segment is in the folder only if nothing but the sync of the folder has failed; it is
    complete then.

    The newest segment contains everything that this store still needs of older ones. An older
    segment is removed only once the newer one's folder entry is synced; until then a power loss may
    remove either entry by itself.

    Syncs block the event loop: the one task that steps the node waits for them in any case, and a
    thread costs more than it saves (docs/design/rabia.md).

    Attributes:
        folder: path of the data folder.
        number: of the newest segment; 0: none.
        synced_bytes: length of the synced part of the newest segment.
    """

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self.number = 0
        self.synced_bytes = 0
        self._file: int | None = None
        os.makedirs(folder, exist_ok=True)

    def load(self) -> list[Record]:
        """Return the records of the newest segment; none if the folder has no segment.

        Raises:
            DiskDamagedError: the segment cannot be trusted; see segment_format.
            UnknownFormatError: it was written by another build.
        """
        names = segment_names(self.folder)
        records = self._open_segment(names[-1]) if names else []
        # A process that was killed may have renamed what is here before it synced the folder.
        _sync_folder(self.folder)
        _sync_folder(os.path.dirname(os.path.abspath(self.folder)))
        self._remove([name for name in os.listdir(self.folder) if name.endswith(TEMPORARY_SUFFIX)])
        self._remove(names[:-1])
        return records

    def _open_segment(self, name: str) -> list[Record]:
        path = os.path.join(self.folder, name)
        with open(path, "rb") as segment:
            records, valid_bytes = parse_segment(segment.read())
        self.number = int(name[len(SEGMENT_PREFIX) : -len(SEGMENT_SUFFIX)])
        self._file = os.open(path, os.O_RDWR)
        self.synced_bytes = valid_bytes
        self._truncate(self._file)
        os.fsync(self._file)
        return records

    def append(self, records: list[Record]) -> None:
        """Append one batch of records to the newest segment and sync it.

        Raises:
            NoSegmentError: there is no segment.
            OSError: it could not be written.
        """
        if self._file is None:
            raise NoSegmentError(f"no segment in {self.folder}")
        data = encode_batch(records)
        try:
            _write(self._file, data)
            os.fdatasync(self._file)
        except OSError:
            self._truncate(self._file)
            raise
        self.synced_bytes += len(data)

    def rotate(self, records: list[Record]) -> None:
        """Replace all segments by a new one with these records.

        Raises:
            OSError: it could not be written.
        """
        previous = [_segment_name(self.number)] if self._file is not None else []
        file, size = self._write_segment(_segment_name(self.number + 1), records)
        if self._file is not None:
            os.close(self._file)
        self._file = file
        self.synced_bytes = size
        self.number += 1
        self._remove(previous)

    def _write_segment(self, name: str, records: list[Record]) -> tuple[int, int]:
        """Write a new segment; returns its open file and its length in bytes."""
        path = os.path.join(self.folder, name)
        file = os.open(path + TEMPORARY_SUFFIX, os.O_RDWR | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        size = 0
        try:
            for line in segment_lines(records):
                _write(file, line)
                size += len(line)
            os.fsync(file)
            os.rename(path + TEMPORARY_SUFFIX, path)
            _sync_folder(self.folder)
        except OSError:
            os.close(file)
            raise
        return file, size

    def quarantine(self, moment: int) -> str:
        """Rename a damaged folder and return its new path; only the latest one stays.

        Args:
            moment: makes the new name unique, such as the time in µs.
        """
        parent, name = os.path.split(os.path.abspath(self.folder))
        for earlier in os.listdir(parent):
            if earlier.startswith(name + DAMAGED_MARK):
                shutil.rmtree(os.path.join(parent, earlier))
        quarantined = f"{self.folder}{DAMAGED_MARK}{moment}"
        os.rename(self.folder, quarantined)
        _sync_folder(parent)
        return quarantined

    def _truncate(self, file: int) -> None:
        """Remove what follows the synced part."""
        os.ftruncate(file, self.synced_bytes)
        os.lseek(file, self.synced_bytes, os.SEEK_SET)

    def _remove(self, names: list[str]) -> None:
        for name in names:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(os.path.join(self.folder, name))


def _segment_name(number: int) -> str:
    return f"{SEGMENT_PREFIX}{number:012d}{SEGMENT_SUFFIX}"


def _write(file: int, data: bytes) -> None:
    rest = memoryview(data)
    while rest:
        rest = rest[os.write(file, rest) :]


def _sync_folder(path: str) -> None:
    folder = os.open(path, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
