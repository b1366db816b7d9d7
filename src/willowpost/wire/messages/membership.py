"""Messages of the failure detector."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ping:
    """A failure detector's health check.

    Attributes:
        nonce: repeated in the `Pong`.
        identity: the sender's id@incarnation.
    """

    nonce: int = 0
    identity: str = ""


@dataclass(frozen=True, slots=True)
class Pong:
    """The response to `Ping`.

    Attributes:
        nonce: of the ping.
        identity: the responding daemon's id@incarnation.
    """

    nonce: int = 0
    identity: str = ""
