"""Reads: joined when they are equal, tried elsewhere within the budget.

And kept when the answer may be.
"""

from dataclasses import dataclass

from willowpost.common.clock import SECOND
from willowpost.proxy.cache.store import Entry
from willowpost.proxy.cache.storing import StoringRules, first_age, whole
from willowpost.proxy.origin.answer import WholeAnswer
from willowpost.proxy.origin.failure import ExchangeFailure, Why
from willowpost.proxy.routing.headers import CONDITIONS, end_to_end
from willowpost.proxy.routing.outcome import Outcome
from willowpost.proxy.routing.tries import SOON, Rejected, Trace, Tries

RETRIED = (502, 503, 504)
FAILED = range(500, 600)
SHIELD_PART = 0.6
NOT_RUN_CODE = 503


@dataclass(frozen=True, slots=True)
class Landed:
    """What a fetch that others may have joined came to.

    `entry`: the answer, if it may be shared. `reject`: the final refusal. With neither, whoever
    joined fetches for itself.
    """

    entry: Entry | None = None
    reject: Rejected | None = None


@dataclass(frozen=True, slots=True)
class Flight:
    """A fetch under way that equal reads may join; `waiter` gives a Landed to all of them."""

    waiter: object
    slot: int


class Reads:
    """Invariant: only shareable answers are shared, and none that a known purge beats."""

    def __init__(self, cache, clock, tries: Tries, stats):
        self.cache, self.clock, self.tries, self.stats = cache, clock, tries, stats
        self.rules = StoringRules()
        self.flights: dict[tuple, Flight] = {}  # (method, host, target) -> fetch under way

    def carry(self, request, plan, body: bytes = b"") -> Outcome:
        if not plan.cacheable or "authorization" in request.headers or "cookie" in request.headers:
            return self._fetch_alone(request, plan, body)[0]
        key = (request.method, request.host, request.target)
        flight = self.flights.get(key)
        if flight is not None and self._may_join(flight, request, plan):
            return self._join(flight, request, plan, body)
        waiter = self.tries.io.waiter()
        self.flights[key] = flight = Flight(waiter, plan.slot)
        try:
            outcome, entry = self._fetch_alone(request, plan, body)
            waiter.set(Landed(entry=entry))
            return outcome
        except Rejected as reject:
            waiter.set(Landed(reject=reject))
            raise
        except BaseException:
            waiter.set(Landed())
            raise
        finally:
            if self.flights.get(key) is flight:
                del self.flights[key]

    def _may_join(self, flight, request, plan):
        """Not one begun before a purge that hits it, nor one asked for under other conditions."""
        return not self.cache.purged_since(flight.slot, request.host, request.target) and (
            plan.whole or "range" not in request.headers
        )

    def _join(self, flight, request, plan, body):
        """Waits for another's fetch, but no longer than this caller would wait."""
        self.stats["collapsed"] += 1
        now = self.clock.now()
        deadline = request.deadline(plan.route, now)
        landed = flight.waiter.wait(max(0, deadline - now) / SECOND)
        if landed is None:
            raise Rejected(504, "no whole answer: deadline of a joined fetch", 1, "not-run")
        if landed.reject is not None:
            return self._joined_reject(landed.reject, deadline, request, plan, body)
        held = landed.entry
        # the flight may have come by a shield that had not heard of a purge that we know
        if (
            held is not None
            and not self.cache.purged_since(held.slot, request.host, request.target, held.tags)
            and all(request.headers.get(name, "") == value for name, value in held.variant)
        ):
            return Outcome(
                WholeAnswer(held.status, list(held.headers), held.body),
                "hit",
                held.age(self.clock.now()),
                held.slot,
            )
        return self._fetch_alone(request, plan, b"")[0]

    def _joined_reject(self, reject, deadline, request, plan, body):
        """A promise holds for all; a failure may be due to the other caller's deadline or tries."""
        if reject.code == NOT_RUN_CODE or self.clock.now() >= deadline:
            raise Rejected(reject.code, reject.reason, reject.after, reject.outcome)
        return self.carry(request, plan, body)

    def _fetch_alone(self, request, plan, body):
        begun = self.clock.now()
        deadline = request.deadline(plan.route, begun)
        trace, last, shields_left, last_answer, ran = (
            Trace(request.extra),
            None,
            list(plan.shields),
            None,
            False,
        )
        retried = RETRIED if plan.route.kind is None else FAILED
        for attempt in range(plan.tries):
            now, more = self.clock.now(), plan.tries - attempt - 1
            if attempt and now >= deadline:
                break
            # a silent one must leave time for the next; a shield needs time for a next of its own
            shields_left.sort(key=lambda held: self.tries.origins.ejected.get(held[0], 0) > now)
            until = (
                deadline
                if not more
                else now + int((deadline - now) * (SHIELD_PART if shields_left else 1 / (more + 1)))
            )
            try:
                answer = (
                    self.tries.shield(request, plan, *shields_left.pop(0), until, trace)
                    if shields_left
                    else self.tries.origin(request, plan, body, until, trace, plan.whole)
                )
            except ExchangeFailure as failure:
                last, ran = failure, ran or failure.ran
                if failure.why is Why.SERVICE:
                    break
                continue
            except Rejected:
                if last is None and last_answer is None:
                    raise
                break  # no further try can be made: what the last one came to is the answer
            if answer.status == 304 and not self._confirms(answer, request, plan):
                last, ran = ExchangeFailure("a 304 that was not asked for", sent=True), True
                continue
            if answer.status in retried and answer.rest is None:
                last_answer, ran = answer, True
                continue
            return self._settle(request, plan, answer, begun)
        if last_answer is not None:
            return self._settle(request, plan, last_answer, begun)
        if last is not None and not ran and plan.route.kind is not None:
            raise Rejected(503, f"no origin took it: {last.what}", SOON, "not-run")
        raise Rejected(
            504
            if (last is not None and "deadline" in last.what) or self.clock.now() >= deadline
            else 502,
            f"no whole answer: {last.what if last else 'no try left'}",
            1,
            "not-run" if request.safe else "unknown",
        )

    def _confirms(self, answer, request, plan):
        """Whether a 304 answers a condition that was sent: ours about a copy, or the caller's."""
        if plan.entry is None:
            return not plan.whole and any(name in request.headers for name in CONDITIONS)
        held, said = dict(plan.entry.headers), answer.header("etag")
        if "etag" not in held:
            return "last-modified" in held
        return said is None or said.removeprefix("W/") == held["etag"].removeprefix("W/")

    def _settle(self, request, plan, answer, begun):
        now = self.clock.now()
        # a whole object that was asked for in place of a part of it is kept as if nobody had named
        # a part
        asked = (
            {name: value for name, value in request.headers.items() if name != "range"}
            if plan.whole
            else request.headers
        )
        slot = min(
            plan.slot, whole(answer.header("wp-slot")) if answer.header("wp-slot") else plan.slot
        )
        words = self.tries.words
        headers = tuple(
            pair
            for pair in end_to_end(answer.headers, words.names())
            if pair[0] not in ("age", words.request, words.load)
        )
        if answer.status == 304 and plan.entry is not None:
            said = {**dict(plan.entry.headers), **dict(headers)}
            storing = self.rules.judge(asked, plan.entry.status, said, plan.route.keep_seconds)
            if storing is None:
                self.cache.drop(plan.entry)
                return Outcome(
                    WholeAnswer(plan.entry.status, list(plan.entry.headers), plan.entry.body),
                    "miss",
                ), None
            # the seal is of the whole answer that is kept, not of this word about it
            state_update = tuple(pair for pair in headers if pair[0] != words.seal)
            kept = (
                tuple(pair for pair in plan.entry.headers if pair[0] not in dict(state_update))
                + state_update
            )
            entry = self.cache.refresh(
                plan.entry,
                kept,
                now - first_age(answer.lowered(), now - begun),
                storing.lifetime,
                slot,
            )
            return Outcome(
                WholeAnswer(entry.status, list(entry.headers), entry.body),
                "miss",
                entry.age(now),
                slot,
            ), entry
        storing = (
            self.rules.judge(asked, answer.status, answer.lowered(), plan.route.keep_seconds)
            if plan.cacheable
            and request.method == "GET"
            and answer.rest is None
            and plan.route.keeps_in(self.tries.regions.get(self.tries.node_state.card.zone))
            else None
        )
        age = first_age(answer.lowered(), now - begun)
        length = (
            [("content-length", answer.header("content-length"))]
            if answer.header("content-length")
            else []
        )
        passed = WholeAnswer(answer.status, [*headers, *length], answer.body, answer.rest)
        if storing is None:
            return Outcome(
                passed,
                "miss" if plan.cacheable else "pass",
                age if answer.header("age") else None,
                slot,
            ), None
        variant = tuple((name, request.headers.get(name, "")) for name in storing.vary)
        entry = Entry(
            request.host,
            request.target,
            variant,
            answer.status,
            headers,
            answer.body,
            now - age,
            storing.lifetime,
            slot,
            storing.public,
            tuple((answer.header(words.tags) or "").split()),
        )
        self.cache.keep(entry)
        return Outcome(passed, "miss", age, slot), entry if storing.lifetime > age else None
