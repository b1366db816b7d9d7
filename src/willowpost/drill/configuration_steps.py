"""Steps of the drill that change the configuration and purge what is kept."""

import copy
import json

import gevent

from willowpost.common.clock import SECOND
from willowpost.drill.base import FORCE_SECONDS, DrillBase

LARGE_ROUTES = 5000
PURGE_CALLS, PURGE_ITEMS = 10, 1000
OVER_THE_LIMIT = b"{" + b" " * (4 * 1024 * 1024) + b"}"


class ConfigurationSteps(DrillBase):
    """What operators do: configurations small, large, wrong and racing; purges alone and many."""

    def configuration_change(self) -> None:
        """One setting changes; then an invalid and a stale configuration."""
        self.configuration["settings"]["deadline_ms"] = 2500
        self.put_configuration("a changed configuration in force everywhere within 2 s")
        refused = self.fleet.call("PUT", "/v1/configuration", {**self.configuration, "nonsense": 1})
        stale = self.fleet.call("PUT", "/v1/configuration", self.configuration, {"If-Match": '"1"'})
        reply = self.fleet.call("GET", "/v1/configuration", first=1)
        self.findings.add(
            "an invalid or stale configuration changes nothing",
            f"{refused[0]}, {stale[0]}, still {reply[2]['version']}",
            refused[0] == 422 and stale[0] == 412 and reply[2]["version"] == self.version,
        )

    def large_configuration(self) -> None:
        """Thousands of routes beside the ones in use."""
        extra = {
            f"w{number}": {
                "path": f"/bulk/{number}",
                "settings": {"deadline_ms": 1000 + number % 500, "zones": self.deployment.zones},
            }
            for number in range(LARGE_ROUTES)
        }
        configuration, service = (
            copy.deepcopy(self.configuration),
            next(iter(self.configuration["services"])),
        )
        self.configuration["branches"]["bulk"] = {
            "host": "bulk.example",
            "settings": {"service": service},
            "branches": extra,
        }
        size = len(json.dumps(self.configuration))
        mark = len(self.callers.tally.refusals)
        self.put_configuration(
            f"a configuration of {size // 1024} KiB and {LARGE_ROUTES} routes "
            "in force everywhere within 2 s"
        )
        gevent.sleep(2)
        over = self.fleet.call("PUT", "/v1/configuration", OVER_THE_LIMIT)
        self.findings.add(
            "a configuration over the limit is refused",
            f"{over and over[0]}",
            over is not None and over[0] == 413,
        )
        self.configuration = configuration
        self.put_configuration("the small configuration again in force everywhere within 2 s")
        self.figures["refusals while a large configuration came and went"] = (
            len(self.callers.tally.refusals) - mark
        )

    def purge_fault_schedule(self) -> None:
        """Ten purges of a thousand items each under load, then one that must still be in time."""
        items = [
            [
                {"kind": "item", "path": f"/cards/{batch * PURGE_ITEMS + number}"}
                for number in range(PURGE_ITEMS)
            ]
            for batch in range(PURGE_CALLS)
        ]
        began = self.clock.now()
        tasks = [
            gevent.spawn(self.fleet.call, "POST", "/v1/purges", {"items": batch}, None, number)
            for number, batch in enumerate(items)
        ]
        codes = [task.get() and task.get()[0] for task in tasks]
        self.figures["10000 purges accepted, s"] = round((self.clock.now() - began) / SECOND, 2)
        self.findings.add(
            "a fault schedule of purges is accepted",
            f"{codes.count(200)} of {len(codes)} calls",
            codes.count(200) == len(codes),
        )
        self.purge("purged content is gone within 2 s, behind a fault schedule")

    def racing_operators(self) -> None:
        """Two operators propose different configurations at once against one version."""
        first, second = copy.deepcopy(self.configuration), copy.deepcopy(self.configuration)
        first["settings"]["tries"], second["settings"]["tries"] = 2, 3
        match = {"If-Match": f'"{self.version}"'}
        tasks = [
            gevent.spawn(self.fleet.call, "PUT", "/v1/configuration", tree, match, number)
            for number, tree in enumerate((first, second))
        ]
        answers = [task.get() for task in tasks]
        codes = sorted(answer[0] for answer in answers)
        winner = (first, second)[0 if answers[0][0] == 200 else 1]
        reply = self.fleet.call("GET", "/v1/configuration", first=3)
        self.findings.add(
            "two operators at once get truthful answers",
            f"{codes}, read back {reply[2]['version']}",
            codes == [200, 412]
            and reply[2]["configuration"]["settings"]["tries"] == winner["settings"]["tries"],
        )
        self.configuration, self.version = winner, reply[2]["version"]

    def purge(self, label: str = "purged content is gone within 2 s") -> None:
        """The content changes and all of it is purged: no old answer after the bound."""
        version = self.fleet.steer("version")[2]["version"]
        accepted = self.fleet.call(
            "POST", "/v1/purges", {"items": [{"kind": "prefix", "path": "/"}]}
        )
        moment = self.clock.now()
        gevent.sleep(FORCE_SECONDS + 3)
        late = [
            observed
            for observed in self.callers.tally.versions
            if observed[0] > moment + FORCE_SECONDS * SECOND and observed[1] < version
        ]
        checked = sum(
            observed[0] > moment + FORCE_SECONDS * SECOND
            for observed in self.callers.tally.versions
        )
        last = max(
            (
                observed[0]
                for observed in self.callers.tally.versions
                if observed[0] > moment and observed[1] < version
            ),
            default=moment,
        )
        self.figures["last old answer after a purge, ms"] = (last - moment) // 1000
        self.findings.add(
            label,
            f"{len(late)} old of {checked}, the last {(last - moment) / SECOND:.2f} s after",
            accepted[0] == 200 and checked > 0 and not late,
        )
