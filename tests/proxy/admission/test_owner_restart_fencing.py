"""A restarted or thawed owner acts only under a fresh read, its fence, and after a wait."""

import unittest
from types import SimpleNamespace
from unittest.mock import patch

from tests.support.entries import daemon_entry
from willowpost.common.clock import MILLI, SECOND
from willowpost.common.events import Received, Tick
from willowpost.node.follower import Follower
from willowpost.node.node_state import LEASE, DaemonDescriptor, NodeState
from willowpost.proxy.admission.admission_tokens import AdmissionTokenOwner
from willowpost.proxy.admission.quota_share_owner import OWNERSHIP_WAIT_US, QuotaShareOwner
from willowpost.proxy.proxy_state import ProxyState
from willowpost.proxy.routing.snapshot import RoutableService
from willowpost.state.apply import apply_operation
from willowpost.state.entries import Ownership
from willowpost.state.operations import AcquireOwnership
from willowpost.state.results import OwnershipAcquired
from willowpost.state.tables import Tables
from willowpost.wire.messages import (
    AdmissionTokenRequest,
    AdmissionTokenResponse,
    Poll,
    QuotaShareRequest,
)

FENCE = 3
CLIENT = SimpleNamespace()  # a command client that nobody may need here


def owner(rate=1000.0):
    """An incarnation that the log named owner of the service's quota before it was restarted."""
    descriptor = DaemonDescriptor("p/proxy", "proxy", "edge", "p", "z", "p:1", "", 7)
    tables = Tables(
        slot=9,
        epoch=1,
        daemons={"p/proxy": daemon_entry("p/proxy", kind="proxy", incarnation=7)},
        ownerships={"quota_share/g": Ownership("p/proxy", FENCE)},
    )
    node_state = ProxyState(descriptor, tables)
    service = RoutableService(rate, 10, ("p/proxy",), {"p/proxy": 1.0}, ())
    node_state.snapshot = SimpleNamespace(services={"g": service}, origins={})
    return node_state, QuotaShareOwner(node_state, CLIENT)


class QuotaShares(unittest.TestCase):
    def granted(self, share_owner, now, fence=FENCE):
        return share_owner.step(Received("q:1", QuotaShareRequest(1, "g", fence, 9000)), now).sends

    def restarted(self):
        node_state, share_owner = owner()
        share_owner.step(Tick(), SECOND)  # it sees by old tables that it is the owner
        return node_state, share_owner

    def test_without_a_read_of_this_incarnation_it_grants_nothing(self):
        _, share_owner = self.restarted()
        for now in (SECOND, SECOND + OWNERSHIP_WAIT_US, 60 * SECOND):
            self.assertEqual([], self.granted(share_owner, now))

    def test_after_a_fresh_read_it_waits_for_grants_of_its_previous_incarnation(self):
        node_state, share_owner = self.restarted()
        node_state.confirm_as_of(SECOND + OWNERSHIP_WAIT_US)
        self.assertEqual([], self.granted(share_owner, SECOND + OWNERSHIP_WAIT_US - MILLI))
        self.assertEqual(1, len(self.granted(share_owner, SECOND + OWNERSHIP_WAIT_US)))

    def test_under_another_fence_or_after_a_freeze_it_grants_nothing(self):
        node_state, share_owner = self.restarted()
        node_state.confirm_as_of(10 * SECOND)
        self.assertEqual([], self.granted(share_owner, 10 * SECOND, FENCE - 1))
        self.assertEqual(1, len(self.granted(share_owner, 10 * SECOND + LEASE)))
        self.assertEqual([], self.granted(share_owner, 10 * SECOND + LEASE + 1))

    def test_without_the_lease_it_would_grant_by_old_tables(self):
        _, share_owner = self.restarted()
        with patch.object(NodeState, "holds_ownership_lease", lambda self, now: True):
            self.assertEqual(1, len(self.granted(share_owner, 60 * SECOND)))


class AdmissionTokens(unittest.TestCase):
    def given(self, tokens, now, fence=FENCE):
        ask = AdmissionTokenRequest(1, "g", fence, "")
        ((_, answer),) = tokens.step(Received("q:1", ask), now).sends
        self.assertIsInstance(answer, AdmissionTokenResponse)
        return answer.given

    def test_tokens_come_under_the_same_guards(self):
        node_state, share_owner = owner(rate=0.5)
        share_owner.step(Tick(), SECOND)
        tokens = AdmissionTokenOwner(node_state, share_owner)
        self.assertFalse(self.given(tokens, 60 * SECOND), "no read of this incarnation")
        node_state.confirm_as_of(60 * SECOND)
        self.assertFalse(self.given(tokens, 60 * SECOND, FENCE - 1), "another fence")
        self.assertTrue(self.given(tokens, 60 * SECOND))
        self.assertFalse(self.given(tokens, 64 * SECOND), "the lease has run out")
        node_state.confirm_as_of(64 * SECOND)
        self.assertTrue(self.given(tokens, 64 * SECOND))


class OtherDuties(unittest.TestCase):
    def test_a_source_of_updates_is_not_fresh_before_a_read_of_its_own(self):
        """Restarted with old tables, it sends them, but grants nobody a lease."""
        descriptor = DaemonDescriptor("p/proxy", "proxy", "edge", "p", "z", "p:1", "", 7)
        node_state = NodeState(descriptor, Tables(slot=9, epoch=1))
        source = Follower(node_state, [])
        updates = []
        for now in (SECOND, 2 * SECOND):
            ((_, update),) = source.step(Received("q:1", Poll(1, 9)), now).sends
            updates.append((update.fresh, update.age))
            node_state.confirm_as_of(SECOND)
        self.assertEqual([(False, 0), (True, SECOND)], updates)

    def test_a_claim_under_a_fence_that_moved_on_is_refused(self):
        tables = Tables(slot=9, epoch=1, ownerships={"k": Ownership("a", FENCE)})
        after, result = apply_operation(tables, AcquireOwnership("k", "b", FENCE - 1))
        self.assertEqual((tables, False), (after, result.is_accepted))
        after, result = apply_operation(tables, AcquireOwnership("k", "b", FENCE))
        self.assertEqual(
            (Ownership("b", FENCE + 1), OwnershipAcquired(FENCE + 1)),
            (after.ownerships["k"], result),
        )


if __name__ == "__main__":
    unittest.main()
