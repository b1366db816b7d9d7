"""The rules checked after each step of a simulated core."""

import json
import re
from functools import lru_cache

from willowpost.consensus.replica.records import RecordKind
from willowpost.wire.messages import BallotState, Command, CommandAccepted, SubmitCommand


class Broken(AssertionError):
    """A rule was broken; the text says which, when and where."""

    @property
    def rule(self) -> str:
        """The text without time, names, numbers and examples, equal for all breaks of one rule."""
        text = re.sub(r"[:;,(\[] *[\[({].*", "", re.sub(r"^t=\d+: ", "", str(self)))
        return re.sub(r"[\w./@%-]*\d[\w./@%-]*", "N", text)


class CoreRules:
    """Checks the core after each step.

    Rules: agreement; weak validity (only submitted commands are decided); no ballot state is taken
    back; an accepted command is on n - f disks and in every later log; no process goes back a slot.
    """

    def __init__(self):
        self.submitted: set[str] = set()
        self.decided: dict[int, str] = {}
        self.accepted: dict[str, int] = {}
        self.sent_ballots: dict[tuple, BallotState] = {}
        self.slots: dict[tuple, int] = {}
        # address -> the slot below which its disks held all, also if they were lost since
        self.disk_slots: dict[str, int] = {}

    def __call__(self, world, seat, event, plan):
        """Checks one step of a process.

        Raises:
            Broken: A rule was broken.
        """
        self.submitted |= {
            message.command.key for _, message in plan.sends if isinstance(message, SubmitCommand)
        }
        node_state = getattr(seat.node, "node_state", None)
        if node_state is None:
            return
        self.disk_slots[seat.address] = max(
            self.disk_slots.get(seat.address, 0), disk_slot([*(plan.rotate or ()), *plan.records])
        )
        for record in plan.records:
            if record["k"] == RecordKind.DECISION:
                self._agree(world, seat, record["slot"], record["key"])
        for _, message in plan.sends:
            if isinstance(message, BallotState):
                self._stand(world, seat, message)
            if isinstance(message, CommandAccepted) and isinstance(
                json.loads(message.results), list
            ):
                self._accept(world, seat, message)
        place = (seat.address, seat.incarnation)
        self._say(
            node_state.tables.slot >= self.slots.get(place, 0), world, seat, "went back a slot"
        )
        self.slots[place] = node_state.tables.slot

    def _say(self, kept, world, seat, what):
        if not kept:
            raise Broken(f"t={world.time} {seat.address}: {what}")

    def _agree(self, world, seat, slot: int, key: str):
        known = self.decided.setdefault(slot, key)
        self._say(
            known == key,
            world,
            seat,
            f"slot {slot} decided {key!r}, elsewhere {known!r}",
        )
        self._say(
            not key or key in self.submitted,
            world,
            seat,
            f"{key} was never submitted",
        )

    def _stand(self, world, seat, ballot_state):
        place = (ballot_state.identity, ballot_state.epoch, ballot_state.slot)
        known = self.sent_ballots.get(place)
        if known is not None:
            same = (
                known.proposal == ballot_state.proposal
                and all(a == b for a, b in zip(known.states, ballot_state.states, strict=False))
                and all(a == b for a, b in zip(known.votes, ballot_state.votes, strict=False))
                and (
                    not known.agreed
                    or not ballot_state.agreed
                    or known.agreed == ballot_state.agreed
                )
                and (
                    1 not in (*ballot_state.states, *ballot_state.votes)
                    or bool(ballot_state.agreed)
                )
            )
            self._say(same, world, seat, f"unsaid its ballot state in slot {ballot_state.slot}")
        if known is None or len(ballot_state.states) + len(ballot_state.votes) > len(
            known.states
        ) + len(known.votes):
            self.sent_ballots[place] = ballot_state

    def _accept(self, world, seat, accepted):
        self.accepted[accepted.key] = accepted.slot
        node_state = seat.node.node_state
        voters = {voter.address for voter in node_state.tables.voters}
        holding = sum(
            max(self.disk_slots.get(address, 0), disk_slot(world.seats[address].disk.records))
            > accepted.slot
            for address in voters
            if address in world.seats
        )
        self._say(
            holding >= len(voters) - (len(voters) - 1) // 2,
            world,
            seat,
            f"{accepted.key} accepted with only {holding} disks holding it",
        )

    def finish(self, world, node_states):
        """Checks after the last fault that all running stores hold all that was accepted.

        Raises:
            Broken: An accepted command is missing.
        """
        for seat, node_state in node_states:
            lost = [
                key
                for key, slot in self.accepted.items()
                if node_state.tables.slot <= slot
                or (
                    self.decided.get(slot) not in (key,)
                    and slot in self.decided
                    and not node_state.is_decided(_command(key))
                )
            ]
            self._say(not lost, world, seat, f"accepted commands lost: {lost[:3]}")


def _command(key):
    daemon, incarnation, counter = key.rsplit("/", 2)
    return Command(daemon, int(incarnation), int(counter))


def disk_slot(records) -> int:
    """The slot after the last one that these records hold."""
    slot = 0
    for record in records:
        if record["k"] == RecordKind.DECISION:
            slot = record["slot"] + 1
        elif record["k"] == RecordKind.SNAPSHOT:
            slot = _snapshot_slot(record["text"])
    return slot


@lru_cache(maxsize=32)
def _snapshot_slot(text: str) -> int:
    """The slot of a snapshot's text, which may have megabytes."""
    slot: int = json.loads(text)["slot"]
    return slot
