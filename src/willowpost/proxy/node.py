"""The control side of one proxy: follows the replicated state and owns quota shares.

Requests are handled in `frontend.py` and `routing/`.
"""

from collections.abc import Callable, Iterable, Mapping

from willowpost.common.controller import Controller
from willowpost.common.plan import Plan
from willowpost.node.command_client import CommandClient
from willowpost.node.failure_detector import FailureDetector
from willowpost.node.follower import Follower
from willowpost.node.graceful_shutdown import GracefulShutdown
from willowpost.node.join import FleetJoin
from willowpost.node.quorum_read import QuorumRead
from willowpost.node.tables_check import TablesCheck
from willowpost.proxy.admission.admission_tokens import AdmissionTokenClient, AdmissionTokenOwner
from willowpost.proxy.admission.quota_share_client import QuotaShareClient
from willowpost.proxy.admission.quota_share_owner import QuotaShareOwner
from willowpost.proxy.cache.store import MAX_CACHE_BYTES, CacheStore
from willowpost.proxy.origin.load_reports import OriginLoadReports
from willowpost.proxy.proxy_state import ProxyState
from willowpost.proxy.routing.snapshot_updater import SnapshotUpdater
from willowpost.state.entries import DaemonDescriptor
from willowpost.state.tables import Tables


class ProxyNode:
    """A proxy's control state machine, made of controllers.

    State changes only in step(); request tasks read `node_state` and update its counters.

    Args:
        descriptor: What the proxy registers of itself.
        seeds: Addresses to start from.
        wall: Returns the wall clock in µs.
        cache_bytes: Size limit of the cache.
        regions: Zone to region; empty if regions do not matter.
    """

    def __init__(
        self,
        descriptor: DaemonDescriptor,
        seeds: Iterable[str],
        wall: Callable[[], int],
        cache_bytes: int = MAX_CACHE_BYTES,
        regions: Mapping[str, str] | None = None,
    ) -> None:
        self.node_state = ProxyState(descriptor)
        self.cache = CacheStore(cache_bytes)
        self.command_client = CommandClient(
            descriptor.id, descriptor.incarnation, self.node_state.store_addresses, wall
        )

        def tables() -> Tables:
            return self.node_state.tables

        self.fleet_join = FleetJoin(descriptor, tables, self.command_client)
        self.shutdown = GracefulShutdown(self.node_state, self.command_client, self.fleet_join)
        quota_share_owner = QuotaShareOwner(self.node_state, self.command_client)
        follower = Follower(self.node_state, seeds)
        self.tables_check = TablesCheck(tables)
        self.controllers: list[Controller] = [
            follower,
            QuorumRead(self.node_state, follower),
            SnapshotUpdater(self.node_state, self.cache, regions),
            OriginLoadReports(self.node_state),
            self.command_client,
            FailureDetector(descriptor, tables, self.command_client),
            self.fleet_join,
            self.shutdown,
            quota_share_owner,
            QuotaShareClient(self.node_state),
            AdmissionTokenOwner(self.node_state, quota_share_owner),
            AdmissionTokenClient(self.node_state),
            self.tables_check,
        ]

    def step(self, event: object, now: int) -> Plan:
        """Passes an event to each controller in turn and joins their plans; `now` is in µs."""
        plan = Plan()
        for controller in self.controllers:
            plan.join(controller.step(event, now))
        return plan
