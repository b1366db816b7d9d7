"""The bound on retries, over arrivals: refusals, cuts, surges and restarts, every window."""

import unittest

import gevent
from gevent import socket

from willowpost.proxy.admission.retry_budget import RetryBudget, RetryBudgetSettings
from willowpost.proxy.origin.errors import ExchangeError
from willowpost.proxy.origin.exchange import Exchange
from willowpost.proxy.origin.request import OriginRequest
from willowpost.sim.retry_arrivals import PART, SLACK, WINDOW, RetryArrivals, Scenario

SECOND = 1_000_000
SEEDS = range(12)
# what was in force before: the whole allowance, counted at sending, whatever the extras bring
EARLIER = RetryBudgetSettings(
    PART, SLACK, WINDOW, usable_fraction=1.0, max_delay_us=0, min_helped_fraction=1.0
)


def broken(**scenario):
    """The seeds with a window over what is allowed."""
    runs = {seed: RetryArrivals(seed, Scenario(**scenario)).run().worst() for seed in SEEDS}
    return {seed: worst for seed, worst in runs.items() if worst.over > 0}


class Arrivals(unittest.TestCase):
    def test_no_window_is_over_what_is_allowed(self):
        for given_up_after in (SECOND, 3 * SECOND):
            self.assertEqual({}, broken(given_up_after=given_up_after))

    def test_the_earlier_budget_breaks_with_and_without_held_up_bytes(self):
        """The judge finds what it is there for: each protection taken away."""
        self.assertTrue(broken(settings=EARLIER, reset=False))
        self.assertTrue(broken(settings=EARLIER, reset=True))

    def test_the_margin_alone_bears_bytes_that_arrive_after_a_cut(self):
        self.assertEqual({}, broken(reset=False))


class Adaptive(unittest.TestCase):
    def budget(self):
        budget = RetryBudget(lambda: 1, -20 * SECOND, RetryBudgetSettings(0.2, 0, WINDOW))
        for _ in range(100):
            budget.record_first_attempt(0)
        return budget

    def granted(self, budget, helped):
        count = 0
        while budget.take_retry(SECOND):
            budget.record_retry_outcome(helped)
            count += 1
        return count

    def test_extras_that_do_not_help_shrink_the_allowance_and_helping_ones_restore_it(self):
        self.assertEqual(16, self.granted(self.budget(), True))
        refused = self.budget()
        self.assertLess(self.granted(refused, False), 10)
        for _ in range(100):
            refused.record_retry_outcome(True)
        before = len(refused.retries[""])
        self.assertGreaterEqual(before + self.granted(refused, True), 15)


class GivenUp(unittest.TestCase):
    def listening(self):
        server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        server.bind(("127.0.0.1", 0))
        server.listen()
        self.addCleanup(server.close)
        return server, f"127.0.0.1:{server.getsockname()[1]}"

    def test_an_exchange_that_is_given_up_resets_its_connection(self):
        server, address = self.listening()
        exchange = Exchange(address)
        exchange.connect()
        accepted, _ = server.accept()
        with self.assertRaises(ExchangeError):
            exchange.run(OriginRequest("GET", "/", [("host", "h")]), 0.05, 1000)
        exchange.close()
        gevent.sleep(0)
        with self.assertRaises(ConnectionResetError):
            accepted.recv(65536)
            accepted.recv(65536)

    def test_bytes_that_are_not_acknowledged_have_a_limit_in_time(self):
        _server, address = self.listening()
        exchange = Exchange(address)
        exchange.connect()
        self.addCleanup(exchange.close)
        timeout_ms = exchange.connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        self.assertEqual(RetryBudgetSettings().max_delay_us, timeout_ms * 1000)

    def test_a_whole_answer_ends_in_order(self):
        server, address = self.listening()
        exchange = Exchange(address)
        exchange.connect()
        accepted, _ = server.accept()
        accepted.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        answer = exchange.run(OriginRequest("GET", "/", [("host", "h")]), 1.0, 1000)
        exchange.close()
        self.assertEqual(200, answer.status)
        self.assertTrue(accepted.recv(65536))
        self.assertEqual(b"", accepted.recv(65536))


if __name__ == "__main__":
    unittest.main()
