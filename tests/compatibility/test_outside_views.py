"""Settings, deployments, configurations, histories, calls and metrics keep the names they have."""

import dataclasses
import json
import unittest
from pathlib import Path

from tests.support import outside_views as views
from willowpost.shell.process_settings import ProcessSettings

DATA = Path(__file__).parent.parent / "data" / "bf1d9c7"
# what the platform reads of a role in its deploy file and what must go on fitting its machines
DEPLOYED = ("run", "on", "serves", "metrics")
# ports of the metrics pages that these roles have got since; they had none
ADDED_METRICS_PORTS = {"registry": 9465, "store": 9466}
MEGABYTE = 1024 * 1024
DEFAULT_MEMORY_MB, PLATFORM_MEMORY_MB = 512, 200
FIELDS = [field.name for field in dataclasses.fields(ProcessSettings)]
ADDRESS_FIELD, METRICS_FIELD = FIELDS.index("address"), FIELDS.index("metrics")


class Case(unittest.TestCase):
    def setUp(self):
        self.maxDiff = None
        self.held = json.loads((DATA / "outside.json").read_text())

    def assert_same(self, expected, found):
        """Equal as JSON values."""
        self.assertEqual(expected, json.loads(json.dumps(found)))


class Settings(Case):
    def test_each_settings_file_comes_to_the_same(self):
        for name, text, flags, expected in self.held["settings"]:
            with self.subTest(name=name, flags=flags):
                expected = self.with_default_memory(expected)
                self.assert_same(expected, views.settings(name, text, flags))

    def test_each_settings_file_of_the_platform_comes_to_the_same(self):
        for kind, text, expected in self.held["platform_settings"]:
            with self.subTest(kind=kind):
                expected = self.with_added_metrics(kind, expected)
                expected = self.with_added_memory(expected)
                self.assert_same(expected, views.platform_settings(kind, text))

    def with_default_memory(self, expected):
        """The settings as they were, and the memory that a process may have since; last."""
        if "values" not in expected:
            return expected
        values = {**expected["values"], "memory_mb": DEFAULT_MEMORY_MB}
        return {"values": values, "place": [*expected["place"], DEFAULT_MEMORY_MB * MEGABYTE]}

    def with_added_memory(self, expected):
        """The same of the platform's files, all of which grant PLATFORM_MEMORY_MB."""
        if "all" not in expected:
            return expected
        process, *others = expected["all"]
        return {**expected, "all": [[*process, PLATFORM_MEMORY_MB * MEGABYTE], *others]}

    def with_added_metrics(self, kind, expected):
        """The settings as they were, and the address of the page that the role has got since."""
        if kind not in ADDED_METRICS_PORTS or "all" not in expected:
            return expected
        process, *others = expected["all"]
        self.assertIsNone(process[METRICS_FIELD])
        machine = process[ADDRESS_FIELD].rpartition(":")[0]
        added = f"{machine}:{ADDED_METRICS_PORTS[kind]}"
        process = [*process[:METRICS_FIELD], added, *process[METRICS_FIELD + 1 :]]
        return {**expected, "all": [process, *others]}

    def test_each_deployment_gives_its_processes_the_same_settings(self):
        self.assertLessEqual(
            {name for name, _, _ in self.held["deployments"]}, set(views.shipped_deployments())
        )
        for name, deployment, expected in self.held["deployments"]:
            with self.subTest(name=name):
                self.assert_same(expected, views.deployment(deployment))

    def test_the_deploy_file_names_the_same_programs(self):
        found = views.deploy_file()["roles"]
        for name, role in self.held["deploy_file"]["roles"].items():
            if name in ADDED_METRICS_PORTS:
                self.assertNotIn("metrics", role)
                role = {**role, "metrics": f"{ADDED_METRICS_PORTS[name]}/metrics"}
            for field in DEPLOYED:
                self.assertEqual(role.get(field), found[name].get(field), (name, field))
            self.assertTrue((views.ROOT / role["run"].split()[1]).exists(), name)


class Configurations(Case):
    def test_each_configuration_comes_to_the_same_tree_digest_and_routes(self):
        for tree, expected in self.held["configurations"]:
            self.assert_same(expected, views.configuration(tree))

    def test_each_document_of_the_platform_comes_to_the_same_call(self):
        for document, expected in self.held["platform_configurations"]:
            self.assert_same(expected, views.platform_configuration(document))


class Histories(Case):
    def test_a_history_is_read_and_written_as_it_was(self):
        text = (DATA / "history.jsonl").read_text()
        found = views.history(text)
        self.assert_same(self.held["history"], found)
        self.assertEqual(text, found["text"])


class Pages(Case):
    def test_the_status_page_shows_the_same(self):
        texts = json.loads((DATA / "operations-tables.json").read_text())["texts"]
        for slot, expected in self.held["status"].items():
            with self.subTest(slot=slot):
                self.assert_same(expected, views.status(texts[slot]))

    def test_no_metric_has_lost_its_name(self):
        self.assertEqual(set(), set(self.held["metrics"]) - set(views.metrics()))


class Calls(Case):
    def test_calls_are_answered_and_operations_proposed_with_the_same_names(self):
        expected, found = self.held["calls"], views.calls(self.held["script"])
        for before, after in zip(expected["answers"], found["answers"], strict=True):
            self.assert_same(before, after)
        for name, fields in expected["operations"].items():
            self.assertEqual(set(), set(fields) - set(found["operations"][name]), name)


if __name__ == "__main__":
    unittest.main()
