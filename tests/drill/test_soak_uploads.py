"""The soak's judgement of uploads, memory and attempts."""

import unittest
from types import SimpleNamespace

from willowpost.common.clock import SECOND
from willowpost.drill.rules import Findings
from willowpost.drill.soak.callers import KEPT, ONCE, CallerTally, Sent
from willowpost.drill.soak.fleet import MAX_TRIES, PROXY_MEMORY_MB
from willowpost.drill.soak.judge import Record, SoakRules
from willowpost.drill.soak.memory_watch import MemoryWatch
from willowpost.drill.soak.uploads import UPLOAD_PATH

ANSWERED = "a request that was passed on is answered"
SERVED = "uploads are served"
ATTEMPTS = "no request reaches more origins than its route allows"


class Judged(unittest.TestCase):
    def broken(self, sent=(), arrivals=None, done=None, record=None):
        tally = CallerTally({str(number): each for number, each in enumerate(sent)})
        ledger = {"writes": {}, "arrivals": arrivals or {}, "done": done or {}}
        findings = Findings()
        SoakRules(tally, ledger, record or Record(), None).judge(findings)
        return [row.rule for row in findings.broken]

    def sent(self, path, statuses):
        return [Sent(ONCE, "e", 0, path, status=status) for status in statuses]

    def test_uploads_that_are_served_far_less_often_than_others_break_a_rule(self):
        others = self.sent("/kept/1", [200] * 8 + [503] * 2)
        for served, expected in ((0, [SERVED]), (1, [SERVED]), (4, []), (10, [])):
            with self.subTest(served=served):
                uploads = self.sent(f"{UPLOAD_PATH}1", [200] * served + [503] * (10 - served))
                self.assertEqual(expected, self.broken([*others, *uploads]))

    def test_a_request_on_more_origins_than_its_route_allows_breaks_a_rule(self):
        for count, expected in ((MAX_TRIES, []), (MAX_TRIES + 1, [ATTEMPTS])):
            arrivals = {"s1": [(f"o{number}", number) for number in range(count)]}
            sent = [Sent(KEPT, "e", 0, "/kept/1", status=200)]
            self.assertEqual(expected, self.broken(sent, arrivals))

    def test_the_last_attempt_tells_whether_an_origin_was_at_work_when_its_edge_ended(self):
        """Soak seed 5: the first origin's end of a given-up attempt counted as the last one's."""
        request = Sent(ONCE, "e", 0, "/again/1", ended="closed")
        record = Record(terminated={"e": [SECOND]})
        arrivals = [("o1", SECOND), ("o2", 3 * SECOND), ("o3", 4 * SECOND)]
        for done, expected in (
            (int(3.1 * SECOND), []),
            (int(4.1 * SECOND), [ANSWERED]),
            (int(5.9 * SECOND), [ANSWERED]),
            (int(6.1 * SECOND), []),
            (None, []),
        ):
            with self.subTest(done=done):
                work = {} if done is None else {"0": done}
                self.assertEqual(expected, self.broken([request], {"0": arrivals}, work, record))

    def test_a_proxy_above_its_memory_is_named(self):
        watch = MemoryWatch(SimpleNamespace(running={}))
        watch.peaks_mb = {"a/wpproxy": PROXY_MEMORY_MB, "b/wpproxy": PROXY_MEMORY_MB + 1}
        self.assertEqual([f"b/wpproxy: {PROXY_MEMORY_MB + 1} MB"], watch.over_limit())


if __name__ == "__main__":
    unittest.main()
