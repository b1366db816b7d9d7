"""Digests that an origin states of its content: RFC 9530 and the older Digest header (RFC 3230)."""

import base64
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

DIGEST_HEADERS = ("content-digest", "digest")
ALGORITHMS = ("sha-256", "sha-512")


class Hash(Protocol):
    """A hash of `hashlib`."""

    def update(self, data: bytes, /) -> None:
        """Adds data."""

    def digest(self) -> bytes:
        """Returns the digest of the data so far."""


@dataclass(frozen=True, slots=True)
class StatedDigest:
    """A digest as the origin states it.

    Attributes:
        algorithm: One of `ALGORITHMS`.
        value: The digest in base64.
    """

    algorithm: str
    value: str


def stated_digests(headers: Mapping[str, str]) -> list[StatedDigest]:
    """Returns the digests of known algorithms that the headers (by lower-case name) state."""
    digests = []
    for name in DIGEST_HEADERS:
        for item in headers.get(name, "").split(","):
            algorithm, _, value = item.strip().partition("=")
            if algorithm.lower() in ALGORITHMS:
                digests.append(StatedDigest(algorithm.lower(), value.strip().strip(":")))
    return digests


def _new_hash(algorithm: str) -> Hash:
    import hashlib  # loads OpenSSL (4 MB), and few origins state digests

    return hashlib.new(algorithm.replace("-", ""))


class DigestVerifier:
    """Compares content that comes in blocks with the digests stated of it.

    Args:
        stated: The digests that the content must match.
    """

    def __init__(self, stated: Iterable[StatedDigest]) -> None:
        self._expected = [(_new_hash(digest.algorithm), digest.value) for digest in stated]

    @property
    def has_digests(self) -> bool:
        """Whether any digest is stated."""
        return bool(self._expected)

    def update(self, data: bytes) -> None:
        """Takes the next block of the content."""
        for running_hash, _ in self._expected:
            running_hash.update(data)

    def matches(self) -> bool:
        """Whether the content so far matches all stated digests."""
        return all(
            base64.b64encode(running_hash.digest()).decode() == value
            for running_hash, value in self._expected
        )
