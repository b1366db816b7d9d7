"""Picks the origin for a try: of those in force the one likely to answer first.

Origins in the proxy's own zone are preferred.
"""

import random
from statistics import median

from willowpost.common.clock import MILLI, SECOND
from willowpost.proxy.origin.reports import REPORT_SPAN

EJECT_SPAN = 1 * SECOND
BUSIER_MOST = 4.0
# a report is one moment's: a few more under way, or a third more, is no difference
FEW, NOISE = 2, 1.3
HEAVY = 32 * 1024  # bytes of an answer, from which on its way costs more than its wait
OTHER_ZONE = {False: 1.3, True: 2.0}  # by whether answers are heavy
OTHER_REGION = {False: 1.5, True: 8.0}
# a request this long without an answer, and four times the usual, speaks against an origin
SILENT_AFTER = 250 * MILLI
SILENT_TIMES = 4
USUAL = 50 * MILLI  # while none of its kind has answered yet
SMOOTH = 0.15
FADE = 1 * SECOND  # what an answer said of its origin's load is worth half after this
FORGET = 2 * SECOND
SLACK = 0.6  # part of the slots that may be busy before waiting is to be feared
CHANCE = 0.1  # so that several proxies do not run to the same one at once


class OriginPicker:
    """Ranks origins by expected response time, load and distance.

    An origin that just failed is ranked last, and a cold one after all others that are sound. The
    load in an origin's heartbeats can only lower its rank, by a factor of at most BUSIER_MOST: an
    origin that reports too little load gains nothing over one that reports none.

    Args:
        zone: The proxy's zone.
        chance: The source of random numbers.
        reports: Gives origin to (reported load, when in µs).
        regions: Zone to region.
    """

    def __init__(self, zone: str, chance=random, reports=dict, regions=None):
        self.chance = chance
        self.reports = reports  # () -> origin -> (load, when)
        self.zone = zone
        self.regions = regions or {}  # zone -> region
        self.load: dict[str, int] = {}
        self.ejected: dict[str, int] = {}
        self.usual: dict[str, float] = {}  # origin -> smoothed µs of an answer
        # origin -> (busy, slots, own load then, when) of its last answer
        self.answers: dict[str, tuple] = {}
        self.waiting: dict[str, dict] = {}  # origin -> {ticket: since}
        self.answered_at: dict[str, int] = {}
        self.ticket = 0

    def pick(self, origins, zones, tried, now: int, heavy: bool = False) -> list:
        """The origins that may be tried, best first.

        Args:
            origins: The origins in force.
            zones: Zones whose origins may serve; None for all.
            tried: Names of origins already tried for this request.
            now: This process's clock, in µs.
            heavy: Whether large responses are to be expected.
        """
        allowed = [
            origin
            for origin in origins
            if (zones is None or origin.zone in zones) and origin.name not in tried
        ]
        busier = self._busier(allowed, now)
        quickest = min(
            (self.usual[origin.name] for origin in allowed if origin.name in self.usual),
            default=USUAL,
        )
        return sorted(
            allowed,
            key=lambda origin: (
                self.ejected.get(origin.name, 0) > now,
                origin.cold,
                self.silent(origin.name, now),
                self._weight(origin, quickest, now, heavy) * busier.get(origin.name, 1.0),
                self.chance.random(),
            ),
        )

    def began(self, name: str, now: int = 0) -> int:
        """Counts a request under way to an origin and returns its ticket for ended()."""
        self.load[name] = self.load.get(name, 0) + 1
        self.ticket += 1
        self.waiting.setdefault(name, {})[self.ticket] = now
        return self.ticket

    def ended(self, name: str, ticket: int = 0) -> None:
        """Ends the count of a request, whatever its result."""
        left = self.load.get(name, 1) - 1
        if left:
            self.load[name] = left
        else:
            self.load.pop(name, None)
        self.waiting.get(name, {}).pop(ticket, None)

    def answered(self, name: str, took: int, said: str | None, now: int) -> None:
        """Records a response.

        Args:
            name: The origin.
            took: Duration of the exchange, in µs.
            said: The origin's load header: running, waiting and slots, joined by commas; or None.
            now: This process's clock, in µs.
        """
        held = self.usual.get(name)
        self.usual[name] = took if held is None else held + SMOOTH * (took - held)
        self.answered_at[name] = now
        parts = (said or "").split(",")
        if len(parts) == 3 and all(part.strip().isdigit() for part in parts):
            running, queued, slots = map(int, parts)
            self.answers[name] = (running + queued, slots, self.load.get(name, 0), now)

    def eject(self, name: str, now: int, span: int = EJECT_SPAN) -> None:
        """Ranks an origin last for `span` µs from now."""
        self.ejected = {held: until for held, until in self.ejected.items() if until > now}
        self.ejected[name] = now + span

    def keep_only(self, names) -> None:
        """Forgets the measurements of all origins but these."""
        for held in (self.usual, self.answers, self.waiting, self.answered_at):
            for name in [name for name in held if name not in names]:
                del held[name]

    def avoided(self, name, now):
        """Whether a shield should be asked last: it failed lately, or is silent."""
        return self.ejected.get(name, 0) > now or self.silent(name, now)

    def silent(self, name, now):
        """Whether it owes a response for long and has answered nothing sent later."""
        oldest = min(self.waiting.get(name, {}).values(), default=now)
        return (
            now - oldest > max(SILENT_AFTER, SILENT_TIMES * self.usual.get(name, USUAL))
            and self.answered_at.get(name, 0) <= oldest
        )

    def _busier(self, origins, now):
        """How many times busier than the median each origin reports to be, at least 1.

        Load is relative to the origin's rate. Reports older than REPORT_SPAN do not count.
        """
        told = {
            origin.name: (held[0] + FEW) / origin.rate
            for origin in origins
            if (held := self.reports().get(origin.name)) is not None
            and now - held[1] <= REPORT_SPAN
        }
        middle = median(told.values()) if told else 1.0
        return {
            name: min(BUSIER_MOST, max(1.0, pressure / middle / NOISE))
            for name, pressure in told.items()
        }

    def _far(self, zone, heavy):
        same = zone == self.zone or self.regions.get(zone) == self.regions.get(self.zone)
        return 1.0 if zone == self.zone else (OTHER_ZONE if same else OTHER_REGION)[heavy]

    def _likely(self, name, quickest, now):
        """The expected response time, in µs.

        It returns to the quickest origin's while the origin is not asked, since it may have
        recovered.
        """
        held = self.usual.get(name, quickest)
        return quickest + (held - quickest) * 0.5 ** (
            (now - self.answered_at.get(name, now)) / FORGET
        )

    def _weight(self, origin, quickest, now, heavy):
        """The cost of choosing an origin; the least is best.

        An origin that has not answered yet counts as quick as the quickest, or it would never be
        tried where all others are quick.
        """
        far = self._far(origin.zone, heavy)
        own = self.load.get(origin.name, 0)
        if not origin.slots:
            return (own + 1) * far / origin.rate
        busy, slots, then, when = self.answers.get(origin.name, (0, origin.slots, 0, now))
        others = max(0, busy - then) * 0.5 ** ((now - when) / FADE)
        part = (others + own + 1) / max(1, slots)
        waits = 1.0 + max(0.0, part - SLACK) * 2.0 + max(0.0, part - 1.0) * 6.0
        return (
            self._likely(origin.name, quickest, now)
            * waits
            * far
            * (1.0 + CHANCE * self.chance.random())
        )
