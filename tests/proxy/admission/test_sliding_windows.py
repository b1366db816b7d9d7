"""What is spent in sliding windows: an allowance's shares and the budget of extra tries.

By seeded random days.
"""

import random
import unittest

from willowpost.proxy.admission.buckets import SPENT, Window
from willowpost.proxy.admission.budget import BudgetSettings, RetryBudget

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
        """Three holders of one rate, parts moving between them.

        What leaves one comes to another later.
        """
        for seed in range(20):
            chance, rate, now, spent = random.Random(seed), 40.0, 0, []
            parts, coming = [rate / 3] * 3, []
            windows = [Window(0, part) for part in parts]
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
            self.assertLessEqual(most_in(spent, SPAN), SPENT * rate * 5 + 1, seed)
            self.assertGreater(len(spent), 0.3 * rate * 40, seed)

    def test_what_was_not_used_may_be_used_at_once_and_no_more(self):
        window = Window(0, 10.0)
        taken = sum(window.take(10.0, 10 * SECOND) for _ in range(200))
        self.assertEqual(int(SPENT * 50), taken)
        self.assertEqual(0, sum(window.take(10.0, 14 * SECOND) for _ in range(200)))
        self.assertEqual(taken, sum(window.take(10.0, 15 * SECOND + 1) for _ in range(200)))

    def test_a_share_that_comes_brings_nothing_of_the_time_before(self):
        window = Window(0, 0.0)
        self.assertFalse(window.take(100.0, 5 * SECOND))
        self.assertEqual(0, sum(window.take(100.0, 5 * SECOND) for _ in range(10)))
        self.assertEqual(int(SPENT * 100), sum(window.take(100.0, 6 * SECOND) for _ in range(500)))

    def test_a_share_that_goes_is_gone_at_once(self):
        window = Window(0, 100.0)
        for _ in range(100):
            window.take(100.0, 2 * SECOND)
        # what was its own until then
        self.assertEqual(
            int(SPENT * 100) - 100, sum(window.take(0.0, 6 * SECOND) for _ in range(50))
        )
        self.assertEqual(0, sum(window.take(0.0, 7 * SECOND) for _ in range(50)))


class Budgets(unittest.TestCase):
    def test_each_service_has_its_own_and_the_slack_comes_with_age(self):
        budget = RetryBudget(lambda: 4, 0, BudgetSettings(0.2, 40, 10 * SECOND, used=1.0, delay=0))
        for _ in range(50):
            budget.first(SECOND, "a")
        self.assertEqual(
            [10, 0], [sum(budget.let_in(SECOND, service) for _ in range(99)) for service in "ab"]
        )
        self.assertEqual(
            [10, 10],
            [sum(budget.let_in(12 * SECOND, service) for _ in range(99)) for service in "ab"],
        )

    def test_over_any_window_extras_stay_under_a_part_of_demand_and_the_slack(self):
        for seed in range(10):
            chance, now, firsts, extras = random.Random(seed), 0, [], []
            budget = RetryBudget(lambda: 5, -20 * SECOND, BudgetSettings(0.2, 60, 10 * SECOND))
            while now < 60 * SECOND:
                now += int(chance.expovariate(100) * SECOND)
                if chance.random() < chance.choice((0.2, 0.8)):
                    budget.first(now, "g")
                    firsts.append(now)
                elif budget.let_in(now, "g"):
                    extras.append(now)
            for at in extras:
                asked = sum(at - 10 * SECOND < time <= at for time in firsts)
                self.assertLessEqual(
                    sum(at - 10 * SECOND < time <= at for time in extras), 0.2 * asked + 12, seed
                )


if __name__ == "__main__":
    unittest.main()
