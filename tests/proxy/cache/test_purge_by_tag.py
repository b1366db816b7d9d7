"""Copies and purges by tag: what the origin said of an answer decides, whoever asked for it.

And also while it is fetched.
"""

import random
import unittest
from dataclasses import replace
from unittest.mock import patch

from willowpost.proxy.cache.entry import CacheEntry, CacheKey
from willowpost.proxy.cache.store import CacheStore
from willowpost.state.entries import Purge
from willowpost.state.tables import Tables


def entry(path, tags=(), slot=5, body=b"x" * 10):
    return CacheEntry("h", path, (), 200, (), body, 0, 10**9, slot, tags=tuple(tags))


def purges(*made):
    """(slot, kind, path) each."""
    return tuple(Purge(slot, host="", kind=kind, path=path) for slot, kind, path in made)


class Tags(unittest.TestCase):
    def setUp(self):
        self.cache = CacheStore(10_000)
        self.cache.purge(Tables(slot=5, epoch=1))

    def find(self, path):
        return self.cache.find(CacheKey("h", path, ""), {})

    def test_a_tag_takes_all_that_carry_it_and_nothing_else(self):
        for path, tags in (("/1", ("a", "b")), ("/2", ("b",)), ("/3", ("c",)), ("/4", ())):
            self.cache.store(entry(path, tags))
        self.cache.purge(Tables(slot=7, epoch=1, purges=purges((6, "tag", "b"))))
        self.assertEqual(
            [True, True, False, False],
            [self.find(path) is None for path in ("/1", "/2", "/3", "/4")],
        )

    def test_an_answer_whose_fetch_began_before_the_purge_is_not_kept(self):
        self.cache.purge(Tables(slot=7, epoch=1, purges=purges((6, "tag", "b"))))
        self.assertFalse(self.cache.store(entry("/1", ("b",), slot=6)))
        self.assertTrue(self.cache.store(entry("/1", ("b",), slot=7)))
        self.assertTrue(self.cache.store(entry("/2", ("a",), slot=6)))

    def test_an_object_that_lost_its_tag_is_not_taken_by_it(self):
        self.cache.store(entry("/1", ("a",)))
        self.cache.store(entry("/1", ("b",)))
        self.cache.purge(Tables(slot=7, epoch=1, purges=purges((6, "tag", "a"))))
        self.assertIsNotNone(self.find("/1"))

    def test_the_index_of_tags_holds_what_is_kept_and_no_more(self):
        chance = random.Random(7)
        for _number in range(2000):
            self.cache.store(
                entry(
                    f"/{chance.randrange(60)}",
                    {f"t{chance.randrange(9)}" for _ in range(2)},
                    body=b"x" * chance.randrange(500),
                )
            )
        held = {
            (tag, key)
            for key, entries in self.cache.entries.items()
            for each in entries
            for tag in each.tags
        }
        self.assertEqual(
            held,
            {(tag, key) for tag, keys in self.cache.tag_index.keys_by_tag.items() for key in keys},
        )
        self.assertLessEqual(self.cache.size_bytes, 10_000)
        for key in list(self.cache.entries):
            self.cache._remove(key)
        self.assertEqual(
            (0, True), (self.cache.size_bytes, not any(self.cache.tag_index.keys_by_tag.values()))
        )

    def test_a_stream_of_purges_leaves_nothing_older_than_them(self):
        chance, made = random.Random(3), []
        for slot in range(6, 300):
            kept = entry(f"/{chance.randrange(30)}", (f"t{chance.randrange(5)}",), slot=slot)
            self.cache.store(kept)
            made.append(
                (
                    slot,
                    *chance.choice(
                        (("tag", f"t{chance.randrange(5)}"), ("item", f"/{chance.randrange(30)}"))
                    ),
                )
            )
            self.cache.purge(replace(Tables(slot=slot + 1, epoch=1), purges=purges(*made)))
            left = [held for entries in self.cache.entries.values() for held in entries]
            wrong = [
                held.target
                for held in left
                for at, kind, path in made
                if at >= held.slot and (path in held.tags if kind == "tag" else path == held.target)
            ]
            self.assertEqual([], wrong)

    def test_switched_off_the_stream_shows_it(self):
        with (
            patch.object(CacheStore, "purge", lambda *args: None),
            self.assertRaises(AssertionError),
        ):
            self.test_a_stream_of_purges_leaves_nothing_older_than_them()


if __name__ == "__main__":
    unittest.main()
