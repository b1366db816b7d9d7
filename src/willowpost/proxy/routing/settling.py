"""Turns the response to a repeatable request into an outcome, and stores it if the rules allow."""

from willowpost.common.clock import MILLI
from willowpost.proxy.cache.store import Entry
from willowpost.proxy.cache.storing import StoringRules, first_age, whole
from willowpost.proxy.origin.answer import WholeAnswer
from willowpost.proxy.routing.headers import CONDITIONS, HOP_AGE, HOP_SLOT, end_to_end
from willowpost.proxy.routing.outcome import Outcome

NOT_MODIFIED = 304


def same_version(tag: str, other: str) -> bool:
    """Weak comparison of two entity tags (RFC 9110, 8.8.3.2)."""
    return tag.removeprefix("W/") == other.removeprefix("W/")


def unasked(answer: WholeAnswer, request, plan) -> bool:
    """Whether this is a 304 that confirms no condition sent, be it the proxy's or the caller's."""
    if answer.status != NOT_MODIFIED:
        return False
    if plan.entry is None:
        return plan.whole or not any(name in request.headers for name in CONDITIONS)
    held, said = dict(plan.entry.headers), answer.header("etag")
    if "etag" not in held:
        return "last-modified" not in held
    return said is not None and not same_version(said, held["etag"])


class Settling:
    """Turns responses into outcomes; stores complete ones that the rules allow to be shared."""

    def __init__(self, cache, clock, tries):
        self.cache, self.clock, self.tries = cache, clock, tries
        self.rules = StoringRules()

    def settle(self, request, plan, answer: WholeAnswer, begun: int):
        """The outcome of a response and its stored entry; None if it may not be shared.

        Args:
            request: The request.
            plan: Its FetchPlan.
            answer: The response.
            begun: When the fetch began, by this process's clock, in µs.
        """
        hop_age = whole(answer.header(HOP_AGE)) if plan.shields else None
        age = first_age(
            answer.lowered(),
            self.clock.now() - begun,
            None if hop_age is None else hop_age * MILLI,
        )
        headers = self._headers(answer)
        if answer.status == NOT_MODIFIED and plan.entry is not None:
            return self._renewed(request, plan, answer, headers, age)
        storing = self._storing(request, plan, answer)
        slot = self._slot(plan, answer)
        length = answer.header("content-length")
        framing = [("content-length", length)] if length else []
        passed = WholeAnswer(answer.status, [*headers, *framing], answer.body, answer.rest)
        if storing is None:
            source = "miss" if plan.cacheable else "pass"
            return Outcome(passed, source, age if answer.header("age") else None, slot), None
        entry = Entry(
            request.host,
            request.target,
            tuple((name, request.headers.get(name, "")) for name in storing.vary),
            answer.status,
            headers,
            answer.body,
            self.clock.now() - age,
            storing.lifetime,
            slot,
            storing.public,
            self._tags(answer),
        )
        self.cache.keep(entry)
        return Outcome(passed, "miss", age, slot), entry if storing.lifetime > age else None

    def outdated(self, request, plan, answer: WholeAnswer) -> bool:
        """Whether a purge that is known here has hit a shield's response since it was fetched.

        The shield may not know of the purge: it is behind, or out of touch.
        """
        return self.cache.purged_since(
            self._slot(plan, answer), request.host, request.target, self._tags(answer)
        )

    def _renewed(self, request, plan, answer, headers, age):
        """The outcome of a 304: the stored response with its headers brought up to date."""
        held = plan.entry
        said = {**dict(held.headers), **dict(headers)}
        keep_seconds = plan.route.keep_seconds
        storing = self.rules.judge(self._asked(request, plan), held.status, said, keep_seconds)
        if storing is None:
            self.cache.drop(held)
            return Outcome(WholeAnswer(held.status, list(held.headers), held.body), "miss"), None
        # the seal is of the whole answer that is kept, not of this word about it
        update = tuple(pair for pair in headers if pair[0] != self.tries.words.seal)
        names = dict(update)
        kept = tuple(pair for pair in held.headers if pair[0] not in names) + update
        entry = self.cache.refresh(
            held,
            kept,
            self.clock.now() - age,
            storing.lifetime,
            self._slot(plan, answer),
            self._tags(answer) or held.tags,
        )
        outcome = WholeAnswer(entry.status, list(entry.headers), entry.body)
        return Outcome(outcome, "miss", entry.age(self.clock.now()), entry.slot), entry

    def _headers(self, answer):
        words = self.tries.words
        dropped = ("age", words.request, words.load)
        passed = end_to_end(answer.headers, words.names())
        return tuple(pair for pair in passed if pair[0] not in dropped)

    def _asked(self, request, plan):
        """The request's headers, without Range if the whole object was asked for."""
        if not plan.whole:
            return request.headers
        return {name: value for name, value in request.headers.items() if name != "range"}

    def _storing(self, request, plan, answer):
        region = self.tries.regions.get(self.tries.node_state.descriptor.zone)
        if (
            not plan.cacheable
            or request.method != "GET"
            or answer.rest is not None
            or not plan.route.keeps_in(region)
        ):
            return None
        asked, said = self._asked(request, plan), answer.lowered()
        return self.rules.judge(asked, answer.status, said, plan.route.keep_seconds)

    def _slot(self, plan, answer):
        """The least log slot known to any daemon that the fetch passed when it began."""
        told = whole(answer.header(HOP_SLOT)) if plan.shields else None
        return plan.slot if told is None else min(plan.slot, told)

    def _tags(self, answer):
        return tuple((answer.header(self.tries.words.tags) or "").split())
