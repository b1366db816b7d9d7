"""The common coin of Rabia (section 4): a pseudo-random bit that needs no messages."""

from willowpost.common.digest import blake2b


class Coin:
    """A common coin that depends only on epoch, slot and phase, so all replicas agree on it."""

    def flip(self, epoch: int, slot: int, phase: int) -> int:
        """Return the coin of one phase: 0 or 1, equal at every replica."""
        return blake2b(f"coin {epoch} {slot} {phase}".encode(), digest_size=1).digest()[0] & 1
