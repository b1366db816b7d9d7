"""The fleet drill: a deployment on this machine under its peak mix, broken and mended in order."""

import copy
import json
import shutil

import gevent

from willowpost.common.clock import SECOND, Clock
from willowpost.drill.fleet import Fleet
from willowpost.drill.losses import LossSteps
from willowpost.drill.rules import COLD_OVER, Findings, TrafficRules
from willowpost.stand_ins.callers import Callers

FORCE_SECONDS = 2.0
RETURN_SECONDS = 15.0
LARGE_ROUTES = 5000


class FleetDrill(LossSteps):
    """Invariant: every promise in the table is judged from the outside, on the running processes."""

    def __init__(self, fleet: Fleet, rate: float, seed: int, say):
        self.fleet, self.deployment, self.say = fleet, fleet.deployment, say
        self.clock, self.findings, self.excused = Clock(), Findings(), []
        self.rate = rate
        self.callers = Callers(
            self.clock, fleet.edges(), self.deployment.mix, self.deployment.host, rate, seed
        )
        self.figures: dict = {}
        self.version = 0

    def run(self, steps) -> Findings:
        self.open()
        for step in steps:
            self.say(f"step: {step}")
            getattr(self, step)()
        return self.close()

    def open(self) -> None:
        fleet = self.fleet
        fleet.start_all()
        ready = fleet.ready()
        if ready is None:
            raise RuntimeError("the fleet did not come up")
        self.figures["founded and joined, s"] = round(ready, 2)
        fleet.start_origins()
        want = len(self.deployment.origins)
        fleet.until(lambda: len(self._status()["origins"]) == want, 20)
        self.configuration = copy.deepcopy(self.deployment.configuration)
        self._put("first configuration in force everywhere within 2 s")
        self.callers.start()
        for part in (0.1, 0.25, 0.5, 0.75):  # the morning: callers come as origins warm
            self.callers.rate = self.rate * part
            gevent.sleep(3)
        self.callers.rate = self.rate
        fleet.until(
            lambda: all(card["state"] == "warm" for card in self._status()["origins"].values()), 20
        )
        gevent.sleep(1)
        self.since = self.clock.now()

    def steady(self) -> None:
        began = self.clock.now()
        before = self._sum_stats()
        gevent.sleep(15)
        span = (self.clock.now() - began) / SECOND
        held = sorted(took for start, took in self.callers.tally.latencies if start >= began)
        after = self._sum_stats()
        self.figures |= {
            "served, requests/s": round(len(held) / span, 1),
            "latency p50, ms": round(held[len(held) // 2] / 1000, 2),
            "latency p99, ms": round(held[int(len(held) * 0.99)] / 1000, 2),
            "hits at edges and shields, part of requests there": round(
                (after["hits"] - before["hits"]) / max(1, after["requests"] - before["requests"]), 3
            ),
        }

    def configuration_change(self) -> None:
        self.configuration["settings"]["deadline_ms"] = 2500
        self._put("a changed configuration in force everywhere within 2 s")
        refused = self.fleet.call("PUT", "/v1/configuration", {**self.configuration, "nonsense": 1})
        stale = self.fleet.call("PUT", "/v1/configuration", self.configuration, {"If-Match": '"1"'})
        held = self.fleet.call("GET", "/v1/configuration", first=1)
        self.findings.add(
            "an invalid or stale configuration changes nothing",
            f"{refused[0]}, {stale[0]}, still {held[2]['version']}",
            refused[0] == 422 and stale[0] == 412 and held[2]["version"] == self.version,
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
        held, service = (
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
        self._put(
            f"a configuration of {size // 1024} KiB and {LARGE_ROUTES} routes in force everywhere within 2 s"
        )
        gevent.sleep(2)
        over = self.fleet.call("PUT", "/v1/configuration", b"{" + b" " * (4 * 1024 * 1024) + b"}")
        self.findings.add(
            "a configuration over the limit is refused",
            f"{over and over[0]}",
            over is not None and over[0] == 413,
        )
        self.configuration = held
        self._put("the small configuration again in force everywhere within 2 s")
        self.figures["refusals while a large configuration came and went"] = (
            len(self.callers.tally.refusals) - mark
        )

    def purge_fault_schedule(self) -> None:
        """Ten calls of a thousand items each, while the mix runs.

        Then one purge that must still be in time.
        """
        items = [
            [{"kind": "item", "path": f"/cards/{batch * 1000 + number}"} for number in range(1000)]
            for batch in range(10)
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
        held = self.fleet.call("GET", "/v1/configuration", first=3)
        self.findings.add(
            "two operators at once get truthful answers",
            f"{codes}, read back {held[2]['version']}",
            codes == [200, 412]
            and held[2]["configuration"]["settings"]["tries"] == winner["settings"]["tries"],
        )
        self.configuration, self.version = winner, held[2]["version"]

    def purge(self, label: str = "purged content is gone within 2 s") -> None:
        version = self.fleet.steer("version")[2]["version"]
        accepted = self.fleet.call(
            "POST", "/v1/purges", {"items": [{"kind": "prefix", "path": "/"}]}
        )
        moment = self.clock.now()
        gevent.sleep(FORCE_SECONDS + 3)
        late = [
            held
            for held in self.callers.tally.versions
            if held[0] > moment + FORCE_SECONDS * SECOND and held[1] < version
        ]
        checked = sum(
            held[0] > moment + FORCE_SECONDS * SECOND for held in self.callers.tally.versions
        )
        last = max(
            (
                held[0]
                for held in self.callers.tally.versions
                if held[0] > moment and held[1] < version
            ),
            default=moment,
        )
        self.figures["last old answer after a purge, ms"] = (last - moment) // 1000
        self.findings.add(
            label,
            f"{len(late)} old of {checked}, the last {(last - moment) / SECOND:.2f} s after",
            accepted[0] == 200 and checked > 0 and not late,
        )

    def kill_store_and_proxy(self) -> None:
        store, proxy = self._cores()[0] + "/wpstore", self._edges()[0] + "/wpproxy"
        edge = self.fleet.proxies()[proxy]
        began = self.clock.now()
        self.fleet.kill(store)
        self.fleet.kill(proxy)
        gevent.sleep(4)
        during = self.fleet.call("GET", "/v1/configuration", first=1)
        self.fleet.start(store)
        self.fleet.start(proxy)
        back = self.fleet.until(lambda: self._all_up() and self._in_force(), RETURN_SECONDS, 0.2)
        self.excused.append((edge, began, self.clock.now()))
        held = self.fleet.call("GET", "/v1/configuration", first=0)
        self.figures["store and proxy back after kill -9, s"] = back and round(back, 2)
        self.findings.add(
            "a killed store and proxy come back, nothing accepted lost",
            f"configuration {during and during[2].get('version')} during, {held[2]['version']} after, back in {back and round(back, 2)} s",
            during[0] == 200
            and held[2]["version"] == self.version
            and held[2]["configuration"] is not None
            and back is not None,
        )

    def lose_disk(self) -> None:
        machine = self._cores()[2]
        store = machine + "/wpstore"
        epoch = self._status()["epoch"]
        self.fleet.kill(store)
        shutil.rmtree(self.deployment.folder / machine / "store")
        self.fleet.start(store)
        took = self.fleet.until(
            lambda: (
                (held := self._status())
                and held["epoch"] == epoch + 1
                and not held["open"]
                and self._all_up()
            ),
            30,
            0.2,
        )
        self.figures["lost disk repaired without staff, s"] = took and round(took, 2)
        self.findings.add(
            "a lost disk is repaired unattended",
            f"epoch {epoch} to {self._status()['epoch']} in {took and round(took, 2)} s",
            took is not None,
        )

    def herd(self) -> None:
        stores = [f"{name}/wpstore" for name in self._cores()]
        for store in stores:
            self.fleet.kill(store)
        for store in stores:
            self.fleet.start(store)
        began = self.clock.now()
        back = self.fleet.until(
            lambda: all(
                held["age_ms"] is not None and held["age_ms"] < 1000
                for held in self.fleet.stats().values()
            ),
            RETURN_SECONDS,
        )
        held = self.fleet.call("GET", "/v1/configuration")
        self.excuse_refusals(began - SECOND, self.clock.now())
        self.figures["service back after all stores were killed, s"] = back and round(back, 2)
        self.findings.add(
            "all stores killed at once: back within 15 s, nothing lost",
            f"{back and round(back, 2)} s, version {held and held[2]['version']}",
            back is not None and held[2]["version"] == self.version,
        )

    def restart_in_turn(self) -> None:
        drops = len(self.callers.tally.dropped)
        for proxy in (self._edges()[1] + "/wpproxy", self._shields()[0] + "/wpproxy"):
            code = self.fleet.stop(proxy)
            self.fleet.start(proxy)
            self.fleet.until(lambda: self.fleet.stats().get(proxy, {}).get("sound"), RETURN_SECONDS)
            self.findings.add(
                "a planned restart ends cleanly", f"{proxy} exit code {code}", code == 0
            )
        fresh = [held for held in self.callers.tally.dropped[drops:]]
        self.findings.add(
            "a planned restart drops nothing under way",
            f"{len(fresh)} dropped {fresh[:1] or ''}",
            not fresh,
        )

    def freeze(self) -> None:
        edge = self._edges()[2] + "/wpproxy"
        began = self.clock.now()
        self.fleet.freeze(edge)
        self.configuration["settings"]["deadline_ms"] += 1
        accepted = self.fleet.call("PUT", "/v1/configuration", self.configuration)
        self.version = accepted[2]["version"]
        version = self.fleet.steer("version")[2]["version"]
        self.fleet.call("POST", "/v1/purges", {"items": [{"kind": "all"}]})
        moment = self.clock.now()
        gevent.sleep(5)
        self.fleet.thaw(edge)
        thawed, address = self.clock.now(), self.fleet.proxies()[edge]
        # held lost meanwhile, it calls itself sound again only when it has been counted for two
        # seconds
        self.fleet.until(
            lambda: any(
                held[4] == address and held[0] > thawed for held in self.callers.tally.versions
            ),
            RETURN_SECONDS,
            0.2,
        )
        gevent.sleep(1)
        self.excused.append((address, began, self.clock.now()))
        self.excuse_refusals(began, self.clock.now())
        old = [
            held
            for held in self.callers.tally.versions
            if held[4] == address
            and held[1] < version
            and held[0] > moment + FORCE_SECONDS * SECOND
        ]
        answered = [
            held
            for held in self.callers.tally.versions
            if held[4] == address and held[0] > moment + FORCE_SECONDS * SECOND
        ]
        self.findings.add(
            "a thawed proxy delivers nothing of its old snapshot",
            f"{len(old)} old of {len(answered)} answers by it",
            not old and answered,
        )

    def origins_break(self) -> None:
        """Wrong bytes, short answers, lost answers, slowness, a crash, a drain: one origin each.

        One after another.
        """
        by_service = {}
        for origin in self.deployment.origins:
            by_service.setdefault(origin["service"], []).append(origin["address"])
        for addresses in by_service.values():
            for mode in ("lying", "short", "lost"):
                self.fleet.steer("mode", addresses[0], mode=mode)
                gevent.sleep(2)
            self.fleet.steer("mode", addresses[0], mode="sound")
        began = self.clock.now()
        drained, crashed = (addresses[1] for addresses in by_service.values())
        self.fleet.steer("crash", crashed)
        self.fleet.steer("drain", drained)
        learned = self.clock.now()
        gone = self.fleet.until(
            lambda: (
                not any(card["address"] == crashed for card in self._status()["origins"].values())
            ),
            15,
        )
        gevent.sleep(3)
        seen = self.fleet.ledger()["seen"].get(drained, {})
        late = sum(
            count
            for second, count in seen.items()
            if int(second) > (learned + FORCE_SECONDS * SECOND) // SECOND
        )
        self.excuse_refusals(began - 14 * SECOND, self.clock.now())
        self.findings.add(
            "a silent origin is noticed and taken out",
            f"{gone and round(gone, 2)} s",
            gone is not None,
        )
        self.findings.add(
            "a leaving origin gets nothing after 2 s", f"{late} requests after", late == 0
        )
        self.fleet.steer("start", crashed)
        self.fleet.steer("leave", drained)
        began = self.clock.now()
        gevent.sleep(10)
        for address in (crashed,):
            rate = next(
                origin["rate"] for origin in self.deployment.origins if origin["address"] == address
            )
            counts = self.fleet.ledger()["seen"].get(address, {})
            first = max(
                (
                    count
                    for second, count in counts.items()
                    if began // SECOND <= int(second) <= began // SECOND + 2
                ),
                default=0,
            )
            self.findings.add(
                "a cold origin is let warm",
                f"at most {first} in one of its first seconds, bears {rate / 4:.0f} cold",
                first <= COLD_OVER * (rate / 4 + 3 * rate * 0.75 / 8),
            )

    def empty_zone(self) -> None:
        zone = self.deployment.zones[1]
        accepted = self.fleet.call("POST", f"/v1/zones/{zone}/empty")
        asked = self.clock.now()
        gevent.sleep(9)
        seen = self.fleet.ledger()["seen"]
        in_zone = [
            origin["address"] for origin in self.deployment.origins if origin["zone"] == zone
        ]
        late = sum(
            count
            for address in in_zone
            for second, count in seen.get(address, {}).items()
            if int(second) > (asked + 5 * SECOND) // SECOND
        )
        edges = {
            self.deployment.proxy_http(machine)
            for machine in self.deployment.machines
            if machine["zone"] == zone and machine["kind"] == "edge"
        }
        served = sum(
            count
            for edge in edges
            for second, count in self.callers.tally.per_edge.get(edge, {}).items()
            if second > (asked + 5 * SECOND) // SECOND
        )
        self.findings.add(
            "an emptied zone gets nothing after 5 s",
            f"{late} at its origins, {served} at its edges",
            accepted[0] == 200 and late == 0 and served == 0,
        )
        self.fleet.call("POST", f"/v1/zones/{zone}/restore")
        restored = self.clock.now()
        back = self.fleet.until(
            lambda: any(
                second > restored // SECOND
                for edge in edges
                for second in self.callers.tally.per_edge.get(edge, {})
            ),
            RETURN_SECONDS,
        )
        self.findings.add(
            "a restored zone serves again within 15 s",
            f"{back and round(back, 2)} s",
            back is not None,
        )

    def close(self) -> Findings:
        gevent.sleep(1)
        self.callers.stop()
        ledger = self.fleet.ledger()
        ledger["paths"] = {kind["path"].strip("/"): kind["service"] for kind in self.deployment.mix}
        tally = self.callers.tally
        tally.refusals = [
            held
            for held in tally.refusals
            if not any(start <= held[0] <= end for start, end in self.quiet)
        ]
        TrafficRules(
            tally, ledger, self.configuration["services"], self.deployment.origins, self.excused
        ).judge(self.findings, self.since)
        held = self.fleet.call("GET", "/v1/configuration", first=2)
        self.findings.add(
            "read back: the last accepted configuration",
            f"version {held[2]['version']} of {self.version}",
            held[2]["version"] == self.version
            and held[2]["configuration"]["settings"] == {**self.configuration["settings"]},
        )
        whole = self.fleet.until(
            lambda: len({ask[2]["digest"] for ask in self._statuses()}) == 1, 5
        )
        self.findings.add(
            "every registry holds the same tables",
            f"after {whole and round(whole, 2)} s",
            whole is not None,
        )
        stats = self._sum_stats()
        self.findings.add(
            "extra tries within a fifth and sixty",
            f"{stats['extras']} extra on {stats['tries']} tries",
            stats["extras"]
            <= 0.2 * stats["tries"] + 60 * max(1, (self.clock.now() - self.since) / (10 * SECOND)),
        )
        return self.findings

    quiet: list = []

    def excuse_refusals(self, start: int, end: int) -> None:
        """No quorum, or origins broken on purpose: refusals are the honest answer then."""
        self.quiet = [*self.quiet, (start, end)]

    def _put(self, rule) -> None:
        accepted = self.fleet.call("PUT", "/v1/configuration", self.configuration)
        if accepted is None or accepted[0] != 200:
            raise RuntimeError(f"the configuration was not accepted: {accepted}")
        self.version = accepted[2]["version"]
        took = self.fleet.until(self._in_force, 10, 0.02)
        self.figures.setdefault("configuration in force everywhere, s", []).append(
            took and round(took, 2)
        )
        self.findings.add(
            rule, f"{took and round(took, 2)} s", took is not None and took <= FORCE_SECONDS
        )

    def _in_force(self) -> bool:
        held = self.fleet.stats()
        return len(held) == len(self.fleet.proxies()) and all(
            each["version"] >= self.version for each in held.values()
        )

    def _all_up(self) -> bool:
        held = self._status()
        return sum(card["state"] == "up" for card in held["daemons"].values()) >= len(
            self.fleet.processes
        )

    def _status(self) -> dict:
        held = self.fleet.call("GET", "/v1/status")
        return held[2] if held else {"origins": {}, "daemons": {}, "open": [1], "epoch": 0}

    def _statuses(self):
        from willowpost.stand_ins.callers import ask

        return [
            held
            for held in (ask(address, "GET", "/v1/status") for address in self.fleet.registries())
            if held
        ]

    def _sum_stats(self) -> dict:
        total = {"hits": 0, "requests": 0, "extras": 0, "tries": 0}
        for held in self.fleet.stats().values():
            for name in total:
                total[name] += held["stats"].get(name, 0)
        return total

    def _cores(self):
        return [machine["name"] for machine in self.deployment.cores()]

    def _edges(self):
        return [
            machine["name"] for machine in self.deployment.machines if machine["kind"] == "edge"
        ]

    def _shields(self):
        return [
            machine["name"] for machine in self.deployment.machines if machine["kind"] == "shield"
        ]
