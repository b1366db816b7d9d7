"""A store's data folder: one file per segment, written aside, synced, renamed, then appended to."""

import contextlib
import os
import shutil

from willowpost.shell.segment_format import batch_of, parse, segment_lines

PREFIX = "segment-"
SUFFIX = ".wp"
ASIDE = ".aside"
DAMAGED = ".damaged-"


def segments_in(folder: str) -> list[str]:
    """Names of the folder's segments, oldest first."""
    return sorted(
        name for name in os.listdir(folder) if name.startswith(PREFIX) and name.endswith(SUFFIX)
    )


class Disk:
    """Writes segments; what append() and rotate() were given is synced when they return.

    If they raise, nothing of it is in a segment that load() would read. The newest segment holds
    all that older ones did. An older segment is removed only once the newer one's folder entry is
    synced; until then a power loss may remove either entry by itself.

    Syncs block the event loop: the one task that steps the node waits for them in any case, and a
    thread costs more than it saves (docs/design/rabia.md).

    Attributes:
        end: Length of the synced part of the newest segment, in bytes.
    """

    def __init__(self, folder: str):
        self.folder = folder
        self.number = 0
        self.file = None
        self.end = 0  # of what is synced in `file`
        os.makedirs(folder, exist_ok=True)

    def load(self) -> list[dict]:
        """The records of the newest segment; none if the folder has no segment.

        Raises:
            DiskDamaged: The segment cannot be trusted; see segment_format.
            UnknownFormat: It was written by another build.
        """
        names = segments_in(self.folder)
        if names:
            records = self._open_newest(names[-1])
        # A process that was killed may have renamed what is here before it synced the folder.
        _sync_folder(self.folder)
        _sync_folder(os.path.dirname(os.path.abspath(self.folder)))
        self._drop([name for name in os.listdir(self.folder) if name.endswith(ASIDE)])
        self._drop(names[:-1])
        return records if names else []

    def _open_newest(self, name):
        path = os.path.join(self.folder, name)
        with open(path, "rb") as held:
            records, sound = parse(held.read())
        self.number = int(name[len(PREFIX) : -len(SUFFIX)])
        self.file = os.open(path, os.O_RDWR)
        self.end = sound
        self._cut()
        os.fsync(self.file)
        return records

    def append(self, records: list[dict]) -> None:
        """Appends one batch of records to the newest segment and syncs it.

        Raises:
            OSError: It could not be written.
        """
        data = batch_of(records)
        try:
            _write(self.file, data)
            os.fdatasync(self.file)
        except OSError:
            self._cut()
            raise
        self.end += len(data)

    def rotate(self, records: list[dict]) -> None:
        """Replaces all segments by a new one with these records.

        Raises:
            OSError: It could not be written.
        """
        older = [self._name(self.number)] if self.file is not None else []
        file, end = self._written(self._name(self.number + 1), records)
        if self.file is not None:
            os.close(self.file)
        self.file, self.end, self.number = file, end, self.number + 1
        self._drop(older)

    def _written(self, name, records) -> tuple[int, int]:
        """The open file of a new segment that is on disk under its name, and its length."""
        path = os.path.join(self.folder, name)
        file = os.open(path + ASIDE, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o644)
        end = 0
        try:
            for line in segment_lines(records):
                _write(file, line)
                end += len(line)
            os.fsync(file)
            os.rename(path + ASIDE, path)
            _sync_folder(self.folder)
        except OSError:
            os.close(file)
            raise
        return file, end

    def set_aside(self, moment: int) -> str:
        """Renames a damaged folder and returns its new path; only the latest one is kept."""
        parent, name = os.path.split(os.path.abspath(self.folder))
        for former in os.listdir(parent):
            if former.startswith(name + DAMAGED):
                shutil.rmtree(os.path.join(parent, former))
        aside = f"{self.folder}{DAMAGED}{moment}"
        os.rename(self.folder, aside)
        _sync_folder(parent)
        return aside

    def _name(self, number):
        return f"{PREFIX}{number:012d}{SUFFIX}"

    def _cut(self):
        os.ftruncate(self.file, self.end)
        os.lseek(self.file, self.end, os.SEEK_SET)

    def _drop(self, names):
        for name in names:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(os.path.join(self.folder, name))


def _write(file, data):
    left = memoryview(data)
    while left:
        left = left[os.write(file, left) :]


def _sync_folder(path):
    folder = os.open(path, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
