"""How many bytes decisions take, and the parts of a log that fit into so many."""

from collections.abc import Iterable

from willowpost.wire.messages import Decision

DECISION_OVERHEAD = 256  # bytes of a decision beside its command's body, rounded up


def size_of(decision: Decision) -> int:
    """Bytes that the decision takes in memory, on the wire or on disk, roughly."""
    return DECISION_OVERHEAD + (len(decision.command.body) if decision.command else 0)


def leading(decisions: Iterable[Decision], most_bytes: int) -> tuple[Decision, ...]:
    """Return the longest prefix that fits into `most_bytes`, but at least one decision."""
    held: list[Decision] = []
    total = 0
    for decision in decisions:
        total += size_of(decision)
        if held and total > most_bytes:
            break
        held.append(decision)
    return tuple(held)


def trailing(decisions: tuple[Decision, ...], most: int, most_bytes: int) -> tuple[Decision, ...]:
    """Return the longest suffix of at most `most` decisions that fits into `most_bytes`."""
    total = 0
    for count, decision in enumerate(reversed(decisions)):
        total += size_of(decision)
        if count == most or total > most_bytes:
            return decisions[len(decisions) - count :]
    return decisions
