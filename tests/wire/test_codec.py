"""Every message survives the wire, and a frame that is not ours is refused without harm."""

import contextlib
import os
import random
import struct
import subprocess
import sys
import tempfile
import unittest
from dataclasses import fields, is_dataclass
from pathlib import Path

from willowpost.wire.codec import Codec
from willowpost.wire.messages import (
    BODIES,
    Command,
    Decision,
    Member,
    SnapshotChunk,
    SnapshotRequest,
)


def made(chance, kind):
    return kind(**{field.name: value(chance, field) for field in fields(kind)})


def value(chance, field):
    plain = {
        int: lambda: chance.randrange(200),
        bool: lambda: chance.random() < 0.5,
        str: lambda: "".join(chance.choices('aé\n"x', k=chance.randrange(5))),
    }
    if field.type in plain:
        return plain[field.type]()
    if field.name in ("states", "votes"):
        return tuple(chance.randrange(3) for _ in range(chance.randrange(4)))
    nested = {"command": Command, "chunk": SnapshotChunk, SnapshotRequest | None: SnapshotRequest}
    if field.name in nested or field.type in nested:
        return made(chance, nested.get(field.name) or nested[field.type])
    if field.name == "bootstrap_promise":
        return tuple("v" * chance.randrange(1, 4) for _ in range(chance.randrange(3)))
    return tuple(
        made(chance, {"decisions": Decision, "known_members": Member}[field.name])
        for _ in range(chance.randrange(3))
    )


class WireTests(unittest.TestCase):
    def test_every_message_comes_back_equal(self):
        chance, codec = random.Random(7), Codec()
        for kind in BODIES:
            self.assertTrue(is_dataclass(kind))
            for _ in range(20):
                message = made(chance, kind)
                self.assertEqual(
                    ("127.0.0.1:1", message), codec.decode(codec.encode("127.0.0.1:1", message))
                )

    def test_numbers_stay_plain_where_numpy_is_installed(self):
        """One that can be found but not imported: whoever reaches for it breaks down."""
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "numpy.py").write_text("raise ImportError('reached for')")
            found = subprocess.run(
                [
                    sys.executable,
                    "-c",
                    "import willowpost.wire.codec as codec, willowpost.wire.messages as messages\n"
                    "ballot_state = messages.BallotState('i', 1, 0, 'k', None, (1, 2), (0,))\n"
                    "assert codec.Codec().decode(codec.Codec().encode('a:1', ballot_state)) == ('a:1', ballot_state)\n"
                    "import importlib.machinery\n"
                    "assert importlib.machinery.PathFinder.find_spec('numpy') is not None\n",
                ],
                env={**os.environ, "PYTHONPATH": os.pathsep.join([folder, *sys.path])},
                capture_output=True,
                text=True,
            )
        self.assertEqual((0, ""), (found.returncode, found.stderr))

    def test_garbage_raises_what_the_mesh_expects(self):
        chance, codec = random.Random(8), Codec()
        frame = codec.encode("127.0.0.1:1", BODIES[0]())
        for _ in range(300):
            broken = bytearray(frame)
            for _ in range(3):
                broken[chance.randrange(len(broken))] = chance.randrange(256)
            with contextlib.suppress(
                OSError,
                ValueError,
                struct.error,
                UnicodeDecodeError,
                AttributeError,
                TypeError,
                IndexError,
            ):
                codec.decode(bytes(broken))


if __name__ == "__main__":
    unittest.main()
