"""Late responses to requests of a process's previous incarnation."""

import unittest
from itertools import pairwise

from tests.support.entries import daemon_entry
from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.common.events import Received, SubmitOperations, Tick
from willowpost.common.nonce import NonceSequence
from willowpost.consensus.replica.records import bootstrap_voters_record
from willowpost.node.command_client import CommandClient
from willowpost.node.failure_detector import FailureDetector
from willowpost.node.follower import Follower
from willowpost.node.node_state import DaemonDescriptor, NodeState
from willowpost.node.quorum_read import QuorumRead
from willowpost.proxy.admission.admission_tokens import AdmissionTokenClient, AdmissionTokenWanted
from willowpost.proxy.admission.quota_share_client import QuotaShareClient
from willowpost.proxy.proxy_state import ProxyState
from willowpost.proxy.routing.snapshot import RoutableService, RoutingSnapshot
from willowpost.state.entries import Ownership
from willowpost.state.operations import EndOrigin
from willowpost.state.tables import Tables
from willowpost.store.node import StoreNode, StoreOptions
from willowpost.wire.codec import Codec
from willowpost.wire.messages import (
    AdmissionTokenRequest,
    AdmissionTokenResponse,
    CommandAccepted,
    Member,
    Ping,
    Poll,
    Pong,
    QuorumReadRequest,
    QuorumReadResponse,
    QuotaShareRequest,
    QuotaShareResponse,
    StateUpdate,
    SubmitCommand,
)

VOTERS = tuple(Member(name, name, name, f"{name}:1") for name in ("A", "B", "C"))
FOUND = [bootstrap_voters_record(VOTERS)]
FIRST, SECOND_INCARNATION = 1_000_000, 9_000_000


def descriptor(incarnation):
    return DaemonDescriptor("p/proxy", "proxy", "edge", "p", "a", "p:1", "p:2", incarnation)


def proxy_state(incarnation, service=None):
    tables = Tables(
        slot=5,
        epoch=1,
        voters=VOTERS,
        daemons={"o": daemon_entry("o", kind="proxy", address="o:1")},
        ownerships={"quota_share/g": Ownership("o", 1)},
    )
    node_state = ProxyState(descriptor(incarnation), tables)
    if service is not None:
        node_state.snapshot = RoutingSnapshot(5, 1, services={"g": service})
    return node_state


def first_sent(sends, kind):
    return next(message for _, message in sends if isinstance(message, kind))


class StoreReads(unittest.TestCase):
    """A voter's response to a previous incarnation is too old for a quorum read."""

    def store(self, incarnation):
        return StoreNode(
            StoreOptions(
                member=VOTERS[0],
                seeds=("A:2",),
                bootstrap_voters=3,
                incarnation=incarnation,
            ),
            FOUND,
            0,
            lambda: incarnation,
        )

    def read(self, store):
        """The first request, and the moment it was sent."""
        for now in range(0, SECOND, 20 * MILLISECOND):
            sends = store.step(Tick(), now).sends
            if any(isinstance(message, QuorumReadRequest) for _, message in sends):
                return first_sent(sends, QuorumReadRequest), now
        raise AssertionError("no quorum read was begun")

    def test_an_answer_to_the_incarnation_before_counts_for_nothing(self):
        old, _ = self.read(self.store(FIRST))
        store = self.store(SECOND_INCARNATION)
        _, now = self.read(store)
        # B responded before it accepted another command with C
        store.step(Received("B:1", QuorumReadResponse(old.nonce, "B", 0)), now + MILLISECOND)
        self.assertIsNone(store.node_state.fresh_as_of)

    def test_an_answer_to_its_own_request_counts(self):
        store = self.store(SECOND_INCARNATION)
        request, now = self.read(store)
        store.step(Received("B:1", QuorumReadResponse(request.nonce, "B", 0)), now + MILLISECOND)
        self.assertEqual(now, store.node_state.fresh_as_of)


class FollowerReads(unittest.TestCase):
    def polled(self, incarnation):
        node_state = NodeState(descriptor(incarnation), Tables(slot=5, epoch=1, voters=VOTERS))
        follower = Follower(node_state, ["x:1"], may_poll_proxies=False)
        return follower, first_sent(follower.step(Tick(), SECOND).sends, Poll)

    def test_a_state_update_for_the_incarnation_before_makes_nothing_fresh(self):
        _, old = self.polled(FIRST)
        follower, _ = self.polled(SECOND_INCARNATION)
        follower.step(Received("A:1", StateUpdate(old.nonce, 5, 0, True)), SECOND + MILLISECOND)
        self.assertIsNone(follower.node_state.fresh_as_of)

    def read(self, incarnation):
        node_state = NodeState(descriptor(incarnation), Tables(slot=5, epoch=1, voters=VOTERS))
        reads = QuorumRead(node_state, Follower(node_state, ["x:1"], may_poll_proxies=False))
        return reads, first_sent(reads.step(Tick(), SECOND).sends, QuorumReadRequest)

    def test_voters_that_answered_the_incarnation_before_make_nothing_fresh(self):
        _, old = self.read(FIRST)
        reads, request = self.read(SECOND_INCARNATION)
        for name in "AB":
            reads.step(
                Received(f"{name}:1", QuorumReadResponse(old.nonce, name, 5)), SECOND + MILLISECOND
            )
        self.assertIsNone(reads.node_state.fresh_as_of)
        for name in "AB":
            reads.step(
                Received(f"{name}:1", QuorumReadResponse(request.nonce, name, 5)),
                SECOND + MILLISECOND,
            )
        self.assertEqual(SECOND, reads.node_state.fresh_as_of)


class Admission(unittest.TestCase):
    def share(self, incarnation):
        service = RoutableService(1000, 10, ("p/proxy",), {"p/proxy": 1.0}, ())
        taker = QuotaShareClient(proxy_state(incarnation, service))
        return taker, first_sent(taker.step(Tick(), SECOND).sends, QuotaShareRequest)

    def test_a_grant_to_the_incarnation_before_is_not_prolonged(self):
        _, old = self.share(FIRST)
        taker, request = self.share(SECOND_INCARNATION)
        taker.step(
            Received("o:1", QuotaShareResponse(old.nonce, "g", 1, 9000)), SECOND + MILLISECOND
        )
        self.assertEqual({}, taker.node_state.grants)
        # nor one for another service than that of the request
        taker.step(
            Received("o:1", QuotaShareResponse(request.nonce, "h", 1, 9000)), SECOND + MILLISECOND
        )
        self.assertEqual({}, taker.node_state.grants)

    def wanted(self, incarnation):
        taker = AdmissionTokenClient(proxy_state(incarnation))
        return taker, first_sent(
            taker.step(AdmissionTokenWanted("ticket", "g"), SECOND).sends, AdmissionTokenRequest
        )

    def test_a_token_given_to_the_incarnation_before_lets_nothing_in(self):
        _, old = self.wanted(FIRST)
        taker, request = self.wanted(SECOND_INCARNATION)
        given = AdmissionTokenResponse(old.nonce, True)
        self.assertEqual([], taker.step(Received("o:1", given), SECOND).replies)
        given = AdmissionTokenResponse(request.nonce, True)
        self.assertEqual([("ticket", True)], taker.step(Received("o:1", given), SECOND).replies)


class Pings(unittest.TestCase):
    def test_a_pong_for_the_watcher_before_is_no_sign_of_being_alive_now(self):
        def pinged(incarnation):
            tables = Tables(
                slot=5,
                epoch=1,
                daemons={
                    name: daemon_entry(name, zone=name, address=f"{name}:1", incarnation=3)
                    for name in ("p/proxy", "o")
                },
            )
            watch = FailureDetector(descriptor(incarnation), lambda: tables, None)
            return watch, first_sent(watch.step(Tick(), SECOND).sends, Ping)

        _, old = pinged(FIRST)
        watch, request = pinged(SECOND_INCARNATION)
        watch.step(Received("o:1", Pong(old.nonce, "o@3")), 2 * SECOND)
        self.assertEqual(SECOND, watch.last_pong_at["o@3"])
        watch.step(Received("o:1", Pong(request.nonce, "o@3")), 2 * SECOND)
        self.assertEqual(2 * SECOND, watch.last_pong_at["o@3"])


class Commands(unittest.TestCase):
    def submitted(self, incarnation):
        client = CommandClient("p/proxy", incarnation, lambda: ["A:1"], lambda: incarnation)
        plan = client.step(SubmitOperations("token", (EndOrigin("x"),)), 0)
        plan.join(client.step(Tick(), SECOND))
        return client, first_sent(plan.sends, SubmitCommand).command

    def test_the_acceptance_of_a_previous_incarnations_command_completes_nothing(self):
        _, old = self.submitted(FIRST)
        client, command = self.submitted(SECOND_INCARNATION)
        self.assertEqual(old.counter, command.counter)
        accepted = CommandAccepted(old.key, 5, '[{"ok": true}]')
        self.assertEqual([], client.step(Received("A:1", accepted), SECOND).replies)
        accepted = CommandAccepted(command.key, 6, '[{"ok": true}]')
        self.assertEqual(1, len(client.step(Received("A:1", accepted), SECOND).replies))


class Nonces(unittest.TestCase):
    def test_each_incarnation_daemon_and_purpose_counts_from_its_own_start(self):
        firsts = {
            NonceSequence(daemon, incarnation, purpose).next()
            for daemon in ("p", "q")
            for incarnation in range(100)
            for purpose in ("read", "poll")
        }
        self.assertEqual(400, len(firsts))
        ordered = sorted(firsts)
        apart = min(after - before for before, after in pairwise(ordered))
        self.assertGreater(apart, 1_000_000)

    def test_the_greatest_of_them_goes_over_the_wire(self):
        request = QuorumReadRequest(2**56 + 2**40)
        self.assertEqual(("a:1", request), Codec().decode(Codec().encode("a:1", request)))


if __name__ == "__main__":
    unittest.main()
