"""RFC 9111: what may be stored in a shared cache, for how long, under which key."""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from email.utils import parsedate_to_datetime

from willowpost.common.clock import SECOND
from willowpost.proxy.cache.entry import freshness_lifetime

CACHEABLE_STATUSES = frozenset({200, 203, 204, 300, 301, 404, 405, 410, 414, 501})
DIRECTIVE = re.compile(r'([a-zA-Z0-9-]+)(?:=(?:"([^"]*)"|([^,;\s]*)))?')
# RFC 9111, 3.5: directives that allow to store the response to a request with Authorization
AUTHORIZED_DIRECTIVES = frozenset({"public", "s-maxage", "must-revalidate"})
SHARED_DIRECTIVES = frozenset({"public", "s-maxage"})


def directives(value: str) -> dict[str, str]:
    """Returns Cache-Control directives by lower-case name; the value is empty if there is none."""
    return {name.lower(): quoted or plain for name, quoted, plain in DIRECTIVE.findall(value or "")}


def parse_http_date(value: str) -> int | None:
    """Returns an HTTP date in µs since the epoch, or None if it is malformed."""
    try:
        return int(parsedate_to_datetime(value).timestamp() * SECOND)
    except (TypeError, ValueError, IndexError, OverflowError):
        return None


def parse_whole_number(value: str | None) -> int | None:
    """Returns a header's value as a whole number, or None if it is absent or malformed."""
    return int(value) if value is not None and value.strip().isdigit() else None


@dataclass(frozen=True, slots=True)
class StorageDecision:
    """How a response may be stored.

    Attributes:
        stated_lifetime: How long it is fresh by its origin, in µs; None if that did not say and the
            route decides; 0 means that each use needs a revalidation.
        vary: Lower-case names of the request headers that select the variant, sorted.
        is_public: Whether it may answer requests with an Authorization header.
    """

    stated_lifetime: int | None
    vary: tuple[str, ...]
    is_public: bool = False


class StoragePolicy:
    """Decides whether a shared cache may store a response.

    Personal responses are never stored: `private`, `no-store`, `Set-Cookie` and `Vary: *`, and
    responses to requests with Authorization or Cookie unless the origin calls them public (or names
    the cookie in Vary).
    """

    def decide(
        self,
        request: Mapping[str, str],
        status: int,
        response: Mapping[str, str],
        keep_us: int,
    ) -> StorageDecision | None:
        """Returns how to store the response, or None if it must not be stored.

        Args:
            request: The request's headers, lower-case names.
            status: The response's status.
            response: The response's headers, lower-case names, repeated ones joined.
            keep_us: The operator's upper limit of the lifetime, and the lifetime of a 200 that
                names none, in µs.
        """
        requested = directives(request.get("cache-control", ""))
        stated = directives(response.get("cache-control", ""))
        names = {name.strip().lower() for name in response.get("vary", "").split(",")}
        vary = tuple(sorted(names - {""}))
        is_forbidden = "no-store" in requested or "no-store" in stated or "private" in stated
        if status not in CACHEABLE_STATUSES or is_forbidden:
            return None
        if "set-cookie" in response or "*" in response.get("vary", ""):
            return None
        if self._is_personal(request, stated, vary):
            return None
        if "range" in request or "content-range" in response:
            return None
        lifetime = self._stated_lifetime(stated, response, status)
        has_validator = "etag" in response or "last-modified" in response
        if freshness_lifetime(lifetime, keep_us) <= 0 and not has_validator:
            return None
        return StorageDecision(lifetime, vary, bool(AUTHORIZED_DIRECTIVES & stated.keys()))

    def _is_personal(
        self, request: Mapping[str, str], stated: Mapping[str, str], vary: tuple[str, ...]
    ) -> bool:
        """Whether the response may be meant for the sender of this request alone."""
        if "authorization" in request and not AUTHORIZED_DIRECTIVES & stated.keys():
            return True
        is_shared = bool(SHARED_DIRECTIVES & stated.keys()) or "cookie" in vary
        return "cookie" in request and not is_shared

    def _stated_lifetime(
        self, stated: Mapping[str, str], response: Mapping[str, str], status: int
    ) -> int | None:
        """Returns the freshness lifetime in µs (RFC 9111, 4.2.1); None if a 200 names none."""
        if "no-cache" in stated:
            return 0
        for name in ("s-maxage", "max-age"):
            if name in stated:
                seconds = parse_whole_number(stated[name])
                return 0 if seconds is None else seconds * SECOND
        if "expires" in response:
            expires = parse_http_date(response["expires"])
            date = parse_http_date(response.get("date", ""))
            if expires is None or date is None:
                return 0
            return max(0, expires - date)
        return None if status == 200 else 0


def format_age(age: int | None) -> str | None:
    """Returns an age in µs as whole seconds for the Age header; None stays None."""
    return None if age is None else str(age // SECOND)


def corrected_age(response: Mapping[str, str], took: int, hop_age: int | None = None) -> int:
    """Returns the response's age on arrival, in µs: the stated age plus the exchange's duration.

    This is `corrected_age_value` of RFC 9111, 4.2.3.

    Args:
        response: Its headers, lower-case names.
        took: Duration of the exchange, in µs.
        hop_age: The age that a shield stated, in µs; None to go by the Age header.
    """
    stated_age = (
        (parse_whole_number(response.get("age")) or 0) * SECOND if hop_age is None else hop_age
    )
    return stated_age + took
