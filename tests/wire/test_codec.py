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


def random_message(generator, kind):
    return kind(**{field.name: random_value(generator, field) for field in fields(kind)})


def random_value(generator, field):
    plain = {
        int: lambda: generator.randrange(200),
        bool: lambda: generator.random() < 0.5,
        str: lambda: "".join(generator.choices('aé\n"x', k=generator.randrange(5))),
    }
    if field.type in plain:
        return plain[field.type]()
    if field.name in ("states", "votes"):
        return tuple(generator.randrange(3) for _ in range(generator.randrange(4)))
    nested = {"command": Command, "chunk": SnapshotChunk, SnapshotRequest | None: SnapshotRequest}
    if field.name in nested or field.type in nested:
        return random_message(generator, nested.get(field.name) or nested[field.type])
    if field.name == "bootstrap_promise":
        return tuple("v" * generator.randrange(1, 4) for _ in range(generator.randrange(3)))
    return tuple(
        random_message(generator, {"decisions": Decision, "known_members": Member}[field.name])
        for _ in range(generator.randrange(3))
    )


class WireTests(unittest.TestCase):
    def test_every_message_comes_back_equal(self):
        generator, codec = random.Random(7), Codec()
        for kind in BODIES:
            self.assertTrue(is_dataclass(kind))
            for _ in range(20):
                message = random_message(generator, kind)
                self.assertEqual(
                    ("127.0.0.1:1", message), codec.decode(codec.encode("127.0.0.1:1", message))
                )

    def test_numbers_stay_plain_where_numpy_is_installed(self):
        """One that can be found but not imported: whoever reaches for it breaks down."""
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "numpy.py").write_text("raise ImportError('reached for')")
            completed = subprocess.run(
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
        self.assertEqual((0, ""), (completed.returncode, completed.stderr))

    def test_garbage_raises_what_the_mesh_expects(self):
        generator, codec = random.Random(8), Codec()
        frame = codec.encode("127.0.0.1:1", BODIES[0]())
        for _ in range(300):
            broken = bytearray(frame)
            for _ in range(3):
                broken[generator.randrange(len(broken))] = generator.randrange(256)
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
