"""Rendezvous hashing: assigns roles to live daemons by key, without messages."""

from collections.abc import Iterable

from willowpost.common.digest import blake2b


def weight(key: str, name: str) -> bytes:
    """Return the rank of a name under a key: 8 bytes to compare; the greatest ranks first."""
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


class Rendezvous:
    """Rendezvous hashing; the order of two names under a key depends on no other name."""

    def rank(self, key: str, names: Iterable[str]) -> tuple[str, ...]:
        """Return the names in the order of their rank under a key, the highest first."""
        return tuple(sorted(names, key=lambda name: weight(key, name), reverse=True))
