"""A command that holds a fleet ends by a line or a signal, and by nothing else."""

import signal
import subprocess
import sys
import unittest

PROGRAM = """
from willowpost.drill.hold import Hold

def say(text):
    print(text, flush=True)

hold = Hold(say)
say("holds")
hold.wait()
say("ended")
"""
CLOSED = "import os, sys; sys.stdin.close()\n"
SECONDS = 30


class HoldCommand(unittest.TestCase):
    def start(self, stdin, before=""):
        process = subprocess.Popen(
            [sys.executable, "-c", before + PROGRAM],
            stdin=stdin,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.kill)
        self.assertEqual("holds\n", process.stdout.readline())
        return process

    def assert_ended(self, process, given=None):
        said, wrong = process.communicate(given, timeout=SECONDS)
        self.assertEqual((0, ""), (process.returncode, wrong))
        self.assertEqual("ended", said.splitlines()[-1])

    def test_a_line_ends_it(self):
        self.assert_ended(self.start(subprocess.PIPE), "\n")

    def test_an_input_at_its_end_or_closed_does_not_but_a_signal_does(self):
        for before in ("", CLOSED):
            for number in (signal.SIGTERM, signal.SIGINT):
                with self.subTest(closed=bool(before), signal=number.name):
                    process = self.start(subprocess.DEVNULL, before)
                    self.assertIn("no input", process.stdout.readline())
                    self.assertIsNone(process.poll())
                    process.send_signal(number)
                    self.assert_ended(process)

    def test_a_signal_ends_it_while_it_still_reads(self):
        process = self.start(subprocess.PIPE)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(timeout=SECONDS))
        process.communicate()


if __name__ == "__main__":
    unittest.main()
