"""A disk that waits while there is no space left or no free file handle."""

import errno
from collections.abc import Callable
from typing import Protocol

import gevent

from willowpost.common.clock import Clock
from willowpost.common.duration_histogram import DurationHistogram
from willowpost.shell.segment_format import Record
from willowpost.shell.structured_log import StructuredLogger

# May pass by itself: files are deleted, connections close.
RETRYABLE_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EMFILE, errno.ENFILE})
RETRY_INTERVAL_SECONDS = 0.25
RETRIES_PER_LOG_LINE = 40
WRITE_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)


class RecordWriter(Protocol):
    """Where a plan's records are written, such as a `Disk`."""

    def append(self, records: list[Record]) -> None:
        """Append one batch of records and sync it."""

    def rotate(self, records: list[Record]) -> None:
        """Replace all segments by a new one with these records."""


class RetryingDisk:
    """Writes to a disk and retries while space or file handles are missing.

    A call returns only when its records are written and synced; its process sends nothing
    meanwhile. Any other failure is raised, since the state of the disk after it is not known.

    Args:
        disk: where to write.
        logger: where log lines go.
        wait: sleeps for so many seconds.

    Attributes:
        write_durations: how long writes took until they were synced, retries included.
    """

    def __init__(
        self,
        disk: RecordWriter,
        logger: StructuredLogger,
        wait: Callable[[float], object] = gevent.sleep,
    ) -> None:
        self.disk, self.logger, self.wait = disk, logger, wait
        self.write_durations = DurationHistogram(WRITE_BOUNDS_MS)
        self._clock = Clock()

    def append(self, records: list[Record]) -> None:
        """Append records to the newest segment.

        Raises:
            OSError: a failure that waiting does not repair.
        """
        self._retry(self.disk.append, records)

    def rotate(self, records: list[Record]) -> None:
        """Replace all segments by a new one with these records.

        Raises:
            OSError: a failure that waiting does not repair.
        """
        self._retry(self.disk.rotate, records)

    def _retry(self, write: Callable[[list[Record]], None], records: list[Record]) -> None:
        retries, started_at = 0, self._clock.now()
        while True:
            try:
                write(records)
                self.write_durations.add(self._clock.now() - started_at)
                return
            except OSError as problem:
                if problem.errno not in RETRYABLE_ERRNOS:
                    raise
                if retries % RETRIES_PER_LOG_LINE == 0:
                    self._log_failure(problem, retries)
                retries += 1
                self.wait(RETRY_INTERVAL_SECONDS)

    def _log_failure(self, problem: OSError, retries: int) -> None:
        self.logger.log(
            "disk",
            "cannot write, retrying; this store sends nothing until it can",
            level="error",
            problem=str(problem),
            retries=retries,
        )
