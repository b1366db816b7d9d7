"""What every step of a fleet drill works with: the fleet, its callers, figures and findings."""

import copy

from willowpost.common.clock import Clock
from willowpost.drill.fleet import Fleet
from willowpost.drill.rules import Findings
from willowpost.stand_ins.callers import Callers
from willowpost.stand_ins.http_call import ask

FORCE_SECONDS = 2.0  # until an accepted configuration is in force at every proxy
RETURN_SECONDS = 15.0  # until all is whole again after a fault
FORCE_LOOK_SECONDS = 10
CONFIGURATION_FIGURE = "configuration in force everywhere, s"
NOBODY_ANSWERS = {"origins": {}, "daemons": {}, "open": [1], "epoch": 0}


def rounded(seconds: float | None) -> float | None:
    """Seconds as they are printed; None stays None: it did not come about in time."""
    return seconds and round(seconds, 2)


class DrillBase:
    """A running fleet under its callers' load, seen from the outside.

    Attributes:
        figures: What was measured, by name, as printed at the end.
        findings: One row for each promise that was judged.
        excused: (edge or None, from, to) in µs: an edge was killed or frozen then.
        excused_refusals: (from, to) in µs: refusals were the honest answer then.
        configuration: The configuration that was proposed last.
        version: Its version, once it was accepted.
    """

    def __init__(self, fleet: Fleet, rate: float, seed: int, say):
        self.fleet, self.deployment, self.say = fleet, fleet.deployment, say
        self.clock, self.findings = Clock(), Findings()
        self.excused: list[tuple] = []
        self.excused_refusals: list[tuple[int, int]] = []
        self.rate = rate
        self.callers = Callers(
            self.clock, fleet.edges(), self.deployment.mix, self.deployment.host, rate, seed
        )
        self.figures: dict = {}
        self.configuration: dict = copy.deepcopy(self.deployment.configuration)
        self.version = 0
        self.since = 0

    def excuse_refusals(self, start: int, end: int) -> None:
        """No quorum, or origins broken on purpose: refusals are the honest answer then."""
        self.excused_refusals.append((start, end))

    def put_configuration(self, rule: str) -> None:
        """Propose the configuration, and judge how soon it is in force at every proxy.

        Raises:
            RuntimeError: It was not accepted.
        """
        accepted = self.fleet.call("PUT", "/v1/configuration", self.configuration)
        if accepted is None or accepted[0] != 200:
            raise RuntimeError(f"the configuration was not accepted: {accepted}")
        self.version = accepted[2]["version"]
        took = self.fleet.until(self.in_force, FORCE_LOOK_SECONDS, 0.02)
        self.figures.setdefault(CONFIGURATION_FIGURE, []).append(rounded(took))
        self.findings.add(rule, f"{rounded(took)} s", took is not None and took <= FORCE_SECONDS)

    def change_deadline(self):
        """Propose the configuration with another deadline; the answer, or None."""
        self.configuration["settings"]["deadline_ms"] += 1
        return self.fleet.call("PUT", "/v1/configuration", self.configuration)

    def in_force(self) -> bool:
        """Whether every proxy says that it has the last accepted configuration, or a later one."""
        stats = self.fleet.stats()
        return len(stats) == len(self.fleet.proxies()) and all(
            each["version"] >= self.version for each in stats.values()
        )

    def all_up(self) -> bool:
        """Whether the log counts as many daemons up as there are processes."""
        daemons = self.status()["daemons"].values()
        return sum(daemon["state"] == "up" for daemon in daemons) >= len(self.fleet.processes)

    def all_warm(self) -> bool:
        """Whether every origin is warm."""
        return all(origin["state"] == "warm" for origin in self.status()["origins"].values())

    def status(self) -> dict:
        """The status page of the first registry that answers."""
        reply = self.fleet.call("GET", "/v1/status")
        return reply[2] if reply else NOBODY_ANSWERS

    def statuses(self) -> list:
        """The answers of all registries that answer."""
        answers = [ask(address, "GET", "/v1/status") for address in self.fleet.registries()]
        return [reply for reply in answers if reply]

    def summed_stats(self) -> dict[str, int]:
        """Counts of all proxies together."""
        total = {"hits": 0, "requests": 0, "extras": 0, "tries": 0}
        for page in self.fleet.stats().values():
            for name in total:
                total[name] += page["stats"].get(name, 0)
        return total

    def core_names(self) -> list[str]:
        """Machines with a store and a registry."""
        return [machine["name"] for machine in self.deployment.cores()]

    def edge_names(self) -> list[str]:
        """Machines whose proxy is an edge."""
        return self._names("edge")

    def shield_names(self) -> list[str]:
        """Machines whose proxy is a shield."""
        return self._names("shield")

    def _names(self, kind):
        return [machine["name"] for machine in self.deployment.machines if machine["kind"] == kind]

    def edges_in(self, zone: str) -> set[str]:
        """Addresses where callers reach the edges of a zone."""
        return {
            self.deployment.proxy_http(machine)
            for machine in self.deployment.machines
            if machine["zone"] == zone and machine["kind"] == "edge"
        }

    def origins_in(self, zone: str) -> list[str]:
        """Addresses of a zone's origins."""
        return [origin["address"] for origin in self.deployment.origins if origin["zone"] == zone]

    def origin_requests(self, addresses: list[str], after: int) -> int:
        """How many requests these origins saw in whole seconds after `after`."""
        seen = self.fleet.ledger()["seen"]
        return sum(
            count
            for address in addresses
            for second, count in seen.get(address, {}).items()
            if int(second) > after
        )

    def edge_answers(self, edges, after: int) -> int:
        """How many answers callers had of these edges in whole seconds after `after`."""
        per_edge = self.callers.tally.per_edge
        return sum(
            count
            for edge in edges
            for second, count in per_edge.get(edge, {}).items()
            if second > after
        )
