"""The measuring of lightweight fleets: it repeats by seed, counts what it should.

And its fits say how far they miss.
"""

import unittest
from dataclasses import replace

from willowpost.drill.capacity.filled import FilledTables, WatchSets, cards_of, homes_of
from willowpost.drill.capacity.fit import Fitter
from willowpost.drill.capacity.lightweight import LightweightFleet
from willowpost.drill.capacity.report import Report, brought
from willowpost.drill.capacity.size import Size
from willowpost.drill.capacity.units import UnitCosts
from willowpost.node.failure_detector import WATCHERS
from willowpost.state.tables import tables_from

SMALL = Size(30, 10, 40, 10.0, 4)
WARM, SPAN = 3.0, 2.0
COUNTED = ("steps", "bytes_out", "bytes_in", "messages_out", "messages_in")


def measured(size, seed=1, whole=False):
    fleet = LightweightFleet(size, seed, whole)
    return fleet, fleet.measure(WARM, SPAN)


def counted(figures):
    return {
        role: (*tuple(getattr(held, name) for name in COUNTED), held.kinds)
        for role, held in figures.items()
    }


class Lightweight(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet, cls.figures = measured(SMALL)

    def test_the_same_seed_gives_the_same_messages_and_another_seed_others(self):
        first, again, other = (
            counted(self.figures),
            *(counted(measured(SMALL, seed)[1]) for seed in (1, 2)),
        )
        self.assertEqual(first, again)
        self.assertNotEqual(first, other)

    def test_the_daemons_do_their_work(self):
        """Purges are decided, followed and carried out; every follower is fresh; an owner grants."""
        fleet, figures = self.fleet, self.figures
        began = fleet.tables.slot
        slots = {
            card.kind: [
                seat.node.node_state.tables.slot
                for seat in fleet.seats.values()
                if seat.node.node_state.tables.daemons[card.id].kind == card.kind
            ]
            for card in fleet.cards.all
        }
        asked = int(SMALL.purges * (WARM + SPAN))
        self.assertGreater(min(slots["store"]) - began, asked - 5)
        followers = [
            seat for seat in fleet.seats.values() if hasattr(seat.node.node_state, "may_serve")
        ]
        for seat in followers:
            self.assertTrue(seat.node.node_state.may_serve(fleet.now(seat)), seat.address)
            self.assertGreater(seat.node.node_state.tables.slot - began, asked - 10, seat.address)
            # nobody joined, left or was suspected
            self.assertIs(fleet.tables.daemons, seat.node.node_state.tables.daemons)
        self.assertGreater(figures["owner"].kinds["out QuotaShareResponse"], 0)

    def test_what_is_counted_grows_as_the_fleet_does(self):
        """Twice the daemons: twice the beats sent, and nothing more for a proxy to hear.

        Twice the origins: twice the beats heard.
        """
        base = self.figures
        daemons = measured(replace(SMALL, daemons=60))[1]
        origins = measured(replace(SMALL, origins=20))[1]
        purges = measured(replace(SMALL, purges=40.0))[1]

        def beats(figures, role, side):
            return figures[role].kinds[f"{side} OriginHeartbeat"]

        self.assertAlmostEqual(
            beats(daemons, "registry", "out") / beats(base, "registry", "out"), 54 / 24, delta=0.1
        )
        self.assertEqual(beats(daemons, "proxy", "in"), beats(base, "proxy", "in"))
        self.assertAlmostEqual(
            beats(origins, "proxy", "in") / beats(base, "proxy", "in"), 2.0, delta=0.01
        )
        self.assertGreater(
            purges["proxy"].kinds["in StateUpdate"], 1.8 * base["proxy"].kinds["in StateUpdate"]
        )

    def test_simulated_peers_say_what_the_stepped_would(self):
        """The same size with every daemon stepped: what a role hears, by kind.

        Is the same but for phases and unequal luck in who watches whom.
        """
        whole, sampled = measured(SMALL, whole=True)[1], self.figures
        for role in ("store", "registry", "proxy", "owner"):
            for kind in (
                "in OriginHeartbeat",
                "in StateUpdate",
                "in QuotaShareRequest",
                "in Poll",
                "out StateUpdate",
            ):
                wanted, found = whole[role].kinds.get(kind, 0), sampled[role].kinds.get(kind, 0)
                if wanted > 400:
                    self.assertAlmostEqual(found / wanted, 1.0, delta=0.25, msg=(role, kind))
        self.assertEqual(set(whole), set(sampled))

    def test_tables_are_such_as_the_log_gives(self):
        tables = FilledTables().make(SMALL)
        self.assertEqual(tables_from(tables.text()).digest(), tables.digest())
        self.assertEqual((len(tables.daemons), len(tables.origins)), (SMALL.daemons, SMALL.origins))
        watched = WatchSets().make(tables)
        self.assertEqual(sum(map(len, watched.values())), WATCHERS * SMALL.daemons)
        self.assertEqual(
            {
                card.id
                for zone in range(SMALL.zones)
                for card in homes_of(f"zone-{zone}", cards_of(SMALL))
            },
            {card.id for card in cards_of(SMALL).proxies},
        )


class Fits(unittest.TestCase):
    def test_a_straight_line_is_found_and_carried_on(self):
        fit = Fitter().fit([(n, 3.0 + 2.0 * n) for n in (50, 150, 400, 1000)])
        self.assertAlmostEqual(fit.at(2600), 5203.0, places=3)
        self.assertLess(fit.residual, 1e-6)
        self.assertEqual(fit.terms, ("1", "n"))

    def test_a_square_is_taken_only_where_the_line_misses(self):
        fit = Fitter().fit([(n, 3.0 + 2.0 * n + 0.5 * n * n) for n in (50, 150, 400, 1000)])
        self.assertEqual(fit.terms, ("1", "n", "n^2"))
        self.assertAlmostEqual(fit.at(2600) / (3 + 5200 + 0.5 * 2600**2), 1.0, places=4)

    def test_the_residual_tells_of_a_point_off_the_line(self):
        points = [(50, 100.0), (150, 300.0), (400, 1600.0), (1000, 2000.0)]
        fit = Fitter().fit(points)
        self.assertGreater(fit.residual, 0.2)
        self.assertAlmostEqual(
            fit.residual, max(abs(fit.at(n) - value) / value for n, value in points)
        )

    def test_one_size_alone_fits_nothing(self):
        with self.assertRaises(ValueError):
            Fitter().fit([(50, 1.0), (50, 2.0)])


class Yard(unittest.TestCase):
    def test_processor_times_are_brought_to_one_pace_and_nothing_else_is(self):
        _, figures = measured(SMALL)
        held = figures["proxy"]
        self.assertGreater(held.yard, 0)
        slow = replace(held, micros=3 * held.micros, yard=3 * held.yard)
        self.assertAlmostEqual(brought(slow, "micros", held.yard), held.micros)
        self.assertEqual(brought(slow, "bytes_in", held.yard), held.bytes_in)


class Printed(unittest.TestCase):
    def test_a_report_prints_each_role_and_how_far_its_fits_miss(self):
        lines = []
        report = Report(lines.append, warm=WARM, span=1.0)
        report.ladder((SMALL, replace(SMALL, daemons=45), replace(SMALL, daemons=60)))
        text = "\n".join(lines)
        for role in ("store", "registry", "home", "proxy", "owner"):
            self.assertIn(f"| {role} |", text)
        self.assertEqual(len(report.fits), 5 * 5)
        self.assertTrue(all(f"{fit.residual:.1%}" in text for fit in report.fits.values()))

    def test_pieces_of_work_grow_with_what_drives_them(self):
        costs = {
            unit.name: unit
            for unit in (*UnitCosts().by_daemons((40, 160)), *UnitCosts().by_routes((100, 1600)))
        }
        for name, least in (
            ("watch sets after one change of a card", 6),
            ("tables as text", 1.05),
            ("configuration in one message", 10),
            ("routes made of a configuration", 2),
            ("tables in memory", 1.05),
        ):
            (_, small), (_, large) = costs[name].points
            self.assertGreater(large, least * small, name)


if __name__ == "__main__":
    unittest.main()
