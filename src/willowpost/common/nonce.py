"""Nonces for requests between daemons; no earlier incarnation of the sender has used them."""

from willowpost.common.digest import blake2b

START_BYTES = 7  # leaves room to count upward within the 64 bits of the wire


class NonceSequence:
    """Rising numbers whose start differs for each incarnation and purpose.

    A late answer may sit in the queue of a frozen peer, or in one that waits for the sender's
    address to come up again. If each incarnation counted from 0, it could be taken for the answer
    to a request of the next incarnation.

    Two incarnations, daemons or purposes share a number with a probability of about 2**-30 even
    after 2**25 requests each. The start depends only on the arguments, so simulations stay
    reproducible.
    """

    __slots__ = ("last", "start")

    def __init__(self, daemon: str, incarnation: int, purpose: str):
        name = f"nonce\0{daemon}\0{incarnation}\0{purpose}".encode()
        self.start = int.from_bytes(blake2b(name, digest_size=START_BYTES).digest(), "big")
        self.last = self.start

    def next(self) -> int:
        """Return the next number."""
        self.last += 1
        return self.last

    def has_issued(self, nonce: int) -> bool:
        """Whether next() has returned `nonce`."""
        return self.start < nonce <= self.last
