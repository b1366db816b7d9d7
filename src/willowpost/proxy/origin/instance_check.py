"""The instance check.

Whoever stands behind a fresh connection is asked its name before a request leaves on it.
"""

from dataclasses import dataclass

from willowpost.proxy.origin.failure import ExchangeFailure

TOKEN_HEADER = "wp-token"
SECONDS = 1.0
BYTES_MOST = 64 * 1024


@dataclass(frozen=True, slots=True)
class InstanceCheck:
    """Invariant: `token` names one life of one origin, as that life registered it."""

    path: str
    token: str

    def judge(self, answer) -> None:
        """Invariant: passes only the very life that registered, calling itself sound.

        On a connection that stays open.
        """
        if answer.header(TOKEN_HEADER) != self.token:
            raise ExchangeFailure(
                "instance check: another life answers here", sent=False, died=True
            )
        if answer.status >= 300:
            raise ExchangeFailure(
                f"instance check: calls itself unsound, {answer.status}", sent=False
            )
