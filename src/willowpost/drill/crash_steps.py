"""Steps of the drill that kill, freeze and restart daemons, or take a store's disk away."""

import shutil

import gevent

from willowpost.common.clock import SECOND
from willowpost.drill.base import FORCE_SECONDS, RETURN_SECONDS, DrillBase, rounded


class CrashSteps(DrillBase):
    """What machines do: processes die alone and together, stand still, end as planned."""

    def kill_store_and_proxy(self) -> None:
        """A store and an edge are killed, and started again four seconds later."""
        store, proxy = self.core_names()[0] + "/wpstore", self.edge_names()[0] + "/wpproxy"
        edge = self.fleet.proxies()[proxy]
        began = self.clock.now()
        self.fleet.kill(store)
        self.fleet.kill(proxy)
        gevent.sleep(4)
        during = self.fleet.call("GET", "/v1/configuration", first=1)
        self.fleet.start(store)
        self.fleet.start(proxy)
        back = self.fleet.until(lambda: self.all_up() and self.in_force(), RETURN_SECONDS, 0.2)
        self.excused.append((edge, began, self.clock.now()))
        reply = self.fleet.call("GET", "/v1/configuration", first=0)
        self.figures["store and proxy back after kill -9, s"] = rounded(back)
        self.findings.add(
            "a killed store and proxy come back, nothing accepted lost",
            f"configuration {during and during[2].get('version')} during, "
            f"{reply[2]['version']} after, back in {rounded(back)} s",
            during[0] == 200
            and reply[2]["version"] == self.version
            and reply[2]["configuration"] is not None
            and back is not None,
        )

    def lose_disk(self) -> None:
        """A store is killed and starts again with an empty disk."""
        machine = self.core_names()[2]
        store = machine + "/wpstore"
        epoch = self.status()["epoch"]
        self.fleet.kill(store)
        shutil.rmtree(self.deployment.folder / machine / "store")
        self.fleet.start(store)
        took = self.fleet.until(
            lambda: (
                (status := self.status())
                and status["epoch"] == epoch + 1
                and not status["open"]
                and self.all_up()
            ),
            30,
            0.2,
        )
        self.figures["lost disk repaired without staff, s"] = rounded(took)
        self.findings.add(
            "a lost disk is repaired unattended",
            f"epoch {epoch} to {self.status()['epoch']} in {rounded(took)} s",
            took is not None,
        )

    def herd(self) -> None:
        """All stores are killed at once and started again at once."""
        stores = [f"{name}/wpstore" for name in self.core_names()]
        for store in stores:
            self.fleet.kill(store)
        for store in stores:
            self.fleet.start(store)
        began = self.clock.now()
        back = self.fleet.until(
            lambda: all(
                page["age_ms"] is not None and page["age_ms"] < 1000
                for page in self.fleet.stats().values()
            ),
            RETURN_SECONDS,
        )
        reply = self.fleet.call("GET", "/v1/configuration")
        self.excuse_refusals(began - SECOND, self.clock.now())
        self.figures["service back after all stores were killed, s"] = rounded(back)
        self.findings.add(
            "all stores killed at once: back within 15 s, nothing lost",
            f"{rounded(back)} s, version {reply and reply[2]['version']}",
            back is not None and reply[2]["version"] == self.version,
        )

    def restart_in_turn(self) -> None:
        """An edge and a shield end as planned and start again, one after the other."""
        drops = len(self.callers.tally.dropped)
        for proxy in (self.edge_names()[1] + "/wpproxy", self.shield_names()[0] + "/wpproxy"):
            code = self.fleet.stop(proxy)
            self.fleet.start(proxy)
            self.fleet.until(lambda: self.fleet.stats().get(proxy, {}).get("sound"), RETURN_SECONDS)
            self.findings.add(
                "a planned restart ends cleanly", f"{proxy} exit code {code}", code == 0
            )
        fresh = self.callers.tally.dropped[drops:]
        self.findings.add(
            "a planned restart drops nothing under way",
            f"{len(fresh)} dropped {fresh[:1] or ''}",
            not fresh,
        )

    def freeze(self) -> None:
        """An edge stands still while the configuration changes and all is purged."""
        edge = self.edge_names()[2] + "/wpproxy"
        began = self.clock.now()
        self.fleet.freeze(edge)
        accepted = self.change_deadline()
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
                observed[4] == address and observed[0] > thawed
                for observed in self.callers.tally.versions
            ),
            RETURN_SECONDS,
            0.2,
        )
        gevent.sleep(1)
        self.excused.append((address, began, self.clock.now()))
        self.excuse_refusals(began, self.clock.now())
        old = [
            observed
            for observed in self.callers.tally.versions
            if observed[4] == address
            and observed[1] < version
            and observed[0] > moment + FORCE_SECONDS * SECOND
        ]
        answered = [
            observed
            for observed in self.callers.tally.versions
            if observed[4] == address and observed[0] > moment + FORCE_SECONDS * SECOND
        ]
        self.findings.add(
            "a thawed proxy delivers nothing of its old snapshot",
            f"{len(old)} old of {len(answered)} answers by it",
            not old and answered,
        )
