"""The process that runs one replica of the log: its disk, its identity and its node."""

import os
from typing import TYPE_CHECKING, Any

import gevent

from willowpost.common.clock import Clock
from willowpost.consensus.replica.bootstrap import VoterPolicy
from willowpost.consensus.replica.records import identity_record
from willowpost.node.graceful_shutdown import ShutdownRequested
from willowpost.shell.disk import Disk
from willowpost.shell.metrics import MetricsPage
from willowpost.shell.process_settings import ProcessSettings
from willowpost.shell.retrying_disk import RetryingDisk
from willowpost.shell.runner import TICK_SECONDS, Runner
from willowpost.shell.segment_format import DiskDamagedError
from willowpost.shell.structured_log import StructuredLogger
from willowpost.store.metrics import StoreMetrics
from willowpost.store.node import StoreNode, StoreOptions
from willowpost.wire.messages import Member

if TYPE_CHECKING:
    from willowpost.shell.web_server import WebServer

IDENTITY_RANDOM_BYTES = 6
Record = dict[str, Any]


class StoreDaemon:
    """A store with its disk; the identity is made once, and synced before it is sent.

    Args:
        settings: checked settings of this process.
        logger: where log lines go.
    """

    def __init__(self, settings: ProcessSettings, logger: StructuredLogger) -> None:
        self.settings = settings
        self.logger = logger
        self.runner = Runner(settings.address, logger)
        self.node: StoreNode | None = None
        self.metrics: WebServer | None = None

    def start(self) -> None:
        """Restore the state from disk, or make an identity for an empty folder; run the node.

        A damaged folder is set aside; the store then starts as an empty one.

        Raises:
            UnknownFormatError: the newest segment was written in another format.
        """
        clock = Clock()
        disk, records = self._open_disk(clock)
        retrying_disk = RetryingDisk(disk, self.logger)
        self.runner.disk = retrying_disk
        records = records or self._create_identity()
        node = StoreNode(self._options(records[0], clock.wall()), records, clock.now(), clock.wall)
        tables = node.node_state.tables
        self.logger.log("store", "state restored", slot=tables.slot, epoch=tables.epoch)
        node.shutdown.timeouts = self.settings.store_shutdown_timeouts()
        self.node = node
        self.runner.start(node)
        if self.settings.metrics is not None:
            metrics = StoreMetrics(
                node.node_state,
                disk,
                retrying_disk.write_durations,
                node.tables_check.violations,
                clock.now,
            )
            self._serve_metrics(self.settings.metrics, metrics)

    def stop(self, requested_at: int) -> None:
        """Hand over or await the sync (`store/graceful_shutdown.py`), then end.

        A store that is stopped at any other moment loses nothing either: all it has sent is on its
        disk. A disk that hangs does not delay the end: this task's own clock keeps the time limits.

        Args:
            requested_at: when the machine asked for it; µs, own clock.
        """
        if self.node is None:
            return
        shutdown, clock = self.node.shutdown, self.runner.clock
        give_up_at = requested_at + max(shutdown.timeouts.handover, shutdown.timeouts.sync)
        self.runner.inbox.put(ShutdownRequested(requested_at))
        while not shutdown.is_stopped and clock.now() < give_up_at:
            gevent.sleep(TICK_SECONDS)
        self.runner.mesh.stop()

    def _serve_metrics(self, address: str, metrics: StoreMetrics) -> None:
        # Imported here: a store without the page does not pay for a web server.
        from willowpost.shell.web_server import WebServer

        self.metrics = WebServer(address, MetricsPage(metrics))
        self.metrics.start()

    def _open_disk(self, clock: Clock) -> tuple[Disk, list[Record]]:
        """Open the data folder; returns it with its records, the oldest first.

        Raises:
            UnknownFormatError: the newest segment was written in another format.
            ValueError: the settings name no data folder.
        """
        if self.settings.data is None:
            raise ValueError("a store needs a data folder")
        disk = Disk(os.path.join(self.settings.data, "store"))
        try:
            records: list[Record] = disk.load()
        except DiskDamagedError as damage:
            # What this store has promised and voted is not known any more: it counts as lost.
            set_aside = disk.quarantine(clock.wall())
            self.logger.log(
                "disk",
                "damaged, set aside",
                level="error",
                damage=str(damage),
                folder=set_aside,
            )
            disk = Disk(disk.folder)
            records = disk.load()
        return disk, records

    def _create_identity(self) -> list[Record]:
        """Make an identity for an empty folder and write it to disk; returns the records."""
        settings = self.settings
        identity = f"{settings.name}-{os.urandom(IDENTITY_RANDOM_BYTES).hex()}"
        record = {
            **identity_record(self._member(identity)),
            "may_bootstrap": settings.may_bootstrap,
        }
        assert self.runner.disk is not None  # set by start()
        self.runner.disk.rotate([record])
        self.logger.log("disk", "empty folder, new identity", identity=identity)
        return [record]

    def _options(self, identity: Record, incarnation: int) -> StoreOptions:
        settings = self.settings
        return StoreOptions(
            member=self._member(identity["identity"]),
            seeds=tuple(settings.seeds),
            bootstrap_voters=settings.voters,
            incarnation=incarnation,
            tuning=settings.pace,
            voter_policy=VoterPolicy(
                # An identity that was made when it might bootstrap may go on with it, else
                # bootstrap members that restart meanwhile would stop the bootstrap.
                settings.may_bootstrap or identity.get("may_bootstrap", False),
                settings.bootstrap_from_seeds,
                settings.max_voters,
            ),
        )

    def _member(self, identity: str) -> Member:
        settings = self.settings
        return Member(identity, settings.name, settings.zone, settings.address)
