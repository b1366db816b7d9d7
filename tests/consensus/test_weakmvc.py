"""Weak-MVC in a small model: messages arrive in any order.

Then a herd restart that leaves only what each has on disk, and one disk gone.
"""

import random
import unittest
from dataclasses import replace

from willowpost.consensus.stages import STAGE_TRANSITIONS, BallotValue, stage_of
from willowpost.consensus.thresholds import Thresholds
from willowpost.consensus.weakmvc import Verdict, WeakMvc, agreed_proposal
from willowpost.wire.messages import BallotState


class Model:
    """Invariant: `disk[i]` is replica i's last ballot state; `received[i]` what has come to it."""

    def __init__(self, seed, n=5):
        self.random = random.Random(seed)
        self.thresholds, self.mvc = Thresholds(n), WeakMvc()
        self.disk = {
            f"r{number}": BallotState(f"r{number}", 1, seed, self.random.choice("XXYZ"))
            for number in range(n)
        }
        self.received = {name: {name: ballot_state} for name, ballot_state in self.disk.items()}
        self.verdicts = {}

    def deliver(self, receiver, sender):
        self.received[receiver][sender] = self.disk[sender]

    def step(self, name):
        before = self.disk[name]
        moved = self.mvc.step(before, self.received[name], self.thresholds)
        if isinstance(moved, Verdict):
            self.verdicts[name] = moved.value
        elif moved is not None:
            self.disk[name] = self.received[name][name] = moved
        return before, moved

    def run(self, steps, names):
        for _ in range(steps):
            receiver, sender = self.random.choice(names), self.random.choice(names)
            self.deliver(receiver, sender)
            if receiver not in self.verdicts:
                yield self.step(receiver)


class WeakMvcTests(unittest.TestCase):
    def test_agreement_and_stages_over_random_orders(self):
        for seed in range(400):
            model = Model(seed)
            for before, moved in model.run(600, list(model.disk)):
                if isinstance(moved, BallotState):
                    self.assertIn(
                        stage_of(moved.states, moved.votes),
                        STAGE_TRANSITIONS[stage_of(before.states, before.votes)],
                    )
                    self.assertTrue(moved.agreed or 1 not in moved.states + moved.votes)
            # who is left behind when the others have decided is told the decision; that is
            # catch-up's work
            self.assertEqual(1, len(set(model.verdicts.values())), seed)

    def test_a_decided_1_can_be_named_after_a_herd_restart_without_any_one_disk(self):
        named = 0
        for seed in range(400):
            model = Model(seed)
            list(model.run(model.random.randrange(40, 200), list(model.disk)))
            if BallotValue.ONE not in model.verdicts.values():
                continue
            for lost in model.disk:
                left = {
                    name: ballot_state for name, ballot_state in model.disk.items() if name != lost
                }
                named += 1
                self.assertIsNotNone(agreed_proposal(left, model.thresholds), (seed, lost, left))
        self.assertGreater(named, 300)

    def test_without_the_agreed_name_it_could_not(self):
        unnamed = 0
        for seed in range(400):
            model = Model(seed)
            list(model.run(model.random.randrange(40, 200), list(model.disk)))
            if BallotValue.ONE in model.verdicts.values():
                unnamed += any(
                    agreed_proposal(
                        {
                            name: replace(ballot_state, agreed="")
                            for name, ballot_state in model.disk.items()
                            if name != lost
                        },
                        model.thresholds,
                    )
                    is None
                    for lost in model.disk
                )
        self.assertGreater(unnamed, 0)

    def test_thresholds_are_the_papers_for_any_n(self):
        for n in range(1, 12):
            thresholds = Thresholds(n)
            self.assertEqual(
                ((n - 1) // 2, n - (n - 1) // 2, n // 2 + 1, (n - 1) // 2 + 1),
                (thresholds.f, thresholds.quorum, thresholds.majority, thresholds.deciding_votes),
            )


if __name__ == "__main__":
    unittest.main()
