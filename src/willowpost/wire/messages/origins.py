"""Messages about origins."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OriginHeartbeat:
    """An origin's heartbeat, forwarded by a registry.

    Attributes:
        origin: its name in the tables.
        load: requests in flight and queued at it.
        warm_up_us: µs for which it is still warming up; 0 if it is warm or does not report it;
            `reports_warm_up` of its entry in the tables distinguishes these.
        slots: how many requests it serves at once; 0: not reported.
        heartbeat_number: rises with each heartbeat of one incarnation; 0 if it has none.
    """

    origin: str = ""
    load: int = 0
    warm_up_us: int = 0
    slots: int = 0
    heartbeat_number: int = 0
