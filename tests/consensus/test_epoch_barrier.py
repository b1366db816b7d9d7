"""What of a former epoch, or of a replaced identity, counts in the epoch in force: nothing."""

import unittest
from dataclasses import replace

from tests.support.entries import daemon_entry
from willowpost.common.events import Received, Tick
from willowpost.consensus.replica import barrier, restoration
from willowpost.consensus.replica.barrier import is_passed, quorum_index
from willowpost.consensus.replica.records import ballot_state_record, identity_record
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.consensus.replica.voting import Voting
from willowpost.registry.removal import safe_to_remove
from willowpost.state.apply import apply_operation
from willowpost.state.apply.voters import replaceable_by, successor_of
from willowpost.state.entries import PreviousVoters
from willowpost.state.lifecycle import DaemonState
from willowpost.state.operations import OfferVoter, OpenEpoch, ReplaceVoter
from willowpost.state.results import Accepted
from willowpost.state.tables import Tables
from willowpost.wire.messages import BallotState, Command, Member

FIRST = 10  # the first slot of epoch 2, in which D has replaced C


def member(name):
    return Member(name, name, name.lower(), name)


def store(name, state=DaemonState.UP, zone=None):
    return daemon_entry(name, zone=zone or name.lower(), state=state)


PREVIOUS = tuple(member(name) for name in "ABC")
VOTERS = tuple(member(name) for name in "ABD")
TABLES = Tables(
    slot=FIRST,
    epoch=2,
    voters=VOTERS,
    previous_voters=PreviousVoters(FIRST - 1, PREVIOUS),
    daemons={name: store(name) for name in "ABD"},
)
BEFORE = replace(TABLES, slot=FIRST - 1, epoch=1, voters=PREVIOUS, previous_voters=None)


def replica(tables=TABLES):
    node_state = ReplicaState(Member("A", "A", "a", "A"))
    node_state.install_tables(tables)
    return node_state


class Barrier(unittest.TestCase):
    def test_both_quorums_are_needed_by_identity(self):
        for synced, passed in (
            ({}, False),
            ({"C": FIRST}, False),  # two of A B C, but of A B D only A
            ({"D": FIRST}, False),  # two of A B D, but of A B C only A
            ({"C": FIRST, "D": FIRST}, True),
            ({"B": FIRST}, True),
            ({"B": FIRST - 1, "C2": FIRST}, False),
            ({"D": FIRST + 1}, True),  # D is beyond: the slot was decided
        ):
            node_state = replica()
            for identity, slot in synced.items():
                node_state.record_synced_index(identity, slot)
            self.assertEqual(passed, is_passed(node_state), synced)

    def test_nothing_of_the_slot_of_the_change_is_accepted_before(self):
        node_state = replica()
        node_state.record_synced_index("D", FIRST)
        self.assertEqual(0, barrier.safe_slot(node_state))
        node_state.record_synced_index("C", FIRST - 1)
        self.assertEqual(FIRST - 1, barrier.safe_slot(node_state))
        node_state.record_synced_index("B", FIRST)
        self.assertEqual(FIRST, barrier.safe_slot(node_state))

    def test_a_ballot_state_of_the_first_slot_says_that_its_sender_passed(self):
        node_state = replica()
        voting = Voting(node_state)
        voting.step(Received("C", BallotState("C", 1, FIRST, "x")), 0)
        voting.step(Received("D", BallotState("D", 1, FIRST, "x")), 0)
        self.assertFalse(is_passed(node_state))
        voting.step(Received("D", BallotState("D", 2, FIRST, "x")), 0)
        self.assertTrue(is_passed(node_state))

    def test_it_is_on_disk_before_the_first_ballot_state_leaves(self):
        node_state = replica()
        node_state.record_synced_index("B", FIRST)
        node_state.pending_commands.push(Command("x", 1, 1, 1, "[]"), 0)
        plan = Voting(node_state).step(Tick(), 1)
        self.assertEqual(["passed", "ballot_state"], [record["k"] for record in plan.records])

    def test_a_quorum_index_of_few_or_none(self):
        self.assertEqual(0, quorum_index([], {}))
        self.assertEqual(7, quorum_index(["A"], {"A": 7}))
        self.assertEqual(4, quorum_index("ABCDE", {"A": 9, "B": 4, "C": 6}))


class FormerEpochs(unittest.TestCase):
    """Rabia's messages of another epoch, or of an identity that was replaced."""

    def received(self, *ballot_states, tables=TABLES):
        node_state = replica(tables)
        voting = Voting(node_state)
        for ballot_state in ballot_states:
            voting.step(Received(ballot_state.identity, ballot_state), 0)
        return node_state

    def test_late_votes_of_a_replaced_identity_are_ignored(self):
        node_state = self.received(BallotState("C", 1, FIRST, "x", None, (1,), (1,), agreed="x"))
        self.assertEqual({}, node_state.ballot_states)
        self.assertNotIn("C", node_state.synced_indexes)

    def test_a_ballot_state_of_a_previous_epoch_by_a_voter_is_ignored(self):
        node_state = self.received(BallotState("B", 1, FIRST, "x", None, (1,), (1,), agreed="x"))
        self.assertEqual({}, node_state.ballot_states)

    def test_early_ballot_states_are_taken_only_in_their_epoch_and_of_members(self):
        node_state = self.received(
            BallotState("B", 1, FIRST, "old"),
            BallotState("C", 2, FIRST, "late"),
            BallotState("D", 2, FIRST, "new"),
            tables=BEFORE,
        )
        node_state.install_tables(TABLES)
        self.assertEqual(
            {"D": "new"}, {name: b.proposal for name, b in node_state.ballot_states.items()}
        )

    def test_the_own_ballot_state_ends_with_its_slot(self):
        node_state = replica(BEFORE)
        node_state.own_ballot_state = BallotState(
            "A", 1, FIRST - 1, "x", None, (1,), (1,), agreed="x"
        )
        node_state.install_tables(TABLES)
        self.assertEqual((None, {}), (node_state.own_ballot_state, node_state.ballot_states))

    def test_a_restart_with_a_torn_tail_knows_less_but_says_nothing_else(self):
        snapshot = {"k": "snapshot", "text": TABLES.text(), "log_floor": FIRST, "passed": 2}
        ballot_state = BallotState("A", 2, FIRST, "x/1/1", Command("x", 1, 1, 1, "[]"))
        records = [
            identity_record(Member("A", "A", "a", "A")),
            snapshot,
            ballot_state_record(ballot_state, True),
            ballot_state_record(replace(ballot_state, states=(1,), agreed="x/1/1"), False),
        ]
        for record_count, states in ((4, (1,)), (3, ())):
            node_state = ReplicaState(Member("A", "A", "a", "A"))
            restoration.restore_state(node_state, records[:record_count], 0)
            self.assertEqual(
                ("x/1/1", states, "[]"),
                (
                    node_state.own_ballot_state.proposal,
                    node_state.own_ballot_state.states,
                    node_state.own_ballot_state.command.body,
                ),
            )
            self.assertTrue(is_passed(node_state))


class Ops(unittest.TestCase):
    """What the log refuses, whoever asks and however late."""

    def setUp(self):
        voters = tuple(member(name) for name in "ABC")
        daemons = {name: store(name) for name in "ABCDE"}
        self.tables = Tables(slot=9, epoch=1, voters=voters, daemons=daemons)

    def with_daemon(self, name, **attributes):
        daemons = {**self.tables.daemons, name: replace(self.tables.daemons[name], **attributes)}
        return replace(self.tables, daemons=daemons)

    def refused(self, tables, old, new):
        result = apply_operation(tables, ReplaceVoter(old, new)).result
        return None if result.is_accepted else result.reason

    def test_only_a_lost_a_draining_or_a_wiped_voter_is_replaced(self):
        learner = member("D")
        self.assertIn("neither is lost", self.refused(self.tables, "C", learner))
        for state in (DaemonState.LOST, DaemonState.DRAINING):
            self.assertIsNone(self.refused(self.with_daemon("C", state=state), "C", learner))
        self.assertIsNone(self.refused(self.tables, "C", replace(learner, address="C")))

    def test_two_live_machines_of_one_name_do_not_replace_each_other(self):
        namesake = replace(member("D"), name="C")
        self.assertIn("neither is lost", self.refused(self.tables, "C", namesake))
        others = {name: entry for name, entry in self.tables.daemons.items() if name != "C"}
        self.assertIsNone(self.refused(replace(self.tables, daemons=others), "C", namesake))

    def test_a_learner_that_is_not_up_by_the_log_is_refused(self):
        for attributes in (
            {"state": DaemonState.LOST},
            {"state": DaemonState.DRAINING},
            {"kind": "registry"},
        ):
            tables = self.with_daemon("D", **attributes)
            self.assertEqual("the learner is not up", self.refused(tables, "C", member("D")))
        self.assertEqual("the learner is not up", self.refused(self.tables, "C", member("Z")))

    def test_the_voters_change_once_in_a_slot(self):
        tables = self.with_daemon("C", state=DaemonState.LOST)
        tables, result = apply_operation(tables, ReplaceVoter("C", member("D")))
        self.assertTrue(result.is_accepted)
        daemons = {**tables.daemons, "B": store("B", DaemonState.LOST)}
        lost_again = replace(tables, daemons=daemons)
        self.assertEqual(
            "the voters change once in a slot", self.refused(lost_again, "B", member("E"))
        )
        self.assertIsNone(self.refused(replace(lost_again, slot=10), "B", member("E")))
        held = replace(tables, daemons={**tables.daemons, "F": store("F")})
        for learner in "EF":
            offer = OfferVoter(learner, incarnation=1, max_voters=5)
            held, result = apply_operation(held, offer)
        self.assertFalse(result.is_accepted)

    def test_the_own_machine_comes_first_then_the_lost_then_the_draining(self):
        tables = self.with_daemon("A", state=DaemonState.DRAINING)
        self.assertEqual("A", replaceable_by(tables, member("D")).identity)
        tables = replace(tables, daemons={**tables.daemons, "B": store("B", DaemonState.LOST)})
        self.assertEqual("B", replaceable_by(tables, member("D")).identity)
        back = replace(member("D"), address="C")
        self.assertEqual("C", replaceable_by(tables, back).identity)
        self.assertIsNone(replaceable_by(self.tables, member("D")))

    def test_a_successor_is_a_learner_that_is_up_and_fits_the_zones(self):
        self.assertEqual("D", successor_of(self.tables, "C"))
        self.assertEqual("E", successor_of(self.with_daemon("D", state=DaemonState.LOST), "C"))
        self.assertIsNone(successor_of(self.tables, "Z"))
        crowded = {name: store(name, zone="a") for name in "DE"}
        tables = replace(self.tables, daemons={**self.tables.daemons, **crowded})
        self.assertIsNone(successor_of(tables, "C"))
        self.assertEqual("D", successor_of(tables, "A"))

    def test_epoch_opened_changes_nothing_but_the_slot(self):
        self.assertEqual((TABLES, Accepted()), apply_operation(TABLES, OpenEpoch(2)))


class SafeToRemove(unittest.TestCase):
    def reasons(self, fresh=True, **changed):
        verdict = safe_to_remove(replace(TABLES, **changed), fresh)
        self.assertEqual(verdict.safe, not verdict.reasons)
        return verdict.reasons

    def test_each_reason_against_it(self):
        settled = {"slot": FIRST + 1}
        self.assertEqual((), self.reasons(**settled))
        self.assertIn("out of touch", self.reasons(fresh=False, **settled)[0])
        self.assertIn("not finished", self.reasons()[0])
        self.assertIn("not founded", safe_to_remove(Tables(), True).reasons[0])
        for state in (DaemonState.LOST, DaemonState.DRAINING):
            daemons = {**TABLES.daemons, "B": store("B", state)}
            self.assertEqual(
                (f"voter B is {state.value}",), self.reasons(daemons=daemons, **settled)
            )
        self.assertEqual(3, len(self.reasons(daemons={}, **settled)))


if __name__ == "__main__":
    unittest.main()
