"""Runs every test, several processes side by side; each test is its own seeded world.

So their order does not matter.
"""

import io
import os
import sys
import time
import unittest
from concurrent.futures import ProcessPoolExecutor, as_completed
from multiprocessing import get_context
from pathlib import Path

HERE = Path(__file__).resolve().parent
# the longest
FIRST = (
    "test_bounded_faults",
    "test_small_rates",
    "test_split_core",
    "test_fleet_promises",
    "test_restarts",
    "test_read_back",
    "test_faults",
)


def names(suite):
    for held in suite:
        yield from names(held) if isinstance(held, unittest.TestSuite) else [held.id()]


def run(name):
    sys.path.insert(0, str(HERE))
    begun, out = time.monotonic(), io.StringIO()
    result = unittest.TextTestRunner(out, verbosity=0).run(
        unittest.defaultTestLoader.loadTestsFromName(name)
    )
    return (
        name,
        result.testsRun,
        len(result.failures) + len(result.errors),
        len(result.skipped),
        time.monotonic() - begun,
        out.getvalue(),
    )


def main() -> int:
    sys.path.insert(0, str(HERE))
    found = sorted(
        set(names(unittest.defaultTestLoader.discover(str(HERE)))),
        key=lambda name: (not name.startswith(FIRST), name),
    )
    ran = failed = skipped = 0
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) - 1), get_context("spawn")) as pool:
        for task in as_completed([pool.submit(run, name) for name in found]):
            name, count, wrong, left, took, text = task.result()
            ran, failed, skipped = ran + count, failed + bool(wrong), skipped + left
            print(f"{'FAILED' if wrong else 'ok    '} {took:6.1f} s  {name}", flush=True)
            if wrong:
                print(text, flush=True)
    print(f"{ran - failed - skipped} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or not ran else 0


if __name__ == "__main__":
    sys.exit(main())
