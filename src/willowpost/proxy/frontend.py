"""The clients' side of a proxy: plans a request, carries out the plan and builds the response."""

from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Protocol

from willowpost.common.clock import Clock
from willowpost.common.memory_pool import PooledMemory
from willowpost.node.graceful_shutdown import ShutdownStage
from willowpost.proxy.client.lifetime import UNWATCHED_LIFETIME, RequestLifetime
from willowpost.proxy.client.pacing import LinkPacer
from willowpost.proxy.client.request_head import ClientRequestHead
from willowpost.proxy.client.response import ClientResponse
from willowpost.proxy.client.response_builder import ResponseBuilder
from willowpost.proxy.client.stall_detector import StallDetector
from willowpost.proxy.proxy_state import ProxyState
from willowpost.proxy.request_body import RequestBody
from willowpost.proxy.request_limits import RequestLimits
from willowpost.proxy.request_memory import RequestMemory
from willowpost.proxy.request_parser import RequestParser, path_of
from willowpost.proxy.routing.attempt import RequestRejectedError
from willowpost.proxy.routing.header_names import HeaderNames
from willowpost.proxy.routing.plan_executor import PlanExecutor
from willowpost.proxy.routing.planner import STALE_TABLES_RETRY_SECONDS, RequestPlanner
from willowpost.proxy.routing.request import (
    SAFE_METHODS,
    RejectPlan,
    Request,
    RequestPlan,
)
from willowpost.proxy.routing.request_execution import RequestExecution
from willowpost.proxy.status_page import HEALTH, PATHS, ProxyStatusPage
from willowpost.shell.request_cuts import CutCause, RequestCuts
from willowpost.shell.structured_log import StructuredLogger

MEMORY_RETRY_SECONDS = 0.2
LIMIT_STATUSES = (413, 431)
NOT_ENDING = ShutdownStage.SERVING


class ClientConnection(Protocol):
    """A client's open connection."""

    def end(self) -> None:
        """Starts nothing new; an idle connection is closed at once."""


@dataclass(frozen=True, slots=True)
class FrontendOptions:
    """How a proxy speaks to its clients.

    Attributes:
        header_names: The names of the headers shared with clients and origins.
        serves_status_paths: Whether the health and statistics paths are served on the clients'
            port.
        pacer: Paces large responses by the machine's link.
        cuts: Counts the requests that are read and not answered completely.
        memory: What requests and responses may take.
    """

    header_names: HeaderNames = field(default_factory=HeaderNames)
    serves_status_paths: bool = True
    pacer: LinkPacer = field(default_factory=LinkPacer)
    cuts: RequestCuts = field(default_factory=lambda: RequestCuts("edge", lambda: NOT_ENDING))
    memory: RequestMemory = field(default_factory=RequestMemory)


class Frontend:
    """Answers clients' requests.

    Args:
        node_state: The proxy's shared state.
        clock: This process's clock.
        planner: Chooses what to do with a request.
        executor: Carries out the plan.
        stats: Counters by name.
        logger: Where log lines go.
        options: How the proxy speaks to its clients; None for the defaults.

    Attributes:
        in_flight: Requests that have begun and whose responses have not been written.
        stall_detector: Whether this process has stalled.
        pacer: Paces large responses.
        cuts: The requests that were read and not answered completely.
        memory: What requests and responses may take.
        limits: What clients may send.
        connections: The clients' open connections.
    """

    def __init__(
        self,
        node_state: ProxyState,
        clock: Clock,
        planner: RequestPlanner,
        executor: PlanExecutor,
        stats: Counter[str],
        logger: StructuredLogger,
        options: FrontendOptions | None = None,
    ) -> None:
        options = options or FrontendOptions()
        self.node_state, self.clock = node_state, clock
        self.planner, self.executor = planner, executor
        self.stats, self.logger = stats, logger
        self.now = clock.now
        self.in_flight = 0
        self.stall_detector = StallDetector()
        self.pacer, self.cuts, self.memory = options.pacer, options.cuts, options.memory
        self.connections: set[ClientConnection] = set()
        self._takes_requests = True
        self._serves_status_paths = options.serves_status_paths
        self._execution = RequestExecution(planner, executor, stats)
        self._responses = ResponseBuilder(options.header_names, stats)
        self._parser = RequestParser(node_state, options.header_names)
        self.limits = RequestLimits(node_state, self._parser, self.memory)
        self._status_page = ProxyStatusPage(
            node_state, clock, stats, executor.attempts.resources.outgoing
        )

    def register(self, connection: ClientConnection) -> None:
        """Registers a client's connection; it ends at once if no requests are taken any more."""
        self.connections.add(connection)
        if not self._takes_requests:
            connection.end()

    def unregister(self, connection: ClientConnection) -> None:
        """Forgets a client's connection."""
        self.connections.discard(connection)

    def end_connections(self) -> None:
        """Stops taking new requests on all connections, those included that are accepted later."""
        self._takes_requests = False
        for connection in tuple(self.connections):
            connection.end()

    def is_draining(self) -> bool:
        """Whether this proxy is draining."""
        return self.node_state.is_draining

    def record_aborted_response(self, problem: BaseException) -> None:
        """Counts and logs a response that was cut off after its head had been sent."""
        self.stats["cut"] += 1
        self.cuts.record(CutCause.RESPONSE_ABORTED)
        self.logger.log("proxy", "response aborted", level="warning", problem=repr(problem))

    def record_unstarted(self) -> None:
        """Counts a request that was read on a connection that takes no more."""
        self.cuts.record(CutCause.NOT_STARTED)

    def record_disconnects(self, requests: int) -> None:
        """Counts requests whose client has disconnected before they were answered."""
        self.stats["caller_left"] += requests

    def reject_malformed(self, status: int, reason: str) -> ClientResponse:
        """Returns the response to a request that cannot be parsed or is over a limit."""
        return self._responses.build_rejection(self._limit_rejection(status, reason), False)

    def reject_overload(self, head: ClientRequestHead, reason: str) -> ClientResponse:
        """Returns the response to a request for which there is no memory; it has not run."""
        rejection = RequestRejectedError(503, reason, MEMORY_RETRY_SECONDS)
        try:
            request = self.parse(head, self.now(), UNWATCHED_LIFETIME)
        except RequestRejectedError as malformed:
            return self._responses.build_rejection(malformed, False)
        return self._responses.build_rejection(rejection, not request.is_safe, request)

    def respond(
        self,
        head: ClientRequestHead,
        body: RequestBody,
        received_at: int,
        lifetime: RequestLifetime = UNWATCHED_LIFETIME,
        response_memory: PooledMemory | None = None,
    ) -> ClientResponse:
        """Returns the response to a request; failures become error responses and are not raised.

        Args:
            head: The request's head.
            body: Its complete body.
            received_at: When its head was complete, or its body if it has one, by this process's
                clock, in µs.
            lifetime: Whether the client still waits.
            response_memory: What the responses to it take; None if nobody counts it.

        Raises:
            ClientDisconnected: Nobody waits for the response any more.
        """
        if self._serves_status_paths and path_of(head) in PATHS:
            return self.status_response(path_of(head))
        states_outcome = head.method not in SAFE_METHODS
        request = None
        try:
            request = self.parse(head, received_at, lifetime)
            if response_memory is not None:
                request = replace(request, response_memory=response_memory)
            return self._carry_out(request, head, body)
        except RequestRejectedError as rejection:
            return self._responses.build_rejection(rejection, states_outcome, request)
        # The last handler of a request's task: whatever fails, the client gets a final response.
        except Exception as problem:
            self.logger.log("proxy", "request failed", level="error", problem=repr(problem))
            failure = RequestRejectedError(500, "broke down", 1, "unknown")
            return self._responses.build_rejection(failure, states_outcome, request)

    def parse(
        self, head: ClientRequestHead, received_at: int, lifetime: RequestLifetime
    ) -> Request:
        """Returns the request of a head.

        Raises:
            RequestRejectedError: Its host or target is malformed.
        """
        request = self._parser.parse(head, received_at, lifetime)
        if request is None:
            raise RequestRejectedError(400, "malformed request", 0)
        return request

    def status_response(self, path: str = HEALTH) -> ClientResponse:
        """Returns the response to the health or the statistics path."""
        return self._status_page.respond(path, self.in_flight)

    def _carry_out(
        self, request: Request, head: ClientRequestHead, body: RequestBody
    ) -> ClientResponse:
        self.stats["requests"] += 1

        def check_body(plan: RequestPlan) -> None:
            if not isinstance(plan, RejectPlan) and len(body) > self.limits.body_bytes(head):
                raise self._limit_rejection(413, "body over the limit")

        return self._responses.build(request, self._execution.run(request, body, check_body))

    def _limit_rejection(self, status: int, reason: str) -> RequestRejectedError:
        """Returns the rejection; a configured limit rejects only if it is known to be current."""
        if status in LIMIT_STATUSES and not self.node_state.may_deny(self.clock.now()):
            return RequestRejectedError(
                503, "the limits known here may be old", STALE_TABLES_RETRY_SECONDS
            )
        return RequestRejectedError(status, reason, 0)
