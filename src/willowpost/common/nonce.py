"""Numbers for questions between daemons, which no earlier incarnation of the asker has used."""

from willowpost.common.digest import blake2b

START_BYTES = 7  # leaves room to count upward within the 64 bits of the wire


class NonceSequence:
    """Rising numbers from a start of their own for each incarnation and purpose.

    An answer may outlast its question: in the queue of a frozen peer, or in one that waits for the
    asker's address to come up again. Were the numbers of each incarnation to begin at 0, such an
    answer would be taken for the answer to a question of the next incarnation.

    Invariant: two incarnations, daemons or purposes share a number with a chance of about
    2**-30 even after 2**25 questions each. The start depends on nothing but its arguments, so a
    simulated day stays reproducible.
    """

    __slots__ = ("last", "start")

    def __init__(self, daemon: str, incarnation: int, purpose: str):
        name = f"nonce\0{daemon}\0{incarnation}\0{purpose}".encode()
        self.start = int.from_bytes(blake2b(name, digest_size=START_BYTES).digest(), "big")
        self.last = self.start

    def next(self) -> int:
        """The next number."""
        self.last += 1
        return self.last

    def issued(self, nonce: int) -> bool:
        """Whether `nonce` is one that next() has given."""
        return self.start < nonce <= self.last
