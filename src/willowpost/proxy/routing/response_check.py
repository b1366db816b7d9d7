"""Whether a response comes from the origin that a request was meant for, and means that it ran."""

from willowpost.proxy.origin.errors import ExchangeError, FailureReason
from willowpost.proxy.origin.response import OriginResponse
from willowpost.proxy.routing.attempt import MISDIRECTED_STATUS
from willowpost.proxy.routing.header_names import HeaderNames
from willowpost.proxy.routing.snapshot import RoutableService

TOO_MANY_REQUESTS_STATUS = 429


class ResponseCheck:
    """Checks responses by their status and headers.

    Args:
        header_names: Header names shared with origins.
    """

    def __init__(self, header_names: HeaderNames) -> None:
        self.header_names = header_names

    def check(self, response: OriginResponse, service: RoutableService) -> None:
        """Accepts a response of the right origin to a request that it may have run.

        Raises:
            ExchangeError: It comes from another process, is not sealed, or states that nothing ran.
        """
        if response.status == MISDIRECTED_STATUS:
            raise ExchangeError(
                "another life answers here",
                was_sent=True,
                may_have_executed=False,
                reason=FailureReason.INCARNATION,
            )
        if response.header(self.header_names.not_run) is not None:
            raise ExchangeError(
                f"not run: {response.status}",
                was_sent=True,
                may_have_executed=False,
                reason=FailureReason.SERVICE
                if response.status == TOO_MANY_REQUESTS_STATUS
                else FailureReason.BUSY,
            )
        if self._lacks_seal(response, service):
            raise ExchangeError("a success without a seal", was_sent=True)

    def is_from_other_process(self, response: OriginResponse, service: RoutableService) -> bool:
        """Whether another incarnation answered, or something that is no origin at all."""
        return response.status == MISDIRECTED_STATUS or self._lacks_seal(response, service)

    def _lacks_seal(self, response: OriginResponse, service: RoutableService) -> bool:
        return (
            service.requires_seal
            and 200 <= response.status < 300
            and response.header(self.header_names.seal) is None
        )
