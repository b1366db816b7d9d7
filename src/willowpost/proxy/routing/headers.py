"""Which headers are forwarded from one side of the proxy to the other (RFC 9110, 7.6)."""

from collections.abc import Iterable
from dataclasses import dataclass
from urllib.parse import quote

from willowpost.common.clock import MILLISECOND
from willowpost.proxy.cache.entry import CacheEntry
from willowpost.proxy.routing.header_names import HeaderNames
from willowpost.proxy.routing.request import Request

# Of one connection only (RFC 9110, 7.6.1; RFC 9112, 9.6), or written anew by each hop.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
RESERVED_PREFIX = "wp-"
# Between an edge and a shield:
HOP_EDGE = "wp-hop"  # the id of the edge that sends the request
HOP_SLOT = "wp-slot"  # the least log slot known to any daemon that the fetch passed
HOP_AGE = "wp-age"  # a response's age in ms: Age in full seconds would lose up to one
HOP_REJECT = "wp-reject"  # the shield's own refusal, not an origin's response
HOP_SERVICE = "wp-service"  # the service that the edge chose, percent-encoded (RFC 3986, 2.1)
HOP_MAX_AGE = "wp-max-age"  # how old a response may be by the edge's route, in ms
HOP_ATTEMPTS_ALLOWED = "wp-attempts-allowed"  # how many attempts at origins a shield may make
HOP_ATTEMPTS_MADE = "wp-attempts-made"  # how many it has made, on each of its responses
HOP_RETRY = "wp-extra"  # an earlier attempt may have reached an origin
CONDITIONAL_HEADERS = ("if-none-match", "if-modified-since")  # RFC 9110, 13.1
RANGE_HEADERS = ("range", "if-range")  # RFC 9110, 14.2 and 13.1.5
VIA = ("via", "1.1 willowpost")  # RFC 9110, 7.6.3

HeaderList = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class ForwardOptions:
    """What is added to a forwarded request besides the caller's own headers.

    Attributes:
        cached_entry: A stored response to be revalidated (RFC 9111, 4.3), or None.
        remaining_us: How long the caller still waits, in µs, or None if it did not say.
        incarnation: The origin's incarnation that the request is meant for, or None.
        fetches_complete: Whether to request the complete object, whatever range the caller wants.
    """

    cached_entry: CacheEntry | None = None
    remaining_us: int | None = None
    incarnation: str | None = None
    fetches_complete: bool = False


@dataclass(frozen=True, slots=True)
class ShieldHop:
    """What an edge sends a shield about a request.

    Attributes:
        edge_id: The edge's id.
        slot: The log slot that the edge has reached.
        service: The service that the edge chose.
        may_have_reached_origin: Whether an earlier attempt may have reached an origin.
        max_age_us: How old a response may be by the edge's route, in µs; None: by the shield's own.
        attempts_allowed: How many attempts at origins the shield may make; None: by its own route.
    """

    edge_id: str
    slot: int
    service: str
    may_have_reached_origin: bool = False
    max_age_us: int | None = None
    attempts_allowed: int | None = None

    def headers(self) -> HeaderList:
        """Returns the headers of the hop."""
        retry = [(HOP_RETRY, "1")] if self.may_have_reached_origin else []
        limits = []
        if self.max_age_us is not None:
            limits.append((HOP_MAX_AGE, str(self.max_age_us // MILLISECOND)))
        if self.attempts_allowed is not None:
            limits.append((HOP_ATTEMPTS_ALLOWED, str(self.attempts_allowed)))
        return [
            (HOP_EDGE, self.edge_id),
            (HOP_SLOT, str(self.slot)),
            (HOP_SERVICE, quote(self.service, safe="")),
            *limits,
            *retry,
        ]


def end_to_end(
    headers: Iterable[tuple[str, str]], forwarded_names: frozenset[str] = frozenset()
) -> HeaderList:
    """Returns the end-to-end headers, without the proxy's own (RFC 9110, 7.6.1).

    Args:
        headers: (lower-case name, value) pairs.
        forwarded_names: Names of the proxy's own headers that are forwarded nevertheless.
    """
    pairs = list(headers)
    connection_options = {
        option.strip().lower()
        for name, value in pairs
        if name == "connection"
        for option in value.split(",")
    }
    return [
        (name, value)
        for name, value in pairs
        if name not in HOP_BY_HOP_HEADERS
        and name not in connection_options
        and (not name.startswith(RESERVED_PREFIX) or name in forwarded_names)
    ]


def headers_to_origin(request: Request, names: HeaderNames, options: ForwardOptions) -> HeaderList:
    """Returns the headers of a request that is forwarded to an origin.

    Args:
        request: The caller's request.
        names: Header names shared with origins.
        options: What is added to the caller's own headers.
    """
    replaced = {names.request_id, names.remaining_time, names.incarnation}
    incarnation = [] if options.incarnation is None else [(names.incarnation, options.incarnation)]
    return [
        *_forwarded(request, options, replaced),
        *_identity_headers(request, names, options),
        *incarnation,
        VIA,
    ]


def headers_to_shield(
    request: Request, names: HeaderNames, options: ForwardOptions, hop: ShieldHop
) -> HeaderList:
    """Returns the headers of a request that is forwarded to a shield.

    It carries the caller's id, which a shield echoes as origins do, and the remaining time, so that
    the shield gives up when this proxy does.

    Args:
        request: The caller's request.
        names: Header names shared with callers.
        options: What is added to the caller's own headers.
        hop: What the edge sends the shield about it.
    """
    replaced = {names.request_id, names.remaining_time}
    return [
        *_forwarded(request, options, replaced),
        VIA,
        *hop.headers(),
        *_identity_headers(request, names, options),
    ]


def _forwarded(request: Request, options: ForwardOptions, replaced: set[str]) -> HeaderList:
    """Returns Host, the caller's headers that are forwarded, and the proxy's conditions."""
    dropped = {"host", *replaced}
    if options.cached_entry is not None or options.fetches_complete:
        dropped.update(CONDITIONAL_HEADERS)
    if options.fetches_complete:
        dropped.update(RANGE_HEADERS)
    forwarded = [pair for pair in end_to_end(request.headers.items()) if pair[0] not in dropped]
    return [("host", request.host), *forwarded, *_conditions(options.cached_entry)]


def _conditions(entry: CacheEntry | None) -> HeaderList:
    """Returns the condition that revalidates a stored response (RFC 9111, 4.3.1)."""
    stored = dict(entry.headers) if entry is not None else {}
    if "etag" in stored:
        return [("if-none-match", stored["etag"])]
    if "last-modified" in stored:
        return [("if-modified-since", stored["last-modified"])]
    return []


def _identity_headers(request: Request, names: HeaderNames, options: ForwardOptions) -> HeaderList:
    headers = [] if request.request_id is None else [(names.request_id, request.request_id)]
    if options.remaining_us is not None:
        headers.append((names.remaining_time, str(max(1, options.remaining_us // MILLISECOND))))
    return headers
