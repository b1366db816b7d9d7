"""A token bucket."""

from dataclasses import dataclass

from willowpost.common.clock import SECOND


@dataclass(slots=True)
class TokenBucket:
    """A token bucket: in s seconds at r tokens a second it gives at most burst + r * s of them.

    Attributes:
        tokens: That it has.
        filled_at: When `tokens` was counted, in µs; None before the first call.
    """

    tokens: float = 0.0
    filled_at: int | None = None

    def take(self, rate: float, burst: float, now: int) -> bool:
        """Takes one token, if there is one.

        Args:
            rate: Tokens a second since the last call.
            burst: The most tokens that it can have.
            now: This process's clock, in µs.
        """
        if self.filled_at is not None:
            self.tokens += rate * (now - self.filled_at) / SECOND
        self.tokens, self.filled_at = min(self.tokens, burst), now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
