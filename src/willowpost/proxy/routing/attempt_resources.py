"""What attempts share: state, clock, admission, connections, counters and settings."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from willowpost.common.memory_pool import PooledMemory
from willowpost.proxy.admission.quota_admission import QuotaAdmission
from willowpost.proxy.admission.retry_budget import RetryBudget
from willowpost.proxy.admission.slow_start import SlowStartAdmission
from willowpost.proxy.origin.instance_check import InstanceCheck
from willowpost.proxy.origin.request import OriginRequest
from willowpost.proxy.origin.response import OriginResponse, RequestIdEcho
from willowpost.proxy.origin.selection import OriginSelector
from willowpost.proxy.outgoing import OutgoingRequests
from willowpost.proxy.proxy_state import ProxyState
from willowpost.proxy.routing.attempt_times import AttemptTimes
from willowpost.proxy.routing.header_names import DEFAULT_HEADER_NAMES, HeaderNames


class MonotonicClock(Protocol):
    """This process's clock."""

    def now(self) -> int:
        """Returns its time in µs."""


class ForwardExchange(Protocol):
    """One request and its response on a connection; see origin/exchange.py."""

    is_reused: bool

    def check_instance(self, instance_check: InstanceCheck, seconds: float) -> None:
        """Checks which process answers; see `Exchange.check_instance`."""

    def run(
        self,
        request: OriginRequest,
        seconds: float,
        whole_max: int,
        echo: RequestIdEcho | None = None,
        memory: PooledMemory | None = None,
    ) -> OriginResponse:
        """Sends a request and returns the response; see `Exchange.run`."""

    def close(self) -> None:
        """Closes the connection."""


class Waiter(Protocol):
    """A one-time value that request tasks wait for."""

    def set(self, value: Any) -> None:
        """Sets the value and wakes all who wait for it."""

    def wait(self, timeout: float) -> Any:
        """Returns the value, or None if it is not set within `timeout` seconds."""


class RequestIo(Protocol):
    """Input and output of request tasks; see origin/connections.py."""

    waiter: Callable[[], Waiter]

    def request_token(self, service: str, origin: str, /) -> bool:
        """Requests an admission token; False if there is none."""

    def has_capacity(self, owner: str, limit: int | None, /) -> bool:
        """Whether a request to this owner may have a connection, with at most `limit` open."""

    def open(
        self, owner: str, address: str, may_reuse: bool, limit: int | None, seconds: float, /
    ) -> ForwardExchange:
        """Returns a connection to the owner."""

    def release(
        self, owner: str, exchange: Any, may_reuse: bool, response: OriginResponse | None, /
    ) -> None:
        """Ends the use of a connection."""


@dataclass(frozen=True, slots=True)
class AttemptResources:
    """What attempts share.

    Attributes:
        node_state: The proxy's shared state.
        clock: This process's clock.
        quota_admission: Admission by the services' rates.
        slow_start: Admission to origins that warm up.
        retry_budget: The budget of retries.
        origin_selector: Ranks the origins.
        io: Opens connections and requests admission tokens.
        stats: Counters by name.
        header_names: Header names shared with callers and origins.
        regions: Zone to region; empty if regions do not matter.
        outgoing: Follows the requests in flight, and checks their invariants.
        times: How long attempts take.
    """

    node_state: ProxyState
    clock: MonotonicClock
    quota_admission: QuotaAdmission
    slow_start: SlowStartAdmission
    retry_budget: RetryBudget
    origin_selector: OriginSelector
    io: RequestIo
    stats: Counter[str]
    outgoing: OutgoingRequests
    header_names: HeaderNames = DEFAULT_HEADER_NAMES
    regions: Mapping[str, str] = field(default_factory=dict)
    times: AttemptTimes = field(default_factory=AttemptTimes)

    @property
    def own_region(self) -> str | None:
        """This proxy's region, or None if regions do not matter."""
        return self.regions.get(self.node_state.descriptor.zone)
