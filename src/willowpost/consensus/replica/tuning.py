"""The intervals and log limits of a replica, which settings may change while it runs."""

from dataclasses import dataclass

from willowpost.common.clock import MILLI

MIB = 1024 * 1024  # bytes


@dataclass(frozen=True, slots=True)
class ReplicaTuning:
    """Intervals in µs, and limits of the log in decisions and bytes.

    Attributes:
        resend_interval_us: after which the current ballot state is sent again.
        proposal_delay_us: how long a command waits for proposals of others before it is proposed
            (Rabia, section 4: freeze time).
        synced_index_interval_us: between two reports of the own synced index.
        catchup_interval_us: between two requests for missing decisions.
        quorum_read_interval_us: between two quorum reads.
        hello_interval_us: between two greetings while the fleet is not bootstrapped.
        max_retained_decisions: kept for replicas that are behind, beyond what must be kept.
        max_retained_bytes: of these decisions.
        max_segment_decisions: decisions between two snapshots.
        max_segment_bytes: bytes appended between two snapshots.
    """

    resend_interval_us: int = 60 * MILLI
    proposal_delay_us: int = 0
    synced_index_interval_us: int = 100 * MILLI
    catchup_interval_us: int = 40 * MILLI
    quorum_read_interval_us: int = 150 * MILLI
    hello_interval_us: int = 200 * MILLI
    max_retained_decisions: int = 512
    max_retained_bytes: int = 8 * MIB
    max_segment_decisions: int = 2048
    max_segment_bytes: int = 16 * MIB
