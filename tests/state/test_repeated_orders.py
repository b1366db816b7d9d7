"""Orders that are sent again, and two operators at once: what each of them is answered.

A repeat of an accepted change is acknowledged again; one number never stands for two contents.
"""

import json
import unittest

from tests.support.operation_log import Log
from tests.support.registry_world import World
from willowpost.sim.world import seconds
from willowpost.state.configuration_changes import (
    MAX_CHANGES,
    MAX_VERSION,
    ConfigurationProposal,
)
from willowpost.state.results import Reason
from willowpost.state.tables import Tables, tables_from

PATH = "/v1/configuration"


def settings(tries):
    return {"services": {}, "settings": {"tries": tries}, "branches": {}}


class InTheLog(unittest.TestCase):
    def setUp(self):
        self.log = Log()

    def put(self, tries, **more):
        return self.log.put(ConfigurationProposal(tree=settings(tries), **more))

    def test_a_repeat_has_the_version_of_the_first_answer_whatever_came_meanwhile(self):
        self.put(1)
        first = self.put(2, if_match=1)
        self.put(3, if_match=2)
        self.log.tables = tables_from(self.log.tables.text())
        again = self.put(2, if_match=1)
        self.assertEqual((True, True), (first.is_accepted, again.is_accepted))
        self.assertEqual((2, 2, 3), (first.version, again.version, again.version_in_force))
        self.assertEqual(3, self.log.tables.configuration.version)

    def test_what_is_no_repeat_stays_refused(self):
        self.put(1)
        self.put(2, if_match=1)
        self.assertFalse(self.put(3, if_match=1).is_accepted)
        self.assertFalse(self.put(1, if_match=1).is_accepted)
        self.assertFalse(self.put(2, if_match=7).is_accepted)
        self.assertEqual(2, self.log.tables.configuration.version)

    def test_the_last_accepted_changes_are_known_and_no_more(self):
        self.put(0)
        for number in range(1, MAX_CHANGES + 2):
            self.put(number, if_match=number)
        self.assertEqual(MAX_CHANGES, len(self.log.tables.configuration_changes.changes))
        self.assertFalse(self.put(1, if_match=1).is_accepted)
        self.assertTrue(self.put(2, if_match=2).is_accepted)

    def test_what_was_left_behind_a_partition_undoes_nothing_newer_but_is_known_if_it_was_accepted(
        self,
    ):
        self.put(1)
        self.put(2, known_version=1, key="k")
        late = self.put(3, known_version=1)
        self.assertEqual((False, Reason.SUPERSEDED), (late.is_accepted, late.reason))
        self.assertEqual(2, self.put(2, known_version=1, key="k").version)
        self.assertEqual(3, self.put(3, known_version=2).version)

    def test_an_idempotency_key_names_one_change(self):
        first = self.put(1, key="k")
        self.put(2)
        again = self.put(1, key="k")
        self.assertEqual((1, 1, False), (first.version, again.version, again.is_changed))
        self.assertFalse(self.put(3, key="k").is_accepted)
        self.assertEqual(2, self.log.tables.configuration.version)

    def test_the_highest_number_has_no_next_one(self):
        self.put(1, version=MAX_VERSION)
        self.assertFalse(self.put(2).is_accepted)
        self.assertTrue(self.put(1, version=MAX_VERSION).is_accepted)
        self.assertEqual(MAX_VERSION, self.log.tables.configuration.version)

    def test_a_configuration_that_an_earlier_build_accepted_is_compared_by_its_content(self):
        self.put(1, version=5)
        held = json.loads(self.log.tables.text())
        del held["changes"]
        self.log.tables = tables_from(json.dumps(held))
        self.assertTrue(self.put(1, version=5).is_accepted)
        self.assertFalse(self.put(2, version=5).is_accepted)

    def test_a_number_that_is_not_above_needs_no_tree_and_is_compared_by_its_digest(self):
        self.put(1, version=5)
        content = self.log.tables.configuration_changes.newest().content
        for version, digest, taken in ((5, content, True), (5, "x", False), (4, "x", True)):
            result = self.log.put(ConfigurationProposal(version=version, content=digest))
            self.assertEqual(taken, result.is_accepted, (version, digest))
        self.assertEqual(settings(1), self.log.tables.configuration.tree)
        self.assertFalse(self.log.put(ConfigurationProposal(version=6, content="x")).is_accepted)

    def test_the_changes_are_in_the_text_of_the_tables(self):
        self.put(1, key="k")
        self.put(2, if_match=1, patch="p")
        self.assertEqual(self.log.tables, tables_from(self.log.tables.text()))
        self.assertEqual(Tables(), tables_from(Tables().text()))


class Calls(World):
    def setUp(self):
        super().setUp()
        self.tree = self.world.configuration

    def tried(self, tries):
        return {**self.tree, "settings": {**self.tree["settings"], "tries": tries}}

    def answered(self, method, value, path=PATH, first=0, **headers):
        answer = self.call(method, path, value, first=first, **headers)
        return answer.code, answer.value.get("version")

    def restart(self, *names):
        for name in names:
            self.world.crash(name)
        self.world.run(seconds(1))
        for name in names:
            self.world.start(name)
        self.world.run(seconds(4))

    def test_a_put_that_was_taken_is_acknowledged_again_also_elsewhere_and_after_a_restart(self):
        self.answered("PUT", self.tree)
        asked = {"value": self.tried(2), "If_Match": '"1"'}
        self.assertEqual((200, 2), self.answered("PUT", **asked))
        self.assertEqual((200, 2), self.answered("PUT", **asked))
        self.assertEqual((200, 2), self.answered("PUT", **asked, first=1))
        self.restart("s0", "s1", "s2", "s3", "s4", "r1")
        self.assertEqual((200, 2), self.answered("PUT", **asked, first=1))
        self.assertEqual((200, 3), self.answered("PUT", self.tried(4), If_Match='"2"'))
        self.assertEqual((200, 2), self.answered("PUT", **asked, first=1))
        self.assertEqual((412, 3), self.answered("PUT", self.tried(1), If_Match='"1"'))
        held = self.call("GET", PATH).value
        self.assertEqual((3, 4), (held["version"], held["configuration"]["settings"]["tries"]))

    def test_the_same_number_with_other_content_is_refused_with_its_location(self):
        def number(tries, first=0, version=50, **more):
            body = {"version": version, "configuration": self.tried(tries), **more}
            return self.answered("POST", body, "/v1/configurations", first)

        self.assertEqual((200, 50), number(1))
        self.assertEqual((200, 50), number(1, first=1))
        self.assertEqual((409, 50), number(2))
        self.assertEqual((409, 50), number(2, first=1))
        self.assertEqual((409, 50), number(1, source="other document"))
        self.assertEqual((200, 50), number(2, version=48))
        self.assertEqual((200, 51), number(2, version=51))
        self.assertEqual((200, 51), number(1))
        self.assertEqual((409, 51), number(3))
        self.restart("s0", "s1", "s2", "s3", "s4")
        self.assertEqual((200, 51), number(1))
        self.assertEqual((409, 51), number(2, first=1))
        body = {"version": 50, "configuration": self.tried(2)}
        answer = self.call("POST", "/v1/configurations", body)
        self.assertEqual("version", answer.value["findings"][0]["place"])

    def test_a_patch_that_was_taken_is_acknowledged_again(self):
        self.answered("PUT", self.tree)
        change = [{"op": "add", "path": "/services/late", "value": {"rate": 5.0}}]
        for first in (0, 1, 0):
            self.assertEqual((200, 2), self.answered("PATCH", change, first=first, If_Match='"1"'))
        gone = [{"op": "remove", "path": "/services/late"}]
        self.assertEqual((200, 3), self.answered("PATCH", gone))
        self.assertEqual((200, 3), self.answered("PATCH", gone, first=1))
        same = [{"op": "replace", "path": "/settings/tries", "value": 2}]
        self.assertEqual((200, 4), self.answered("PATCH", same))
        self.assertEqual((200, 4), self.answered("PATCH", same, first=1))
        self.assertEqual((422, None), self.answered("PATCH", gone))
        self.assertEqual((200, 2), self.answered("PATCH", change, If_Match='"1"'))

    def test_an_idempotency_key_makes_a_repeat_known_without_a_version(self):
        def put(tries, first=0, key='"order-7"'):
            return self.answered("PUT", self.tried(tries), first=first, Idempotency_Key=key)

        self.assertEqual((200, 1), put(1))
        self.assertEqual((200, 2), self.answered("PUT", self.tried(2)))
        self.assertEqual((200, 1), put(1, first=1))
        self.assertEqual((422, 2), put(3))
        self.assertEqual((422, None), put(3, key="\x07"))
        self.assertEqual((200, 3), put(1, key="other"))
        patch = [{"op": "add", "path": "/services/late", "value": {}}]
        gone = [{"op": "remove", "path": "/services/late"}]
        asked = {"value": gone, "Idempotency_Key": "gone"}
        self.assertEqual((200, 4), self.answered("PATCH", patch))
        for first in (0, 1):
            self.assertEqual((200, 5), self.answered("PATCH", **asked, first=first))
        self.assertEqual((200, 6), self.answered("PATCH", patch))
        self.assertEqual((200, 5), self.answered("PATCH", **asked, first=1))

    def test_a_version_that_is_none_is_refused_and_never_an_error(self):
        self.answered("PUT", self.tree)
        for match in ("²", "9" * 5000, "-1", str(2**63), '"1', '"1", "2"', ""):
            code, _ = self.answered("PUT", self.tree, If_Match=match)
            self.assertIn(code, (400, 412), match)


if __name__ == "__main__":
    unittest.main()
