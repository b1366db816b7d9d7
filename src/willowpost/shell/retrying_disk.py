"""A disk that waits while there is no space left or no free file handle."""

import errno

import gevent

# may pass: files are deleted, connections close
PASSING = {errno.ENOSPC, errno.EDQUOT, errno.EMFILE, errno.ENFILE}
RETRY_SECONDS = 0.25
RETRIES_PER_LOG_LINE = 40


class RetryingDisk:
    """Writes to a disk and retries while space or file handles are missing.

    A call returns only when its records are written and synced; its process sends nothing
    meanwhile. Any other failure is raised, since the state of the disk after it is not known.

    Args:
        disk: The disk to write to.
        logs: Where log lines go.
        wait: Sleeps for so many seconds.
    """

    def __init__(self, disk, logger, wait=gevent.sleep):
        self.disk, self.logger, self.wait = disk, logger, wait

    def append(self, records: list[dict]) -> None:
        """Appends records to the newest segment.

        Raises:
            OSError: A failure that waiting does not mend.
        """
        self._until_done(self.disk.append, records)

    def rotate(self, records: list[dict]) -> None:
        """Begins a new segment with these records in place of the older ones.

        Raises:
            OSError: A failure that waiting does not mend.
        """
        self._until_done(self.disk.rotate, records)

    def _until_done(self, write, records):
        waits = 0
        while True:
            try:
                return write(records)
            except OSError as problem:
                if problem.errno not in PASSING:
                    raise
                if waits % RETRIES_PER_LOG_LINE == 0:
                    self._say(problem)
                waits += 1
                self.wait(RETRY_SECONDS)

    def _say(self, problem):
        self.logger.log(
            "disk",
            "cannot write; this store says nothing until it can",
            level="error",
            problem=str(problem),
        )
