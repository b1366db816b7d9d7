"""Graceful shutdown of stores with real processes: a restart, and a machine that is removed."""

import json
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from tests.support.loopback import free_addresses

MAIN = "from willowpost.store.main import main; main()"
UP_SECONDS = 15
HANDOVER_SECONDS = 10  # drain, finish and leave as set below
SETTLE_SECONDS = 1
POLL_SECONDS = 0.02
SHOWN_LINES = 12


class Stores:
    """Store processes on free ports; each of the first three is a seed."""

    def __init__(self, folder: Path):
        self.folder = folder
        self.addresses = free_addresses(4)
        self.running: dict[int, subprocess.Popen] = {}

    def start(self, number: int, **more) -> None:
        settings = {
            "name": f"core-{number}",
            "zone": "abcc"[number],
            "address": self.addresses[number],
            "seeds": self.addresses[:3],
            "data": str(self.folder / str(number)),
            "voters": 3,
            "bootstrap_from_seeds": True,
            "drain_ms": 1000,
            "finish_ms": 1000 * (HANDOVER_SECONDS - SETTLE_SECONDS) - 1000,
            "leave_ms": 1000 * SETTLE_SECONDS,
            **more,
        }
        path = self.folder / f"{number}.json"
        path.write_text(json.dumps(settings))
        with open(self.folder / f"{number}.log", "ab") as log:
            self.running[number] = subprocess.Popen(
                [sys.executable, "-c", MAIN, "--settings", str(path)],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def log_count(self, number: int, text: str) -> int:
        """How often its log contains this text."""
        return (self.folder / f"{number}.log").read_text().count(text)

    def last_lines(self, number: int) -> str:
        """The end of its log, and its exit code if it has ended, for a failed assertion."""
        process = self.running.get(number)
        code = None if process is None else process.poll()
        lines = (self.folder / f"{number}.log").read_text().splitlines()
        return "\n".join([f"store {number}, exit code {code}:", *lines[-SHOWN_LINES:]])

    def terminate(self, number: int) -> tuple[int | None, float]:
        """SIGTERM; its exit code and how long it took, in seconds."""
        process, started_at = self.running[number], time.monotonic()
        process.terminate()
        try:
            code = process.wait(HANDOVER_SECONDS + 5)
        except subprocess.TimeoutExpired:
            return None, time.monotonic() - started_at
        del self.running[number]
        return code, time.monotonic() - started_at

    def end(self) -> None:
        for process in self.running.values():
            process.kill()
            process.wait()


def until(condition, seconds: float) -> bool:
    end = time.monotonic() + seconds
    while not condition() and time.monotonic() < end:
        time.sleep(POLL_SECONDS)
    return condition()


class PlannedEnds(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.stores = Stores(Path(folder.name))
        self.addCleanup(self.stores.end)

    def await_line(self, number, text):
        is_there = until(lambda: self.stores.log_count(number, text), UP_SECONDS)
        self.assertTrue(is_there, "\n".join(map(self.stores.last_lines, self.stores.running)))

    def test_a_restart_awaits_the_sync_and_with_a_learner_up_the_vote_is_handed_over(self):
        stores = self.stores
        for number in range(3):
            stores.start(number)
        for number in range(3):
            self.await_line(number, "fleet bootstrapped")
        code, seconds = stores.terminate(1)
        self.assertEqual((0, 0), (code, stores.log_count(1, "handing over")))
        self.assertEqual(1, stores.log_count(1, "awaiting sync"))
        self.assertLess(seconds, SETTLE_SECONDS + 2)
        stores.start(1)
        stores.start(3, may_bootstrap=False)
        self.await_line(3, "learner up to date")
        code, seconds = stores.terminate(2)
        self.assertEqual((0, 1), (code, stores.log_count(2, "handing over")))
        self.assertEqual(1, stores.log_count(3, "replacement of a voter requested"))
        self.assertLess(seconds, HANDOVER_SECONDS)


if __name__ == "__main__":
    unittest.main()
