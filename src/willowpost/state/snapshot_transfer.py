"""Transfers snapshots of the tables in chunks.

Equal tables have equal texts at every daemon, so a transfer of slot S that one source began can be
finished by another one that holds a snapshot of S.
"""

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.state.tables import Tables
from willowpost.wire.messages import SnapshotChunk, SnapshotRequest

CHUNK_BYTES = 64 * 1024  # less than a link of 600 KB/s passes between two polls
RETENTION_US = 3 * SECOND  # a text without a request for so long is dropped
STALLED_AFTER_US = 500 * MILLISECOND  # without a chunk for so long, another source is tried
# and after so long its snapshot of another slot is begun; between the two, a link with a round trip
# above STALLED_AFTER_US still ends a transfer
ABANDONED_AFTER_US = 1_500 * MILLISECOND
NO_SLOT = -1


class SnapshotSource:
    """Holds the text of one snapshot and serves its chunks.

    A text is made at most once for each slot, and not while the one at hand is still of use. All
    texts are ASCII, so offsets count characters and bytes alike.
    """

    def __init__(self) -> None:
        self.slot = NO_SLOT
        self.text = ""
        self.requested_at = 0  # µs, own clock

    def chunk(
        self,
        tables: Tables,
        requester_slot: int,
        floor: int,
        request: SnapshotRequest | None,
        now: int,
    ) -> SnapshotChunk:
        """Return the chunk that the request names, or the first one of a snapshot that is of use.

        Args:
            tables: the tables of this daemon.
            requester_slot: the slot that the requester has reached; NO_SLOT if it has no tables.
            floor: the first slot whose decision is kept here; a snapshot of an older slot is of no
                use.
            request: the requester's offset in its transfer, if one is in progress.
            now: µs, own clock.
        """
        self.release(now)
        self.requested_at = now
        if request is not None and request.slot == self.slot:
            return self._chunk_at(request.offset)
        is_of_use = self.slot >= max(floor, requester_slot + 1)
        if not is_of_use:
            self.slot, self.text = tables.slot, tables.text()
        return self._chunk_at(0)

    def _chunk_at(self, offset: int) -> SnapshotChunk:
        text = self.text[offset : offset + CHUNK_BYTES]
        return SnapshotChunk(self.slot, offset, len(self.text), text)

    def release(self, now: int) -> None:
        """Drop the text if nobody has requested a chunk for RETENTION_US."""
        if self.text and now - self.requested_at > RETENTION_US:
            self.slot, self.text = NO_SLOT, ""


class SnapshotReceiver:
    """Collects the chunks of one snapshot.

    It has the first `received` characters of the text of `slot`. Another snapshot replaces it only
    if no chunk has come for ABANDONED_AFTER_US.
    """

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Forget the transfer in progress."""
        self.slot = NO_SLOT
        self.total = 0
        self.received = 0
        self.progress_at = 0  # µs, own clock
        self.chunks: list[str] = []

    def request(self) -> SnapshotRequest | None:
        """Return the offset of the transfer; None if none is in progress."""
        return SnapshotRequest(self.slot, self.received) if self.chunks else None

    def is_progressing(self, now: int) -> bool:
        """Whether a chunk of a transfer in progress came within STALLED_AFTER_US."""
        return bool(self.chunks) and now - self.progress_at < STALLED_AFTER_US

    def add(self, chunk: SnapshotChunk, now: int) -> str | None:
        """Add a chunk, if it is the next one.

        Args:
            chunk: of the transfer in progress, or the first of another snapshot.
            now: µs, own clock.

        Returns:
            The text once it is complete, else None.
        """
        is_other = (chunk.slot, chunk.total) != (self.slot, self.total)
        if is_other and not self._may_begin(chunk, now):
            return None
        if is_other:
            self.clear()
            self.slot, self.total = chunk.slot, chunk.total
        if chunk.offset != self.received or not chunk.text:
            return None
        self.chunks.append(chunk.text)
        self.received += len(chunk.text)
        self.progress_at = now
        if self.received < self.total:
            return None
        text = "".join(self.chunks)
        self.clear()
        return text

    def _may_begin(self, chunk: SnapshotChunk, now: int) -> bool:
        is_abandoned = not self.chunks or now - self.progress_at >= ABANDONED_AFTER_US
        return chunk.offset == 0 and is_abandoned
