"""The instance check: which process answers on a new connection, before a request is sent."""

from dataclasses import dataclass

from willowpost.proxy.origin.errors import ExchangeError
from willowpost.proxy.origin.response import OriginResponse
from willowpost.shell.health_check import TOKEN_HEADER

TIMEOUT_SECONDS = 1.0
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

    def verify(self, response: OriginResponse) -> None:
        """Accepts only the very incarnation that registered, if it reports to be healthy.

        Raises:
            ExchangeError: Another process answers, or it reports to be unhealthy.
        """
        if response.header(TOKEN_HEADER) != self.token:
            raise ExchangeError(
                "instance check: another life answers here", was_sent=False, is_process_gone=True
            )
        if response.status >= FIRST_UNHEALTHY_STATUS:
            raise ExchangeError(
                f"instance check: calls itself unsound, {response.status}", was_sent=False
            )
