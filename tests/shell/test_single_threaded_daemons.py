"""Each daemon's own traffic runs in one thread: nothing takes turns inside a step."""

import subprocess
import sys
import unittest

SETUP = """
import os
import gevent
from willowpost.shell.mesh import Mesh
from willowpost.shell.sized_queue import create_inbox
from willowpost.wire.messages import OriginHeartbeat

def threads():
    return len(os.listdir("/proc/self/task"))

inbox = create_inbox()
first, second = Mesh("127.0.0.1:0", inbox), Mesh("127.0.0.1:0", inbox)
for mesh in (first, second):
    mesh.start()
    mesh.address = f"127.0.0.1:{mesh.server.server_port}"
"""
MESH = """
first.send(second.address, OriginHeartbeat("o", 1))
assert inbox.get(timeout=10).message == OriginHeartbeat("o", 1)
assert threads() == 1, threads()
"""
SETTINGS_WATCH = """
import signal
signalled = gevent.event.Event()
gevent.signal_handler(signal.SIGHUP, signalled.set)
os.kill(os.getpid(), signal.SIGHUP)
assert signalled.wait(10)
assert threads() == 1, threads()
"""
# what the check would see if a name were looked up: gevent asks its resolver in a thread
LOOKED_UP = """
from gevent import socket
socket.create_connection(("127.0.0.1", second.server.server_port))
assert threads() > 1
"""


class OneThread(unittest.TestCase):
    def run_apart(self, program):
        done = subprocess.run(
            [sys.executable, "-c", SETUP + program], capture_output=True, text=True, timeout=60
        )
        self.assertEqual((0, ""), (done.returncode, done.stderr))

    def test_frames_between_daemons_need_no_other(self):
        self.run_apart(MESH)

    def test_signals_need_no_other(self):
        self.run_apart(SETTINGS_WATCH)

    def test_the_check_sees_a_thread_that_a_look_up_starts(self):
        self.run_apart(LOOKED_UP)


if __name__ == "__main__":
    unittest.main()
