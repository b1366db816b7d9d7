"""A registry logs each version that its tables get, before it acknowledges the change."""

import unittest
from dataclasses import replace
from types import SimpleNamespace

from tests.support.registry_world import World
from willowpost.common.events import Tick
from willowpost.registry.configuration_log import ConfigurationLog
from willowpost.state.entries import ActiveConfiguration
from willowpost.state.tables import Tables


class Versions(unittest.TestCase):
    def setUp(self):
        self.state = SimpleNamespace(tables=Tables())
        self.log = ConfigurationLog(self.state)

    def logged(self, slot, version):
        configuration = ActiveConfiguration(version=version)
        self.state.tables = replace(self.state.tables, slot=slot, configuration=configuration)
        return [dict(entry.fields) for entry in self.log.step(Tick(), 0).log_entries]

    def test_each_version_is_logged_once(self):
        self.assertEqual([], self.logged(1, 0))
        self.assertEqual([{"version": 1, "slot": 5}], self.logged(5, 1))
        self.assertEqual([], self.logged(6, 1))
        self.assertEqual([{"version": 4, "slot": 9}], self.logged(9, 4))


class Order(World):
    def test_the_registry_that_acknowledges_knows_the_version_by_then(self):
        self.assertEqual(200, self.call("PUT", "/v1/configuration", self.world.configuration).code)
        registry = self.world.seats["r0"].node.node
        self.assertEqual(1, registry.node_state.tables.configuration.version)
        [log] = [one for one in registry.controllers if isinstance(one, ConfigurationLog)]
        self.assertEqual([], log.step(Tick(), 0).log_entries)  # it was logged before
