"""Makes the replies that callers get: of outcomes, and of requests that are given up."""

import json

from willowpost.proxy.cache.storing import seconds_of
from willowpost.proxy.caller.reply import Reply
from willowpost.proxy.routing.attempt import Rejected
from willowpost.proxy.routing.headers import HOP_AGE, HOP_REJECT, HOP_SLOT
from willowpost.proxy.routing.outcome import Outcome
from willowpost.proxy.routing.request import Request
from willowpost.proxy.routing.words import Words

MILLI = 1000


class ReplyMaker:
    """Makes replies, and counts them by status and reason.

    Args:
        words: Names of the headers shared with callers and origins.
        stats: Counters by name.
    """

    def __init__(self, words: Words, stats):
        self.words, self.stats = words, stats

    def answered(self, request: Request, outcome: Outcome) -> Reply:
        """The reply of an outcome: whole, or in pieces; a 304 if the caller holds that version.

        Raises:
            Rejected: A streamed body broke off before its first piece.
        """
        answer = outcome.answer
        pieces = None if answer.rest is None else self._begun(answer.rest)
        match = request.headers.get("if-none-match")
        etag = answer.header("etag")
        status, body = answer.status, answer.body
        if (
            match
            and etag
            and status == 200
            and request.safe
            and pieces is None
            and (
                match.strip() == "*"
                or etag.removeprefix("W/")
                in [held.strip().removeprefix("W/") for held in match.split(",")]
            )
        ):
            status, body = 304, b""
        headers = [
            (name, value)
            for name, value in answer.headers
            if name not in ("content-length", "age", self.words.request)
            # a seal is of the status that the origin gave
            and (name != self.words.seal or status == answer.status)
        ]
        if request.name is not None:
            headers.append((self.words.request, request.name))
        if outcome.age is not None:
            headers.append(("age", seconds_of(outcome.age)))
        if request.hop:
            headers.append((HOP_SLOT, str(outcome.slot)))
            if outcome.age is not None:
                headers.append((HOP_AGE, str(outcome.age // MILLI)))
        headers.append(("wp-cache", outcome.source))
        length = answer.header("content-length")
        if status not in (204, 304):
            if pieces is None and request.method != "HEAD":
                headers.append(("content-length", str(len(body))))
            elif length is not None:
                headers.append(("content-length", length))
        self.stats[f"status.{status}"] += 1
        return Reply(status, headers, body, pieces)

    def rejected(self, reject: Rejected, write: bool, request: Request | None = None) -> Reply:
        """The final reply to a request that is given up, with Retry-After if it says when.

        Args:
            reject: Why, and what is promised.
            write: Whether the caller is told if it may have run.
            request: The request; None if it could not be read.
        """
        body = (
            json.dumps(
                {"reject": reject.reason, "retry_after": reject.after}
                if reject.after
                else {"reject": reject.reason}
            ).encode()
            + b"\n"
        )
        headers = [("content-type", "application/json"), ("cache-control", "no-store")]
        if request is not None and request.name is not None:
            headers.append((self.words.request, request.name))
        if reject.after:
            headers.append(("retry-after", f"{reject.after:g}"))
        if write:
            headers.append(("wp-outcome", reject.outcome))
        if request is not None and request.hop:
            headers.append((HOP_REJECT, reject.outcome))
        self.stats[f"reject.{reject.code}"] += 1
        self.stats[f"why.{reject.reason[:40]}"] += 1
        return Reply(reject.code, headers, body)

    def _begun(self, rest):
        """Reads the first piece of a streamed body before the head is sent.

        Raises:
            Rejected: The body broke off by then; the caller gets a 502 instead of a truncated
                reply.
        """
        try:
            first = next(rest, b"")
        except Exception as problem:
            raise Rejected(502, f"no whole answer: {problem}", 1, "unknown")
        return _pieces(first, rest)


def _pieces(first, rest):
    """The pieces of a streamed body; closing this generator ends the exchange behind it."""
    try:
        yield first
        yield from rest
    finally:
        rest.close()
