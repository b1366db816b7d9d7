"""Three bootstrap members: fault schedules with wiped disks, and the core's growth to five.

Struck at each step.
"""

import json
import unittest
from dataclasses import dataclass, replace
from unittest.mock import patch

from willowpost.consensus.replica.bootstrap import Rights
from willowpost.consensus.replica.voting import Voting
from willowpost.consensus.thresholds import Thresholds
from willowpost.sim.core import CoreWorld
from willowpost.sim.fault_schedules import SeatFaultSchedule
from willowpost.sim.fleet.world import FleetWorld
from willowpost.sim.rules import Broken
from willowpost.sim.world import seconds
from willowpost.state.apply import Apply, answer_of
from willowpost.state.apply.core import add_voters, replace_voter
from willowpost.state.tables import Tables
from willowpost.store.repair import Repair
from willowpost.wire.messages import Command, Decision

ALONE = {"zones": ("a", "b", "c"), "max_voters": 3}
GROWING = {"zones": ("a", "b", "c", "a", "b"), "max_voters": 5}
RIGHTS = Rights(bootstrap_from_seeds=True, max_voters=5)


@dataclass(frozen=True, slots=True)
class EachAlone(Thresholds):
    @property
    def heard(self):
        return 1

    @property
    def majority(self):
        return 1

    @property
    def decides(self):
        return 1


@dataclass(frozen=True, slots=True)
class OneVoteDecides(Thresholds):
    @property
    def decides(self):
        return 1


def first_broken(seeds, **world):
    for seed in seeds:
        try:
            SeatFaultSchedule(seed, **world).run()
        except Broken as broken:
            return str(broken)
        except AssertionError:
            continue
    return None


class FaultSchedules(unittest.TestCase):
    def holds(self, seeds, shape):
        wiped = 0
        for seed in seeds:
            with self.subTest(seed=seed):
                fault_schedule = SeatFaultSchedule(seed, **shape).run()
                wiped += fault_schedule.wiped
                self.assertEqual(([], []), (fault_schedule.unanswered(), fault_schedule.unseated()))
                self.assertEqual(
                    (1, shape["max_voters"]),
                    (len(fault_schedule.digests()), fault_schedule.voters()),
                )
        self.assertGreater(wiped, len(seeds) // 2)

    def test_three_alone(self):
        self.holds(range(24), ALONE)

    def test_three_that_grow(self):
        self.holds(range(12), GROWING)

    def test_a_broken_threshold_is_caught(self):
        for thresholds in (EachAlone, OneVoteDecides):
            for shape in (ALONE, GROWING):
                with self.subTest(thresholds=thresholds.__name__, shape=shape):
                    self.assertIsNotNone(first_broken(range(20), thresholds=thresholds, **shape))

    def test_saying_accepted_too_early_is_caught(self):
        with patch(
            "willowpost.consensus.replica.replica_state.ReplicaState.safe", lambda self: 10**9
        ):
            self.assertIn("disks holding it", first_broken(range(10), **ALONE))


def epochs(world):
    return [node_state.tables.epoch for _, node_state in world.node_states()]


MOMENTS = {
    "a first one offered itself": lambda world: any(
        "voter_offer" in card
        for _, node_state in world.node_states()
        for card in node_state.tables.daemons.values()
    ),
    "one has decided it": lambda world: epochs(world).count(2) >= 1,
    "two have": lambda world: epochs(world).count(2) >= 2,
    "one has opened the new epoch": lambda world: any(
        node_state.passed >= 2 for _, node_state in world.node_states()
    ),
    "all have": lambda world: epochs(world).count(2) == 5,
}


class Struck:
    """A core of three that grows by two; at a moment of it something happens.

    And what is asked then must be answered.
    """

    def __init__(self, seed, moment, fault, victims):
        self.world = world = CoreWorld(seed, zones=GROWING["zones"], members=3, rights=RIGHTS)
        self.due = (MOMENTS[moment], fault, victims)
        self.struck = False
        world.checks.append(self.look)
        world.add_caller("r0", list(world.names))

    def look(self, world, seat, event, plan):
        moment, fault, victims = self.due
        if not self.struck and moment(world):
            self.struck = True
            for victim in victims:
                getattr(self, fault)(victim)

    def dark(self, victim):
        self.world.at(0, self.world.crash, victim)

    def wiped(self, victim):
        self.world.at(0, self.world.crash, victim, True)
        self.world.at(seconds(0.7), self.world.start, victim)

    def cut(self, victim):
        self.world.cut([victim], [name for name in self.world.seats if name != victim])

    def run(self):
        world = self.world
        if not world.until(lambda: self.struck, seconds(10)):
            raise AssertionError("the moment never came")
        tokens = []
        for _ in range(8):
            tokens.append(world.ask("r0", {"op": "zone", "zone": "z", "empty": True}))
            world.run(seconds(0.5))
        world.run(seconds(1.5))
        answered = [token for token in tokens if token in world.replies]
        world.settle(8)
        return len(answered), sorted(
            {len(node_state.tables.core) for _, node_state in world.node_states()}
        )


class Growth(unittest.TestCase):
    def strike(self, moment, victims):
        for number, fault in enumerate(("dark", "wiped", "cut")):
            with self.subTest(moment=moment, fault=fault, victims=victims):
                self.assertEqual(
                    (8, [5]), Struck(number + 10 * int(victims[0][1]), moment, fault, victims).run()
                )

    def test_one_loss_at_any_moment_of_it_stops_nothing(self):
        for moment in MOMENTS:
            for victim in ("s0", "s1", "s2", "s3", "s4"):
                self.strike(moment, [victim])

    def test_once_grown_two_failure_verdicts_stop_nothing(self):
        for victims in (["s0", "s1"], ["s0", "s4"], ["s3", "s4"]):
            self.strike("all have", victims)

    def test_three_cannot_bear_two(self):
        """The check above can fail: without growth the same two losses stop the core."""
        with patch.object(Repair, "_may_add_voters", lambda self: False):
            world = CoreWorld(1, zones=GROWING["zones"], members=3, rights=RIGHTS)
            world.add_caller("r0", list(world.names))
            world.run(seconds(4))
            for victim in ("s0", "s1"):
                world.crash(victim)
            token = world.ask("r0", {"op": "zone", "zone": "z", "empty": True})
            world.run(seconds(4))
            self.assertNotIn(token, world.replies)

    def test_nothing_grows_unless_set(self):
        world = CoreWorld(
            1, zones=GROWING["zones"], members=3, rights=Rights(bootstrap_from_seeds=True)
        )
        world.run(seconds(8))
        self.assertEqual(
            {3}, {len(node_state.tables.core) for _, node_state in world.node_states()}
        )

    def test_a_learner_that_is_behind_does_not_offer_itself(self):
        world = CoreWorld(1, zones=GROWING["zones"], members=3, rights=RIGHTS)
        # it is told by one voter, and cannot know whether that is all
        world.cut(["s4"], ["s1", "s2"])
        world.run(seconds(6))
        self.assertEqual(
            {3}, {len(node_state.tables.core) for _, node_state in world.node_states()}
        )
        world.heal()
        world.run(seconds(6))
        self.assertEqual(
            {5}, {len(node_state.tables.core) for _, node_state in world.node_states()}
        )


class Members(unittest.TestCase):
    def test_an_empty_fleet_that_may_not_found_never_does(self):
        for rights in (
            Rights(may_bootstrap=False),
            Rights(may_bootstrap=False, bootstrap_from_seeds=True, max_voters=5),
        ):
            world = CoreWorld(3, zones=GROWING["zones"], members=3, rights=rights)
            world.run(seconds(20))
            self.assertEqual({0}, set(epochs(world)))
            self.assertFalse(
                [
                    node_state
                    for _, node_state in world.node_states()
                    if node_state.bootstrap_promise
                ]
            )

    def test_two_that_may_and_one_that_may_not_do_not_found(self):
        world = CoreWorld(3, zones=("a", "b", "c"), members=3)
        world.rights = Rights(may_bootstrap=False)
        world.crash("s2", lose_disk=True)
        world.start("s2")
        world.run(seconds(10))
        self.assertEqual({0}, set(epochs(world)))
        world.rights = Rights()
        world.crash("s2", lose_disk=True)
        world.start("s2")
        self.assertTrue(world.until(world.bootstrapped, seconds(5)))

    def test_only_seeds_found_whoever_else_is_there_first(self):
        for seed in range(6):
            world = CoreWorld(
                seed, zones=GROWING["zones"], members=3, rights=Rights(bootstrap_from_seeds=True)
            )
            world.crash("s0")
            world.run(seconds(3))
            self.assertEqual({0}, set(epochs(world)))
            world.start("s0")
            self.assertTrue(world.until(world.bootstrapped, seconds(5)))
            self.assertEqual(
                [["s0", "s1", "s2"]] * 5,
                [
                    sorted(member["name"] for member in node_state.tables.core)
                    for _, node_state in world.node_states()
                ],
            )

    def test_more_seeds_than_members_found_one_fleet(self):
        for seed in range(6):
            world = CoreWorld(
                seed, zones=("a", "b"), members=1, rights=Rights(bootstrap_from_seeds=True)
            )
            world.cut(["s0"], ["s1"])
            world.run(seconds(3))
            self.assertEqual([1, 0], epochs(world))
            world.heal()
            world.run(seconds(3))
            self.assertEqual(
                [["s0"]] * 2,
                [
                    [member["name"] for member in node_state.tables.core]
                    for _, node_state in world.node_states()
                ],
            )

    def test_members_that_restart_before_they_promised_go_on_bootstrap(self):
        world = CoreWorld(
            3, zones=("a", "b", "c"), members=3, rights=Rights(bootstrap_from_seeds=True)
        )
        for name in world.names:
            world.crash(name)
        for name in world.names:
            world.start(name)  # a second life: only the disk says that it may
        self.assertTrue(world.until(world.bootstrapped, seconds(5)))

    def test_a_store_whose_voters_are_all_gone_finds_the_new_ones_by_its_seeds(self):
        world = CoreWorld(
            4,
            zones=("a", "b", "c"),
            members=3,
            rights=Rights(bootstrap_from_seeds=True, max_voters=3),
        )
        self.assertTrue(world.until(world.bootstrapped, seconds(5)))
        world.crash("s0")
        # three newcomers take the seats, one by one, at other addresses
        for number, zone in enumerate("abc"):
            name = f"n{number}"
            world.zones[name], world.names = zone, [*world.names, name]
            world.add_store(name, name, zone)
            world.run(seconds(1))  # while one that it knows of is there
            if number:
                world.seats[f"s{number}"].retired = True
                world.crash(f"s{number}")
            self.assertTrue(
                world.until(
                    lambda: any(
                        member["name"] == name
                        for _, node_state in world.node_states()
                        for member in node_state.tables.core
                    ),
                    seconds(8),
                ),
                name,
            )
            world.run(seconds(1))
        with patch.object(CoreWorld, "seeds_of_stores", lambda self: ["n0", "n1", "n2"]):
            world.start("s0")
        world.run(seconds(5))
        slots = {seat.address: node_state.tables.slot for seat, node_state in world.node_states()}
        self.assertEqual(1, len(set(slots.values())), slots)


class UnheardGrowth:
    """The moment one founder has decided the growth, the core splits.

    It and the newcomers are enough of five to accept; the two bootstrap members that have not
    decided it are enough of three to be read. Edges, shields and registries hear only them.
    """

    def __init__(self, seed):
        self.world = world = FleetWorld(seed, members=3, rights=Rights(bootstrap_from_seeds=True))
        world.open()
        world.checks.append(self.look)
        self.knows = None
        world.rights = RIGHTS
        for name in ("s3", "s4"):
            world.crash(name)
            world.start(name)

    def look(self, world, seat, event, plan):
        if (
            self.knows is None
            and getattr(seat.node, "node_state", None) is not None
            and seat.node.node_state.tables.epoch == 2
        ):
            self.knows = seat.address
            ignorant, knowing = (
                [name for name in ("s0", "s1", "s2") if name != self.knows],
                [self.knows, "s3", "s4"],
            )
            world.cut([ignorant[0]], [ignorant[1]])
            ignorant += [f"r{name[1]}" for name in ignorant] + world.edges + world.shields
            world.cut(ignorant, [*knowing, *(f"r{name[1]}" for name in knowing)])

    def run(self):
        if not self.world.until(lambda: self.knows, seconds(12)):
            raise AssertionError("it did not grow")
        if self.knows in ("s3", "s4"):
            return None
        self.world.configuration["settings"]["deadline_ms"] = 1900
        self.world.put_configuration(int(self.knows[1]))
        self.world.run(seconds(6))
        return self.world


class Barrier(unittest.TestCase):
    def test_nothing_is_accepted_behind_a_growth_that_readers_may_not_hear_of(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                world = UnheardGrowth(seed).run()
                self.assertEqual(1, world.version)
                world.settle()
                self.assertEqual(2, world.version)

    def test_without_the_barrier_a_reader_misses_what_was_accepted(self):
        with (
            patch.object(Voting, "_opened", lambda self, plan: True),
            self.assertRaisesRegex(Broken, "calls itself whole"),
        ):
            for seed in range(5):
                UnheardGrowth(seed).run()


def store(name, zone, state="up", **more):
    return {
        "id": name,
        "kind": "store",
        "name": name,
        "zone": zone,
        "address": name,
        "incarnation": 1,
        "state": state,
        **more,
    }


def member(name, zone):
    return {"identity": name, "name": name, "zone": zone, "address": name}


class Op(unittest.TestCase):
    def setUp(self):
        core = tuple(member(name, zone) for name, zone in zip("ABC", "abc", strict=False))
        daemons = {name: store(name, zone) for name, zone in zip("ABCDE", "abcab", strict=False)}
        self.tables = Tables(slot=9, epoch=1, core=core, daemons=daemons)

    def ask(self, tables, learner, most=5, incarnation=1):
        return add_voters(
            tables,
            {"op": "add_voters", "learner": learner, "incarnation": incarnation, "most": most},
        )

    def after(self, tables, *learners, **more):
        for learner in learners:
            tables, answer = self.ask(tables, learner, **more)
        return tables, answer

    def changed(self, daemon, **card):
        return {**self.tables.daemons, daemon: {**self.tables.daemons[daemon], **card}}

    def with_daemons(self, daemons):
        return replace(self.tables, daemons=daemons)

    def test_the_second_offer_lets_both_in(self):
        tables, answer = self.ask(self.tables, "D")
        self.assertEqual((1, 3, False), (tables.epoch, len(tables.core), answer["ok"]))
        tables, answer = self.ask(tables, "E")
        self.assertEqual(
            (2, "ABCED", True),
            (tables.epoch, "".join(held["name"] for held in tables.core), answer["ok"]),
        )
        self.assertEqual({"slot": 9, "core": list(self.tables.core)}, tables.former)

    def test_whoever_may_not(self):
        for learner, more in (("A", {}), ("D", {"incarnation": 2}), ("Z", {})):
            self.assertEqual(
                (self.tables, False),
                (
                    self.ask(self.tables, learner, **more)[0],
                    self.ask(self.tables, learner, **more)[1]["ok"],
                ),
            )
        for tables in (
            self.with_daemons(self.changed("B", state="lost")),
            self.with_daemons(self.changed("B", state="draining")),
            self.with_daemons(
                {name: card for name, card in self.tables.daemons.items() if name != "B"}
            ),
            self.with_daemons(self.changed("D", state="lost")),
            self.with_daemons(self.changed("D", name="A")),
            self.with_daemons(self.changed("D", name="E")),
            self.with_daemons(self.changed("D", address="C")),
            self.with_daemons({**self.changed("D", zone="a"), "E": store("E", "a")}),
        ):
            self.assertFalse(self.after(tables, "D", "E")[1]["ok"])
        self.assertFalse(self.after(self.tables, "D", "E", most=3)[1]["ok"])
        self.assertFalse(self.after(self.tables, "D", "D")[1]["ok"])
        registry = self.with_daemons(self.changed("D", kind="registry"))
        self.assertFalse(self.after(registry, "D", "E")[1]["ok"])

    def test_a_malformed_op_ends_nobody(self):
        for op in (
            {"op": "add_voters"},
            {"op": "add_voters", "learner": "D", "incarnation": 1, "most": "many"},
            {"op": "replace_voter", "old": [], "new": 7},
            {"op": ["add_voters"]},
            "add_voters",
            None,
            {"op": "join", "daemon": 3},
        ):
            body = json.dumps([op, {"op": "zone", "zone": "z", "empty": True}])
            tables = Apply().step(self.tables, Decision(9, "r/1/1", Command("r", 1, 1, 1, body)))
            self.assertEqual((10, True), (tables.slot, "z" in tables.zones))
            self.assertEqual(False, answer_of(tables, Command("r", 1, 1))[1][0]["ok"], op)

    def test_an_offer_from_before_a_loss_is_void(self):
        tables, _ = self.ask(self.tables, "D")
        tables = replace(
            tables,
            slot=11,
            failure_verdicts=(
                {
                    "slot": 10,
                    "daemon": "D",
                    "name": "D",
                    "kind": "store",
                    "zone": "a",
                    "repaired": 11,
                },
            ),
        )
        self.assertFalse(self.ask(tables, "E")[1]["ok"])
        self.assertTrue(self.after(tables, "E", "D")[1]["ok"])

    def test_the_zone_rule_follows_f_and_few_zones_get_no_worse(self):
        lost = self.with_daemons({**self.changed("C", state="lost")})
        self.assertFalse(
            replace_voter(lost, {"old": "C", "new": member("D", "a")})[1]["ok"],
            "two of three in one zone",
        )
        self.assertTrue(replace_voter(lost, {"old": "C", "new": member("D", "d")})[1]["ok"])
        narrow = replace(
            lost, core=tuple(member(name, zone) for name, zone in zip("ABC", "aab", strict=False))
        )
        self.assertTrue(replace_voter(narrow, {"old": "C", "new": member("D", "b")})[1]["ok"])
        self.assertFalse(replace_voter(narrow, {"old": "C", "new": member("D", "a")})[1]["ok"])


if __name__ == "__main__":
    unittest.main()
