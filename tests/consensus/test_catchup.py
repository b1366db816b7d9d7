"""A member that missed more than is kept comes back, whatever breaks on the way, and stays bounded."""

import json
import unittest
from heapq import heappop, heappush

from tests.support.entries import member
from willowpost.common.clock import MILLI, SECOND
from willowpost.common.events import Received, Tick
from willowpost.consensus.replica.tuning import ReplicaTuning
from willowpost.node.follower import Follower
from willowpost.node.node_state import DaemonDescriptor, NodeState
from willowpost.shell.segment_format import segment_of
from willowpost.sim.core import CoreWorld
from willowpost.sim.world import seconds
from willowpost.state.configuration_changes import ConfigurationProposal
from willowpost.state.entries import ActiveConfiguration
from willowpost.state.snapshot_transfer import CHUNK_BYTES
from willowpost.state.tables import Tables, tables_from
from willowpost.wire.codec import Codec
from willowpost.wire.messages import CatchupResponse, StateUpdate

ROUTES = 700
FRAME_BYTES_MOST = 2 * 1024 * 1024  # what any message of catch-up stays below
CODEC = Codec()


def tree(number, routes=ROUTES):
    """A configuration of some hundred routes, about 1,000 bytes each, another at each number."""
    return {
        "branches": {
            f"r{route}": {
                "path": f"/{number}/{route}" + "x" * 900,
                "settings": {"deadline_ms": 900},
            }
            for route in range(routes)
        }
    }


class Sizes:
    """A check of the simulated world: the largest message of catch-up so far, in bytes."""

    def __init__(self):
        self.largest = 0

    def __call__(self, world, seat, event, plan):
        for _, message in plan.sends:
            if isinstance(message, (CatchupResponse, StateUpdate)):
                self.largest = max(self.largest, len(CODEC.encode(seat.address, message)))


SHORT_LOG = ReplicaTuning(max_retained_decisions=8, max_segment_decisions=16)


class LargeCore:
    """Three stores that take large configurations one after the other."""

    def __init__(self, seed, pace=ReplicaTuning(), zones=("a", "b", "c")):
        self.world = world = CoreWorld(seed, pace=pace, zones=zones, members=3)
        self.sizes = Sizes()
        world.checks.append(self.sizes)
        assert world.until(world.bootstrapped, seconds(5))
        world.add_caller("r", [*world.names])
        self.changes = 0

    def change(self, count, routes=ROUTES):
        """Brings so many configurations into the log; waits until each is accepted."""
        for _ in range(count):
            self.changes += 1
            token = self.world.ask(
                "r", ConfigurationProposal(tree=tree(self.changes, routes), source="s")
            )
            assert self.world.until(lambda token=token: token in self.world.replies, seconds(5))

    def slot(self, name):
        return self.world.seats[name].node.node_state.tables.slot

    def caught_up(self, name, span=10):
        """The time that `name` took to hold what the furthest holds, in seconds; None if it did not."""
        world, begun = self.world, self.world.time
        furthest = max(state.tables.slot for _, state in world.node_states())
        done = world.until(lambda: self.slot(name) >= furthest, seconds(span))
        return (world.time - begun) / 1e6 if done else None

    def partial(self, name):
        return self.world.seats[name].node.node_state.incoming_snapshot


class MissedSlots(unittest.TestCase):
    """A member away for longer than the kept log and more than one snapshot."""

    def away(self, changes, pace, lose_disk=False, snapshots_cached=False):
        core = LargeCore(7, pace)
        core.change(3)
        core.world.crash("s2", lose_disk=lose_disk)
        core.change(changes)
        if snapshots_cached:  # both others have just served the snapshot of one slot to somebody
            self.assertEqual(core.slot("s0"), core.slot("s1"))
            for seat, state in core.world.node_states():
                now = core.world.now(seat)
                state.outgoing_snapshot.chunk(state.tables, -1, state.log_floor, None, now)
        core.world.weather.least = 20 * MILLI  # so that a transfer can be stopped half-way
        core.world.start("s2")
        return core

    def test_it_takes_the_snapshot_in_chunks_and_then_the_log(self):
        for lose_disk in (False, True):
            core = self.away(50, SHORT_LOG, lose_disk)
            self.assertIsNotNone(core.caught_up("s2"), lose_disk)
            self.assertGreater(core.sizes.largest, CHUNK_BYTES)
            self.assertLess(core.sizes.largest, FRAME_BYTES_MOST)
            core.world.settle(3)

    def test_decisions_are_sent_in_frames_that_a_receiver_accepts(self):
        core = self.away(50, ReplicaTuning())
        self.assertIsNotNone(core.caught_up("s2"))
        self.assertLess(core.sizes.largest, FRAME_BYTES_MOST)

    def begun(self, core, chunks=2):
        """Until s2 has so many chunks of the snapshot, but not all."""
        partial = core.partial("s2")
        self.assertTrue(core.world.until(lambda: len(partial.chunks) >= chunks, seconds(5)))
        return partial

    def test_another_source_finishes_what_one_that_died_began(self):
        core = self.away(50, SHORT_LOG, snapshots_cached=True)
        sent_chunks = []
        core.world.checks.append(
            lambda world, seat, event, plan: sent_chunks.extend(
                (seat.address, message.piece.slot, message.piece.offset)
                for address, message in plan.sends
                if address == "s2"
                and isinstance(message, CatchupResponse)
                and message.piece is not None
            )
        )
        partial = self.begun(core)
        slot, received, begun_by = partial.slot, partial.received, sent_chunks[0][0]
        core.world.cut([begun_by], ["s2"])
        sent_chunks.clear()
        self.assertIsNotNone(core.caught_up("s2"))
        others = [
            (chunk_slot, offset) for source, chunk_slot, offset in sent_chunks if source != begun_by
        ]
        self.assertEqual((slot, received), others[0])
        self.assertNotIn(0, [offset for _, offset in others])

    def test_a_source_that_is_partitioned_half_way_delays_nobody(self):
        for source in ("s0", "s1"):
            core = self.away(50, SHORT_LOG)
            self.begun(core)
            core.world.cut([source], ["s2"])
            core.change(3)
            self.assertIsNotNone(core.caught_up("s2"), source)

    def test_killed_at_any_chunk_it_starts_from_its_disk_and_takes_the_snapshot_anew(self):
        core = self.away(50, SHORT_LOG)
        for chunks in (1, 2):
            self.begun(core, chunks)
            core.world.crash("s2")
            core.world.start("s2")
        self.assertIsNotNone(core.caught_up("s2"))
        core.world.settle(3)

    def test_killed_while_the_snapshot_is_written_it_has_the_old_disk_or_the_new(self):
        core = self.away(50, SHORT_LOG)
        seat = core.world.seats["s2"]
        seat.crash_on_write = 1.0  # whatever it writes first is lost, and with it this life
        self.assertTrue(core.world.until(lambda: seat.node is None, seconds(5)))
        seat.crash_on_write = 0.0
        core.world.start("s2")
        self.assertIsNotNone(core.caught_up("s2"))
        core.world.settle(3)

    def test_slow_and_stalled_disks_delay_it_and_no_more(self):
        for fault in ({"slowness": 30}, {"stalled_until": None}):
            core = self.away(50, SHORT_LOG)
            for name in ("s0", "s2"):  # the one that writes the snapshot, and a source
                disk = core.world.seats[name].disk
                if "slowness" in fault:
                    disk.slowness = fault["slowness"]
                else:
                    disk.stalled_until = core.world.time + 3 * SECOND
            self.assertIsNotNone(core.caught_up("s2", 20), fault)

    def test_a_text_is_made_once_for_all_that_are_behind(self):
        core = self.away(50, SHORT_LOG)
        made = []
        tables = type(core.world.seats["s0"].node.node_state.tables)
        text = tables.text
        tables.text = lambda held: made.append(held.slot) or text(held)
        try:
            self.assertIsNotNone(core.caught_up("s2"))
        finally:
            tables.text = text
        # one at each source asked, and one for the segment of the learner
        self.assertLessEqual(len(made), 3)


class Wire:
    """Two followers and a link between them, each way of which takes `delay` us."""

    def __init__(self, delay):
        self.delay, self.heap, self.sent = delay, [], 0
        voters = (member("A", address="A:1"),)
        configuration = ActiveConfiguration(1, tree(1))
        whole = Tables(slot=90, epoch=1, voters=voters, configuration=configuration)
        # "A:1" is a follower here too: whom it asks makes no difference
        self.nodes = {
            "A:1": NodeState(self.descriptor("A"), whole, fresh_as_of=0),
            "r:1": NodeState(self.descriptor("r"), seed_store_addresses=("A:1",)),
        }
        self.followers = {
            address: Follower(node, [], tree=False) for address, node in self.nodes.items()
        }

    def descriptor(self, name):
        return DaemonDescriptor(name, "registry", "core", name, "a", f"{name}:1", "", 7)

    def run(self, span):
        """Until the second one is fresh; the time that it took in us, or None."""
        for now in range(0, span, 10 * MILLI):
            self.nodes["A:1"].confirm_as_of(now)
            while self.heap and self.heap[0][0] <= now:
                _, _, target, source, message = heappop(self.heap)
                self.step(target, Received(source, message), now)
            self.step("r:1", Tick(), now)
            if self.nodes["r:1"].fresh_as_of is not None:
                return now
        return None

    def step(self, address, event, now):
        for target, message in self.followers[address].step(event, now).sends:
            if isinstance(message, StateUpdate):
                self.sent += len(CODEC.encode(address, message))
            heappush(self.heap, (now + self.delay, self.sent, target, address, message))


class FollowerTransfer(unittest.TestCase):
    def test_a_follower_takes_a_large_snapshot_once_whatever_the_link(self):
        for delay in (MILLI, 200 * MILLI, 400 * MILLI):
            wire = Wire(delay)
            size = len(wire.nodes["A:1"].tables.text())
            self.assertGreater(size, 2 * CHUNK_BYTES)
            self.assertIsNotNone(wire.run(10 * SECOND), delay)
            self.assertEqual(90, wire.nodes["r:1"].tables.slot)
            # beyond STALLED_AFTER_US polls ask for pieces again that are under way
            most = 1.1 if delay < 200 * MILLI else 4
            self.assertLess(wire.sent, most * size, delay)

    def test_a_snapshot_of_an_unknown_format_is_refused_and_nothing_is_changed(self):
        wire = Wire(MILLI)
        text = json.dumps({**json.loads(wire.nodes["A:1"].tables.text()), "format": 99})
        follower = wire.followers["r:1"]
        plan = follower.step(Tick(), 0)
        (nonce,) = follower.polls
        update = StateUpdate(nonce, 90, 0, True, snapshot=text)
        plan = follower.step(Received("A:1", update), MILLI)
        self.assertEqual((0, None), (wire.nodes["r:1"].tables.slot, wire.nodes["r:1"].fresh_as_of))
        self.assertIn("unknown format", plan.log_entries[0][1])


class Bounded(unittest.TestCase):
    def test_disk_and_log_do_not_grow_with_the_number_of_changes(self):
        pace = ReplicaTuning(max_retained_bytes=2 * 1024 * 1024, max_segment_bytes=4 * 1024 * 1024)
        core, sizes = LargeCore(3, pace), []
        for _ in range(3):
            core.change(12)
            sizes.append(len(segment_of(core.world.seats["s0"].disk.records)))
        kept = sum(
            len(decision.command.body)
            for decision in core.world.seats["s0"].node.node_state.log.values()
            if decision.command
        )
        snapshot = len(core.world.seats["s0"].node.node_state.tables.text())
        self.assertLess(max(sizes), 2 * (snapshot + 2 * 1024 * 1024 + 5 * 1024 * 1024))
        self.assertLess(kept, 7 * 1024 * 1024)

    def test_a_decision_is_replayed_from_the_body_that_its_ballot_state_wrote(self):
        core = LargeCore(3)
        core.change(3, routes=20)
        records = core.world.seats["s0"].disk.records
        bodies = json.dumps(records).count("/3/19xx")
        before = core.world.seats["s0"].node.node_state.tables
        core.world.crash("s0")
        core.world.start("s0")
        self.assertEqual(1, bodies)
        self.assertEqual(before, core.world.seats["s0"].node.node_state.tables)
        self.assertEqual(before.digest(), tables_from(before.text()).digest())


if __name__ == "__main__":
    unittest.main()
