"""How many bytes decisions take, and the runs of a log that fit into a limit."""

from collections.abc import Iterable

from willowpost.wire.messages import Decision

DECISION_OVERHEAD_BYTES = 256  # of a decision besides its command's body, rounded up


def decision_bytes(decision: Decision) -> int:
    """Return about how many bytes the decision takes in memory, on the wire or on disk."""
    body_bytes = len(decision.command.body) if decision.command else 0
    return DECISION_OVERHEAD_BYTES + body_bytes


def longest_prefix(decisions: Iterable[Decision], max_bytes: int) -> tuple[Decision, ...]:
    """Return the longest prefix that fits into `max_bytes`, but at least one decision."""
    prefix: list[Decision] = []
    total_bytes = 0
    for decision in decisions:
        total_bytes += decision_bytes(decision)
        if prefix and total_bytes > max_bytes:
            break
        prefix.append(decision)
    return tuple(prefix)


def longest_suffix(
    decisions: tuple[Decision, ...], max_decisions: int, max_bytes: int
) -> tuple[Decision, ...]:
    """Return the longest suffix of at most `max_decisions` that fits into `max_bytes`."""
    total_bytes = 0
    for count, decision in enumerate(reversed(decisions)):
        total_bytes += decision_bytes(decision)
        if count == max_decisions or total_bytes > max_bytes:
            return decisions[len(decisions) - count :]
    return decisions
