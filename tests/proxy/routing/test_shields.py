"""The tier of shields: who sends to a service, through which shields, and what an edge trusts."""

import copy
import unittest
from collections import Counter
from dataclasses import replace
from types import MappingProxyType, SimpleNamespace

from tests.support.entries import daemon_entry
from tests.support.served import ScriptedOrigin, ServedProxy, answer
from willowpost.configuration.checker import ConfigurationChecker
from willowpost.node.node_state import DaemonDescriptor
from willowpost.proxy.admission.admission_decision import AdmissionDecision
from willowpost.proxy.admission.quota_admission import QuotaAdmission
from willowpost.proxy.cache.entry import CacheKey
from willowpost.proxy.cache.store import CacheStore
from willowpost.proxy.client.lifetime import UNWATCHED_LIFETIME
from willowpost.proxy.proxy_state import ProxyState
from willowpost.proxy.request_parser import RequestParser, service_of
from willowpost.proxy.routing.header_names import DEFAULT_HEADER_NAMES
from willowpost.proxy.routing.headers import ShieldHop
from willowpost.proxy.routing.planner import RequestPlanner
from willowpost.proxy.routing.request import RejectPlan, Request
from willowpost.proxy.routing.shields import ShieldChooser
from willowpost.proxy.routing.snapshot_maker import SnapshotMaker
from willowpost.proxy.routing.snapshot_updater import SnapshotUpdater
from willowpost.sim.fleet.shape import SMALL
from willowpost.sim.fleet.world import FleetWorld
from willowpost.sim.world import seconds
from willowpost.state.entries import ActiveConfiguration, Purge
from willowpost.state.lifecycle import DaemonState
from willowpost.state.tables import Tables

SECOND = 1_000_000
REGIONS = {"a": "north", "b": "north", "c": "south"}
TREE = {
    "services": {"pages": {"rate": 100.0}, "orders": {}, "maps": {"rate": 100.0}},
    "branches": {
        "view": {"path": "/view/", "settings": {"service": "pages", "kind": "kept"}},
        "pay": {"path": "/pay/", "settings": {"service": "orders", "kind": "once"}},
        "look": {"path": "/look/", "settings": {"service": "orders", "kind": "repeatable"}},
        "home": {
            "path": "/home/",
            "settings": {"service": "maps", "kind": "kept", "homes": ["south"]},
        },
    },
}


def proxy_entry(name, role, zone, state=DaemonState.UP, incarnation=1):
    return daemon_entry(
        name,
        kind="proxy",
        role=role,
        zone=zone,
        state=state,
        http=f"{name}:80",
        incarnation=incarnation,
    )


def tables(slot=5, **states):
    tree = ConfigurationChecker().check_value(TREE).unwrap()
    daemons = {
        f"e{number}": proxy_entry(f"e{number}", "edge", "abc"[number]) for number in range(3)
    }
    daemons |= {
        name: proxy_entry(name, "shield", zone, DaemonState(states.get(name, "up")))
        for name, zone in (("h0", "a"), ("h1", "b"))
    }
    configuration = ActiveConfiguration(1, tree)
    return Tables(slot=slot, epoch=1, daemons=daemons, configuration=configuration)


class Senders(unittest.TestCase):
    def senders(self, tables):
        services = SnapshotMaker(REGIONS).make(tables).services
        return {name: "".join(sorted(service.senders)) for name, service in services.items()}

    def test_the_kind_decides_and_not_the_default_methods(self):
        """Routes that run once have the default methods too, and no shield may carry them."""
        senders = self.senders(tables())
        self.assertEqual("h0h1", senders["pages"])
        self.assertEqual("e0e1e2", senders["orders"])

    def test_a_service_none_of_whose_homes_has_a_shield_is_the_edges_own(self):
        self.assertEqual("e0e1e2", self.senders(tables())["maps"])

    def test_without_shields_the_edges_send(self):
        self.assertEqual("e0e1e2", self.senders(tables(h0="lost", h1="lost"))["pages"])


class Choice(unittest.TestCase):
    def test_the_own_region_first_and_homes_only(self):
        shields, zones = (
            {"h0": "h0:80", "h1": "h1:80", "h2": "h2:80"},
            {
                "h0": "a",
                "h1": "b",
                "h2": "c",
            },
        )
        for key in map(str, range(20)):
            ranked = [
                name for name, _ in ShieldChooser("c", REGIONS).choose(key, (), shields, zones)
            ]
            self.assertEqual("h2", ranked[0])
            home = ShieldChooser("c", REGIONS).choose(key, ("north",), shields, zones)
            self.assertEqual({"h0", "h1"}, {name for name, _ in home})

    def test_objects_are_spread_over_the_shields_of_a_region(self):
        shields, zones = {"h0": "h0:80", "h1": "h1:80"}, {"h0": "a", "h1": "b"}
        firsts = Counter(
            ShieldChooser("a", REGIONS).choose(str(key), (), shields, zones)[0][0]
            for key in range(400)
        )
        self.assertTrue(all(count > 120 for count in firsts.values()), firsts)


class Takeover(unittest.TestCase):
    def test_edges_that_take_over_from_shields_keep_to_the_rate_in_every_window(self):
        """The shields used the whole rate until they were lost, so the edges begin with nothing."""
        edges = []
        for number in range(3):
            state = ProxyState(
                DaemonDescriptor(
                    f"e{number}", "proxy", "edge", f"e{number}", "abc"[number], "x", "x", 1
                )
            )
            state.tables = tables()
            updater = SnapshotUpdater(state, CacheStore(), REGIONS)
            updater.step(None, 0)
            edges.append((state, updater, QuotaAdmission(state)))
        lost_at, sent = 20 * SECOND, [15 * SECOND + number * SECOND // 100 for number in range(500)]
        for state, updater, _ in edges:
            state.tables = tables(slot=6, h0="lost", h1="lost")
            updater.step(None, lost_at)
        for now in range(lost_at, lost_at + 8 * SECOND, SECOND // 100):
            for _, _, quota_admission in edges:
                while quota_admission.admit("pages", now) is AdmissionDecision.ADMITTED:
                    sent.append(now)
        for at in sent:
            window = sum(at - 5 * SECOND < moment <= at for moment in sent)
            self.assertLessEqual(window, 1.1 * 100 * 5)
        self.assertGreater(len(sent), 800)


class Fleet(unittest.TestCase):
    """A simulated fleet whose rules are judged at each step: rates, copies, purges, writes."""

    def world(self, seed, rate):
        tree = copy.deepcopy(SMALL.configuration)
        tree["branches"]["art"]["settings"]["kind"] = "kept"
        tree["services"]["art"]["rate"] = rate
        world = FleetWorld(seed, shape=replace(SMALL, configuration=tree), rate=150)
        world.open()
        world.run(seconds(3))
        return world

    def served(self, world, span):
        """Answers served in a second, over the next `span` seconds."""
        since = world.time
        world.run(seconds(span))
        return sum(at > since for at, _ in world.traffic.served) / span

    def test_all_shields_end_and_come_back_cold_and_edges_serve_meanwhile(self):
        world = self.world(seed=1, rate=240.0)
        calm = self.served(world, 3)
        for shield in world.shields:
            world.crash(shield)
        world.run(seconds(8))
        without = self.served(world, 4)
        for shield in world.shields:
            world.start(shield)
        world.run(seconds(4))
        self.assertGreater(without, 0.85 * calm)
        self.assertGreater(self.served(world, 3), 0.85 * calm)

    def test_a_rate_that_edges_alone_go_beyond_is_kept_through_a_takeover(self):
        """13 fetches a second for each edge or shield, and 30 allowed: the rules would break."""
        world = self.world(seed=2, rate=30.0)
        for shield in world.shields:
            world.crash(shield)
        world.run(seconds(8))
        for shield in world.shields:
            world.start(shield)
        world.run(seconds(6))
        self.assertGreater(world.traffic.margin["art in 5 s, % of rate"], 60)


class Edge(unittest.TestCase):
    """An edge with scripted shields and origins over real sockets."""

    def served(self, *shields, origins=((),)):
        self.shields = [ScriptedOrigin(*script) for script in shields]
        self.origins = [ScriptedOrigin(*script) for script in origins]
        proxy = ServedProxy(*self.origins)
        self.addCleanup(proxy.stop)
        state = proxy.node_state
        named = {f"h{number}": shield.address for number, shield in enumerate(self.shields)}
        state.tables = Tables(
            slot=5,
            epoch=1,
            ownerships=state.tables.ownerships,
            daemons={name: proxy_entry(name, "shield", "a") for name in named},
        )
        state.snapshot = _with_shields(state.snapshot, named)
        return proxy

    def request_count(self, origins):
        return sum(len(origin.requests) for origin in origins)

    def test_a_refusal_by_the_shields_own_table_is_not_passed_on(self):
        for status in ("404 Not Found", "405 No", "400 Bad"):
            proxy = self.served(
                (answer(b"", status, wp_reject="not-run"),), origins=((answer(b"own"),),)
            )
            self.assertEqual((200, b"own"), proxy.ask("GET", "/x")[:2])

    def test_an_edge_names_the_service_that_it_chose(self):
        proxy = self.served((answer(b"a", wp_slot="5"),))
        self.assertEqual(200, proxy.ask("GET", "/x", wp_service="another")[0])
        (head,) = self.shields[0].requests
        self.assertEqual(1, head.lower().count(b"wp-service"))
        self.assertIn(b"wp-service: g\r\n", head.lower())

    def test_an_origins_404_through_a_shield_is_the_answer(self):
        proxy = self.served((answer(b"none", "404 Not Found", wp_slot="5"),))
        self.assertEqual(404, proxy.ask("GET", "/x")[0])
        self.assertEqual(0, self.request_count(self.origins))

    def test_a_copy_that_a_purge_known_here_has_ended_is_not_served(self):
        proxy = self.served((answer(b"old", wp_slot="3"),), origins=((answer(b"new"),),))
        proxy.cache.purges = (Purge(slot=4, host="h.example", kind="item", path="/x"),)
        self.assertEqual((200, b"new"), proxy.ask("GET", "/x")[:2])

    def test_dead_shields_use_up_none_of_the_tries(self):
        proxy = self.served((answer(b"a"),), (answer(b"a"),), (answer(b"a"),), origins=())
        for shield in self.shields[:2]:
            shield.server.stop()
        for number in range(12):
            self.shields[2].answers.append(answer(b"a"))
            self.assertEqual(200, proxy.ask("GET", f"/{number}")[0])
        self.assertEqual(12, self.request_count(self.shields))

    def test_the_shield_gives_up_when_the_edge_does(self):
        proxy = self.served((answer(b"a", wp_request="n"),))
        proxy.ask("GET", "/x", wp_left="2000", wp_request="n")
        head = self.shields[0].requests[0].decode().lower()
        left = int(head.split("wp-left: ")[1].split("\r\n")[0])
        self.assertLessEqual(left, 1200)

    def test_an_age_between_the_tiers_is_exact(self):
        """Age in whole seconds would let a copy live up to a second longer at each tier."""
        proxy = self.served((answer(b"a", wp_slot="5", wp_age="1900", age="1"),))
        self.assertEqual(200, proxy.ask("GET", "/x")[0])
        entry = proxy.cache.find(CacheKey("h.example", "/x", "g"), {})
        self.assertGreaterEqual(entry.age(proxy.clock.now()), 1_900_000)

    def test_a_copy_older_than_the_edges_route_allows_is_not_passed_on(self):
        proxy = self.served(
            (answer(b"old", wp_slot="5", wp_age="70000"),), origins=((answer(b"new"),),)
        )
        self.assertEqual((200, b"new"), proxy.ask("GET", "/x")[:2])

    def test_a_response_that_was_just_fetched_is_passed_on_however_slow_its_origin(self):
        """Soak seed 2: misses of slow origins counted as copies that were too old."""
        slow = answer(b"slow", wp_slot="5", wp_age="70000", wp_attempts_made="1")
        proxy = self.served((slow,), origins=((answer(b"own"),),))
        self.assertEqual((200, b"slow"), proxy.ask("GET", "/x")[:2])

    def test_the_edge_says_how_old_a_response_may_be(self):
        proxy = self.served((answer(b"a", wp_slot="5"),))
        proxy.ask("GET", "/x")
        self.assertIn(b"wp-max-age: 60000\r\n", self.shields[0].requests[0].lower())


class Versions(unittest.TestCase):
    """Edges and shields that know different configurations.

    By its own tables a shield would have an edge's requests run by a newer configuration than the
    edge has, and the next ones, through another shield or by the edge itself, by the older one.
    """

    def planned(self, service, path="/view/1", fresh=True):
        """The plan of a shield whose route /view/ leads to `pages`, for an edge's request."""
        state = ProxyState(DaemonDescriptor("h0", "proxy", "shield", "h0", "a", "x", "x", 1))
        state.tables = tables()
        SnapshotUpdater(state, CacheStore(), REGIONS).step(None, 0)
        state.confirm_fresh(0)
        clock = SimpleNamespace(now=lambda: 0 if fresh else 1_400_000)
        request = Request("GET", "h.example", path, {}, is_from_edge=True, service=service)
        return RequestPlanner(state, CacheStore(), clock, REGIONS).plan(request)

    def test_a_shield_fetches_from_the_service_that_the_edge_chose(self):
        """Guards against CONFIG: within one edge, the old service after the new one."""
        self.assertEqual("orders", self.planned("orders").service)
        self.assertEqual("pages", self.planned("pages").service)

    def test_without_a_choice_it_picks_by_its_own_tables(self):
        self.assertEqual("pages", self.planned(None).service)

    def test_a_shield_that_knows_less_tells_the_edge_at_once(self):
        for fresh in (True, False):
            for service, path in (("later", "/view/1"), ("pages", "/later/1")):
                with self.subTest(fresh=fresh, service=service, path=path):
                    plan = self.planned(service, path, fresh)
                    self.assertEqual((RejectPlan, 404), (type(plan), plan.status))

    def test_the_service_goes_along_whatever_its_name(self):
        for service in ("pages", "żurawie-é"):
            headers = dict(ShieldHop("e0", 7, service).headers())
            self.assertTrue(headers["wp-service"].isascii())
            self.assertEqual(service, service_of(headers))

    def test_only_an_edges_word_counts(self):
        for role, hop, chosen in (
            ("shield", {"wp-hop": "e0"}, "orders"),
            ("shield", {}, None),
            ("edge", {"wp-hop": "e0"}, None),
        ):
            state = ProxyState(DaemonDescriptor("p", "proxy", role, "p", "a", "x", "x", 1))
            headers = {"host": "h.example", "wp-service": "orders", **hop}
            head = SimpleNamespace(method="GET", target="/view/1", headers=headers)
            request = RequestParser(state, DEFAULT_HEADER_NAMES).parse(head, 0, UNWATCHED_LIFETIME)
            self.assertEqual(chosen, request.service)


def _with_shields(snapshot, named):
    return replace(
        snapshot,
        shields=MappingProxyType(named),
        shield_zones=MappingProxyType(dict.fromkeys(named, "a")),
    )


if __name__ == "__main__":
    unittest.main()
