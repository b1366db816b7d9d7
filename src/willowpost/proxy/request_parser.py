"""Makes a Request of the head that a client sent."""

import re
from collections.abc import Mapping
from urllib.parse import unquote

from willowpost.common.clock import MILLISECOND
from willowpost.proxy.client.lifetime import RequestLifetime
from willowpost.proxy.client.request_head import ClientRequestHead
from willowpost.proxy.proxy_state import ProxyState
from willowpost.proxy.routing.header_names import HeaderNames
from willowpost.proxy.routing.headers import (
    HOP_ATTEMPTS_ALLOWED,
    HOP_EDGE,
    HOP_MAX_AGE,
    HOP_RETRY,
    HOP_SERVICE,
)
from willowpost.proxy.routing.request import Request

HOST = re.compile(r"[A-Za-z0-9._-]{1,253}(:\d{1,5})?")
INVALID_TARGET_CHARACTER = re.compile(r"[^\x21-\x7e]")
WHOLE_NUMBER = re.compile(r"[0-9]{1,15}")
ABSOLUTE_FORM = "http://"


def host_of(head: ClientRequestHead) -> str:
    """Returns the request's host in lower case, without the port."""
    return head.headers.get("host", "").partition(":")[0].lower()


def path_of(head: ClientRequestHead) -> str:
    """Returns the request's target without its query."""
    return head.target.partition("?")[0]


def service_of(headers: Mapping[str, str]) -> str | None:
    """Returns the service that an edge chose for a request to a shield, or None."""
    service = headers.get(HOP_SERVICE)
    return None if service is None else unquote(service)


def max_age_of(headers: Mapping[str, str]) -> int | None:
    """Returns how old a response may be by an edge's route, in µs, or None if it did not say."""
    milliseconds = headers.get(HOP_MAX_AGE, "")
    return int(milliseconds) * MILLISECOND if WHOLE_NUMBER.fullmatch(milliseconds) else None


def attempts_allowed_of(headers: Mapping[str, str]) -> int | None:
    """Returns how many attempts at origins an edge allows, or None if it did not say."""
    count = headers.get(HOP_ATTEMPTS_ALLOWED, "")
    return int(count) if WHOLE_NUMBER.fullmatch(count) else None


class RequestParser:
    """Makes requests of heads.

    Args:
        node_state: The proxy's shared state.
        header_names: The names of the headers shared with clients and origins.
    """

    def __init__(self, node_state: ProxyState, header_names: HeaderNames) -> None:
        self._node_state, self._header_names = node_state, header_names

    def parse(
        self, head: ClientRequestHead, received_at: int, lifetime: RequestLifetime
    ) -> Request | None:
        """Returns the request, or None if its host or target is malformed.

        Args:
            head: The request's head.
            received_at: When it was complete, by this process's clock, in µs.
            lifetime: Whether the client still waits.
        """
        headers = head.headers
        target = _origin_form(head.target)
        if not HOST.fullmatch(headers.get("host", "")) or not _is_valid_target(target):
            return None
        is_from_edge = self._node_state.descriptor.role == "shield" and HOP_EDGE in headers
        return Request(
            head.method,
            host_of(head),
            target.partition("#")[0],
            headers,
            is_from_edge,
            is_from_edge and HOP_RETRY in headers,
            service_of(headers) if is_from_edge else None,
            max_age_of(headers) if is_from_edge else None,
            attempts_allowed_of(headers) if is_from_edge else None,
            headers.get(self._header_names.request_id),
            self.time_left(headers),
            received_at,
            lifetime,
        )

    def time_left(self, headers: Mapping[str, str]) -> int | None:
        """Returns how long the client waits, in µs, or None if it did not say."""
        milliseconds = headers.get(self._header_names.remaining_time, "")
        is_number = WHOLE_NUMBER.fullmatch(milliseconds) is not None
        return int(milliseconds) * MILLISECOND if is_number else None


def _origin_form(target: str) -> str:
    """Returns the origin form of a target in absolute form (RFC 9112, 3.2)."""
    if not target.startswith(ABSOLUTE_FORM):
        return target
    return "/" + target.removeprefix(ABSOLUTE_FORM).partition("/")[2]


def _is_valid_target(target: str) -> bool:
    is_path = target.startswith("/") and not target.startswith("//")
    return is_path and not INVALID_TARGET_CHARACTER.search(target)
