"""Layouts: inheritance, ways, every finding at once, and the plan that shows a change before it is sent."""
import json
import random
import unittest
from importlib.resources import files

from willowpost.layout.checker import LayoutChecker
from willowpost.layout.ways import WayTable, ways_of
from willowpost.state.tables import Tables
from willowpost.toolbox.planner import LayoutPlanner, ZonePlanner

TREE = {"groups": {"g": {"rate": 10}, "h": {"rate": 5}}, "props": {"group": "g", "keepSeconds": 9},
        "branches": {"top": {"host": "x.example", "path": "/a", "props": {"tries": 2},
                             "branches": {"in": {"path": "/a/b", "props": {"group": "h"}}}}}}


def checked(value):
    return LayoutChecker().check(value if isinstance(value, bytes) else json.dumps(value).encode())


CHECKED = checked(TREE).unwrap()


class Layouts(unittest.TestCase):
    def test_props_are_inherited_unless_a_branch_overrides(self):
        ways = {way.path: way for way in ways_of(CHECKED)}
        self.assertEqual(("g", 9, 2), (ways["/a"].group, ways["/a"].keepSeconds, ways["/a"].tries))
        self.assertEqual(("h", 9, 2), (ways["/a/b"].group, ways["/a/b"].keepSeconds, ways["/a/b"].tries))

    def test_the_longest_whole_segment_way_is_found(self):
        table = WayTable(ways_of(CHECKED))
        found = {path: (way := table.find("x.example", path)) and way.path for path in ("/a", "/a/", "/a/bc", "/a/b/c", "/", "/ab")}
        self.assertEqual({"/a": "/a", "/a/": "/a", "/a/bc": "/a", "/a/b/c": "/a/b", "/": None, "/ab": None}, found)
        self.assertIsNone(table.find("y.example", "/a"))

    def test_all_findings_come_with_their_place(self):
        findings = checked({"groups": {"g": {"rate": -1}}, "branches": {"b": {"path": "x", "props": {"tries": 9, "nonsense": 1}}}}).unwrap_err()
        self.assertEqual({"groups/g/rate", "branches/b/path", "branches/b/props/tries", "branches/b/props/nonsense"},
                         {finding["place"] for finding in findings})
        self.assertEqual("branches/b/props/group", checked({"groups": {}, "branches": {"b": {"path": "/", "props": {"group": "z"}}}}).unwrap_err()[0]["place"])

    def test_every_truncation_and_twisted_value_is_refused_and_none_breaks_the_checker(self):
        whole = json.dumps(TREE).encode()
        self.assertTrue(checked(whole).is_ok())
        for cut in range(len(whole)):
            self.assertTrue(checked(whole[:cut]).is_err(), cut)
        for wrong in (b"[]", b"null", b"\xff", b'{"groups": {}, "groups": {}}', whole.replace(b"10", b"NaN"), whole.replace(b"10", b'"10"'),
                      b'{"groups": ' + b'{"a":' * 5000, b"[" * 100000):
            self.assertTrue(checked(wrong).is_err(), wrong[:30])
        chance = random.Random(4)
        for _ in range(300):
            broken = bytearray(whole)
            broken[chance.randrange(len(broken))] = chance.randrange(256)
            checked(bytes(broken))

    def test_the_shipped_deployments_are_sound(self):
        for name in ("invitations", "screening"):
            held = json.loads((files("willowpost.deployments") / f"{name}.json").read_text())
            self.assertTrue(checked(held["layout"]).is_ok())
            core = [machine for machine in held["machines"] if machine["kind"] != "edge"]
            self.assertEqual(5, len(core))
            self.assertLessEqual(max(sum(machine["zone"] == zone for machine in core) for zone in held["regions"]), 2)

    def test_plans_tell_what_would_change_and_warn(self):
        origin = {"group": "g", "address": "1", "zone": "a", "rate": 10, "coldRate": 1, "slot": 1, "state": "warm"}
        tables = Tables(layout={"generation": 2, "tree": CHECKED}, origins={"o": origin})
        other = json.loads(json.dumps(CHECKED))
        other["branches"]["top"]["props"]["tries"] = 4
        del other["branches"]["top"]["branches"]
        plan = LayoutPlanner().plan(tables, other)
        self.assertEqual((["top/in"], {"tries": [2, 4]}), (plan["ways"]["removed"], plan["ways"]["changed"]["top"]))
        self.assertEqual(["group h has no origin in force"], LayoutPlanner().plan(tables, TREE)["warnings"])
        self.assertIn("group g would have no origin in force", ZonePlanner().plan(tables, "a")["warnings"])


if __name__ == "__main__":
    unittest.main()
