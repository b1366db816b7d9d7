"""Digests that an origin states of its content: RFC 9530 and the older Digest header."""

import base64

DIGEST_HEADERS = ("content-digest", "digest")
ALGORITHMS = ("sha-256", "sha-512")


def digests_of(headers: dict) -> list[tuple[str, str]]:
    """(algorithm, base64) for each digest of a known algorithm."""
    found = []
    for name in DIGEST_HEADERS:
        for part in headers.get(name, "").split(","):
            kind, _, value = part.strip().partition("=")
            if kind.lower() in ALGORITHMS:
                found.append((kind.lower(), value.strip().strip(":")))
    return found


def _running(kind):
    import hashlib  # it loads OpenSSL (4 MB), and few origins name digests

    return hashlib.new(kind.replace("-", ""))


class Digester:
    """Compares content that comes in blocks with the digests stated of it."""

    def __init__(self, said):
        self.said = [(_running(kind), value) for kind, value in said]

    def eat(self, data: bytes) -> None:
        """The next block of the content."""
        for running, _ in self.said:
            running.update(data)

    def right(self) -> bool:
        """Whether what was eaten is what all digests say."""
        return all(
            base64.b64encode(running.digest()).decode() == value for running, value in self.said
        )
