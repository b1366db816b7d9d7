"""What admission control decides about one attempt."""

from enum import Enum


class AdmissionDecision(Enum):
    """Whether an attempt may be sent."""

    ADMITTED = "admitted"
    REJECTED = "rejected"
    NEEDS_TOKEN = "needs_token"  # the rate's owner alone gives tokens: request one

    @classmethod
    def of(cls, is_admitted: bool) -> "AdmissionDecision":
        """Returns the decision on an attempt that needs no admission token."""
        return cls.ADMITTED if is_admitted else cls.REJECTED
