"""wpstore: the process that holds one replica of the log."""

import os

import gevent

from willowpost.common.clock import Clock
from willowpost.consensus.replica.bootstrap import VoterPolicy
from willowpost.consensus.replica.records import identity_record
from willowpost.node.graceful_shutdown import ShutdownRequested
from willowpost.shell.disk import Disk
from willowpost.shell.retrying_disk import RetryingDisk
from willowpost.shell.runner import TICK_SECONDS, Runner
from willowpost.shell.segment_format import DiskDamagedError
from willowpost.store.node import StoreNode
from willowpost.wire.messages import Member


class StoreDaemon:
    """A store with its disk; the identity is made once, and synced before it is sent."""

    def __init__(self, place, logger):
        self.place = place
        self.logger = logger
        self.runner = Runner(place.address, logger)
        self.node: StoreNode | None = None

    def start(self) -> None:
        """Restore the state from disk, or make an identity for an empty folder; run the node.

        A damaged folder is set aside; the store then starts as an empty one.

        Raises:
            UnknownFormat: the newest segment was written in another format.
        """
        place, disk, clock = self.place, Disk(os.path.join(self.place.data, "store")), Clock()
        try:
            records = disk.load()
        except DiskDamagedError as damage:
            # what it said cannot be known any more: as good as lost
            aside = disk.set_aside(clock.wall())
            self.logger.log(
                "disk", "damaged, set aside", level="error", damage=str(damage), aside=aside
            )
            disk = Disk(disk.folder)
            records = disk.load()
        self.runner.disk = RetryingDisk(disk, self.logger)
        if not records:
            me = Member(
                f"{place.name}-{os.urandom(6).hex()}", place.name, place.zone, place.address
            )
            records = [{**identity_record(me), "may_bootstrap": place.may_bootstrap}]
            self.runner.disk.rotate(records)
            self.logger.log("disk", "empty: a new identity was made", identity=me.identity)
        held = records[0]
        me = Member(held["identity"], place.name, place.zone, place.address)
        # an identity made when it might found may go on founding, else bootstrap members that
        # restart meanwhile would stop the founding
        rights = VoterPolicy(
            place.may_bootstrap or held.get("may_bootstrap", False),
            place.bootstrap_from_seeds,
            place.max_voters,
        )
        node = StoreNode(
            me,
            place.seeds,
            place.voters,
            records,
            clock.now(),
            clock.wall,
            clock.wall(),
            place.pace,
            rights=rights,
        )
        self.logger.log(
            "store",
            "restored",
            slot=node.node_state.tables.slot,
            epoch=node.node_state.tables.epoch,
        )
        node.shutdown.spans = place.store_spans()
        self.node = node
        self.runner.start(node)

    def stop(self) -> None:
        """Hand the voter's place over or settle (`store/graceful_shutdown.py`), then end.

        A store that is stopped at any other moment loses nothing either: all it has sent is on its
        disk. A disk that hangs does not delay the end: this task's own clock keeps the time limits.
        """
        if self.node is None:
            return
        spans, clock = self.node.shutdown.spans, self.runner.clock
        give_up_at = clock.now() + max(spans.handover, spans.settle)
        self.runner.inbox.put(ShutdownRequested())
        while not self.node.shutdown.gone and clock.now() < give_up_at:
            gevent.sleep(TICK_SECONDS)
        self.runner.mesh.stop()
