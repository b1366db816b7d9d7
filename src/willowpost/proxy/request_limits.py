"""What a client may send, by the configuration in force and by this process's memory."""

from collections.abc import Mapping

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.configuration.routes import Route
from willowpost.proxy.client.request_head import ClientRequestHead
from willowpost.proxy.proxy_state import ProxyState
from willowpost.proxy.request_memory import RequestMemory
from willowpost.proxy.request_parser import RequestParser, host_of, path_of
from willowpost.proxy.routing.request import ONCE, SAFE_METHODS, Request, kind_of

MAX_READ_BODY_BYTES = 64 * 1024  # of a request that has no use for a body
# Of the time that a request has: the rest is for its transfer and for the origin.
MEMORY_WAIT_PART = 2 / 3


class RequestLimits:
    """The limits of requests, asked for anew at each of them.

    Args:
        node_state: The proxy's shared state.
        parser: Reads how long clients wait.
        memory: What requests and responses may take.
    """

    def __init__(
        self, node_state: ProxyState, parser: RequestParser, memory: RequestMemory
    ) -> None:
        self._node_state, self._parser, self._memory = node_state, parser, memory

    def configured(self) -> Mapping[str, int]:
        """Returns the limits of the configuration in force, by name."""
        limits: Mapping[str, int] = self._node_state.snapshot.limits
        return limits

    def is_repeatable(self, head: ClientRequestHead) -> bool:
        """Whether the request may be sent to an origin more than once."""
        route = self._route(head)
        request = Request(head.method, "", "", head.headers)
        return route is None or kind_of(route, request) != ONCE

    def body_bytes(self, head: ClientRequestHead) -> int:
        """Returns the largest body accepted with this request, in bytes."""
        return min(self._configured_body_bytes(head), self._memory.largest_body_bytes)

    def memory_wait_seconds(self, head: ClientRequestHead) -> float:
        """Returns how long a request's body may wait for memory: a part of the request's time."""
        route = self._route(head)
        spans = [] if route is None else [route.deadline_ms * MILLISECOND]
        client_span = self._parser.time_left(head.headers)
        if client_span is not None:
            spans.append(client_span)
        return min(spans, default=0) * MEMORY_WAIT_PART / SECOND

    def _configured_body_bytes(self, head: ClientRequestHead) -> int:
        route = self._route(head)
        limit = self.configured().get("body_bytes")
        if limit is not None:
            return limit
        if route is None or head.method in SAFE_METHODS:
            return MAX_READ_BODY_BYTES
        return int(route.body_max)

    def _route(self, head: ClientRequestHead) -> Route | None:
        return self._node_state.snapshot.routes.find(host_of(head), path_of(head))
