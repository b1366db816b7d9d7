"""A virtual clock, network and disks with a seed; the processes run the daemons' own code."""

import random
from collections import Counter
from heapq import heappop, heappush

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.common.events import Received, Tick
from willowpost.common.plan import Plan
from willowpost.sim.disk import SimDisk
from willowpost.sim.seat import Seat, Weather

__all__ = ["Seat", "SimDisk", "Weather", "World", "seconds"]


class World:
    """A simulated world; the same seed and the same calls give the same run, event for event.

    Args:
        seed: Decides all random choices.
        weather: How the network behaves.
        unsafe_send: Whether messages leave before their records are written, to prove the checks.

    Attributes:
        time: The virtual time, in µs.
        seats: Address to machine.
        cuts: (source, target) pairs between which nothing arrives.
        checks: Called with (world, seat, event, plan) after each step.
        replies: Token to result.
        notes: (time, address, part, sentence, fields) of all plans' log entries.
        sent: Number of messages sent, by type.
    """

    TICK = 20 * MILLISECOND

    def __init__(self, seed: int, weather: Weather = None, unsafe_send: bool = False):
        self.chance = random.Random(seed)
        self.weather = weather or Weather()
        self.unsafe_send = unsafe_send  # for proving the checks: sends before it writes
        self.time = 0
        self.order = 0
        self.heap: list = []
        self.seats: dict[str, Seat] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.checks: list = []  # called (world, seat, event, plan) after each step
        self.replies: dict = {}
        self.notes: list = []
        self.sent = Counter()
        self.trace: list = []
        self.make_disk = lambda address: SimDisk()  # another kind of disk may be set

    def let_folders_vary(self, seed: int) -> None:
        """From now on, a power loss keeps or loses each unsynced folder entry by itself."""
        for number, seat in enumerate(self.seats.values()):
            seat.disk.folder_chance = random.Random(seed * 1000 + number)

    def add(self, address: str, build, region: str = "one") -> Seat:
        """Adds a machine and starts its process.

        Args:
            address: The machine's address.
            build: Makes the node from (records, now, wall, incarnation).
            region: The machine's region.
        """
        seat = self.seats[address] = Seat(
            address,
            region,
            build,
            self.make_disk(address),
            clock_base=self.chance.randrange(10**12),
        )
        self.start(address)
        return seat

    def start(self, address: str) -> None:
        """Starts a machine's process from its disk, unless the machine is gone for good."""
        seat = self.seats[address]
        if seat.retired:
            return
        seat.incarnation += 1
        seat.dark = False
        seat.node = seat.build(
            list(seat.disk.records),
            self.now(seat),
            lambda: self.wall(seat),
            10**15 + self.time + seat.wall_skew + seat.incarnation,
        )
        self.at(self.chance.randrange(self.TICK), self._tick, address, seat.incarnation)

    def crash(self, address: str, lose_disk: bool = False) -> None:
        """Ends a process at once; a write under way is cut anywhere.

        Args:
            address: The machine.
            lose_disk: Whether its disk is replaced by an empty one.
        """
        seat = self.seats[address]
        if seat.pending_write is not None:
            plan, seat.pending_write = seat.pending_write, None
            seat.disk.write(plan, self.chance.randrange(len(plan.records) + 1))
        seat.node, seat.incarnation = None, seat.incarnation + 1
        if lose_disk:
            seat.disk = SimDisk(folder_chance=seat.disk.folder_chance)

    def lose_power(self, address: str, lose_disk: bool = False) -> None:
        """Ends a process as crash() does; its unsynced folder entries may be lost."""
        self.crash(address, lose_disk)
        seat = self.seats[address]
        seat.disk.lose_power()
        seat.dark = True

    def now(self, seat: Seat) -> int:
        """A process's monotonic clock, in µs."""
        return seat.clock_base + self.time

    def wall(self, seat: Seat) -> int:
        """A process's wall clock, in µs."""
        return 10**15 + self.time + seat.wall_skew

    def at(self, delay: int, call, *args) -> None:
        """Calls `call(*args)` in `delay` µs."""
        self.order += 1
        heappush(self.heap, (self.time + delay, self.order, call, args))

    def cut(self, side_a, side_b) -> None:
        """Cuts the network between the addresses of two sides, in both directions."""
        self.cuts |= {pair for a in side_a for b in side_b for pair in ((a, b), (b, a))}

    def heal(self) -> None:
        """Ends all cuts."""
        self.cuts.clear()

    def freeze(self, address: str, span: int) -> None:
        """Freezes a process for `span` µs: it takes no step meanwhile."""
        self.seats[address].frozen_until = self.time + span

    def run(self, span: int) -> None:
        """Runs all events of the next `span` µs."""
        end = self.time + span
        while self.heap and self.heap[0][0] <= end:
            self.time, _, call, args = heappop(self.heap)
            call(*args)
        self.time = end

    def until(self, condition, span: int) -> bool:
        """Runs until the condition holds, at most `span` µs; returns whether it holds."""
        end = self.time + span
        while self.time < end and not condition():
            self.run(min(5 * MILLISECOND, end - self.time))
        return condition()

    def give(self, address: str, event) -> None:
        """Gives an event to a node; it is lost if the process is down.

        A node that is frozen or waits for its disk gets it afterwards.
        """
        seat = self.seats[address]
        if seat.node is None:
            return
        held_until = seat.held_until(self.time)
        if held_until > self.time:
            self.at(
                held_until - self.time + self.chance.randrange(50),
                self._late,
                address,
                seat.incarnation,
                event,
            )
            return
        plan = self.step_node(seat, event)
        seat.busy_until = self.time + seat.step_span if seat.step_span else 0
        self._carry(seat, event, plan)

    def step_node(self, seat: Seat, event) -> Plan:
        """Steps a node; returns its plan. All that a real process would compute is in here."""
        return seat.node.step(event, self.now(seat))

    def _late(self, address, incarnation, event):
        if self.seats[address].incarnation == incarnation:
            self.give(address, event)

    def _tick(self, address, incarnation):
        if self.seats[address].incarnation != incarnation:
            return
        self.give(address, Tick())
        self.at(self.TICK, self._tick, address, incarnation)

    def _carry(self, seat, event, plan):
        span = seat.disk.span_of_write(self.time) if plan.records or plan.rotate else 0
        if span:
            seat.pending_write, seat.written_at = plan, self.time + span
            self.at(span, self._written, seat.address, seat.incarnation, event)
            return
        self._carry_out(seat, event, plan)

    def _written(self, address, incarnation, event):
        """Ends a slow or stalled write; a frozen process goes on when its freeze ends."""
        seat = self.seats[address]
        if seat.incarnation != incarnation:
            return
        if seat.frozen_until > self.time:
            seat.written_at = seat.frozen_until
            self.at(seat.frozen_until - self.time, self._written, address, incarnation, event)
            return
        plan, seat.pending_write = seat.pending_write, None
        self._carry_out(seat, event, plan)

    def _carry_out(self, seat, event, plan):
        torn = bool(plan.records or plan.rotate) and self.chance.random() < seat.crash_on_write
        if self.unsafe_send:
            self._send(seat, plan)
        if torn:
            seat.disk.write(
                plan, self.chance.randrange(len(plan.records) + 1) if plan.records else 0
            )
            self.crash(seat.address)
            return
        seat.disk.write(plan)
        if not self.unsafe_send:
            self._send(seat, plan)
        self.replies.update({token: result for token, result in plan.replies})
        self.notes += [(self.time, seat.address, *entry) for entry in plan.log_entries]
        for check in self.checks:
            check(self, seat, event, plan)

    def _send(self, seat, plan):
        for address, message in plan.sends:
            self.sent[type(message).__name__] += 1
            for _ in range(2 if self.chance.random() < self.weather.twice else 1):
                self._post(seat, address, message)

    def _post(self, seat, address, message):
        if (seat.address, address) in self.cuts or self.chance.random() < self.weather.drop:
            return
        target = self.seats.get(address)
        if target is None:
            return
        extra = self.weather.between.get((seat.region, target.region), 0)
        delay = (
            10
            if address == seat.address
            else self.weather.least + self.chance.randrange(self.weather.spread + 1) + extra
        )
        self.at(delay, self._arrive, address, seat.address, message)

    def _arrive(self, address, source, message):
        if (source, address) in self.cuts:
            return
        self.give(address, Received(source, message))


def seconds(value: float) -> int:
    """Seconds as whole µs."""
    return int(value * SECOND)
