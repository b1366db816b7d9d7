"""The common coin: a hash that all replicas can compute, with no message."""

from willowpost.common.digest import blake2b


class Coin:
    """Invariant: depends on nothing but epoch, slot and phase."""

    def flip(self, epoch: int, slot: int, phase: int) -> int:
        return blake2b(f"coin {epoch} {slot} {phase}".encode(), digest_size=1).digest()[0] & 1
