"""Responses to requests of a previous incarnation count for nothing: nonces are not reused."""

import unittest

from tests.support.entries import member
from willowpost.common.clock import MILLI, SECOND
from willowpost.common.events import Received, Tick
from willowpost.node.follower import Follower
from willowpost.node.node_state import DaemonDescriptor, NodeState
from willowpost.node.quorum_read import QuorumRead
from willowpost.sim.core import CoreWorld
from willowpost.sim.world import seconds
from willowpost.state.tables import Tables
from willowpost.wire.messages import Poll, QuorumReadRequest, QuorumReadResponse, StateUpdate

VOTERS = tuple(member(name, address=f"{name}:1") for name in "ABC")


def follower_of(incarnation, age=None):
    descriptor = DaemonDescriptor(
        "r/registry", "registry", "core", "r", "a", "r:1", "r:2", incarnation
    )
    node_state = NodeState(descriptor, Tables(slot=5, epoch=1, voters=VOTERS), fresh_as_of=age)
    follower = Follower(node_state, [], may_poll_proxies=False)
    return node_state, [follower, QuorumRead(node_state, follower)]


def sent(controllers, span=SECOND):
    return [
        message
        for now in range(0, span, 20 * MILLI)
        for controller in controllers
        for _, message in controller.step(Tick(), now).sends
    ]


def deliver(controllers, message):
    for controller in controllers:
        controller.step(Received("A:1", message), SECOND)


class RequestNumberReuse(unittest.TestCase):
    def test_late_responses_to_a_followers_previous_incarnation_make_nothing_fresh(self):
        _, previous = follower_of(1_000_000)
        messages = sent(previous)
        polls = [message for message in messages if isinstance(message, Poll)]
        reads = [message for message in messages if isinstance(message, QuorumReadRequest)]
        node_state, controllers = follower_of(9_000_000)
        sent(controllers)
        for poll in polls:
            deliver(controllers, StateUpdate(poll.nonce, 5, 0, True))
        for read in reads:
            for voter in "AB":
                deliver(controllers, QuorumReadResponse(read.nonce, voter, 5))
        self.assertTrue(polls and reads)
        self.assertIsNone(node_state.fresh_as_of)

    def test_late_responses_to_a_stores_previous_incarnation_make_nothing_fresh(self):
        """It restarts from its disk, partitioned; late responses are to the previous incarnation."""
        world = CoreWorld(3, zones=("a", "b", "c"))
        self.assertTrue(world.until(world.bootstrapped, seconds(5)))
        nonces = set()
        world.checks.append(
            lambda _, seat, event, plan: nonces.update(
                message.nonce
                for address, message in plan.sends
                if seat.address == "s0" and isinstance(message, QuorumReadRequest)
            )
        )
        world.run(seconds(3))
        previous_nonces = set(nonces)
        world.crash("s0")
        world.cut(["s0"], ["s1", "s2"])
        world.start("s0")
        node_state = world.seats["s0"].node.node_state
        for _ in range(40):
            world.run(seconds(0.05))
            for nonce in previous_nonces:
                for voter in node_state.tables.voters:
                    world.give("s0", Received("s1", QuorumReadResponse(nonce, voter.identity, 0)))
        self.assertTrue(previous_nonces)
        self.assertIsNone(node_state.fresh_as_of)


if __name__ == "__main__":
    unittest.main()
