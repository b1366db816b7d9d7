"""Faults of machines and processes: killed, dark, frozen, wiped, restarted as planned."""

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.sim.fleet.faults.base import FaultSteps

SLOW_STEP = 3 * MILLISECOND
NEWCOMERS = 2  # core machines that are replaced in one run, at most


class MachineFaults(FaultSteps):
    """Whole machines, or single processes of them."""

    def kill_store(self):
        """A store dies."""
        self._kill([self._one(self.world.stores())])

    def kill_registry(self):
        """A registry dies."""
        self._kill([self._one(self.world.registries)])

    def kill_proxy(self):
        """An edge dies."""
        self._kill([self._one(self.world.edges)])

    def kill_shield(self):
        """A shield dies."""
        self._kill([self._one(self.world.shields)])

    def kill_edges(self):
        """All edges die."""
        self._kill(self.world.edges)

    def kill_stores(self):
        """All stores die at once and start again."""
        up = self._up(self.world.stores())
        self._kill(up)
        for name in up:
            self.world.start(name)

    def dark_zone(self):
        """A zone loses power: nothing refuses connections for its machines."""
        names = self._up(self.world.zone_seats(self._one("abcd")))
        self._kill(names)
        for name in names:
            self.world.seats[name].dark = True

    def lose_disk(self):
        """At most one disk is lost at a time: the fleet is asked to bear one."""
        world = self.world
        holders = [
            voter.name
            for _, node_state in world.node_states()
            for voter in node_state.tables.voters
        ]
        whole = {
            name
            for name in world.names
            if any(
                seat.address == name and node_state.is_voter
                for seat, node_state in world.node_states()
            )
        }
        if holders and len(whole) == 5:
            name = self._one(world.names)
            world.crash(name, lose_disk=True)
            world.start(name)

    def newcomer(self):
        """A core machine is gone for good; an empty one stands up at a new address."""
        world = self.world
        voters = {seat.address for seat, node_state in world.node_states() if node_state.is_voter}
        if (
            self.newcomers < NEWCOMERS
            and len(voters) == 5
            and voters <= set(self._up(world.stores()))
        ):
            self.newcomers += 1
            lost = self._one(sorted(voters))
            zone = world.zones[lost]
            world.crash(lost, lose_disk=True)
            name = f"s{9 - self.newcomers}"
            world.seats[lost].retired = True
            world.names = [other for other in world.names if other != lost] + [name]
            world.zones[name] = zone
            world.add_store(name, name, zone)

    def freeze(self):
        """A core machine, an edge or a shield stands still."""
        names = (
            self._machine()
            if self.world.chance.random() < 0.4
            else [self._one(self.world.edges + self.world.shields)]
        )
        span = self.world.chance.randrange(4 * SECOND)
        for name in names:
            self.world.freeze(name, span)

    def jump(self):
        """The wall clock of a machine jumps."""
        self.world.seats[self._one(self.world.seats)].wall_skew = self.world.chance.randrange(
            -(10**10), 10**10
        )

    def freeze_last_acknowledger(self):
        """The machine that acknowledged an order last stands still."""
        span = self._span(1, 4)
        for name in self._core_machine(self.world.operators.last_acknowledged_by):
            self.world.freeze(name, span)

    def machine_slow(self):
        """A machine runs slowly: each step of its processes takes some milliseconds."""
        names = self._machine() if self._core_is_hit() else [self._one(self.world.edges)]
        for name in names:
            seat = self.world.seats[name]
            seat.step_span = SLOW_STEP
            self.world.at(self._span(1, 5), self._quick, seat)

    def _quick(self, seat):
        seat.step_span = 0

    def _core_is_hit(self):
        return self.world.chance.random() < 0.5

    def rolling_restart(self):
        """Proxies and registries are stopped as planned and restarted, one after the other.

        Each is stopped while it handles a request, if one comes soon.
        """
        names = self._some([*self.world.edges, *self.world.shields, *self.world.registries], 3)
        self._restart_next(names)

    def _restart_next(self, names):
        if not names:
            return
        first, *rest = names
        if self.world.seats[first].node is not None:
            self._restart_when_busy(first, self.world.time + SECOND // 2)
        self._later(6 * SECOND, self._restart_next, rest)

    def _restart_when_busy(self, name, latest):
        node = self.world.seats[name].node
        if node is None:
            return
        if self.world.time < latest and not getattr(node, "in_flight", 1):
            self._later(MILLISECOND, self._restart_when_busy, name, latest)
            return
        self.world.restart(name)

    def power_lost_after_change(self):
        """A machine loses power 5 to 400 ms after a change was sent to it, acknowledged or not."""
        registry = self._registry()
        self.configuration()
        self.world.put_configuration(registry)
        self._later(
            self.world.chance.randrange(5 * MILLISECOND, 400 * MILLISECOND),
            self._lose_power,
            self._core_machine(registry),
        )

    def power_lost_at_acceptance(self):
        """All core machines lose power right after something was accepted."""
        self._await_acceptance()
        self._lose_power(self._core())

    def disk_wiped_at_acceptance(self):
        """One core machine loses its disk right after something was accepted.

        In half of the cases others lose their power at the same moment.
        """
        if not self._disks_whole():
            return
        self._await_acceptance()
        if not self._disks_whole():
            return
        wiped = self._one(self.world.names)
        self.world.lose_power(wiped, lose_disk=True)
        self.world.at(self._span(0.1, 2), self.world.bring_back, wiped)
        if self.world.chance.random() < 0.5:
            self._lose_power(self._core())

    def all_processes_killed(self):
        """Every daemon of the fleet dies at once and starts again."""
        names = self._up([*self._core(), *self.world.edges])
        self._kill(names)
        for name in names:
            self.world.at(self._span(0.01, 1), self.world.bring_back, name)

    def _await_acceptance(self):
        accepted = self.world.rules.accepted
        before = len(accepted)
        self.world.until(lambda: len(accepted) > before, 400 * MILLISECOND)

    def _disks_whole(self):
        """Whether all five voters hold their own disks: one loss at a time."""
        voters = {
            seat.address for seat, node_state in self.world.node_states() if node_state.is_voter
        }
        return voters == set(self.world.names) and len(voters) == 5
