"""Every outside call against a simulated fleet, through the registry's own routes."""

import json
import unittest

from tests.support.registry_world import World
from willowpost.sim.world import seconds


class RegistryCalls(World):
    def test_configurations_are_checked_matched_raced_and_read_back_elsewhere(self):
        tree = self.world.configuration
        self.assertEqual(
            (200, 1),
            (answer := self.call("PUT", "/v1/configuration", tree)).code
            and (answer.code, answer.value["version"]),
        )
        self.assertEqual(1, self.call("GET", "/v1/configuration", first=1).value["version"])
        self.assertEqual(422, self.call("PUT", "/v1/configuration", {**tree, "x": 1}).code)
        self.assertEqual(
            422, self.call("PUT", "/v1/configuration", json.dumps(tree).encode()[:-1]).code
        )
        self.assertEqual(412, self.call("PUT", "/v1/configuration", tree, If_Match='"7"').code)
        self.assertEqual(400, self.call("PUT", "/v1/configuration", tree, If_Match="seven").code)
        other = {**tree, "settings": {**tree["settings"], "tries": 2}}
        codes = [
            self.call("PUT", "/v1/configuration", wanted, first=number, If_Match='"1"').code
            for number, wanted in enumerate((tree, other))
        ]
        self.assertEqual([200, 412], codes)
        self.assertEqual(2, self.call("GET", "/v1/configuration", first=1).value["version"])

    def test_a_patch_is_previewed_and_proposed_against_its_version(self):
        self.assertEqual(409, self.call("PATCH", "/v1/configuration", []).code)
        self.call("PUT", "/v1/configuration", self.world.configuration)
        change = [{"op": "replace", "path": "/settings/tries", "value": 2}]
        plan = self.call("POST", "/v1/configuration/patch/plan", change).value["plan"]
        self.assertEqual([3, 2], plan["routes"]["changed"]["art"]["tries"])
        self.assertEqual(1, self.call("GET", "/v1/configuration").value["version"])
        self.assertEqual(
            (200, 2),
            (
                (answer := self.call("PATCH", "/v1/configuration", change, If_Match='"1"')).code,
                answer.value["version"],
            ),
        )
        other = [{"op": "replace", "path": "/settings/tries", "value": 1}]
        self.assertEqual(412, self.call("PATCH", "/v1/configuration", other, If_Match='"1"').code)
        for wrong in (
            [{"op": "replace", "path": "/nowhere/x", "value": 1}],
            [{"op": "add", "path": "/x", "value": 1}],
            {"a": 1},
            [1],
            b"{",
        ):
            self.assertEqual(422, self.call("PATCH", "/v1/configuration", wrong).code, wrong)

    def test_origins_register_send_heartbeats_drain_and_leave(self):
        origin = {"service": "art", "address": "127.0.0.1:99", "zone": "a", "rate": 9}

        def code(path, value):
            return self.call("POST", f"/v1/origins{path}", value).code

        self.assertEqual(
            [201, 200, 200, 200, 404],
            [
                code("", origin),
                code("/beat", origin),
                code("/drain", {"address": "127.0.0.1:99"}),
                code("/leave", {"address": "127.0.0.1:99"}),
                code("/drain", {"address": "127.0.0.1:99"}),
            ],
        )
        self.assertEqual(
            "waiting",
            self.call("POST", "/v1/origins/beat", {**origin, "service": "apps"}).value["state"],
        )
        self.assertEqual(422, code("", {**origin, "rate": "much", "address": "nowhere"}))

    def test_zones_and_purges(self):
        self.call("PUT", "/v1/configuration", self.world.configuration)
        self.world.run(seconds(2))
        self.assertEqual(
            [1, 0],
            [
                self.call("GET", "/v1/zones/b/plan").value["plan"]["services"]["art"]["origins"][0]
                // 4,
                len(self.call("GET", "/v1/zones/b/plan").value["plan"]["warnings"]) // 9,
            ],
        )
        self.assertEqual(200, self.call("POST", "/v1/zones/b/empty").code)
        items = [{"kind": "item", "path": f"/art/{number}"} for number in range(700)]
        self.assertEqual(
            (200, 700),
            (
                (answer := self.call("POST", "/v1/purges", {"items": items})).code,
                answer.value["purged"],
            ),
        )
        self.assertEqual(
            422,
            self.call(
                "POST", "/v1/purges", {"items": [{"kind": "item"}, {"kind": "all", "path": "/"}]}
            ).code,
        )

    def test_purges_by_tag(self):
        self.assertEqual(
            200,
            self.call(
                "POST",
                "/v1/purges",
                {"items": [{"kind": "tag", "tag": "t03a9f1"}, {"kind": "tag", "tag": "x" * 256}]},
            ).code,
        )
        self.world.run(seconds(1))
        purges = self.world.seats["r1"].node.registry.tables.purges
        self.assertEqual(
            [("tag", "t03a9f1"), ("tag", "x" * 256)],
            [(purge.kind, purge.path) for purge in purges],
        )
        for wrong in (
            {"kind": "tag"},
            {"kind": "tag", "tag": ""},
            {"kind": "tag", "tag": "x" * 257},
            {"kind": "tag", "tag": "a b"},
            {"kind": "tag", "tag": "t", "path": "/"},
            {"kind": "item", "path": "/", "tag": "t"},
        ):
            self.assertEqual(422, self.call("POST", "/v1/purges", {"items": [wrong]}).code, wrong)

    def test_a_zone_is_evacuated_of_its_origins_alone_or_entirely(self):
        def evacuation():
            return self.world.seats["r0"].node.registry.tables.zone_evacuations["b"]

        for body, what in ((b"", "all"), ({"what": "origins"}, "origins"), ({}, "all")):
            self.assertEqual(
                (200, what),
                (
                    (answer := self.call("POST", "/v1/zones/b/empty", body)).code,
                    answer.value["what"],
                ),
            )
            self.assertEqual((True, what), (evacuation().is_evacuated, evacuation().scope))
        self.assertEqual(422, self.call("POST", "/v1/zones/b/empty", {"what": "nothing"}).code)
        self.assertEqual(200, self.call("POST", "/v1/zones/b/restore").code)
        self.assertFalse(evacuation().is_evacuated)

    def test_without_a_quorum_the_outcome_is_called_unknown_and_nothing_is_read(self):
        self.call("PUT", "/v1/configuration", self.world.configuration)
        for name in ("s0", "s1", "s2"):
            self.world.crash(name)
        answer = self.call("PUT", "/v1/configuration", self.world.configuration)
        self.assertEqual((504, "unknown"), (answer.code, answer.value["outcome"]))
        self.assertEqual(503, self.call("GET", "/v1/configuration").code)
        self.world.run(seconds(1))  # the calls are answered sooner now than the lease ends
        self.assertEqual(503, self.call("GET", "/v1/health").code)

    def test_a_loss_is_named_and_stays_named_after_its_repair(self):
        def status():
            return self.call("GET", "/v1/status").value

        def safe_to_remove():
            return status()["safe_to_remove"]["safe"]

        self.assertTrue(self.world.until(safe_to_remove, seconds(2)))
        self.world.crash("s4", lose_disk=True)
        self.assertTrue(self.world.until(lambda: status()["open"], seconds(6)))
        self.assertEqual(("voter s4 is lost",), status()["safe_to_remove"]["reasons"])
        self.world.start("s4")
        self.assertTrue(
            self.world.until(lambda: status()["epoch"] == 2 and not status()["open"], seconds(15))
        )
        self.assertTrue(self.world.until(safe_to_remove, seconds(2)))
        self.assertEqual(
            ["s4"],
            [loss["name"] for loss in status()["failure_verdicts"] if loss["kind"] == "store"],
        )

    def test_the_status_page_counts_kinds_and_splits(self):
        tree = json.loads(json.dumps(self.world.configuration))
        first, second = list(tree["branches"].values())[:2]
        first["settings"] = {
            "kind": "kept",
            "split": [{"service": name, "weight": 1} for name in list(tree["services"])[:2]],
        }
        second.setdefault("settings", {})["kind"] = "once"
        self.call("PUT", "/v1/configuration", tree)
        counts = self.call("GET", "/v1/status").value["configuration"]
        self.assertEqual(
            (1, len(tree["branches"]), 1, 1, 1),
            (
                counts["version"],
                counts["routes"],
                counts["kinds"]["kept"],
                counts["kinds"]["once"],
                counts["splits"],
            ),
        )


if __name__ == "__main__":
    unittest.main()
