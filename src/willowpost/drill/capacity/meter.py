"""Measures what the daemons of each role spend."""

from collections import Counter
from dataclasses import dataclass, field
from time import thread_time_ns


class Yardstick:
    """The same small work repeated among the rest, to measure how fast the processor is now.

    Other processes use the processor too.
    """

    def __init__(self):
        self.took: list[int] = []
        self.entries = {
            f"daemon-{number}": {
                "address": f"10.0.{number % 7}.{number}:7003",
                "zone": f"zone-{number % 30}",
                "state": "up",
            }
            for number in range(2000)
        }

    def look(self) -> None:
        """Do the work once and note how long it took."""
        self.took.append(self._once())

    def micros(self) -> float:
        """The average duration since the last call of clear(), in µs."""
        return sum(self.took) / max(1, len(self.took)) / 1000

    def clear(self) -> None:
        """Forget what was noted."""
        self.took = []

    def _once(self):
        """Does the work once, in more memory than the caches hold; returns its duration in ns."""
        begun = thread_time_ns()
        entries = {
            name: {**entry, "since": number}
            for number, (name, entry) in enumerate(self.entries.items())
        }
        sorted((entry["address"], name) for name, entry in entries.items())
        return thread_time_ns() - begun


YARDSTICK = Yardstick()


@dataclass(slots=True)
class Spent:
    """What one daemon spent since the counts were cleared; times in ns, sizes in bytes."""

    steps: int = 0
    nanos: int = 0  # steps, encoding and decoding
    longest: int = 0  # of one step
    sent: int = 0
    received: int = 0
    messages_in: int = 0
    messages_out: int = 0
    kinds: Counter = field(default_factory=Counter)  # bytes by kind of message, both routes

    def stepped(self, nanos: int) -> None:
        """Count one step."""
        self.steps += 1
        self.nanos += nanos
        self.longest = max(self.longest, nanos)

    def told(self, kind: str, size: int) -> None:
        """Count one message sent."""
        self.sent, self.messages_out = self.sent + size, self.messages_out + 1
        self.kinds[f"out {kind}"] += size

    def heard(self, kind: str, size: int) -> None:
        """Count one message received."""
        self.received, self.messages_in = self.received + size, self.messages_in + 1
        self.kinds[f"in {kind}"] += size


@dataclass(frozen=True, slots=True)
class Figures:
    """What one daemon spends in a second of virtual time, averaged over its role.

    Attributes:
        daemons: How many daemons of the role were stepped.
        steps: Steps.
        micros: Processor time of steps, encoding and decoding, in µs.
        longest_ms: The longest step, in ms.
        bytes_out: Bytes sent.
        bytes_in: Bytes received.
        messages_out: Messages sent.
        messages_in: Messages received.
        kinds: Bytes by direction and type of message.
        yard: What the yardstick took meanwhile, in µs; compare processor times as multiples of it.
    """

    daemons: int
    steps: float
    micros: float
    longest_ms: float
    bytes_out: float
    bytes_in: float
    messages_out: float
    messages_in: float
    kinds: dict
    yard: float = 0.0


class Meter:
    """Counts the work of daemons alone, not that of simulated peers or of the harness."""

    def __init__(self, roles: dict[str, str]):
        self.roles = roles  # address -> role
        self.spent = {address: Spent() for address in roles}

    def timed(self, call, *args):
        """The result of a call, and how long it took in ns of this thread's processor time."""
        begun = thread_time_ns()
        value = call(*args)
        return value, thread_time_ns() - begun

    def clear(self) -> None:
        """Set all counts to zero."""
        YARDSTICK.clear()
        self.spent = {address: Spent() for address in self.roles}

    def figures(self, span: float) -> dict[str, Figures]:
        """Spending by role, a second of the `span` seconds that were counted."""
        return {
            role: self._of(
                [
                    self.spent[address]
                    for address, daemon_role in self.roles.items()
                    if daemon_role == role
                ],
                span,
            )
            for role in dict.fromkeys(self.roles.values())
        }

    def _of(self, spent, span):
        def per(value):
            return sum(value(each) for each in spent) / len(spent) / span

        kinds = sum((each.kinds for each in spent), Counter())
        return Figures(
            len(spent),
            per(lambda each: each.steps),
            per(lambda each: each.nanos) / 1000,
            max(each.longest for each in spent) / 1e6,
            per(lambda each: each.sent),
            per(lambda each: each.received),
            per(lambda each: each.messages_out),
            per(lambda each: each.messages_in),
            {kind: size / len(spent) / span for kind, size in kinds.most_common()},
            YARDSTICK.micros(),
        )
