"""Numbered configurations: the highest number holds, whatever order they come in.

What is not above it is acknowledged.
"""

import json
import random
import unittest

from tests.support.operation_log import Log
from tests.support.registry_world import World
from willowpost.sim.world import seconds
from willowpost.state.configuration_changes import ConfigurationProposal
from willowpost.state.entries import ActiveConfiguration
from willowpost.state.results import ConfigurationAccepted, Reason, Rejected
from willowpost.state.tables import Tables, tables_from


def tree(number):
    return {"services": {}, "settings": {"deadline_ms": number + 100}, "branches": {}}


class Numbers(unittest.TestCase):
    def test_in_every_order_with_repeats_and_uneven_steps_the_highest_holds_and_none_goes_back(
        self,
    ):
        for seed in range(200):
            chance, log, highest = random.Random(seed), Log(), None
            numbers = [chance.randrange(40) for _ in range(8)]
            for number in chance.sample(numbers * 2, 16):
                result = log.put(
                    ConfigurationProposal(version=number, tree=tree(number), source=f"s{number}")
                )
                above = highest is None or number > highest
                highest = number if above else highest
                self.assertEqual(
                    ConfigurationAccepted(highest, is_changed=above), result, (seed, number)
                )
                self.assertEqual(
                    ActiveConfiguration(highest, tree(highest), f"s{highest}"),
                    log.tables.configuration,
                )

    def test_a_repeated_number_with_another_configuration_is_refused_and_changes_nothing(self):
        log = Log()
        log.put(ConfigurationProposal(version=7, tree=tree(1), source="first"))
        for other, source in ((tree(2), "first"), (tree(1), "second"), (tree(1), None)):
            result = log.put(ConfigurationProposal(version=7, tree=other, source=source))
            self.assertEqual(Rejected(Reason.OTHER_CONTENT, 7), result)
            self.assertEqual("first", log.tables.configuration.source)
        again = log.put(ConfigurationProposal(version=7, tree=tree(1), source="first"))
        self.assertTrue(again.is_accepted)

    def test_without_a_number_the_next_one_is_taken_and_an_old_source_does_not_stay(self):
        log = Log()
        log.put(ConfigurationProposal(version=7, tree=tree(1), source="first"))
        stale = log.put(ConfigurationProposal(tree=tree(2), if_match=6))
        self.assertEqual((False, 7), (stale.is_accepted, stale.version))
        self.assertEqual(8, log.put(ConfigurationProposal(tree=tree(2), if_match=7)).version)
        self.assertEqual(ActiveConfiguration(8, tree(2), source=None), log.tables.configuration)
        self.assertEqual(
            Rejected(Reason.OTHER_CONTENT, 8),
            log.put(ConfigurationProposal(version=8, tree=tree(3))),
        )
        self.assertTrue(log.put(ConfigurationProposal(version=9, tree=tree(3))).is_changed)

    def test_a_number_without_a_configuration_is_never_in_force(self):
        log = Log()
        self.assertFalse(log.put(ConfigurationProposal(version=3)).is_accepted)
        self.assertIsNone(log.tables.configuration.tree)

    def test_tables_of_an_earlier_build_are_read(self):
        held = json.loads(Tables(slot=4).text())
        del held["ended"]
        self.assertEqual(Tables(slot=4), tables_from(json.dumps(held)))


class Calls(World):
    def number(self, version, first=0, **more):
        return self.call(
            "POST",
            "/v1/configurations",
            {"version": version, "configuration": self.world.configuration, **more},
            first=first,
        )

    def test_numbers_come_through_any_registry(self):
        held = [
            self.number(7, source="first"),
            self.number(3, first=1),
            self.number(7, source="first"),
            self.number(12, first=1, source="later"),
            self.number(11),
        ]
        self.assertEqual(
            [(200, 7, True), (200, 7, False), (200, 7, False), (200, 12, True), (200, 12, False)],
            [(answer.code, answer.value["version"], answer.value["changed"]) for answer in held],
        )
        self.assertEqual(
            (12, "later"),
            (
                (read := self.call("GET", "/v1/configuration", first=1).value)["version"],
                read["source"],
            ),
        )

    def test_numbers_that_race_through_all_registries_leave_the_highest_everywhere(self):
        chance = random.Random(3)
        for base in (10, 50):
            numbers = chance.sample(range(base, base + 40), 5) * 2
            tokens = [
                self.world.ask(
                    f"r{place % 5}",
                    ConfigurationProposal(version=number, tree=tree(number)),
                )
                for place, number in enumerate(numbers)
            ]
            self.assertTrue(
                self.world.until(
                    lambda: all(token in self.world.replies for token in tokens), seconds(8)
                )
            )
            self.assertTrue(
                all(self.world.replies[token].results[0].is_accepted for token in tokens)
            )
            self.world.run(seconds(1))
            held = {
                (configuration.version, configuration.tree["settings"]["deadline_ms"])
                for configuration in (
                    self.world.seats[f"r{number}"].node.registry.tables.configuration
                    for number in range(5)
                )
            }
            self.assertEqual({(max(numbers), max(numbers) + 100)}, held)

    def test_a_source_is_given_back_to_the_byte_and_goes_with_its_configuration(self):
        source = '{"version": 7,  "ünusual": [1]}\n'
        self.number(7, source=source)
        self.assertEqual(source, self.call("GET", "/v1/configuration", first=1).value["source"])
        self.call("PUT", "/v1/configuration", self.world.configuration)
        self.assertNotIn("source", self.call("GET", "/v1/configuration", first=1).value)

    def test_what_is_invalid_is_refused_with_its_location_also_when_its_number_is_low(self):
        self.number(9)
        for value, place in (
            ({"version": 4, "configuration": {"services": {}, "x": 1}}, "configuration/x"),
            ({"version": "10", "configuration": self.world.configuration}, "version"),
            ({"version": -1, "configuration": self.world.configuration}, "version"),
            ({"configuration": self.world.configuration}, "version"),
            ({"version": 10}, "configuration"),
            ({"version": 10, "configuration": None}, "configuration"),
            ([], "/"),
            (b'{"version": 1', "/"),
            (b'{"version": 1, "version": 2, "configuration": {}}', "/"),
        ):
            answer = self.call("POST", "/v1/configurations", value)
            self.assertEqual(
                (422, place), (answer.code, answer.value["findings"][0]["place"]), value
            )
        self.assertEqual(9, self.call("GET", "/v1/configuration").value["version"])


if __name__ == "__main__":
    unittest.main()
