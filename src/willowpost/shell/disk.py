"""The store's one folder: one file per segment, written aside, synced, renamed.

Then appended to and synced.
"""

import errno
import json
import os
import zlib

import gevent

# may pass: files are deleted, connections close
WAITS = {errno.ENOSPC, errno.EDQUOT, errno.EMFILE, errno.ENFILE}
AGAIN_SECONDS = 0.25
PREFIX = "segment-"


class DiskDamaged(Exception):
    """Records after a bad one: more than a torn tail.

    The disk cannot be trusted; its identity is lost.
    """


def line_of(record: dict) -> bytes:
    body = json.dumps(record, separators=(",", ":")).encode()
    return b"%08x %s\n" % (zlib.crc32(body), body)


def parse(data: bytes):
    """(records, length of the sound part); raises DiskDamaged when sound records follow a bad one."""
    records, sound, start = [], 0, 0
    while start < len(data):
        end = data.find(b"\n", start)
        record = _record(data[start:end]) if end >= 0 else None
        if record is None:
            break
        records.append(record)
        start = sound = end + 1
    rest = data[sound:].split(b"\n")[1:]
    if any(_record(line) is not None for line in rest if line):
        raise DiskDamaged(f"a bad record at byte {sound}, sound ones behind it")
    return records, sound


def _record(line: bytes):
    if len(line) < 10 or line[8:9] != b" ":
        return None
    try:
        return json.loads(line[9:]) if int(line[:8], 16) == zlib.crc32(line[9:]) else None
    except ValueError:
        return None


class PatientDisk:
    """Invariants: returns only when it is written and synced.

    Whoever waits here says nothing meanwhile. Waits for room on the disk and for free handles; any
    other failure is raised, since what a disk does after it is not known.
    """

    def __init__(self, disk, logs, wait=gevent.sleep):
        self.disk, self.logs, self.wait = disk, logs, wait

    def append(self, records: list[dict]) -> None:
        self._until_done(self.disk.append, records)

    def rotate(self, records: list[dict]) -> None:
        self._until_done(self.disk.rotate, records)

    def _until_done(self, write, records):
        waits = 0
        while True:
            try:
                return write(records)
            except OSError as problem:
                if problem.errno not in WAITS:
                    raise
                if waits % 40 == 0:
                    self.logs.say(
                        "disk",
                        "cannot write; this store says nothing until it can",
                        level="error",
                        problem=str(problem),
                    )
                waits += 1
                self.wait(AGAIN_SECONDS)


class Disk:
    """Invariants: what append() and turn() were given is synced when they return.

    And if they raise nothing of it is behind `end` or in a segment that load() would take; the
    newest whole segment holds all that the older ones did.

    Syncs are made in the loop: the one task that steps the node waits for them in any case, and a
    thread costs more than it spares (docs/design/rabia.md).
    """

    def __init__(self, folder: str):
        self.folder = folder
        self.number = 0
        self.file = None
        self.end = 0  # of what is synced in `file`
        os.makedirs(folder, exist_ok=True)

    def load(self) -> list[dict]:
        names = sorted(
            name
            for name in os.listdir(self.folder)
            if name.startswith(PREFIX) and name.endswith(".wp")
        )
        for stale in (name for name in os.listdir(self.folder) if name.endswith(".aside")):
            os.unlink(os.path.join(self.folder, stale))
        if not names:
            return []
        path = os.path.join(self.folder, names[-1])
        with open(path, "rb") as held:
            records, sound = parse(held.read())
        self.number = int(names[-1][len(PREFIX) : -3])
        self.file = os.open(path, os.O_RDWR)
        self.end = sound
        self._cut()
        os.fsync(self.file)
        self._drop(names[:-1])
        return records

    def append(self, records: list[dict]) -> None:
        data = b"".join(map(line_of, records))
        try:
            self._write(self.file, data)
            os.fdatasync(self.file)
        except OSError:
            self._cut()
            raise
        self.end += len(data)

    def rotate(self, records: list[dict]) -> None:
        older = [f"{PREFIX}{self.number:012d}.wp"] if self.file is not None else []
        path = os.path.join(self.folder, f"{PREFIX}{self.number + 1:012d}.wp")
        data = b"".join(map(line_of, records))
        folder = file = None
        try:
            folder = os.open(self.folder, os.O_RDONLY)
            file = os.open(path + ".aside", os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o644)
            self._write(file, data)
            os.fsync(file)
            os.rename(path + ".aside", path)
            os.fsync(folder)
        except OSError:
            if file is not None:
                os.close(file)
            raise
        finally:
            if folder is not None:
                os.close(folder)
        if self.file is not None:
            os.close(self.file)
        self.file, self.end, self.number = file, len(data), self.number + 1
        self._drop(older)

    def _write(self, file, data):
        left = memoryview(data)
        while left:
            left = left[os.write(file, left) :]

    def _cut(self):
        os.ftruncate(self.file, self.end)
        os.lseek(self.file, self.end, os.SEEK_SET)

    def _drop(self, names):
        for name in names:
            path = os.path.join(self.folder, name)
            if os.path.exists(path):
                os.unlink(path)
