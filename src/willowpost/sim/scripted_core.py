"""A simulated core with a schedule written step by step: which messages arrive, who fails when."""

from collections.abc import Callable

from willowpost.consensus.replica.bootstrap import VoterPolicy
from willowpost.node.graceful_shutdown import ShutdownRequested
from willowpost.sim.core import CoreWorld
from willowpost.sim.world import seconds
from willowpost.state.apply.voters import is_change_complete
from willowpost.state.lifecycle import DaemonState
from willowpost.state.operations import EvacuateZone
from willowpost.store.graceful_shutdown import StoreShutdownTimeouts
from willowpost.wire.messages import Pong, SubmitCommand, SyncedIndex

Blocks = Callable[[str, str, object], bool]
WATCHER_SPAN = 6  # s, within which the watchers have a loss in the log


class ScriptedCore(CoreWorld):
    """Three voters and one machine to spare, unless told otherwise, and a caller `r0`.

    Attributes:
        blocked: predicates (source, address, message); what one of them is true for is lost.
    """

    def __init__(self, seed=1, zones=("a", "b", "c", "c"), members=3, max_voters=3, **world):
        self.blocked: list[Blocks] = []
        rights = VoterPolicy(bootstrap_from_seeds=True, max_voters=max_voters)
        super().__init__(seed, zones=zones, members=members, rights=rights, **world)
        self.add_caller("r0", ["s0"])

    def seeds_of_stores(self):
        """All bootstrap members."""
        return self.names[: self.members]

    def _arrive(self, address, source, message):
        if not any(blocks(source, address, message) for blocks in self.blocked):
            super()._arrive(address, source, message)

    def founded(self):
        """Until all stores hold the founding and each other's descriptors."""
        stores = len(self.names)
        return self.until(lambda: self.bootstrapped() and self.joined() >= stores, seconds(8))

    def joined(self):
        """How many daemons the store knows that knows the fewest."""
        return min(len(state.tables.daemons) for _, state in self.node_states())

    def state(self, name):
        """A store's replica state."""
        return self.seats[name].node.node_state

    def identity(self, name):
        """The identity that a store has on its disk."""
        return self.state(name).member.identity

    def accept(self, zone, caller="r0", span=3.0):
        """Submits an order; whether it was accepted in that span (s)."""
        token = self.ask(caller, EvacuateZone(zone, is_evacuated=True))
        return self.until(lambda: token in self.replies, seconds(span))

    def holds(self, name, zone):
        """Whether the order for this zone is applied at this store."""
        return zone in self.state(name).tables.zone_evacuations

    def epoch(self, name):
        """The epoch in force as this store knows it."""
        return self.state(name).tables.epoch

    def until_epoch(self, name, epoch, span=8.0):
        """Waits until this store knows that epoch; whether it did within the span (s)."""
        return self.until(lambda: self.epoch(name) >= epoch, seconds(span))

    def voters(self, name):
        """The names of the voters as this store knows them."""
        return {voter.name for voter in self.state(name).tables.voters}

    def hold_lost(self, target):
        """The log holds a live store lost: its answers to its watchers don't come."""
        self.blocked.append(
            lambda source, address, message: source == target and isinstance(message, Pong)
        )
        identity = self.identity(target)

        def lost():
            return all(
                identity in state.tables.daemons
                and state.tables.daemons[identity].state is DaemonState.LOST
                for _, state in self.node_states()
            )

        return self.until(lost, seconds(WATCHER_SPAN))

    def deafen(self, *names):
        """These hear nothing from now on; returns the predicate, to be taken out again."""

        def blocks(source, address, message):
            return address in names and source != address

        self.blocked.append(blocks)
        return blocks

    def hold_back(self, source, op):
        """This store's commands of one op are lost; returns the predicate."""

        def blocks(sender, address, message):
            return (
                sender == source
                and isinstance(message, SubmitCommand)
                and op in message.command.body
            )

        self.blocked.append(blocks)
        return blocks

    def asked_for(self, source, op):
        """Whether this store has stamped such a command."""
        pending = self.seats[source].node.command_client.pending.values()
        return any(op in entry.command.body for entry in pending)

    def take_away(self, *names):
        """Machines that are gone for good, disk and all, at the same moment."""
        for name in names:
            self.crash(name, lose_disk=True)
            self.seats[name].retired = True

    def terminate(self, name, **spans):
        """SIGTERM to a store; returns a function that says whether it is ready to end.

        Args:
            name: the store.
            **spans: of LeaveSpans, in µs.
        """
        leaver = self.seats[name].node.shutdown
        leaver.spans = StoreShutdownTimeouts(**spans)
        self.give(name, ShutdownRequested())
        return lambda: leaver.gone

    def epochs(self):
        """The epochs that live stores know."""
        return {state.tables.epoch for _, state in self.node_states()}

    def card_state(self, teller, name):
        """What one store's tables say of another."""
        return self.state(teller).tables.daemons[self.identity(name)].state

    def votes(self, name):
        """Whether this store votes, as it knows itself."""
        return self.state(name).is_voter

    def settled(self, name):
        """Whether the log shows, to this store, that the last change of the voters is finished."""
        return is_change_complete(self.state(name).tables)

    def lose_first_index(self, source):
        """The index that this store tells with its decisions is lost; later ones are not."""
        told = set()

        def blocks(sender, address, message):
            if sender != source or not isinstance(message, SyncedIndex):
                return False
            first = (address, message.slot) not in told
            told.add((address, message.slot))
            return first

        self.blocked.append(blocks)
        return blocks
