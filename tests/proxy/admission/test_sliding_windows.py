"""What is admitted in sliding windows: quota shares and the budget of retries.

By seeded random days.
"""

import random
import unittest

from willowpost.proxy.admission.retry_budget import RetryBudget, RetryBudgetSettings
from willowpost.proxy.admission.sliding_window import MAX_USE_FACTOR, SlidingWindow

SECOND = 1_000_000
SPAN = 5 * SECOND


def most_in(times, span):
    """The most of `times` in any window of `span`."""
    first, most = 0, 0
    for number, time in enumerate(times):
        while times[first] <= time - span:
            first += 1
        most = max(most, number - first + 1)
    return most


class Windows(unittest.TestCase):
    def test_shares_that_move_never_add_up_to_more_than_the_rate(self):
        """Three proxies divide one rate, and shares move between them.

        What leaves one comes to another later.
        """
        for seed in range(20):
            chance, rate, now, spent = random.Random(seed), 40.0, 0, []
            parts, coming = [rate / 3] * 3, []
            windows = [SlidingWindow(0, part) for part in parts]
            while now < 40 * SECOND:
                now += int(chance.expovariate(chance.choice((30, 200))) * SECOND)
                if chance.random() < 0.02:
                    giver, taker, amount = (
                        chance.randrange(3),
                        chance.randrange(3),
                        chance.random() * 10,
                    )
                    amount = min(amount, parts[giver])
                    parts[giver] -= amount
                    # it knows at once, and acts on it
                    windows[giver].take(parts[giver], now) and spent.append(now)
                    coming.append((now + chance.randrange(SECOND), taker, amount))
                for due in [due for due in coming if due[0] <= now]:
                    coming.remove(due)
                    parts[due[1]] += due[2]
                asker = chance.randrange(3) if chance.random() < 0.5 else 0
                if windows[asker].take(parts[asker], now):
                    spent.append(now)
            self.assertLessEqual(most_in(spent, SPAN), MAX_USE_FACTOR * rate * 5 + 1, seed)
            self.assertGreater(len(spent), 0.3 * rate * 40, seed)

    def test_what_was_not_used_may_be_used_at_once_and_no_more(self):
        window = SlidingWindow(0, 10.0)
        taken = sum(window.take(10.0, 10 * SECOND) for _ in range(200))
        self.assertEqual(int(MAX_USE_FACTOR * 50), taken)
        self.assertEqual(0, sum(window.take(10.0, 14 * SECOND) for _ in range(200)))
        self.assertEqual(taken, sum(window.take(10.0, 15 * SECOND + 1) for _ in range(200)))

    def test_a_share_that_comes_brings_nothing_of_the_time_before(self):
        window = SlidingWindow(0, 0.0)
        self.assertFalse(window.take(100.0, 5 * SECOND))
        self.assertEqual(0, sum(window.take(100.0, 5 * SECOND) for _ in range(10)))
        self.assertEqual(
            int(MAX_USE_FACTOR * 100), sum(window.take(100.0, 6 * SECOND) for _ in range(500))
        )

    def test_a_share_that_goes_is_gone_at_once(self):
        window = SlidingWindow(0, 100.0)
        for _ in range(100):
            window.take(100.0, 2 * SECOND)
        # what was its own until then
        self.assertEqual(
            int(MAX_USE_FACTOR * 100) - 100, sum(window.take(0.0, 6 * SECOND) for _ in range(50))
        )
        self.assertEqual(0, sum(window.take(0.0, 7 * SECOND) for _ in range(50)))


class Budgets(unittest.TestCase):
    def test_each_service_has_its_own_and_the_slack_comes_with_age(self):
        budget = RetryBudget(
            lambda: 4,
            0,
            RetryBudgetSettings(0.2, 40, 10 * SECOND, usable_fraction=1.0, max_delay_us=0),
        )
        for _ in range(50):
            budget.record_first_attempt(SECOND, "a")
        self.assertEqual(
            [10, 0],
            [sum(budget.take_retry(SECOND, service) for _ in range(99)) for service in "ab"],
        )
        self.assertEqual(
            [10, 10],
            [sum(budget.take_retry(12 * SECOND, service) for _ in range(99)) for service in "ab"],
        )

    def test_over_any_window_extras_stay_under_a_part_of_demand_and_the_slack(self):
        for seed in range(10):
            chance, now, firsts, extras = random.Random(seed), 0, [], []
            budget = RetryBudget(lambda: 5, -20 * SECOND, RetryBudgetSettings(0.2, 60, 10 * SECOND))
            while now < 60 * SECOND:
                now += int(chance.expovariate(100) * SECOND)
                if chance.random() < chance.choice((0.2, 0.8)):
                    budget.record_first_attempt(now, "g")
                    firsts.append(now)
                elif budget.take_retry(now, "g"):
                    extras.append(now)
            for at in extras:
                asked = sum(at - 10 * SECOND < time <= at for time in firsts)
                self.assertLessEqual(
                    sum(at - 10 * SECOND < time <= at for time in extras), 0.2 * asked + 12, seed
                )


if __name__ == "__main__":
    unittest.main()
