"""The queue of pending commands and the reads that wait for a quorum."""

import unittest

from willowpost.consensus.pending_queue import PendingQueue
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
