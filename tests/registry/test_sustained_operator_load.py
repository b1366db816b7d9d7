"""Long days of operators and origins: many orders in flight, each repeated, heartbeats in time."""

import copy
import json
import unittest

from tests.support.registry_world import World
from willowpost.sim.world import seconds
from willowpost.state.configuration_changes import ConfigurationProposal

IN_FLIGHT = 8
CHANGES = 304
ACKNOWLEDGED_SECONDS = 4.0
HEARTBEAT_SECONDS = 1.0
HEARTBEAT_BYTES = 4096
ZONES = ("a", "b")


class Orders(World):
    def order(self, number):
        """Of every kind of order in turn: the call and its body."""
        match number % 4:
            case 0 | 1:
                return "/v1/configurations", {
                    "version": number + 1,
                    "configuration": self.configuration(number),
                }
            case 2:
                action = "empty" if number % 8 == 2 else "restore"
                return f"/v1/zones/{ZONES[number // 8 % 2]}/{action}", {"what": "origins"}
            case _:
                return "/v1/purges", {"items": [{"kind": "item", "path": f"/cards/{number}"}]}

    def configuration(self, number):
        tree = copy.deepcopy(self.world.configuration)
        tree["settings"] = {**tree.get("settings", {}), "deadline_ms": 1000 + number}
        return tree

    def tables(self, registry):
        return self.world.seats[f"r{registry}"].node.registry.tables

    def test_eight_at_a_time_hundreds_of_changes_are_acknowledged_and_in_force_everywhere(self):
        # the registries' own calls wait one by one, so the operations go to the log directly here
        for start in range(0, CHANGES, IN_FLIGHT):
            started_at = self.world.time
            tokens = [
                self.world.ask(
                    f"r{number % 2}",
                    ConfigurationProposal(version=number + 1, tree=self.configuration(number)),
                )
                for number in range(start, start + IN_FLIGHT)
            ]
            self.assertTrue(
                self.world.until(
                    lambda tokens=tokens: all(token in self.world.replies for token in tokens),
                    seconds(ACKNOWLEDGED_SECONDS),
                ),
                f"changes from {start} on",
            )
            results = [self.world.replies[token].results[0] for token in tokens]
            self.assertTrue(all(result.is_accepted for result in results), results)
            self.assertLess(self.world.time - started_at, seconds(1))
        self.world.run(seconds(1))
        for registry in range(2):
            active = self.tables(registry).configuration
            self.assertEqual(CHANGES, active.version)
            self.assertEqual(999 + CHANGES, active.tree["settings"]["deadline_ms"])

    def test_each_kind_of_order_is_acknowledged_again_through_any_registry(self):
        for number in range(16):
            path, body = self.order(number)
            for registry in (0, 0, 1):
                answer = self.call("POST", path, body, first=registry)
                self.assertEqual(200, answer.code, (path, answer.value))
        self.world.run(seconds(1))
        for registry in range(2):
            self.assertEqual(14, self.tables(registry).configuration.version)

    def test_an_order_repeated_after_all_stores_restarted_is_acknowledged(self):
        orders = [self.order(number) for number in range(4)]
        for path, body in orders:
            self.assertEqual(200, self.call("POST", path, body).code)
        for name in self.world.names:
            self.world.crash(name)
            self.world.start(name)
        self.world.run(seconds(3))
        for path, body in orders:
            self.assertEqual(200, self.call("POST", path, body, first=1).code, path)


class Heartbeats(World):
    def setUp(self):
        super().setUp()
        self.call("PUT", "/v1/configuration", self.world.configuration)

    def send_heartbeat(self, number, token, **more):
        """The answer's code; it comes within the origin's time-out and fits what it reads."""
        value = {
            "service": "art",
            "address": "127.0.0.1:99",
            "zone": "x",
            "token": token,
            "number": number,
            "slots": 4,
            "cold_ms": 0,
            **more,
        }
        return self.call_in_time("/v1/origins/beat", value)

    def leave(self, token):
        return self.call_in_time("/v1/origins/leave", {"token": token})

    def call_in_time(self, path, value):
        started_at = self.world.time
        answer = self.call("POST", path, value)
        self.assertLess(self.world.time - started_at, seconds(HEARTBEAT_SECONDS))
        self.assertLessEqual(len(json.dumps(answer.value)), HEARTBEAT_BYTES)
        return answer.code

    def test_each_is_answered_within_a_second_whatever_became_of_the_core(self):
        longest = "t" * 256
        self.assertEqual([200, 200], [self.send_heartbeat(number, longest) for number in (1, 2)])
        self.world.run(seconds(0.5))  # until this registry has followed the log that far
        for name in self.world.names[:3]:
            self.world.crash(name)
        self.assertEqual(200, self.send_heartbeat(3, longest))
        self.assertEqual(504, self.send_heartbeat(4, longest, state="draining"))
        self.assertEqual(504, self.send_heartbeat(1, "another", address="127.0.0.1:98"))
        self.assertIn(self.leave(longest), (503, 504))
        self.assertEqual(422, self.send_heartbeat(1, "t" * 257))

    def test_an_origin_that_serves_on_for_long_after_its_drain_stays_draining(self):
        self.assertEqual(200, self.send_heartbeat(1, "one"))
        self.assertEqual(200, self.send_heartbeat(2, "one", state="draining"))
        for number in range(3, 33):
            self.world.run(seconds(1))
            state = "draining" if number % 2 else "ready"
            self.assertEqual(200, self.send_heartbeat(number, "one", state=state))
        origins = self.world.seats["r1"].node.registry.tables.origins.values()
        self.assertEqual(
            ["draining"], [origin.state for origin in origins if origin.token == "one"]
        )


if __name__ == "__main__":
    unittest.main()
