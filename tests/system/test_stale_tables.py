"""Leaving origins and old tables: proxies that serve on for long, behind links that are full.

The platform lets proxies serve on for a minute without state updates. A proxy that the core's
answers do reach, late, is not out of touch, and must not act on what it knows to be old.
"""

import heapq
import unittest

from greenlet import getcurrent, greenlet

from tests.support.entries import member
from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.common.events import Received, Tick
from willowpost.node.follower import Follower
from willowpost.node.node_state import (
    QUORUM_CONTACT_TIMEOUT_US,
    DaemonDescriptor,
    NodeState,
)
from willowpost.node.quorum_read import QuorumRead
from willowpost.node.source_selection import MAX_TABLE_AGE_US
from willowpost.proxy.client.pacing import LinkPacer
from willowpost.sim.fleet.world import FleetWorld
from willowpost.sim.rules import Broken
from willowpost.sim.world import seconds
from willowpost.state.tables import Tables
from willowpost.wire.messages import QuorumReadRequest, QuorumReadResponse

SERVE_ON = 60 * SECOND
MEGA = 1_000_000


class FullLinkWorld(FleetWorld):
    """All that one edge exchanges with other daemons waits on its way, from `full_at` on."""

    edge, delay, full_at = "e0", 0, 10**18

    def _post(self, seat, address, message):
        ends = {seat.address, address}
        apart = len(ends) == 2 and not ends & {"caller", *self.origins}
        if self.edge in ends and apart and self.time >= self.full_at:
            self.at(self.delay, super()._post, seat, address, message)
        else:
            super()._post(seat, address, message)

    def serve_on(self):
        for name in (*self.edges, *self.shields):
            if self.seats[name].node is not None:
                self.seats[name].node.proxy.max_stale_serving = SERVE_ON

    def served_by(self, edge, since):
        return sum(at > since and server == edge for at, server in self.traffic.served)


def opened(seed, delay):
    world = FullLinkWorld(seed, rate=120)
    world.delay = delay
    world.open()
    world.serve_on()
    return world


def leave_in_turn(world):
    """Origins leave, one a second; each comes back anew later."""
    for name in sorted(world.origins)[:4]:
        world.drain_origin(0, name)
        world.run(seconds(1))
    world.run(seconds(3))


class FullLinks(unittest.TestCase):
    def test_a_proxy_whose_updates_come_late_sends_nothing_to_origins_that_left(self):
        for seed, delay, wait in (
            (1, 700 * MILLISECOND, 0),
            (2, 1200 * MILLISECOND, 0),
            # a round trip of 5 s, in which a full link and a cut look the same at first
            (3, 2500 * MILLISECOND, 6 * SECOND),
        ):
            with self.subTest(seed=seed, delay=delay):
                world = opened(seed, delay)
                world.full_at = world.time
                world.run(wait)
                leave_in_turn(world)

    def test_a_proxy_that_hears_nothing_serves_on(self):
        world = opened(4, 0)
        edge = world.edge
        rest = [name for name in (*world.stores(), *world.registries, *world.edges, *world.shields)]
        world.cut([edge], [name for name in rest if name != edge])
        world.run(seconds(4))
        since = world.time
        world.run(seconds(4))
        self.assertGreater(world.served_by(edge, since), 20)

    def test_the_judge_finds_what_a_proxy_that_hears_nothing_sends_to_an_origin_that_left(self):
        """It is out of touch, so the users' page allows it; the simulator's rule does not."""
        world = opened(4, 0)
        edge = world.edge
        rest = [name for name in (*world.stores(), *world.registries, *world.edges, *world.shields)]
        world.cut([edge], [name for name in rest if name != edge])
        world.run(seconds(4))
        with self.assertRaises(Broken):
            leave_in_turn(world)


class Standstills(unittest.TestCase):
    """A process that stands still hears nobody, and is not cut off for that."""

    def setUp(self):
        self.state, self.now = NodeState(DaemonDescriptor(*"pppppp", "", 1)), 0
        self.state.max_stale_serving = SERVE_ON

    def ticks(self, span, step=20 * MILLISECOND):
        for _ in range(0, span, step):
            self.now += step
            self.state.record_tick(self.now)

    def hear(self):
        self.state.confirm_fresh(self.now)
        self.state.quorum_contact_at = self.state.running_us

    def may_serve(self):
        return self.state.may_serve(self.now)

    def test_one_that_goes_on_serves_by_no_old_tables(self):
        """Guards against CONFIG and DRAIN: requests wait on its sockets when it wakes."""
        for span in (2 * SECOND, 10 * SECOND):
            self.setUp()
            self.ticks(SECOND)
            self.hear()
            self.now += span
            for _ in range(5):
                self.assertFalse(self.may_serve())
                self.ticks(QUORUM_CONTACT_TIMEOUT_US // 10)
            self.hear()
            self.assertTrue(self.may_serve())

    def test_one_that_stands_still_again_and_again_is_not_cut_off(self):
        self.ticks(SECOND)
        self.hear()
        for _ in range(10):
            self.now += SECOND
            self.state.record_tick(self.now)
        self.assertFalse(self.may_serve())

    def test_one_that_runs_and_hears_nobody_serves_on(self):
        self.ticks(SECOND)
        self.hear()
        self.ticks(QUORUM_CONTACT_TIMEOUT_US + 100 * MILLISECOND)
        self.assertTrue(self.may_serve())
        self.ticks(SERVE_ON)
        self.assertFalse(self.may_serve())

    def test_a_loop_that_is_slow_takes_longer_to_tell(self):
        self.ticks(SECOND)
        self.hear()
        self.ticks(QUORUM_CONTACT_TIMEOUT_US + 200 * MILLISECOND, step=200 * MILLISECOND)
        self.assertFalse(self.may_serve())
        self.ticks(QUORUM_CONTACT_TIMEOUT_US, step=200 * MILLISECOND)
        self.assertTrue(self.may_serve())


class Reads(unittest.TestCase):
    """A quorum read whose answers take longer than the pause between two reads."""

    def test_late_answers_complete_the_read_that_they_belong_to(self):
        for delay in (50, 200, 400, 900):
            with self.subTest(delay=delay):
                # a read begins when the tables are MAX_TABLE_AGE_US, and is asked anew each 150 ms
                self.assertLessEqual(
                    self._age(delay * MILLISECOND), MAX_TABLE_AGE_US + (delay + 170) * MILLISECOND
                )

    def test_answers_to_different_reads_make_no_quorum(self):
        """Each read was heard by one voter, none by a quorum."""
        state, read = self._follower()
        for number in range(3):
            now = (number + 1) * 200 * MILLISECOND + SECOND
            asks = [
                sent
                for _, sent in read.step(Tick(), now).sends
                if isinstance(sent, QuorumReadRequest)
            ]
            read.step(
                Received(f"v{number}:1", QuorumReadResponse(asks[0].nonce, f"v{number}", 5)), now
            )
        self.assertIsNone(state.fresh_as_of)

    def _follower(self):
        state = NodeState(DaemonDescriptor("p", "proxy", "edge", "p", "a", "p:1", "p:2", 1))
        voters = tuple(member(f"v{number}", address=f"v{number}:1") for number in range(3))
        state.tables = Tables(slot=5, epoch=1, voters=voters)
        return state, QuorumRead(state, Follower(state, ["s:1"], may_poll_proxies=False))

    def _age(self, delay):
        """The age of the tables after three seconds in which each answer takes `delay` µs."""
        state, read = self._follower()
        arrivals = []
        for now in range(SECOND, 4 * SECOND, 10 * MILLISECOND):
            while arrivals and arrivals[0][0] <= now:
                _, address, nonce = heapq.heappop(arrivals)
                read.step(Received(address, QuorumReadResponse(nonce, address[:2], 5)), now)
            for address, sent in read.step(Tick(), now).sends:
                if isinstance(sent, QuorumReadRequest):
                    heapq.heappush(arrivals, (now + delay, address, sent.nonce))
        age = state.tables_age(4 * SECOND)
        return 10 * SECOND if age is None else age


class FifoLink:
    """A machine's link: bytes leave in the order in which they were handed over."""

    def __init__(self, megabits):
        self.rate, self.free_at, self.now = megabits * MEGA / 8, 0.0, 0.0
        self.longest = 0.0

    def hand_over(self, size):
        """Returns how long these bytes wait for their turn, in seconds."""
        waits = max(0.0, self.free_at - self.now)
        self.free_at = self.now + waits + size / self.rate
        return waits


class Pacing(unittest.TestCase):
    """Small messages beside many large answers on a thin link."""

    def longest_wait(self, pacer_megabits, answers=30, size=250_000):
        link, wakes = FifoLink(6.0), []
        pacer = LinkPacer(
            pacer_megabits,
            now=lambda: link.now,
            sleep=lambda span: self._sleep(link, wakes, span),
        )

        def write():
            piece = pacer.chunk_bytes or size
            for start in range(0, size, piece):
                pacer.wait(min(piece, size - start))
                link.hand_over(min(piece, size - start))

        for number in range(answers):
            heapq.heappush(wakes, (0.05 * number, number, greenlet(write)))
        for number in range(400):
            heapq.heappush(wakes, (0.02 * number, 1000 + number, None))
        longest = 0.0
        while wakes:
            link.now, _, task = heapq.heappop(wakes)
            if task is None:
                longest = max(longest, link.hand_over(300))
            else:
                task.switch()
        return longest, link.free_at

    def _sleep(self, link, wakes, span):
        heapq.heappush(wakes, (link.now + span, len(wakes) + 10_000, getcurrent()))
        getcurrent().parent.switch()

    def test_a_small_message_waits_for_little_of_them(self):
        longest, _ = self.longest_wait(6.0)
        self.assertLess(longest, 0.1)

    def test_without_pacing_it_waits_for_all_of_them(self):
        longest, _ = self.longest_wait(None)
        self.assertGreater(longest, 2.0)

    def test_the_link_is_used(self):
        _, paced = self.longest_wait(6.0)
        _, unpaced = self.longest_wait(None)
        self.assertLess(paced, 1.15 * unpaced)


if __name__ == "__main__":
    unittest.main()
