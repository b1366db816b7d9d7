"""Processes end as planned: on SIGTERM, with code 0, within their spans.

Also without any core to tell.
"""

import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

ENTRY = """
import sys
from willowpost.shell.logs import Logs
from willowpost.shell.place import Place
from willowpost.shell.serving import serve
from willowpost.{kind}.daemon import {name}
place = Place("m", "a", "127.0.0.1:{inner}", ("127.0.0.1:{seed}",), http="127.0.0.1:{http}", role="edge", data=sys.argv[1], voters=3,
              drain_ms=500, finish_ms=300, leave_ms=200)
logs = Logs("{kind}", "m")
serve({name}(place, logs), logs)
"""
# least time to serve on
KINDS = {
    "store": ("StoreDaemon", 0.0),
    "registry": ("RegistryDaemon", 0.5),
    "proxy": ("ProxyDaemon", 0.5),
}


def ports(count):
    held = [socket.socket() for _ in range(count)]
    for each in held:
        each.bind(("127.0.0.1", 0))
    found = [each.getsockname()[1] for each in held]
    for each in held:
        each.close()
    return found


class Ends(unittest.TestCase):
    def test_every_daemon_ends_with_code_0_when_asked(self):
        for kind, (name, least) in KINDS.items():
            for number in (signal.SIGTERM, signal.SIGINT):
                with (
                    self.subTest(kind=kind, signal=number.name),
                    tempfile.TemporaryDirectory() as folder,
                ):
                    inner, http, seed = ports(3)
                    text = ENTRY.format(kind=kind, name=name, inner=inner, http=http, seed=seed)
                    process = subprocess.Popen(
                        [sys.executable, "-c", text, folder], stderr=subprocess.PIPE, text=True
                    )
                    said = []
                    while not said or "program: started" not in said[-1]:
                        said.append(process.stderr.readline())
                        self.assertTrue(said[-1], said)
                    begun = time.monotonic()
                    process.send_signal(number)
                    rest = process.communicate(timeout=30)[1]
                    self.assertEqual(0, process.returncode, rest)
                    self.assertIn("program: stopped", rest)
                    self.assertNotIn("Traceback", rest)
                    self.assertGreaterEqual(time.monotonic() - begun, least)


if __name__ == "__main__":
    unittest.main()
