"""The queue of pending commands and the reads that wait for a quorum."""

import unittest

from willowpost.consensus.pending_queue import (
    COMMAND_LIFETIME_US,
    MAX_STALE_HEAP_ENTRIES,
    RENEWAL_INTERVAL_US,
    PendingQueue,
)
from willowpost.consensus.pending_reads import MAX_PENDING_READS, PendingReads
from willowpost.wire.messages import Command


def command(counter, stamp):
    return Command("r1", 1, counter, stamp)


class Queue(unittest.TestCase):
    def test_the_head_is_the_undecided_command_with_the_lowest_stamp(self):
        queue = PendingQueue()
        early, late, decided = command(2, 10), command(1, 20), command(3, 5)
        for number, each in enumerate((late, decided, early)):
            self.assertTrue(queue.push(each, number))
        self.assertFalse(queue.push(late, 9))
        self.assertEqual(early, queue.head(lambda each: each == decided))
        self.assertIsNone(queue.get(decided.key))
        self.assertEqual(0, queue.queued_at(late.key))
        queue.drop(early.key)
        self.assertEqual(late, queue.head(lambda each: False))
        queue.drop(late.key)
        self.assertIsNone(queue.head(lambda each: False))

    def test_what_nobody_renews_expires_and_a_renewal_is_passed_on_in_time(self):
        queue = PendingQueue()
        renewed, abandoned = command(1, 10), command(2, 20)
        for each in (renewed, abandoned):
            self.assertTrue(queue.push(each, 0))
        self.assertFalse(queue.push(renewed, RENEWAL_INTERVAL_US - 1))
        self.assertTrue(queue.push(renewed, 2 * RENEWAL_INTERVAL_US))
        self.assertEqual(0, queue.expire(COMMAND_LIFETIME_US - 1))
        self.assertEqual(1, queue.expire(COMMAND_LIFETIME_US))
        self.assertIsNone(queue.get(abandoned.key))
        self.assertEqual(renewed, queue.head(lambda each: False))
        self.assertEqual((1, 0), (len(queue), queue.oldest_queued_at()))

    def test_dropped_commands_leave_nothing_behind_in_a_queue_whose_head_nobody_asks_for(self):
        """A learner proposes nothing, so its heap grew with every command."""
        queue = PendingQueue()
        for number in range(10 * MAX_STALE_HEAP_ENTRIES):
            queue.push(command(number, number), 0)
            queue.drop(command(number, number).key)
        queue.expire(0)
        self.assertLessEqual(len(queue._heap), MAX_STALE_HEAP_ENTRIES)


class Reads(unittest.TestCase):
    def test_a_read_completes_with_a_quorum_whose_slots_are_reached(self):
        reads = PendingReads()
        reads.start(1, 100, epoch=1, slots={"a": 5})
        self.assertIsNone(reads.complete_newest(1, quorum=2, slot=5))
        reads.record_response(1, "b", 6)
        self.assertIsNone(reads.complete_newest(1, quorum=2, slot=5))
        self.assertIsNone(reads.complete_newest(2, quorum=2, slot=6))
        self.assertEqual(100, reads.complete_newest(1, quorum=2, slot=6))
        self.assertIsNone(reads.complete_newest(1, quorum=2, slot=6))

    def test_the_newest_complete_read_ends_the_older_ones(self):
        reads = PendingReads()
        for nonce in (1, 2, 3):
            reads.start(nonce, nonce * 100, epoch=1, slots={})
        for nonce in (1, 2):
            reads.record_response(nonce, "a", 5)
        self.assertEqual(200, reads.complete_newest(1, quorum=1, slot=5))
        self.assertEqual([3], list(reads.by_nonce))

    def test_too_many_reads_abandon_the_oldest(self):
        reads = PendingReads()
        for nonce in range(MAX_PENDING_READS + 1):
            reads.start(nonce, nonce, epoch=1, slots={})
        self.assertNotIn(0, reads.by_nonce)
        reads.record_response(0, "a", 5)
        self.assertEqual(MAX_PENDING_READS, len(reads.by_nonce))


if __name__ == "__main__":
    unittest.main()
