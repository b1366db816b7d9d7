"""The instance check: which process answers on a new connection, before a request is sent."""

from dataclasses import dataclass

from willowpost.proxy.origin.answer import WholeAnswer
from willowpost.proxy.origin.failure import ExchangeFailure

TOKEN_HEADER = "wp-token"
SECONDS = 1.0
MAX_CHECK_BODY_BYTES = 64 * 1024
FIRST_UNHEALTHY_STATUS = 300


@dataclass(frozen=True, slots=True)
class InstanceCheck:
    """The expected process of an origin.

    Attributes:
        path: The path that is requested.
        token: Names one incarnation of one origin, as that incarnation registered it.
    """

    path: str
    token: str

    def judge(self, response: WholeAnswer) -> None:
        """Accepts only the very incarnation that registered, if it reports to be healthy.

        Raises:
            ExchangeFailure: Another process answers, or it reports to be unhealthy.
        """
        if response.header(TOKEN_HEADER) != self.token:
            raise ExchangeFailure(
                "instance check: another life answers here", sent=False, died=True
            )
        if response.status >= FIRST_UNHEALTHY_STATUS:
            raise ExchangeFailure(
                f"instance check: calls itself unsound, {response.status}", sent=False
            )
