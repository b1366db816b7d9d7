"""The JSON forms of a command's outcome, as `CommandAccepted` carries them."""

import json
import unittest

from willowpost.state.outcomes import (
    Applied,
    Barred,
    ResultsDropped,
    SenderForgotten,
    decode_outcome,
    encode_outcome,
)
from willowpost.state.results import PurgeAccepted, Rejected

FORMS = (
    (
        Applied(7, (PurgeAccepted(7), Rejected("stale"))),
        '[{"ok": true, "slot": 7}, {"ok": false, "why": "stale"}]',
    ),
    (Applied(7, ()), "[]"),
    (ResultsDropped(7), "null"),
    (Barred(7, 12), '{"barred": 12}'),
    (SenderForgotten(7, 10), '{"forgotten": 10}'),
)


class OutcomeForms(unittest.TestCase):
    def test_each_outcome_has_its_form_on_the_wire(self):
        for outcome, text in FORMS:
            with self.subTest(outcome=outcome):
                self.assertEqual(json.loads(text), json.loads(encode_outcome(outcome)))
                self.assertEqual(outcome, decode_outcome(7, text))

    def test_an_object_of_another_form_is_an_error(self):
        with self.assertRaises(KeyError):
            decode_outcome(7, "{}")


if __name__ == "__main__":
    unittest.main()
