"""Configurations: inheritance, routes, every finding at once.

And the plan that shows a change before it is sent.
"""

import json
import random
import time
import unittest
from importlib.resources import files

from tests.support.entries import origin_entry
from willowpost.configuration.checker import ConfigurationChecker
from willowpost.configuration.routes import RouteTable, routes_of
from willowpost.state.entries import ActiveConfiguration
from willowpost.state.tables import Tables
from willowpost.toolbox.planner import ConfigurationPlanner, ZonePlanner

TREE = {
    "services": {"g": {"rate": 10}, "h": {"rate": 5}},
    "settings": {"service": "g", "keep_seconds": 9},
    "branches": {
        "top": {
            "host": "x.example",
            "path": "/a",
            "settings": {"tries": 2},
            "branches": {"in": {"path": "/a/b", "settings": {"service": "h"}}},
        }
    },
}


def checked(value):
    return ConfigurationChecker().check(
        value if isinstance(value, bytes) else json.dumps(value).encode()
    )


CHECKED = checked(TREE).unwrap()


class Configurations(unittest.TestCase):
    def test_settings_are_inherited_unless_a_branch_overrides(self):
        routes = {route.path: route for route in routes_of(CHECKED)}
        self.assertEqual(
            ("g", 9, 2), (routes["/a"].service, routes["/a"].keep_seconds, routes["/a"].tries)
        )
        self.assertEqual(
            ("h", 9, 2), (routes["/a/b"].service, routes["/a/b"].keep_seconds, routes["/a/b"].tries)
        )

    def test_the_longest_whole_segment_route_is_found(self):
        table = RouteTable(routes_of(CHECKED))
        found = {
            path: (route := table.find("x.example", path)) and route.path
            for path in ("/a", "/a/", "/a/bc", "/a/b/c", "/", "/ab")
        }
        self.assertEqual(
            {"/a": "/a", "/a/": "/a", "/a/bc": "/a", "/a/b/c": "/a/b", "/": None, "/ab": None},
            found,
        )
        self.assertIsNone(table.find("y.example", "/a"))

    def test_a_route_with_a_slash_at_its_end_takes_only_what_begins_with_just_that(self):
        paths = {"root": "/", "a": "/a/", "ab": "/a/b", "deep": "/a/b/c/", "same": "/a"}
        tree = {
            "services": {"g": {}},
            "settings": {"service": "g"},
            "branches": {name: {"host": "x", "path": path} for name, path in paths.items()},
        }
        table = RouteTable(routes_of(checked(tree).unwrap()))
        for path, name in {
            "/": "root",
            "/b": "root",
            "/a": "same",
            "/ab": "root",
            "/a/": "a",
            "/a/x": "a",
            "/a/bc": "a",
            "/a/b": "ab",
            "/a/b/": "ab",
            "/a/b/c": "ab",
            "/a/b/c/": "deep",
            "/a/b/c/d/e": "deep",
            "/a/b/c//": "deep",
            "/a//b": "a",
            "*": "root",
            "": "root",
        }.items():
            self.assertEqual(name, table.find("x", path).name, path)
        del tree["branches"]["same"], tree["branches"]["root"]
        table = RouteTable(routes_of(checked(tree).unwrap()))
        self.assertEqual(
            [None, None, None], [table.find("x", path) for path in ("/a", "/", "/ab" * 50)]
        )
        self.assertEqual("deep", table.find("x", "/a/b/c/" + "z" * 500).name)

    def test_a_split_replaces_a_service_and_vice_versa(self):
        split = [{"service": "h", "weight": 90}, {"service": "g", "weight": 0}]
        tree = {
            "services": {"g": {}, "h": {}},
            "settings": {"service": "g"},
            "branches": {
                "top": {
                    "path": "/a",
                    "settings": {
                        "split": split,
                        "kind": "once",
                        "aim_ms": 150,
                        "priority": 2,
                        "homes": ["r1"],
                    },
                    "branches": {
                        "in": {"path": "/a/b"},
                        "out": {"path": "/a/c", "settings": {"service": "g", "homes": []}},
                    },
                }
            },
        }
        routes = {route.name: route for route in routes_of(checked(tree).unwrap())}

        def summary(route):
            return (
                route.service,
                route.split,
                route.services,
                route.kind,
                route.aim_ms,
                route.priority,
                route.homes,
            )

        complete = ("h", (("h", 90), ("g", 0)), ("h",), "once", 150, 2, ("r1",))
        self.assertEqual(
            [complete, complete, ("g", (), ("g",), "once", 150, 2, ())],
            [summary(routes[name]) for name in ("top", "top/in", "top/out")],
        )
        for settings, place in (
            ({"split": [{"service": "z", "weight": 1}]}, "branches/b/settings/split/0/service"),
            ({"split": []}, "branches/b/settings/split"),
            ({"split": [{"service": "g", "weight": 0}]}, "branches/b/settings"),
            ({"split": [{"service": "g", "weight": -1}]}, "branches/b/settings/split/0/weight"),
            ({"split": split, "service": "g"}, "branches/b/settings"),
            ({"kind": "twice"}, "branches/b/settings/kind"),
            ({"deadline_ms": 0}, "branches/b/settings/deadline_ms"),
            ({"deadline_ms": 3_600_001}, "branches/b/settings/deadline_ms"),
        ):
            findings = checked(
                {
                    "services": {"g": {}, "h": {}},
                    "branches": {
                        "b": {
                            "path": "/",
                            "settings": settings if settings else {"service": "g"},
                        }
                    },
                }
            ).unwrap_err()
            self.assertEqual(place, findings[0]["place"], settings)

    def test_what_is_merely_unusual_is_taken(self):
        name = "Ünusual_Näme:" + "x" * 110
        tree = {
            "services": {
                name: {"cold_rate": 0, "connections": 1, "named": True, "sealed": True},
                "plain": {"rate": None},
            },
            "limits": {"head_bytes": 1, "idle_ms": None},
            "branches": {
                name: {
                    "host": "under_score.example",
                    "path": "/" + "p" * 3000 + "/",
                    "settings": {"service": name, "tries": 100, "deadline_ms": 3_600_000},
                },
                "one": {
                    "path": "/a b?c#d/",
                    "settings": {
                        "split": [{"service": name, "weight": 1e-9}],
                        "deadline_ms": 1,
                        "homes": [],
                    },
                },
            },
        }
        configuration = checked(tree).unwrap()
        self.assertEqual({"head_bytes": 1}, configuration["limits"])
        self.assertEqual(
            [
                {
                    "cold_rate": 0,
                    "connections": 1,
                    "named": True,
                    "sealed": True,
                    "ramp_seconds": 10.0,
                    "silent_seconds": 6.0,
                },
                {"ramp_seconds": 10.0, "silent_seconds": 6.0, "named": False, "sealed": False},
            ],
            [configuration["services"][name], configuration["services"]["plain"]],
        )
        self.assertEqual(configuration, ConfigurationChecker().check_value(configuration).unwrap())
        self.assertTrue(checked({**tree, "limits": {"head_bytes": 0}}).is_err())

    def test_twenty_thousand_routes_are_checked_and_made_within_a_lease(self):
        """In processor time: others on the machine do not count."""
        tree = {
            "services": {f"g{number}": {"rate": 10} for number in range(500)},
            "branches": {
                f"w{number}": {
                    "host": f"h{number % 3000}.example",
                    "path": f"/p{number}/",
                    "settings": {
                        "split": [
                            {"service": f"g{number % 500}", "weight": 9},
                            {"service": "g0", "weight": 1},
                        ],
                        "kind": "kept",
                        "tries": 2,
                        "aim_ms": 250,
                        "homes": ["r1"],
                    },
                }
                for number in range(20_000)
            },
        }
        body = json.dumps(tree).encode()
        started_at = time.process_time()
        configuration = ConfigurationChecker().check(body).unwrap()
        checked_at = time.process_time()
        table = RouteTable(routes_of(configuration))
        routes_made_at = time.process_time()
        print(
            f"{len(body)} bytes checked in {checked_at - started_at:.2f} s, made in {routes_made_at - checked_at:.2f} s"
        )
        self.assertEqual("w19999", table.find("h1999.example", "/p19999/x").name)
        self.assertLess(max(checked_at - started_at, routes_made_at - checked_at), 1.5)
        tree["branches"]["one more"] = {"path": "/more"}
        self.assertTrue(checked(tree).is_err())

    def test_all_issues_come_with_their_path(self):
        findings = checked(
            {
                "services": {"g": {"rate": -1}},
                "branches": {"b": {"path": "x", "settings": {"tries": 101, "nonsense": 1}}},
            }
        ).unwrap_err()
        self.assertEqual(
            {
                "services/g/rate",
                "branches/b/path",
                "branches/b/settings/tries",
                "branches/b/settings/nonsense",
            },
            {finding["place"] for finding in findings},
        )
        self.assertEqual(
            "branches/b/settings/service",
            checked(
                {"services": {}, "branches": {"b": {"path": "/", "settings": {"service": "z"}}}}
            ).unwrap_err()[0]["place"],
        )

    def test_every_truncation_and_wrong_value_is_rejected_and_none_crashes_the_checker(self):
        complete = json.dumps(TREE).encode()
        self.assertTrue(checked(complete).is_ok())
        for cut in range(len(complete)):
            self.assertTrue(checked(complete[:cut]).is_err(), cut)
        for wrong in (
            b"[]",
            b"null",
            b"\xff",
            b'{"services": {}, "services": {}}',
            complete.replace(b"10", b"NaN"),
            complete.replace(b"10", b'"10"'),
            b'{"services": ' + b'{"a":' * 5000,
            b"[" * 100000,
        ):
            self.assertTrue(checked(wrong).is_err(), wrong[:30])
        chance = random.Random(4)
        for _ in range(300):
            broken = bytearray(complete)
            broken[chance.randrange(len(broken))] = chance.randrange(256)
            checked(bytes(broken))

    def test_the_shipped_deployments_are_valid(self):
        for name in ("invitations", "screening"):
            deployment = json.loads((files("willowpost.deployments") / f"{name}.json").read_text())
            self.assertTrue(checked(deployment["configuration"]).is_ok())
            core = [machine for machine in deployment["machines"] if machine["kind"] != "edge"]
            self.assertEqual(5, len(core))
            self.assertLessEqual(
                max(
                    sum(machine["zone"] == zone for machine in core)
                    for zone in deployment["regions"]
                ),
                2,
            )

    def test_plans_list_what_would_change_and_warn(self):
        tables = Tables(
            configuration=ActiveConfiguration(2, CHECKED),
            origins={"o": origin_entry(service="g", rate=10)},
        )
        other = json.loads(json.dumps(CHECKED))
        other["branches"]["top"]["settings"]["tries"] = 4
        del other["branches"]["top"]["branches"]
        plan = ConfigurationPlanner().plan(tables, other)
        self.assertEqual(
            (["top/in"], {"tries": [2, 4]}),
            (plan["routes"]["removed"], plan["routes"]["changed"]["top"]),
        )
        self.assertEqual(
            ["service h has no origin in force"],
            ConfigurationPlanner().plan(tables, TREE)["warnings"],
        )
        self.assertIn(
            "service g would have no origin in force", ZonePlanner().plan(tables, "a")["warnings"]
        )

    def test_plans_follow_every_service_of_a_split_and_one_without_a_rate(self):
        tree = {
            "services": {"g": {}, "h": {"rate": 20}, "idle": {}},
            "branches": {"top": {"path": "/a", "settings": {"service": "g"}}},
        }
        split = json.loads(json.dumps(tree))
        split["branches"]["top"]["settings"] = {
            "split": [
                {"service": "g", "weight": 0},
                {"service": "h", "weight": 2},
                {"service": "idle", "weight": 1},
            ],
            "kind": "once",
        }
        tables = Tables(
            configuration=ActiveConfiguration(2, checked(tree).unwrap()),
            origins={
                name: origin_entry(service=name[0], address=name[0], zone=name[1], rate=10)
                for name in ("ga", "gb", "ha", "hb")
            },
        )
        plan = ConfigurationPlanner().plan(tables, checked(split).unwrap())
        self.assertEqual(
            {"split": [(), (("g", 0), ("h", 2), ("idle", 1))], "kind": [None, "once"]},
            plan["routes"]["changed"]["top"],
        )
        self.assertEqual(
            ["service idle has no origin in force", "origins of service g would have no route"],
            plan["warnings"],
        )
        plan = ZonePlanner().plan(tables, "a")
        self.assertEqual(
            [
                ({"origins": [2, 1], "rate": [20, 10], "allowance": allowance})
                for allowance in (None, 20)
            ],
            [plan["services"][name] for name in "gh"],
        )
        self.assertEqual(
            ["service h: what is left bears 10 of an allowance of 20"], plan["warnings"]
        )
        self.assertEqual(plan, json.loads(json.dumps(plan, allow_nan=False)))


if __name__ == "__main__":
    unittest.main()
