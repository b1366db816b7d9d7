"""More of what fails, on running processes: swapped seeds, daemons stopped past the lease.

Power lost while writing, a core machine replaced at a new address, origins that restart or are
replaced without a word.
"""

import gevent

from willowpost.common.clock import SECOND
from willowpost.drill.base import DrillBase, rounded

QUIET_SECONDS = 6
ROUNDS_OF_POWER = 5


class LossSteps(DrillBase):
    """Steps of the fleet drill.

    Invariant: refusals count in all of them but while daemons stand still; the fleet is asked to
    bear each.
    """

    def swapped_seeds(self) -> None:
        """Every process is told other seeds; then some that have only those start again.

        A store among them.
        """
        registries = [self.deployment.registry(machine) for machine in self.deployment.cores()[2:]]
        for process in self.fleet.processes.values():
            process.settings["seeds"] = [
                address for address in registries if address != process.settings["address"]
            ][:3]
            self.fleet.reload(process.key)
        heard = self.fleet.until(
            lambda: all(
                self.fleet.has_logged(key, "settings: read again") for key in self.fleet.processes
            ),
            5,
        )
        edge, store = self.edge_names()[3] + "/wpproxy", self.core_names()[0] + "/wpstore"
        self.fleet.stop(edge)
        self.fleet.kill(store)
        for key in (edge, store):
            self.fleet.start(key)
        back = self.fleet.until(lambda: self.all_up() and self.in_force(), 15, 0.2)
        self.findings.add(
            "swapped seeds: heard by all, and enough to start by",
            f"heard in {rounded(heard)} s, back in {rounded(back)} s",
            heard is not None and back is not None,
        )

    def stopped_past_the_lease(self) -> None:
        """A store, a registry and two edges stand still for four seconds, and go on."""
        edges = [name + "/wpproxy" for name in self.edge_names()[4:6]]
        keys = [self.core_names()[0] + "/wpstore", self.core_names()[1] + "/wpregistry", *edges]
        began = self.clock.now()
        for key in keys:
            self.fleet.freeze(key)
        gevent.sleep(1)
        accepted = self.change_deadline()
        self.version = accepted[2]["version"]
        gevent.sleep(3)
        for key in keys:
            self.fleet.thaw(key)
        back = self.fleet.until(lambda: self.all_up() and self.in_force(), 15, 0.1)
        for edge in edges:  # callers under way there waited, and some gave up
            self.excused.append((self.fleet.proxies()[edge], began - 4 * SECOND, self.clock.now()))
        self.excuse_refusals(began, self.clock.now())
        self.findings.add(
            "daemons stopped past the lease: whole again within 15 s",
            f"{rounded(back)} s",
            back is not None,
        )

    def power_loss(self) -> None:
        """Stores die in the middle of their writes, one or two at a time.

        Three operators send configurations all the while.
        """
        accepted, stopped = [self.version], []

        def operate(number):
            while not stopped:
                reply = self.fleet.call(
                    "PUT", "/v1/configuration", self.configuration, None, number
                )
                if reply is not None and reply[0] == 200:
                    accepted.append(reply[2]["version"])

        tasks = [gevent.spawn(operate, number) for number in range(3)]
        stores = [name + "/wpstore" for name in self.core_names()]
        for number in range(ROUNDS_OF_POWER):
            dying = [stores[number % 5], stores[(number + 2) % 5]][: 1 + number % 2]
            gevent.sleep(0.7)
            for key in dying:
                self.fleet.kill(key)
            gevent.sleep(1.0)
            for key in dying:
                self.fleet.start(key)
            self.fleet.until(self.all_up, 15, 0.2)
        stopped.append(True)
        gevent.joinall(tasks, timeout=10)
        reply = self.fleet.call("GET", "/v1/configuration", first=2)
        self.version = reply[2]["version"]
        self.findings.add(
            "power lost while writing: what was accepted stands",
            f"{len(accepted)} configurations, last {max(accepted)}, read back {self.version}",
            self.version >= max(accepted),
        )

    def new_machine(self) -> None:
        """A core machine is gone for good; an empty one comes up at an address of its own."""
        lost, epoch = self.core_names()[1], self.status()["epoch"]
        began = self.clock.now()
        for key in [
            key for key, process in self.fleet.processes.items() if process.machine == lost
        ]:
            self.fleet.kill(key)
            del self.fleet.processes[key]
        gevent.sleep(4)
        name = self.deployment.replace(lost)
        for process in self.deployment.processes():
            if process.machine == name:
                self.fleet.processes[process.key] = process
                self.fleet.start(process.key)

        def voters():
            return {member["name"] for member in self.status().get("core", ())}

        took = self.fleet.until(
            lambda: self.status()["epoch"] == epoch + 1 and name in voters() and self.all_up(),
            30,
            0.2,
        )
        self.figures["machine replaced by an empty one, voter after, s"] = rounded(took)
        self.findings.add(
            "a core machine replaced at a new address votes, unattended",
            f"{rounded(took)} s, gone for {(self.clock.now() - began) / SECOND:.1f} s",
            took is not None,
        )

    def origins_without_a_word(self) -> None:
        """An origin restarts, another gives its address to the other service's service.

        Both serve for six seconds before they say so.
        """
        services = sorted(self.deployment.configuration["services"])
        addresses = {
            service: [
                origin["address"]
                for origin in self.deployment.origins
                if origin["service"] == service
            ]
            for service in services
        }
        restarted, taken = addresses[services[0]][1], addresses[services[1]][1]
        speaks = self.clock.now() + QUIET_SECONDS * SECOND  # not before
        self.fleet.steer("move", restarted, quiet=QUIET_SECONDS)
        self.fleet.steer("move", taken, service=services[0], quiet=QUIET_SECONDS)
        since = self.clock.now() // SECOND
        gevent.sleep(max(0, (speaks - self.clock.now()) / SECOND - 0.5))
        seen, until = self.fleet.ledger()["seen"], self.clock.now()
        self.findings.add(
            "the look at origins without a word came in time",
            f"{(speaks - until) / SECOND:.2f} s left",
            until < speaks,
        )
        for address, words in (
            (restarted, "a silently restarted origin gets nothing before it says so"),
            (taken, "an address taken over without a word gets nothing of its former service"),
        ):
            count = sum(
                count for second, count in seen.get(address, {}).items() if int(second) > since
            )
            self.findings.add(words, f"{count} requests in {QUIET_SECONDS} s", count == 0)
        self.fleet.steer("move", taken, service=services[1])
        self.fleet.until(
            self.all_warm,
            20,
            0.5,
        )
