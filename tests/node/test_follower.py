"""The seeds as a follower's last resort when no known daemon answers any more."""

import unittest

from willowpost.common.clock import MILLI, SECOND
from willowpost.common.events import Received, SettingsChanged, Tick
from willowpost.node.follower import SOURCES_LOST_AFTER_US, Follower
from willowpost.node.node_state import DaemonDescriptor, NodeState
from willowpost.state.tables import Tables
from willowpost.wire.messages import Hello, Member, Poll, StateUpdate

DESCRIPTOR = DaemonDescriptor("r/registry", "registry", "core", "r", "a", "r:1", "r:2", 7)


def members(*names):
    return tuple(Member(name, name, "a", f"{name}:1") for name in names)


class WithoutSource(unittest.TestCase):
    def setUp(self):
        self.node_state = NodeState(
            DESCRIPTOR, Tables(slot=50, epoch=1, voters=members("A", "B", "C")), fresh_as_of=0
        )
        self.follower = Follower(self.node_state, ["x:1"], may_poll_proxies=False)

    def ticks(self, start, span=3 * SECOND):
        return [
            send
            for now in range(start, start + span, 20 * MILLI)
            for send in self.follower.step(Tick(), now).sends
        ]

    def greeted(self, sends):
        return {address for address, message in sends if isinstance(message, Hello)}

    def polled(self, sends):
        return {address for address, message in sends if isinstance(message, Poll)}

    def test_seeds_are_greeted_only_once_no_state_update_came_for_three_seconds(self):
        self.assertEqual(set(), self.greeted(self.ticks(0, SOURCES_LOST_AFTER_US)))
        self.assertEqual({"x:1"}, self.greeted(self.ticks(SOURCES_LOST_AFTER_US + MILLI)))

    def test_stores_that_new_seeds_name_are_polled_until_a_state_update_comes(self):
        self.follower.step(SettingsChanged(("y:1",)), 0)
        self.assertEqual({"y:1"}, self.greeted(self.ticks(4 * SECOND)))
        self.follower.step(
            Received("y:1", Hello(answer=True, bootstrapped=True, known=members("C", "D", "E"))),
            7 * SECOND,
        )
        polls = self.polled(self.ticks(7 * SECOND))
        self.assertEqual({"A:1", "B:1", "C:1", "D:1", "E:1"}, polls)
        newer = Tables(slot=90, epoch=3, voters=members("C", "D", "E"))
        self.follower.step(
            Received(
                "D:1", StateUpdate(self.follower.nonces.last, 90, 0, True, snapshot=newer.text())
            ),
            10 * SECOND,
        )
        self.assertEqual(
            (90, ()), (self.node_state.tables.slot, self.node_state.seed_store_addresses)
        )
        self.assertEqual({"C:1", "D:1", "E:1"}, set(self.node_state.store_addresses()))

    def test_tables_never_go_back_whichever_source_is_polled(self):
        self.ticks(4 * SECOND)
        self.follower.step(
            Received("x:1", Hello(answer=True, bootstrapped=True, known=members("D"))), 7 * SECOND
        )
        older = Tables(slot=40, epoch=9, voters=members("D"))
        self.follower.step(
            Received(
                "D:1", StateUpdate(self.follower.nonces.last, 40, 0, True, snapshot=older.text())
            ),
            7 * SECOND,
        )
        self.assertEqual((50, 1), (self.node_state.tables.slot, self.node_state.tables.epoch))

    def test_hellos_are_ignored_while_state_updates_come(self):
        self.follower.step(
            Received("x:1", Hello(answer=True, bootstrapped=True, known=members("D"))), SECOND
        )
        self.assertEqual((), self.node_state.seed_store_addresses)


if __name__ == "__main__":
    unittest.main()
