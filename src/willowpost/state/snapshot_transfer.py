"""Transfers snapshots of the tables in pieces.

Equal tables have equal texts at every daemon, so a transfer of slot S that one source began can be
finished by another one that holds a snapshot of S.
"""

from willowpost.common.clock import MILLI, SECOND
from willowpost.state.tables import Tables
from willowpost.wire.messages import SnapshotChunk, SnapshotRequest

PIECE_BYTES = 64 * 1024  # less than a link of 600 KB/s passes between two polls
HELD_AFTER_REQUEST = 3 * SECOND  # a text without a request for so long is dropped
STALLED_AFTER = 500 * MILLI  # without a piece for so long, another source is asked
# and after so long its snapshot of another slot is begun; between the two, a link with a round trip
# above STALLED_AFTER still ends a transfer
ABANDONED_AFTER = 1_500 * MILLI


class SnapshotSource:
    """Holds the text of one snapshot and serves its pieces.

    A text is made at most once for each slot, and not while the held one is still of use. All texts
    are ASCII, so offsets count characters and bytes alike.
    """

    def __init__(self):
        self.slot = -1
        self.text = ""
        self.requested_at = 0

    def piece(
        self, tables: Tables, asker_slot: int, floor: int, request: SnapshotRequest | None, now: int
    ) -> SnapshotChunk:
        """Return the piece that the request names, or the first piece of a snapshot that is of use.

        Args:
            tables: the tables held here now.
            asker_slot: the slot the asker has reached; -1 if it has no tables at all.
            floor: the first slot whose decision is held here; those that follow an older snapshot
                are not.
            request: the asker's position in its transfer, if one is under way.
            now: µs, own clock.
        """
        self.release(now)
        self.requested_at = now
        resumed = request is not None and request.slot == self.slot
        if not resumed and not max(floor, asker_slot + 1) <= self.slot:
            self.slot, self.text = tables.slot, tables.text()
        offset = request.offset if resumed else 0
        text = self.text[offset : offset + PIECE_BYTES]
        return SnapshotChunk(self.slot, offset, len(self.text), text)

    def release(self, now: int) -> None:
        """Drop the text if nobody has asked for a piece for HELD_AFTER_REQUEST."""
        if self.text and now - self.requested_at > HELD_AFTER_REQUEST:
            self.slot, self.text = -1, ""


class SnapshotReceiver:
    """Collects the pieces of one snapshot.

    It holds the first `received` characters of the text of `slot`. Another snapshot takes its place
    only if no piece has come for ABANDONED_AFTER.
    """

    def __init__(self):
        self.clear()

    def clear(self) -> None:
        """Forget the transfer under way."""
        self.slot, self.total, self.received, self.progress_at = -1, 0, 0, 0
        self.pieces: list[str] = []

    def request(self) -> SnapshotRequest | None:
        """Return the position of the transfer; None if none is under way."""
        return SnapshotRequest(self.slot, self.received) if self.pieces else None

    def progressing(self, now: int) -> bool:
        """Whether a piece of a transfer under way came within STALLED_AFTER."""
        return bool(self.pieces) and now - self.progress_at < STALLED_AFTER

    def take(self, piece: SnapshotChunk, now: int) -> str | None:
        """Add a piece, if it is the next one.

        Args:
            piece: of the transfer under way, or the first of another snapshot.
            now: µs, own clock.

        Returns:
            The whole text once it is complete, else None.
        """
        other = (piece.slot, piece.total) != (self.slot, self.total)
        abandoned = not self.pieces or now - self.progress_at >= ABANDONED_AFTER
        if other and (piece.offset or not abandoned):
            return None
        if other:
            self.clear()
            self.slot, self.total = piece.slot, piece.total
        if piece.offset != self.received or not piece.text:
            return None
        self.pieces.append(piece.text)
        self.received += len(piece.text)
        self.progress_at = now
        if self.received < self.total:
            return None
        text = "".join(self.pieces)
        self.clear()
        return text
