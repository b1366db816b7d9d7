"""RFC 9111: what may be stored in a shared cache, for how long, under which key."""

import re
from dataclasses import dataclass
from email.utils import parsedate_to_datetime

from willowpost.common.clock import SECOND

STATUSES = {200, 203, 204, 300, 301, 404, 405, 410, 414, 501}
TOKEN = re.compile(r'([a-zA-Z0-9-]+)(?:=(?:"([^"]*)"|([^,;\s]*)))?')


def directives(value: str) -> dict[str, str]:
    """Cache-Control directives by lower-case name; the value is empty if there is none."""
    return {name.lower(): quoted or plain for name, quoted, plain in TOKEN.findall(value or "")}


def when(value: str) -> int | None:
    """An HTTP date in µs since the epoch, or None if it is malformed."""
    try:
        return int(parsedate_to_datetime(value).timestamp() * SECOND)
    except (TypeError, ValueError, IndexError, OverflowError):
        return None


def whole(value: str | None) -> int | None:
    """A header's value as a whole number, or None if it is absent or malformed."""
    return int(value) if value is not None and value.strip().isdigit() else None


@dataclass(frozen=True, slots=True)
class Storing:
    """How a response may be stored.

    Attributes:
        lifetime: How long it is fresh, in µs; 0 means that each use needs a revalidation.
        vary: Lower-case names of the request headers that select the variant, sorted.
        public: Whether it may answer requests with an Authorization header.
    """

    lifetime: int
    vary: tuple[str, ...]
    public: bool = False


class StoringRules:
    """Decides whether a shared cache may store a response.

    Personal responses are never stored: `private`, `no-store`, `Set-Cookie` and `Vary: *`, and
    answers to requests with Authorization or Cookie unless the origin calls them public (or names
    the cookie in Vary).
    """

    def judge(
        self, request: dict, status: int, answer: dict, keep_seconds: float
    ) -> Storing | None:
        """How to store the response, or None if it must not be stored.

        Args:
            request: The request's headers, lower-case names.
            status: The response's status.
            answer: The response's headers, lower-case names, repeated ones joined.
            keep_seconds: The operator's upper limit of the lifetime, and the lifetime of a 200 that
                names none.
        """
        asked, said = (
            directives(request.get("cache-control", "")),
            directives(answer.get("cache-control", "")),
        )
        if status not in STATUSES or "no-store" in asked or "no-store" in said or "private" in said:
            return None
        if (
            "set-cookie" in answer
            or answer.get("vary", "").strip() == "*"
            or "*" in answer.get("vary", "")
        ):
            return None
        names = {name.strip().lower() for name in answer.get("vary", "").split(",")}
        vary = tuple(sorted(names - {""}))
        public = bool({"public", "s-maxage", "must-revalidate"} & said.keys())
        if "authorization" in request and not public:
            return None
        if "cookie" in request and not ({"public", "s-maxage"} & said.keys() or "cookie" in vary):
            return None
        if "range" in request or "content-range" in answer:
            return None
        lifetime = self._lifetime(said, answer, keep_seconds, status)
        checkable = "etag" in answer or "last-modified" in answer
        if lifetime <= 0 and not checkable:
            return None
        return Storing(lifetime, vary, public)

    def _lifetime(self, said, answer, keep_seconds, status):
        most = int(keep_seconds * SECOND)
        if "no-cache" in said:
            return 0
        for name in ("s-maxage", "max-age"):
            if name in said:
                told = whole(said[name])
                return 0 if told is None else min(told * SECOND, most)
        if "expires" in answer:
            until, since = when(answer["expires"]), when(answer.get("date", ""))
            return 0 if until is None or since is None else max(0, min(until - since, most))
        return most if status == 200 else 0


def seconds_of(age: int | None) -> str | None:
    """An age in µs as whole seconds for the Age header; None stays None."""
    return None if age is None else str(age // SECOND)


def first_age(answer: dict, took: int, hop_age: int | None = None) -> int:
    """The response's age on arrival, in µs: what it says of it plus the time the exchange took.

    Args:
        answer: Its headers, lower-case names.
        took: Duration of the exchange, in µs.
        hop_age: The age that a shield told, in µs; None to go by the Age header.
    """
    told = (whole(answer.get("age")) or 0) * SECOND if hop_age is None else hop_age
    return told + took
