"""Steps of the drill that break origins, and empty a zone."""

import gevent

from willowpost.common.clock import SECOND
from willowpost.drill.base import FORCE_SECONDS, RETURN_SECONDS, DrillBase, rounded
from willowpost.drill.rules import COLD_OVER

BROKEN_MODES = ("lying", "short", "lost")
EMPTY_SECONDS = 5  # until an emptied zone gets nothing any more
MORNING_SECONDS = 14  # before the step: origins' first answers after their ramp


class OriginSteps(DrillBase):
    """What origins and their zones do: wrong answers, a crash, a drain, an evacuation."""

    def origins_break(self) -> None:
        """Wrong bytes, short answers, lost answers, slowness, a crash, a drain: one origin each.

        One after another.
        """
        by_service = self._addresses_by_service()
        for addresses in by_service.values():
            self._answer_wrongly(addresses[0])
        began = self.clock.now()
        drained, crashed = (addresses[1] for addresses in by_service.values())
        self._crash_and_drain(crashed, drained)
        self.excuse_refusals(began - MORNING_SECONDS * SECOND, self.clock.now())
        self._start_cold(crashed, drained)

    def _addresses_by_service(self):
        addresses: dict[str, list[str]] = {}
        for origin in self.deployment.origins:
            addresses.setdefault(origin["service"], []).append(origin["address"])
        return addresses

    def _answer_wrongly(self, address):
        for mode in BROKEN_MODES:
            self.fleet.steer("mode", address, mode=mode)
            gevent.sleep(2)
        self.fleet.steer("mode", address, mode="sound")

    def _crash_and_drain(self, crashed, drained):
        self.fleet.steer("crash", crashed)
        self.fleet.steer("drain", drained)
        learned = self.clock.now()
        gone = self.fleet.until(lambda: not self._known(crashed), 15)
        gevent.sleep(3)
        limit = int((learned + FORCE_SECONDS * SECOND) // SECOND)
        late = self.origin_requests([drained], limit)
        self.findings.add(
            "a silent origin is noticed and taken out", f"{rounded(gone)} s", gone is not None
        )
        self.findings.add(
            "a leaving origin gets nothing after 2 s", f"{late} requests after", late == 0
        )

    def _known(self, address):
        return any(origin["address"] == address for origin in self.status()["origins"].values())

    def _start_cold(self, crashed, drained):
        self.fleet.steer("start", crashed)
        self.fleet.steer("leave", drained)
        began = self.clock.now() // SECOND
        gevent.sleep(10)
        rate = next(
            origin["rate"] for origin in self.deployment.origins if origin["address"] == crashed
        )
        counts = self.fleet.ledger()["seen"].get(crashed, {})
        first = max(
            (count for second, count in counts.items() if began <= int(second) <= began + 2),
            default=0,
        )
        self.findings.add(
            "a cold origin is let warm",
            f"at most {first} in one of its first seconds, bears {rate / 4:.0f} cold",
            first <= COLD_OVER * (rate / 4 + 3 * rate * 0.75 / 8),
        )

    def empty_zone(self) -> None:
        """A zone is emptied for nine seconds, and given back."""
        zone = self.deployment.zones[1]
        accepted = self.fleet.call("POST", f"/v1/zones/{zone}/empty")
        limit = (self.clock.now() + EMPTY_SECONDS * SECOND) // SECOND
        gevent.sleep(9)
        edges = self.edges_in(zone)
        late = self.origin_requests(self.origins_in(zone), limit)
        served = self.edge_answers(edges, limit)
        self.findings.add(
            "an emptied zone gets nothing after 5 s",
            f"{late} at its origins, {served} at its edges",
            accepted[0] == 200 and late == 0 and served == 0,
        )
        self.fleet.call("POST", f"/v1/zones/{zone}/restore")
        restored = self.clock.now() // SECOND
        back = self.fleet.until(lambda: self.edge_answers(edges, restored) > 0, RETURN_SECONDS)
        self.findings.add(
            "a restored zone serves again within 15 s",
            f"{rounded(back)} s",
            back is not None,
        )
