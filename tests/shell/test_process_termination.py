"""Processes end as planned: on SIGTERM, with code 0, within their spans.

Also without any core to tell.
"""

import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from tests.support.loopback import free_addresses

ENTRY = """
import atexit, sys
atexit.register(print, "torn down", file=sys.stderr)
from willowpost.shell.structured_log import StructuredLogger
from willowpost.shell.process_settings import ProcessSettings
from willowpost.shell.serving import serve
from willowpost.{kind}.daemon import {name}
settings = ProcessSettings("m", "a", "{inner}", ("{seed}",), http="{http}", role="edge", data=sys.argv[1], voters=3,
                 drain_ms=500, finish_ms=300, leave_ms=200)
logger = StructuredLogger("{kind}", "m")
serve({name}(settings, logger), logger)
"""
# A process that sends itself a signal and then computes for a while, without a turn of its loop.
STANDSTILL_US = 300_000
STANDSTILL = """
import os
import gevent
from willowpost.common.clock import Clock
from willowpost.shell.serving import StopRequest
request, clock, signalled = StopRequest(), Clock(), []

def compute():
    signalled.append(clock.now())
    os.kill(os.getpid(), {number})
    while clock.now() < signalled[0] + 400_000:
        pass

gevent.spawn(compute)
requested_at = request.wait()
print(signalled[0], requested_at, clock.now())
"""
# least time to serve on
KINDS = {
    "store": ("StoreDaemon", 0.0),
    "registry": ("RegistryDaemon", 0.5),
    "proxy": ("ProxyDaemon", 0.5),
}


class ProcessTermination(unittest.TestCase):
    def test_every_daemon_ends_with_code_0_on_a_signal(self):
        for kind, (name, least) in KINDS.items():
            for number in (signal.SIGTERM, signal.SIGINT):
                with (
                    self.subTest(kind=kind, signal=number.name),
                    tempfile.TemporaryDirectory() as folder,
                ):
                    inner, http, seed = free_addresses(3)
                    text = ENTRY.format(kind=kind, name=name, inner=inner, http=http, seed=seed)
                    process = subprocess.Popen(
                        [sys.executable, "-c", text, folder], stderr=subprocess.PIPE, text=True
                    )
                    lines = []
                    while not lines or "program: started" not in lines[-1]:
                        lines.append(process.stderr.readline())
                        self.assertTrue(lines[-1], lines)
                    begun = time.monotonic()
                    process.send_signal(number)
                    rest = process.communicate(timeout=30)[1]
                    self.assertEqual(0, process.returncode, rest)
                    self.assertIn("program: stopped", rest)
                    self.assertNotIn("Traceback", rest)
                    # the interpreter's end took up to 0.6 s of the grace on a busy machine
                    self.assertNotIn("torn down", rest)
                    self.assertGreaterEqual(time.monotonic() - begun, least)

    def test_a_sighup_does_not_end_a_process_that_is_starting(self):
        """Found by the soak: a reload soon after a start ended the process."""
        entries = [f"import willowpost.{kind}.main" for kind in KINDS]
        platform = Path(__file__).resolve().parents[2] / "platform"
        entries.append(f"import sys; sys.path.append({str(platform)!r}); import adapter.program")
        for entry in entries:
            with self.subTest(entry=entry):
                code = f"{entry}\nimport os, signal\nos.kill(os.getpid(), signal.SIGHUP)"
                self.assertEqual(0, subprocess.run([sys.executable, "-c", code]).returncode)

    def test_a_stop_request_knows_when_its_signal_came_however_late_the_loop_notices(self):
        """Guards against LOST: stages of a planned end that begin after the platform's grace."""
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(signal=number.name):
                text = STANDSTILL.format(number=int(number))
                told = subprocess.run(
                    [sys.executable, "-c", text], capture_output=True, text=True, timeout=30
                )
                self.assertEqual(0, told.returncode, told.stderr)
                signalled_at, requested_at, noticed_at = map(int, told.stdout.split())
                self.assertGreaterEqual(requested_at, signalled_at)
                self.assertGreaterEqual(noticed_at - requested_at, STANDSTILL_US)


if __name__ == "__main__":
    unittest.main()
