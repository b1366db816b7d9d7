"""Rendezvous hashing: who of the live does what, by key, with no talk."""

from collections.abc import Iterable

from willowpost.common.digest import blake2b


def weight(key: str, name: str) -> bytes:
    """How high a name ranks under a key: 8 bytes that compare."""
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


class Rendezvous:
    """Invariant: the rank of two names under a key does not depend on which others are there."""

    def rank(self, key: str, names: Iterable[str]) -> tuple[str, ...]:
        """The names under a key, first the one whose duty it is."""
        return tuple(sorted(names, key=lambda name: weight(key, name), reverse=True))
