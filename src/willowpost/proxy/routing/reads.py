"""Repeatable requests: equal ones share a fetch, failed tries are repeated within the budget."""

from dataclasses import dataclass

from willowpost.common.clock import SECOND
from willowpost.proxy.cache.store import Entry
from willowpost.proxy.caller.lifetime import RequestLifetime
from willowpost.proxy.origin.answer import WholeAnswer
from willowpost.proxy.origin.failure import ExchangeFailure, Why
from willowpost.proxy.routing.attempt import SOON, Rejected, Trace
from willowpost.proxy.routing.outcome import Outcome
from willowpost.proxy.routing.settling import Settling, unasked
from willowpost.proxy.routing.tries import Tries

RETRIED = (502, 503, 504)
FAILED = range(500, 600)
SHIELD_PART = 0.6
NOT_RUN_CODE = 503


@dataclass(frozen=True, slots=True)
class Landed:
    """The result of a fetch for the requests that joined it; with neither, each fetches for itself.

    Attributes:
        entry: The response, if it may be shared.
        reject: The final refusal.
        broken: Whether the fetch ended without either, for a reason of its own.
    """

    entry: Entry | None = None
    reject: Rejected | None = None
    broken: bool = False


@dataclass(frozen=True, slots=True)
class Flight:
    """A fetch under way that equal requests may join.

    Attributes:
        waiter: Gives a Landed to all who wait.
        slot: The log slot of the plan that began it.
        lifetime: Of the request that began it; those who join keep it alive.
    """

    waiter: object
    slot: int
    lifetime: RequestLifetime


class Reads:
    """Fetches for repeatable requests; shares only shareable responses that no known purge hits."""

    def __init__(self, cache, clock, tries: Tries, stats):
        self.cache, self.clock, self.tries, self.stats = cache, clock, tries, stats
        self.settling = Settling(cache, clock, tries)
        self.flights: dict[tuple, Flight] = {}  # (method, host, target) -> fetch under way

    def carry(self, request, plan, body: bytes = b"") -> Outcome:
        """Fetches a response, by joining an equal fetch under way if that is possible.

        Raises:
            Rejected: No try gave a response in time, or none could be made.
        """
        if not plan.cacheable or "authorization" in request.headers or "cookie" in request.headers:
            return self._fetch_alone(request, plan, body)[0]
        key = (request.method, request.host, request.target)
        flight = self.flights.get(key)
        if flight is not None and self._may_join(flight, request, plan):
            return self._join(flight, request, plan, body)
        waiter = self.tries.io.waiter()
        self.flights[key] = flight = Flight(waiter, plan.slot, request.lifetime)
        try:
            outcome, entry = self._fetch_alone(request, plan, body)
            waiter.set(Landed(entry=entry))
            return outcome
        except Rejected as reject:
            waiter.set(Landed(reject=reject))
            raise
        except BaseException:
            waiter.set(Landed(broken=True))
            raise
        finally:
            if self.flights.get(key) is flight:
                del self.flights[key]

    def _may_join(self, flight, request, plan):
        """Whether no purge has hit the flight since it began, and the request asks for the same."""
        return not self.cache.purged_since(flight.slot, request.host, request.target) and (
            plan.whole or "range" not in request.headers
        )

    def _join(self, flight, request, plan, body):
        """Waits for another request's fetch, at most until this request's own deadline.

        Raises:
            Rejected: The deadline passed, or the fetch was refused.
        """
        self.stats["collapsed"] += 1
        now = self.clock.now()
        deadline = request.deadline(plan.route, now)
        with flight.lifetime.joined():
            landed = flight.waiter.wait(max(0, deadline - now) / SECOND)
        if landed is None:
            raise Rejected(504, "no whole answer: deadline of a joined fetch", 1, "not-run")
        if landed.reject is not None:
            return self._joined_reject(landed.reject, deadline, request, plan, body)
        if landed.broken:
            return self.carry(request, plan, body)
        held = landed.entry
        # the fetch may have passed a shield that did not know of a purge that is known here
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
        """Repeats a refusal that holds for all who joined, else fetches anew.

        Another failure may come from the other request's own deadline or tries.
        """
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
        tries_left = plan.tries
        while tries_left:
            now, more = self.clock.now(), tries_left - 1
            if tries_left < plan.tries and now >= deadline:
                break
            # a silent one must leave time for the next; a shield needs time for a next of its own
            shields_left.sort(key=lambda held: self.tries.origins.avoided(held[0], now))
            until = (
                deadline
                if not more
                else now + int((deadline - now) * (SHIELD_PART if shields_left else 1 / (more + 1)))
            )
            by_shield = bool(shields_left)
            tries_left -= 1
            try:
                answer = (
                    self.tries.shield(request, plan, *shields_left.pop(0), until, trace)
                    if by_shield
                    else self.tries.origin(request, plan, body, until, trace, plan.whole)
                )
            except ExchangeFailure as failure:
                last, ran = failure, ran or failure.ran
                if failure.why is Why.SERVICE:
                    break
                tries_left += by_shield and not failure.sent  # no origin can have seen it
                continue
            except Rejected:
                if last is None and last_answer is None:
                    raise
                break  # no further try can be made: what the last one came to is the answer
            if by_shield and self.settling.outdated(request, plan, answer):
                last = ExchangeFailure("a shield's copy that a purge has ended", sent=True)
                continue
            if unasked(answer, request, plan):
                last, ran = ExchangeFailure("a 304 that was not asked for", sent=True), True
                continue
            if answer.status in retried and answer.rest is None:
                last_answer, ran = answer, True
                continue
            return self.settling.settle(request, plan, answer, begun)
        if last_answer is not None:
            return self.settling.settle(request, plan, last_answer, begun)
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
