"""The control side of one proxy: follows the replicated state and holds quota shares.

Requests are handled in routing/ and front.py.
"""

from willowpost.common.plan import Plan
from willowpost.node.command_client import CommandClient
from willowpost.node.failure_detector import FailureDetector
from willowpost.node.follower import Follower
from willowpost.node.graceful_shutdown import GracefulShutdown
from willowpost.node.join import FleetJoin
from willowpost.node.quorum_read import QuorumRead
from willowpost.proxy.admission.admission_tokens import AdmissionTokenOwner, AdmissionTokenTaker
from willowpost.proxy.admission.quota_shares import QuotaShareOwner, QuotaShareTaker
from willowpost.proxy.cache.store import BYTES_MOST, CacheStore
from willowpost.proxy.origin.reports import Reports
from willowpost.proxy.proxy_state import ProxyState
from willowpost.proxy.routing.keeper import SnapshotKeeper
from willowpost.state.entries import DaemonDescriptor


class ProxyNode:
    """A proxy's control state machine, made of controllers.

    State changes only in step(); request tasks read `node_state` and update its counters.

    Args:
        card: What the proxy registers of itself.
        seeds: Addresses to start from.
        wall: Gives the wall clock in µs.
        cache_bytes: Size limit of the cache.
        regions: Zone to region; empty if regions do not matter.
    """

    def __init__(
        self, card: DaemonDescriptor, seeds, wall, cache_bytes: int = BYTES_MOST, regions=None
    ):
        self.node_state = ProxyState(card)
        self.cache = CacheStore(cache_bytes)
        self.command_client = CommandClient(
            card.id, card.incarnation, self.node_state.store_addresses, wall
        )

        def tables():
            return self.node_state.tables

        self.fleet_join = FleetJoin(card, tables, self.command_client)
        self.shutdown = GracefulShutdown(self.node_state, self.command_client, self.fleet_join)
        owner = QuotaShareOwner(self.node_state, self.command_client)
        follower = Follower(self.node_state, seeds)
        self.controllers = [
            follower,
            QuorumRead(self.node_state, follower),
            SnapshotKeeper(self.node_state, self.cache, regions),
            Reports(self.node_state),
            self.command_client,
            FailureDetector(card, tables, self.command_client),
            self.fleet_join,
            self.shutdown,
            owner,
            QuotaShareTaker(self.node_state),
            AdmissionTokenOwner(self.node_state, owner),
            AdmissionTokenTaker(self.node_state),
        ]

    def step(self, event, now: int) -> Plan:
        """Passes an event to each controller in turn and joins their plans; `now` is in µs."""
        plan = Plan()
        for controller in self.controllers:
            plan.join(controller.step(event, now))
        return plan
