"""Builds the responses that clients get: of outcomes, and of requests that are rejected."""

import json
from collections import Counter
from collections.abc import Generator

from willowpost.common.clock import MILLISECOND
from willowpost.proxy.cache.storage_policy import format_age
from willowpost.proxy.client.response import ClientResponse, Header
from willowpost.proxy.origin.response import OriginResponse
from willowpost.proxy.routing.attempt import RequestRejectedError
from willowpost.proxy.routing.header_names import HeaderNames
from willowpost.proxy.routing.headers import HOP_AGE, HOP_ATTEMPTS_MADE, HOP_REJECT, HOP_SLOT
from willowpost.proxy.routing.outcome import Outcome
from willowpost.proxy.routing.request import Request

NOT_MODIFIED = 304
UNFRAMED_STATUSES = (204, NOT_MODIFIED)
MAX_REASON_CHARACTERS = 40  # of the counter of a rejection's reason


class ResponseBuilder:
    """Builds responses, and counts them by status and reason.

    Args:
        header_names: The names of the headers shared with clients and origins.
        stats: Counters by name.
    """

    def __init__(self, header_names: HeaderNames, stats: Counter[str]) -> None:
        self._header_names, self._stats = header_names, stats

    def build(self, request: Request, outcome: Outcome) -> ClientResponse:
        """Returns the response of an outcome; a 304 if the client has that version.

        Raises:
            RequestRejectedError: A streamed body broke off before its first block.
        """
        answer = outcome.answer
        blocks = None if answer.stream is None else _with_first_block(answer.stream)
        status, body = answer.status, answer.body
        if blocks is None and _is_known_version(request, answer):
            status, body = NOT_MODIFIED, b""
        headers = self._passed_headers(answer, status)
        headers += self._own_headers(request, outcome)
        if status not in UNFRAMED_STATUSES:
            has_known_body = blocks is None and request.method != "HEAD"
            length = str(len(body)) if has_known_body else answer.header("content-length")
            if length is not None:
                headers.append(("content-length", length))
        self._stats[f"status.{status}"] += 1
        return ClientResponse(status, headers, body, blocks)

    def build_rejection(
        self, rejection: RequestRejectedError, states_outcome: bool, request: Request | None = None
    ) -> ClientResponse:
        """Returns the final response to a request that is given up.

        Args:
            rejection: Why, and what is promised.
            states_outcome: Whether the response states if the request may have been executed.
            request: The request; None if it could not be parsed.
        """
        value: dict[str, object] = {"reject": rejection.reason}
        if rejection.retry_after_seconds:
            value["retry_after"] = rejection.retry_after_seconds
        body = json.dumps(value).encode() + b"\n"
        headers = [("content-type", "application/json"), ("cache-control", "no-store")]
        if request is not None and request.request_id is not None:
            headers.append((self._header_names.request_id, request.request_id))
        if rejection.retry_after_seconds:
            headers.append(("retry-after", f"{rejection.retry_after_seconds:g}"))
        if states_outcome:
            headers.append(("wp-outcome", rejection.outcome))
        if request is not None and request.is_from_edge:
            headers.append((HOP_REJECT, rejection.outcome))
            headers.append((HOP_ATTEMPTS_MADE, str(request.history.made)))
        self._stats[f"reject.{rejection.status}"] += 1
        self._stats[f"why.{rejection.reason[:MAX_REASON_CHARACTERS]}"] += 1
        return ClientResponse(rejection.status, headers, body)

    def _passed_headers(self, answer: OriginResponse, status: int) -> list[Header]:
        """Returns the origin's headers that reach the client."""
        replaced = ("content-length", "age", self._header_names.request_id)
        # a seal is of the status that the origin gave
        is_sealed_status = status == answer.status
        return [
            (name, value)
            for name, value in answer.headers
            if name not in replaced and (name != self._header_names.seal or is_sealed_status)
        ]

    def _own_headers(self, request: Request, outcome: Outcome) -> list[Header]:
        """Returns the headers that this proxy adds."""
        headers: list[Header] = []
        age_seconds = format_age(outcome.age)
        if request.request_id is not None:
            headers.append((self._header_names.request_id, request.request_id))
        if age_seconds is not None:
            headers.append(("age", age_seconds))
        if request.is_from_edge:
            headers.append((HOP_SLOT, str(outcome.slot)))
            headers.append((HOP_ATTEMPTS_MADE, str(request.history.made)))
            if outcome.age is not None:
                headers.append((HOP_AGE, str(outcome.age // MILLISECOND)))
        headers.append(("wp-cache", outcome.source))
        return headers


def _is_known_version(request: Request, answer: OriginResponse) -> bool:
    """Whether If-None-Match names the response's version (RFC 9110, 13.1.2)."""
    condition, etag = request.headers.get("if-none-match"), answer.header("etag")
    if not condition or not etag or answer.status != 200 or not request.is_safe:
        return False
    known = [tag.strip().removeprefix("W/") for tag in condition.split(",")]
    return condition.strip() == "*" or etag.removeprefix("W/") in known


def _with_first_block(
    blocks: Generator[bytes, None, None],
) -> Generator[bytes, None, None]:
    """Reads the first block of a streamed body before the head is sent.

    Raises:
        RequestRejectedError: The body broke off by then; the client gets a 502 instead of a
            truncated response.
    """
    try:
        first = next(blocks, b"")
    # the exchange's errors are of many kinds; each means that there is no complete response
    except Exception as problem:
        raise RequestRejectedError(502, f"no whole answer: {problem}", 1, "unknown") from problem
    return _chained(first, blocks)


def _chained(first: bytes, rest: Generator[bytes, None, None]) -> Generator[bytes, None, None]:
    """Yields the blocks of a streamed body; closing it ends the exchange behind it."""
    try:
        yield first
        yield from rest
    finally:
        rest.close()
