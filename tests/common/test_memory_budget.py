"""The division of memory: never more than there is, and nobody waits for good."""

import random
import unittest

from willowpost.common.memory_budget import MemoryBudget, MemoryExhaustedError
from willowpost.common.memory_pool import MemoryPool, PooledMemory


class Ordering(unittest.TestCase):
    def setUp(self):
        self.granted = []

    def grow(self, claim, size, name=""):
        return claim.grow(size, lambda: self.granted.append(name))

    def test_first_requests_are_served_in_the_order_of_their_arrival(self):
        budget = MemoryBudget(10, max_waiting=10)
        first, second, third = budget.open(8), budget.open(6), budget.open(2)
        self.assertTrue(self.grow(first, 8))
        self.granted.clear()
        self.assertFalse(self.grow(second, 6, "second"))
        self.assertFalse(self.grow(third, 2, "third"), "a smaller one must not pass a larger one")
        first.release()
        self.assertEqual(["second", "third"], self.granted)
        self.assertEqual(8, budget.used)

    def test_two_halves_are_not_granted_that_would_wait_for_each_other(self):
        budget = MemoryBudget(10, max_waiting=10)
        first, second = budget.open(10), budget.open(10)
        self.assertTrue(self.grow(first, 5))
        self.assertFalse(self.grow(second, 5, "second"))
        self.assertTrue(self.grow(first, 5))
        self.assertTrue(second.is_wanted_by_others)
        first.release()
        self.assertIn("second", self.granted)

    def test_one_that_turns_out_small_makes_room(self):
        budget = MemoryBudget(10, max_waiting=10)
        first, second = budget.open(10), budget.open(9)
        self.grow(first, 8)
        self.assertFalse(self.grow(second, 9, "second"))
        first.settle(1)
        self.assertIn("second", self.granted)

    def test_too_many_are_refused_and_one_that_gives_up_frees_its_place(self):
        budget = MemoryBudget(10, max_waiting=1)
        first, second, third = budget.open(10), budget.open(1), budget.open(1)
        self.grow(first, 10)
        self.assertFalse(self.grow(second, 1))
        with self.assertRaises(MemoryExhaustedError):
            self.grow(third, 1)
        second.cancel()
        self.assertFalse(self.grow(third, 1, "third"))
        first.release()
        self.assertIn("third", self.granted)
        for claim in (first, second, third, third):
            claim.release()
        self.assertEqual((0, 0), (budget.used, budget.waiting))

    def test_a_pool_gives_at_once_or_not_at_all(self):
        pool = MemoryPool(10)
        first, second = PooledMemory(pool), PooledMemory(pool)
        self.assertTrue(first.take(6))
        self.assertFalse(second.take(5))
        first.settle(5)
        self.assertTrue(second.take(5))
        for memory in (first, first, second):
            memory.release()
        self.assertEqual(0, pool.used)


class Liveness(unittest.TestCase):
    """Seeded claims that grow in steps, whose sizes nobody knows beforehand."""

    CAPACITY = 100

    def run_claims(self, seed):
        chance = random.Random(seed)
        budget = MemoryBudget(self.CAPACITY, max_waiting=1000)
        left = {}
        for _ in range(30):
            need = chance.randint(1, self.CAPACITY)
            left[budget.open(need)] = chance.randint(1, need)
        completed = 0
        while left:
            ready = [claim for claim in left if not claim.requested]
            if not ready:
                return completed, budget
            claim = chance.choice(ready)
            if claim.held >= left[claim]:
                claim.settle(left.pop(claim))
                claim.release()
                completed += 1
                continue
            step = min(chance.randint(1, 20), claim.need - claim.held)
            claim.grow(step, lambda: None)
            self.assertLessEqual(budget.used, self.CAPACITY)
        return completed, budget

    def test_all_are_completed_whatever_order_they_grow_in(self):
        """Guards against review/5: half-read bodies that wait for the rest of the memory."""
        for seed in range(200):
            with self.subTest(seed=seed):
                completed, budget = self.run_claims(seed)
                self.assertEqual((30, 0), (completed, budget.used))

    def test_without_the_look_ahead_some_would_wait_for_good(self):
        class Careless(MemoryBudget):
            def _may_grant(self, claim):
                return self.used + claim.requested <= self.capacity

        stuck = 0
        for seed in range(20):
            chance = random.Random(seed)
            budget = Careless(self.CAPACITY, max_waiting=1000)
            claims = [budget.open(self.CAPACITY) for _ in range(4)]
            for _ in range(100):
                ready = [c for c in claims if not c.requested and c.held < self.CAPACITY]
                if not ready:
                    break
                chance.choice(ready).grow(10, lambda: None)
            stuck += all(claim.requested for claim in claims)
        self.assertTrue(stuck)


if __name__ == "__main__":
    unittest.main()
