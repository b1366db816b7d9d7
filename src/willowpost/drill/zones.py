"""The zone drill: takes out each zone of a fleet under load, by evacuation and by killing."""

import gevent

from willowpost.common.clock import SECOND
from willowpost.drill.base import RETURN_SECONDS, rounded
from willowpost.drill.rules import Findings
from willowpost.drill.script import FleetDrill

DARK_SECONDS = 6
HANDFUL_PART = 0.01


class ZoneDrill(FleetDrill):
    """Takes zones out and brings them back; refused requests count all the time."""

    def run_zones(self, zones, routes) -> Findings:
        """Take out each zone by each way (methods' names), and judge as the fleet drill does."""
        self.open()
        for zone in zones:
            for route in routes:
                self.say(f"zone {zone} by {route}")
                getattr(self, route)(zone)
                gevent.sleep(4)
        return self.close()

    def _mark(self):
        return self.clock.now(), len(self.callers.tally.refusals), len(self.callers.tally.latencies)

    def _judge_refusals(self, zone, route, mark):
        tally = self.callers.tally
        refused, begun = len(tally.refusals) - mark[1], len(tally.latencies) - mark[2]
        why = sorted({refusal[2][10:60] for refusal in tally.refusals[mark[1] :]})[:3]
        self.findings.add(
            f"zone {zone} by {route}: refusals stay a handful",
            f"{refused} of {begun} {why or ''}",
            refused <= max(5, HANDFUL_PART * begun),
        )

    def emptying(self, zone: str) -> None:
        """The zone is emptied by an order, and given back by one."""
        mark = self._mark()
        accepted = self.fleet.call("POST", f"/v1/zones/{zone}/empty")
        asked = self.clock.now()
        gevent.sleep(8)
        limit = (asked + 5 * SECOND) // SECOND
        late = self.origin_requests(self.origins_in(zone), limit)
        late += self.edge_answers(self.edges_in(zone), limit)
        self.findings.add(
            f"zone {zone} by emptying: nothing after 5 s",
            f"{late} requests",
            accepted[0] == 200 and late == 0,
        )
        self.fleet.call("POST", f"/v1/zones/{zone}/restore")
        self._back(zone, "emptying")
        self._judge_refusals(zone, "emptying", mark)

    def killing(self, zone: str) -> None:
        """All of the zone's processes and origins die at once, and start again."""
        mark = self._mark()
        keys = [key for key, process in self.fleet.processes.items() if process.zone == zone]
        origins = self.origins_in(zone)
        began = self.clock.now()
        for key in keys:
            self.fleet.kill(key)
        for address in origins:
            self.fleet.steer("crash", address)
        gevent.sleep(DARK_SECONDS)
        accepted = self.change_deadline()
        during = accepted is not None and accepted[0] == 200
        self.version = accepted[2]["version"] if during else self.version
        self.findings.add(
            f"zone {zone} by killing: configurations are still accepted",
            f"{accepted and accepted[0]}",
            during,
        )
        for key in keys:
            self.fleet.start(key)
        for address in origins:
            self.fleet.steer("start", address)
        for edge in self.edges_in(zone):
            self.excused.append((edge, began, self.clock.now()))
        self._back(zone, "killing")
        self._judge_refusals(zone, "killing", mark)

    def _back(self, zone, route):
        began = self.clock.now()
        edges = self.edges_in(zone)
        back = self.fleet.until(
            lambda: (
                self.all_up()
                and self.in_force()
                and all(self.edge_answers([edge], began // SECOND) > 0 for edge in edges)
            ),
            RETURN_SECONDS,
            0.1,
        )
        self.figures.setdefault("time to repair, s", {})[f"{zone} {route}"] = back and round(
            back, 2
        )
        self.findings.add(
            f"zone {zone} by {route}: back within 15 s",
            f"{rounded(back)} s",
            back is not None,
        )
