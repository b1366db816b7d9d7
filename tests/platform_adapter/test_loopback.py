"""The whole path on loopback, as the platform speaks it: real processes by the deploy file.

Stand-in origins, operator and clients.
"""

import json
import tempfile
import time
import tomllib
import unittest

from tests.support.stand_ins_platform import (
    ROOT,
    Client,
    Ledger,
    Operator,
    Origin,
    Processes,
    ask,
    until,
)

ZONES = ("north", "south", "west")
# only that it comes about, also on a busy machine: the bounds themselves are judged on virtual time
APPLY = 10.0
SERVICES = [
    {
        "name": name,
        "health_path": "/health",
        "connection_limit": 120,
        "protocol": "h1",
        "tls": False,
        "cold_start": "1s",
        "cold_per_s": 50.0,
        **({"rate_per_s": 400.0} if name == "art" else {}),
    }
    for name in ("art", "app", "app-next")
]
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 1 << 26,
    "header_timeout": "3000ms",
    "idle_timeout": "15000ms",
}


def route(name, path, kind, service, **more):
    return {
        "name": name,
        "host": "a.example",
        "path_prefix": path,
        "route_kind": kind,
        "timeout": "2500ms",
        "target_latency": "150ms",
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **({"cache_ttl": "60s"} if kind == "cacheable" else {}),
        "home_regions": [],
        **more,
    }


ROUTES = [
    route("art", "/art/", "cacheable", "art"),
    route("buy", "/buy/", "non_idempotent", "app"),
    route("look", "/look/", "idempotent", "app"),
]


def configuration(version, *routes, **more):
    return {
        "version": version,
        "routes": list(routes or ROUTES),
        "services": SERVICES,
        "limits": LIMITS,
        **more,
    }


class WholePath(unittest.TestCase):
    """One fleet for all; each part goes on from where the one before it ended."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.processes = Processes(folder.name, 83, ZONES, ("north", "south"))
        self.addCleanup(self.processes.stop_all)
        self.operator, self.client, self.ledger = (
            Operator(self.processes.controls),
            Client("c"),
            Ledger(),
        )
        places = [
            ("art", "north"),
            ("art", "south"),
            ("app", "north"),
            ("app", "south"),
            ("app", "west"),
            ("app-next", "north"),
        ]
        self.origins = [
            Origin(
                self.ledger,
                f"127.83.{100 + ZONES.index(zone)}.{number + 1}:{self.processes.port + 30}",
                service,
                zone,
                self.processes.controls[number % 3 :] + self.processes.controls[: number % 3],
            )
            for number, (service, zone) in enumerate(places)
        ]
        self.addCleanup(
            lambda: [
                origin.crash() for origin in self.origins if origin.server and origin.server.started
            ]
        )
        self.fronts = [self.processes.front(machine) for machine in self.processes.edges]

    def ready(self, machine):
        held = ask(self.processes.readiness(machine), "GET", "/v1/readiness", seconds=1.0)
        return held is not None and held[0] == 200

    def served(self, front, method, path, body=None, **more):
        """An answer with its stamp and its very own body, or None."""
        attempt, held = self.client.ask(front, method, path, body, **more)
        if held is None or held[0] != 200:
            return None
        said = json.loads(held[2])
        self.assertTrue(held[1].get("x-origin-seal"), held)
        self.assertEqual((path, (body or b"").decode()), (said["path"], said["body"]))
        return attempt, said, held[1]

    def everywhere(self, check, seconds, what):
        for front in self.fronts:
            until(lambda: check(front), seconds, what)

    def test_the_whole_path(self):
        for part in (
            self.bootstrap,
            self.beats,
            self.numbered,
            self.reads_and_writes,
            self.copies_and_purges,
            self.a_configuration_more,
            self.invalid_ones,
            self.leaving,
            self.evacuation,
            self.settings,
            self.restart,
        ):
            try:
                part()
            except BaseException as problem:
                for process in self.processes.running:
                    problem.add_note(f"{process}: {self.processes.said(*process)[-800:]}")
                raise

    def bootstrap(self):
        self.processes.start_all()
        until(lambda: all(self.ready(machine) for machine in self.processes.edges), 30, "readiness")

    def beats(self):
        for origin in self.origins:
            origin.start()
        until(
            lambda: all(origin.acknowledged["ready"] >= 2 for origin in self.origins), 15, "beats"
        )

    def numbered(self):
        self.assertEqual(503, self.client.ask(self.fronts[0], "GET", "/art/1")[1][0])
        self.assertEqual(
            200, self.operator.call("configuration.replace", value=configuration(5))[0]
        )
        self.everywhere(lambda front: self.served(front, "GET", "/look/0"), 10, "the first answer")
        self.assertEqual(
            200,
            self.operator.call(
                "configuration.replace",
                value=configuration(3, route("old", "/old/", "idempotent", "app")),
                first=1,
            )[0],
        )
        self.assertEqual(
            configuration(5), json.loads(self.operator.call("configuration.read", first=2)[2])
        )
        self.assertEqual(
            200, self.operator.call("configuration.replace", value=configuration(5), first=2)[0]
        )

    def reads_and_writes(self):
        attempts = set()
        for number in range(40):
            front = self.fronts[number % 2]
            attempts.add(
                until(
                    lambda: self.served(front, "POST", f"/buy/{number}", b"seat 7"), 10, "a write"
                )[0]
            )
            until(lambda: self.served(front, "GET", f"/look/{number}"), 10, "a read")
        self.assertEqual({1}, set(self.ledger.runs.values()))
        self.assertLessEqual(attempts, set(self.ledger.runs))
        self.assertEqual(
            {"look", "buy", "art"} - {"art"},
            {path.split("/")[1] for *_, path, _ in self.ledger.seen},
        )
        self.assertEqual(
            [404, 404], [self.client.ask(front, "GET", "/nowhere/1")[1][0] for front in self.fronts]
        )

    def version(self, front, path):
        held = until(lambda: self.served(front, "GET", path), 10, path)
        return held[1]["version"]

    def copies_and_purges(self):
        self.everywhere(
            lambda front: self.version(front, "/art/1") == self.version(front, "/art/2") == 1,
            10,
            "copies",
        )
        self.ledger.version = 2
        self.assertEqual([1, 1], [self.version(front, "/art/1") for front in self.fronts])
        self.assertEqual(200, self.operator.purge({"host": "a.example", "path": "/art/1"})[0])
        self.everywhere(lambda front: self.version(front, "/art/1") == 2, APPLY, "a purge by path")
        self.assertEqual([1, 1], [self.version(front, "/art/2") for front in self.fronts])
        self.assertEqual(200, self.operator.purge({"tag": "t-2"})[0])
        self.everywhere(lambda front: self.version(front, "/art/2") == 2, APPLY, "a purge by tag")
        self.ledger.version = 3
        self.assertEqual([2, 2], [self.version(front, "/art/1") for front in self.fronts])

    def a_configuration_more(self):
        routes = [
            ROUTES[0],
            {**ROUTES[1], "service": "app-next"},
            route("new", "/new/", "idempotent", "app"),
        ]
        self.assertEqual(
            200,
            self.operator.call("configuration.replace", value=configuration(9, *routes), first=1)[
                0
            ],
        )
        self.everywhere(lambda front: self.served(front, "GET", "/new/1"), APPLY, "a new route")
        self.everywhere(
            lambda front: self.client.ask(front, "GET", "/look/1")[1][0] == 404,
            APPLY,
            "a dropped route",
        )
        for number in range(6):
            self.assertEqual(
                "app-next",
                until(
                    lambda: self.served(self.fronts[number % 2], "POST", f"/buy/n{number}", b"x"),
                    5,
                    "a write",
                )[1]["service"],
            )

    def invalid_ones(self):
        for wrong in (
            configuration(20, {**ROUTES[0], "service": "nobody"}),
            configuration(21, {**ROUTES[0], "timeout": "0ms"}),
            configuration(22, {**ROUTES[0], "path_prefix": "art/"}),
            configuration(23, {**ROUTES[0], "route_kind": "fast"}),
            json.dumps(configuration(24)).encode()[:-20],
        ):
            self.assertEqual(400, self.operator.call("configuration.replace", value=wrong)[0])
        self.assertEqual(9, json.loads(self.operator.call("configuration.read")[2])["version"])
        self.assertEqual(404, self.operator.call("configuration.forget")[0])
        self.assertEqual(
            200, self.operator.call("configuration.replace", value=configuration(25, *ROUTES))[0]
        )
        self.everywhere(lambda front: self.served(front, "GET", "/look/1"), APPLY, "the newest")

    def sees(self, origin, seconds=0.5):
        """Whether anything reaches that origin while all clients ask for it."""
        begun = time.monotonic()
        while time.monotonic() < begun + seconds:
            for front in self.fronts:
                self.served(front, "GET", "/look/s")
        return any(
            moment > begun and instance == origin.instance
            for moment, instance, *_ in self.ledger.seen
        )

    def leaving(self):
        origin = self.origins[2]
        until(lambda: self.sees(origin), 10, "use of it")
        origin.drain()
        until(lambda: origin.acknowledged["draining"], 5, "acknowledging that it leaves")
        until(lambda: not self.sees(origin), APPLY, "that it is left alone")
        self.assertTrue(origin.leave())
        origin.crash()
        late = {
            "service": origin.service,
            "address": origin.address,
            "zone": origin.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining": "0ms",
            "call_sequence": 1,
        }
        # a late one brings nothing back
        self.operator.call("instances.heartbeat", origin.instance, late)
        self.assertFalse(self.sees(origin))
        origin.start()
        until(lambda: self.sees(origin), 15, "use of its next life")

    def evacuation(self):
        origin = self.origins[3]
        until(lambda: self.sees(origin), 10, "use of the zone")
        self.assertEqual(200, self.operator.call("evacuation.begin", "south")[0])
        until(lambda: not self.sees(origin), APPLY, "that the zone is left alone")
        self.assertTrue(self.ready("edge-south"))
        self.assertTrue(
            until(lambda: self.served(self.fronts[1], "GET", "/look/z"), 5, "an answer there")
        )
        self.assertEqual(200, self.operator.call("evacuation.finish", "south")[0])
        until(lambda: self.sees(origin), 15, "use of the zone again")

    def settings(self):
        """With a signal and without one; wrong ones change nothing."""
        self.processes.seeds = self.processes.seeds[1:]
        for tell in (True, False):
            machine = "edge-north" if tell else "edge-south"
            self.processes.reload(machine, "proxy", tell)
            until(
                lambda: '"settings: read again"' in self.processes.said(machine, "proxy"),
                8,
                "new settings",
            )
        self.assertTrue(self.served(self.fronts[0], "GET", "/look/r"))

    def restart(self):
        """A planned end within the grace, with its answer to the platform first; then all at once.

        And what was acknowledged is there.
        """
        self.assertEqual(0, self.processes.stop("edge-north", "proxy", 6))
        self.processes.stop_all()
        self.processes.first_start = False
        self.processes.start_all()
        until(
            lambda: all(self.ready(machine) for machine in self.processes.edges),
            30,
            "readiness again",
        )
        self.assertEqual(25, json.loads(self.operator.call("configuration.read")[2])["version"])
        self.everywhere(
            lambda front: self.served(front, "GET", "/look/again"), 15, "an answer again"
        )


class DeployFile(unittest.TestCase):
    def test_it_names_the_programs_that_are_there(self):
        held = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.assertEqual(
            {"proxy": ["edge"], "registry": ["control"], "shield": [], "store": []},
            {name: role["serves"] for name, role in held["roles"].items()},
        )
        for name, role in held["roles"].items():
            self.assertEqual(["python3", f"platform/{name}.py"], role["run"].split())
            self.assertTrue((ROOT / role["run"].split()[1]).is_file())
        self.assertIn("requirements.txt", held["build"])


if __name__ == "__main__":
    unittest.main()
