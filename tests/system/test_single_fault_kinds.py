"""Each kind of fault alone in a fleet: every promise holds, and the history has an explanation."""

import random
import unittest
from unittest.mock import patch

from willowpost.common.events import Received, Tick
from willowpost.common.plan import Plan
from willowpost.sim.disk import SimDisk
from willowpost.sim.fleet.bounded_faults import BoundedFaultSchedule
from willowpost.sim.fleet.fault_schedule import FURTHER_KINDS, FleetFaultSchedule
from willowpost.sim.fleet.world import FleetWorld
from willowpost.sim.rules import Broken
from willowpost.sim.world import World, seconds
from willowpost.state.apply.configurations import _accepted
from willowpost.state.apply.transition import Transition
from willowpost.state.results import ConfigurationAccepted


class Alone(unittest.TestCase):
    """Four faults of one kind in a row; three kinds to a test, so that each stays short."""

    def holds(self, kinds):
        for kind in kinds:
            with self.subTest(kind=kind):
                FleetFaultSchedule(11, only=(kind,), rounds=4, every=True).run()


def add(first):
    kinds = sorted(set(FURTHER_KINDS) - {"mend"})[first : first + 3]
    setattr(Alone, f"test_{'_and_'.join(kinds)}", lambda self: self.holds(kinds))


for number in range(0, len(set(FURTHER_KINDS)) - 1, 3):
    add(number)


class SingleFaultsAtPeak(unittest.TestCase):
    """What a shipped deployment must bear, at a part of its peak so that each stays short."""

    def holds(self, kind):
        found = BoundedFaultSchedule(5, "invitations", (kind,), 1, part=0.1, every=True).run()
        self.assertLessEqual(found.faults[0].refused, found.faults[0].handful)

    def test_the_last_acknowledger_frozen(self):
        self.holds("core_machine_frozen")

    def test_a_core_machine_that_is_not_heard(self):
        self.holds("core_machine_one_way")

    def test_power_lost_after_a_change(self):
        self.holds("core_machine_loses_power_after_change")

    def test_a_slow_disk(self):
        self.holds("disk_slow")

    def test_a_stalled_disk(self):
        self.holds("disk_stalled")

    def test_other_seeds_read_again(self):
        self.holds("settings_reloaded")

    def test_an_origin_gone_soon_after_its_notice(self):
        self.holds("spot_removal")

    def test_an_address_in_another_service(self):
        self.holds("address_reused")

    def test_acknowledgements_lost(self):
        self.holds("acknowledgements_lost")

    def test_two_operators_at_once(self):
        self.holds("orders_race")


class Histories(unittest.TestCase):
    def test_a_registry_that_reads_its_tables_without_a_quorum_is_caught(self):
        """A registry is cut off; its readers are answered from what it holds."""
        world = FleetWorld(4)
        world.open()
        world.checks.remove(world.traffic)  # it would say so first; the history must by itself
        world.cut(["r1"], [name for name in world.seats if name != "r1"])
        for number in (0, 2, 3):
            world.configuration["settings"]["deadline_ms"] += 1
            world.put_configuration(number)
            world.run(seconds(2))
        world.seats["r1"].node.registry.fresh_as_of = 10**18
        world.readers.chance.choice = lambda names: "r1"
        world.run(seconds(2))
        with self.assertRaisesRegex(Broken, "history of configuration has no explanation"):
            world.readers.judge()

    def test_an_acknowledged_evacuation_that_is_not_held_is_caught(self):
        world = FleetWorld(4)
        world.open()
        world.empty_zone(0, "b", True)
        world.run(seconds(1))
        nothing = {"zone_evacuations": {}}
        for name in world.registries:
            node_state = world.seats[name].node.registry
            node_state.tables = type(node_state.tables)(
                **{
                    field: nothing.get(field, getattr(node_state.tables, field))
                    for field in node_state.tables.__dataclass_fields__
                }
            )
        world.run(seconds(2))
        with self.assertRaisesRegex(Broken, "history of zone has no explanation"):
            world.readers.judge()

    def test_two_contents_confirmed_under_one_number_are_caught(self):
        def confirmed(tables, reason):
            version = tables.configuration.version
            return Transition(tables, ConfigurationAccepted(version, is_changed=False))

        with (
            patch("willowpost.state.apply.configurations._rejected", confirmed),
            self.assertRaisesRegex(Broken, "history of configuration has no explanation"),
        ):
            FleetFaultSchedule(1, only=("numbered_race",), rounds=4, every=True).run()

    def test_a_conditional_change_that_overwrites_another_is_caught(self):
        def always(tables, proposal):
            return _accepted(tables, proposal, tables.configuration.version + 1)

        with (
            patch("willowpost.state.apply.configurations._with_next_version", always),
            self.assertRaisesRegex(Broken, "history of configuration has no explanation"),
        ):
            FleetFaultSchedule(1, only=("conditional_race",), rounds=4, every=True).run()

    def test_a_lost_acknowledgement_is_sent_again_to_another_registry(self):
        world = FleetWorld(4)
        world.open()
        world.operators.lost_part = 1.0
        world.put_configuration(0)
        world.run(seconds(2))
        world.operators.lost_part = 0.0
        world.run(seconds(2))
        sent = [
            call.caller
            for call in world.history.calls()
            if call.caller.startswith("operator") and call.request.operation.value == "put"
        ]
        self.assertGreater(len(set(sent[1:])), 1)
        self.assertGreater(world.version, 1)
        world.settle()


class Written:
    """A node that writes one record at each tick, and counts its steps."""

    def __init__(self):
        self.steps = 0

    def step(self, event, now):
        self.steps += 1
        plan = Plan()
        if isinstance(event, Tick):
            plan.records = [{"step": self.steps}]
            plan.send("other", "written")
        return plan


class MessageCounter:
    def __init__(self):
        self.messages = 0

    def step(self, event, now):
        self.messages += isinstance(event, Received)
        return Plan()


class Disks(unittest.TestCase):
    def world(self):
        world = World(1)
        world.add("writer", lambda *state: Written())
        world.add("other", lambda *state: MessageCounter())
        return world

    def test_nothing_is_said_while_a_write_waits(self):
        world = self.world()
        world.seats["writer"].disk.stalled_until = seconds(3)
        world.run(seconds(2.9))
        self.assertEqual(1, world.seats["writer"].node.steps)
        self.assertEqual([], world.seats["writer"].disk.records)
        self.assertEqual(0, world.seats["other"].node.messages)
        world.run(seconds(1))
        self.assertGreater(world.seats["other"].node.messages, 10)

    def test_a_slow_disk_makes_a_slow_node(self):
        world = self.world()
        world.seats["writer"].disk.slowness = 30
        world.run(seconds(9))
        self.assertLess(len(world.seats["writer"].disk.records), 101)
        self.assertGreater(len(world.seats["writer"].disk.records), 50)

    def test_a_crash_cuts_the_write_that_waits(self):
        world = self.world()
        world.seats["writer"].disk.stalled_until = seconds(3)
        world.run(seconds(1))
        world.crash("writer")
        world.run(seconds(5))
        self.assertLess(len(world.seats["writer"].disk.records), 2)
        self.assertEqual(0, world.seats["other"].node.messages)

    def test_unsynced_removals_come_back_one_by_one_and_never_count(self):
        seen = set()
        for seed in range(20):
            disk = SimDisk(folder_chance=random.Random(seed))
            for number in range(2):
                disk.write(Plan(rotate=[{"segment": number}]))
            disk.lose_power()
            seen.add(len(disk.segments))
            self.assertEqual([{"segment": 1}], disk.records)
        self.assertEqual({1, 2}, seen)

    def test_a_crash_in_a_rotation_leaves_the_old_or_the_new_segment_whole(self):
        seen = set()
        for seed in range(20):
            disk = SimDisk(folder_chance=random.Random(seed))
            disk.write(Plan(records=[{"old": 1}]))
            disk.write(Plan(rotate=[{"new": 1}]), upto=0)
            seen.add(str(disk.records))
        self.assertEqual({"[{'old': 1}]", "[{'new': 1}]"}, seen)


if __name__ == "__main__":
    unittest.main()
