"""The instance check: which process answers on a fresh connection, before a request is sent."""

from dataclasses import dataclass

from willowpost.proxy.origin.failure import ExchangeFailure

TOKEN_HEADER = "wp-token"
SECONDS = 1.0
BYTES_MOST = 64 * 1024


@dataclass(frozen=True, slots=True)
class InstanceCheck:
    """The expected process of an origin.

    Attributes:
        path: Where to ask.
        token: Names one incarnation of one origin, as that incarnation registered it.
    """

    path: str
    token: str

    def judge(self, answer) -> None:
        """Passes only the very incarnation that registered, if it reports to be sound.

        Raises:
            ExchangeFailure: Another process answers, or it reports to be unsound.
        """
        if answer.header(TOKEN_HEADER) != self.token:
            raise ExchangeFailure(
                "instance check: another life answers here", sent=False, died=True
            )
        if answer.status >= 300:
            raise ExchangeFailure(
                f"instance check: calls itself unsound, {answer.status}", sent=False
            )
