"""Frames of an earlier build are read as what they were, and written with the same bytes."""

import json
import unittest
from dataclasses import fields, is_dataclass
from pathlib import Path

from willowpost.wire.codec import Codec
from willowpost.wire.messages import BODIES

DATA = Path(__file__).parent.parent / "data" / "bf1d9c7"


def content(value):
    """The values of a message in the order of its fields, whatever their names are."""
    if is_dataclass(value):
        return [content(getattr(value, field.name)) for field in fields(value)]
    return [content(item) for item in value] if isinstance(value, tuple) else value


class Frames(unittest.TestCase):
    def setUp(self):
        self.held = json.loads((DATA / "frames.json").read_text())

    def test_each_frame_is_read_and_written_as_it_was(self):
        for row in self.held["frames"]:
            with self.subTest(body=row["body"]):
                frame, codec = bytes.fromhex(row["hex"]), Codec()
                source, message = codec.decode(frame)
                self.assertEqual(self.held["source"], source)
                self.assertIs(BODIES[row["body"]], type(message))
                self.assertEqual(row["content"], content(message))
                self.assertEqual(frame, codec.encode(source, message))

    def test_no_message_of_the_earlier_build_is_missing(self):
        numbers = {row["body"] for row in self.held["frames"]}
        self.assertEqual(set(range(19)), numbers)
        self.assertLessEqual(len(numbers), len(BODIES))


if __name__ == "__main__":
    unittest.main()
