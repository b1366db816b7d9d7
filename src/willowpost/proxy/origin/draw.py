"""Draws the origin for a try: the least occupied of those in force, the own zone before others."""
import random
from statistics import median

from willowpost.common.clock import SECOND
from willowpost.proxy.origin.reports import REPORT_SPAN

EJECT_SPAN = 1 * SECOND
BUSIER_MOST = 4.0
FEW, NOISE = 2, 1.3     # a report is one moment's: a few more under way, or a third more, is no difference
OTHER_ZONE = 1.3


class OriginDraw:
    """Invariants: draws only origins of the picture in hand; one that just broke down is drawn last.
    What origins report can only make one weigh more, up to BUSIER_MOST, never less than one that reports nothing:
    who says 'idle' draws no herd, and who lies harms itself at most."""

    def __init__(self, zone: str, chance=random, reports=dict):
        self.chance = chance
        self.reports = reports      # () -> origin -> (occupancy, when)
        self.zone = zone
        self.occupancy: dict[str, int] = {}
        self.ejected: dict[str, int] = {}

    def draw(self, origins, zones, tried, now: int) -> list:
        """Candidates, best first."""
        allowed = [origin for origin in origins if (zones is None or origin.zone in zones) and origin.name not in tried]
        busier = self._busier(allowed, now)
        return sorted(allowed, key=lambda origin: (self.ejected.get(origin.name, 0) > now,
                                                   self._weight(origin) * busier.get(origin.name, 1.0), self.chance.random()))

    def began(self, name: str) -> None:
        self.occupancy[name] = self.occupancy.get(name, 0) + 1

    def ended(self, name: str) -> None:
        left = self.occupancy.get(name, 1) - 1
        if left:
            self.occupancy[name] = left
        else:
            self.occupancy.pop(name, None)

    def eject(self, name: str, now: int) -> None:
        self.ejected = {held: until for held, until in self.ejected.items() if until > now}
        self.ejected[name] = now + EJECT_SPAN

    def _busier(self, origins, now):
        """How much busier than the middle one each says it is, for what it bears; stale reports do not count."""
        told = {origin.name: (held[0] + FEW) / origin.rate for origin in origins
                if (held := self.reports().get(origin.name)) is not None and now - held[1] <= REPORT_SPAN}
        middle = median(told.values()) if told else 1.0
        return {name: min(BUSIER_MOST, max(1.0, pressure / middle / NOISE)) for name, pressure in told.items()}

    def _weight(self, origin):
        far = 1.0 if origin.zone == self.zone else OTHER_ZONE
        return (self.occupancy.get(origin.name, 0) + 1) * far / origin.rate
