"""Faults taken one by one and exhaustively, where a fault schedule would only draw some of them."""

import itertools
import unittest
from dataclasses import replace

from tests.support.entries import daemon_entry, member
from willowpost.common.events import Received, Tick
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.consensus.replica.tuning import ReplicaTuning
from willowpost.consensus.replica.voting import Voting
from willowpost.sim.core import CoreWorld
from willowpost.sim.fault_schedules import CoreFaultSchedule
from willowpost.sim.fleet.fault_schedule import FleetFaultSchedule
from willowpost.sim.fleet.world import FleetWorld
from willowpost.sim.world import seconds
from willowpost.state.apply import apply_operation
from willowpost.state.entries import PreviousVoters
from willowpost.state.lifecycle import DaemonState
from willowpost.state.operations import ReplaceVoter
from willowpost.state.tables import Tables
from willowpost.wire.messages import (
    BallotState,
    CatchupRequest,
    Command,
    Member,
    QuorumReadRequest,
    QuorumReadResponse,
)

TWO_REGIONS = {"a": "east", "b": "east", "c": "west", "d": "west"}


def opened(seed=2):
    world = FleetWorld(seed)
    world.open()
    return world


class SingleFaults(unittest.TestCase):
    def test_each_zone_dark_in_turn_keeps_service_and_refuses_a_handful(self):
        for zone in "abcd":
            with self.subTest(zone=zone):
                world = opened()
                before = len(world.traffic.refusals)
                names = world.zone_seats(zone)
                for name in names:
                    world.crash(name)
                    world.seats[name].dark = True
                calls = sum(world.traffic.outcomes.values())
                world.put_configuration(
                    next(number for number in range(5) if f"r{number}" not in names)
                )
                world.run(seconds(8))
                calls = sum(world.traffic.outcomes.values()) - calls
                self.assertEqual(2, world.version)
                self.assertGreater(calls, 5 * world.rate)
                self.assertLessEqual(len(world.traffic.refusals) - before, max(5, calls // 50))
                world.settle()

    def test_the_core_split_in_every_shape(self):
        stores = ["s0", "s1", "s2", "s3", "s4"]
        for side in (*itertools.combinations(stores, 1), *itertools.combinations(stores, 2)):
            with self.subTest(side=side):
                world = opened()
                world.cut(side, [name for name in world.seats if name not in side])
                # operators on both sides: those with the minority get no yes, and nothing is
                # decided twice
                for number in range(5):
                    world.put_configuration(number)
                world.run(seconds(5))
                self.assertGreater(world.version, 1)
                world.settle()

    def test_the_core_cut_off_rejects_within_the_lease_and_comes_back(self):
        world = opened()
        core = world.stores() + world.registries
        world.cut(core, [name for name in world.seats if name not in core])
        world.run(seconds(4))
        self.assertEqual([], world.sound_edges())
        world.settle()

    def test_those_who_said_yes_die_at_once_and_the_yes_stands(self):
        for number in range(5):
            with self.subTest(number=number):
                world = opened(seed=number)
                world.put_configuration(number)
                world.until(lambda: world.version == 2, seconds(5))
                for name in (f"s{number}", f"r{number}", f"s{(number + 1) % 5}"):
                    world.crash(name)
                world.run(seconds(3))
                world.settle()

    def test_a_voter_learns_from_a_read_that_it_is_behind(self):
        """Wide fleet seed 4180: put out while cut off, with nothing of its own to say.

        It got no marks any more.
        """
        world = CoreWorld(3)
        world.until(world.bootstrapped, seconds(5))
        world.run(seconds(2))
        seat = world.seats["s0"]
        now, asked = world.now(seat), []
        other = next(
            identity
            for identity, address in seat.node.node_state.voter_addresses.items()
            if address == "s1"
        )
        for _ in range(30):
            now += 20_000
            plan = seat.node.step(Tick(), now)
            asked += [message for _, message in plan.sends if isinstance(message, CatchupRequest)]
            for nonce in {
                message.nonce for _, message in plan.sends if isinstance(message, QuorumReadRequest)
            }:
                seat.node.step(
                    Received(
                        "s1", QuorumReadResponse(nonce, other, seat.node.node_state.tables.slot + 9)
                    ),
                    now,
                )
        self.assertTrue(asked)

    def test_a_lost_daemon_whose_suspecting_ended_is_found_again(self):
        """Wide fleet seeds 1 and 2: held lost by two, who were then restarted.

        Nobody was left to take a suspicion back.
        """
        world = opened()

        def daemon():
            return world.seats["r0"].node.registry.tables.daemons["e1/proxy"]

        world.cut(["e1"], [name for name in world.seats if name != "e1"])
        self.assertTrue(world.until(lambda: daemon().state is DaemonState.LOST, seconds(6)))
        for name in [name for name in world.seats if name not in ("e1", "caller", *world.origins)]:
            world.crash(name)
            world.start(name)
        world.run(seconds(0.1))
        world.heal()
        self.assertTrue(
            world.until(
                lambda: (
                    "e1/proxy" in world.seats["r0"].node.registry.tables.daemons
                    and daemon().state is DaemonState.UP
                ),
                seconds(10),
            )
        )

    def test_a_suspicion_by_a_voter_that_was_swapped_out_is_void(self):
        """Wide fleet seed 8721 with two regions: a store's former identity suspected an edge.

        Nobody could take that back.
        """
        voter = Member("old", "s4", "a", "s4")
        lost = daemon_entry("e2/proxy", kind="proxy", name="e2", state=DaemonState.LOST)
        learner = daemon_entry("new", name="s4")
        tables = Tables(
            epoch=1,
            voters=(voter,),
            daemons={"e2/proxy": lost, "new": learner},
            suspicions={"e2/proxy": frozenset({"old"}), "old": frozenset({"e2/proxy"})},
        )
        operation = ReplaceVoter("old", replace(voter, identity="new"))
        swapped, result = apply_operation(tables, operation)
        self.assertTrue(result.is_accepted)
        self.assertEqual({}, swapped.suspicions)

    def test_a_new_epochs_first_slot_waits_for_the_former_voters(self):
        """Until n - f of the former voters hold the replacement.

        A read by one who has not heard of it could miss it.
        """

        previous = tuple(member(name, zone=name) for name in "abcde")
        node_state = ReplicaState(Member("a", "a", "a", "a"))
        node_state.install_tables(
            Tables(
                slot=10,
                epoch=2,
                voters=(*previous[:4], member("f", zone="f")),
                previous_voters=PreviousVoters(9, previous),
            )
        )
        node_state.pending_commands.push(Command("x", 1, 1, 1, "[]"), 0)
        voting = Voting(node_state)
        for synced_indexes, proposes in (
            ({}, False),
            ({"f": 10}, False),
            ({"f": 10, "b": 10}, False),
            ({"b": 10, "c": 10}, True),
        ):
            node_state.synced_indexes.update(synced_indexes)
            sent = [
                message
                for _, message in voting.step(Tick(), 1).sends
                if isinstance(message, BallotState)
            ]
            self.assertEqual(proposes, bool(sent), synced_indexes)

    def test_snapshots_stand_in_for_dropped_decisions_in_fault_schedules(self):
        snapshots = 0
        for seed in range(12):
            with self.subTest(seed=seed):
                fault_schedule = CoreFaultSchedule(
                    seed, pace=ReplicaTuning(max_retained_decisions=4, max_segment_decisions=8)
                ).run()
                self.assertEqual(
                    ([], 1), (fault_schedule.unanswered(), len(fault_schedule.digests()))
                )
                snapshots += sum(
                    note[3] == "snapshot installed" for note in fault_schedule.world.notes
                )
        self.assertGreater(snapshots, 10)

    def test_two_regions_and_wide_fault_schedules(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                FleetFaultSchedule(seed, wide=True, regions=TWO_REGIONS, between=12).run()
                FleetFaultSchedule(seed, wide=True).run()


if __name__ == "__main__":
    unittest.main()
