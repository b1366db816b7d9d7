"""Origins: an incarnation registers once and ends once; late messages change nothing.

Which origins are warming up is known by their heartbeats.
"""

import itertools
import json
import unittest
from dataclasses import replace

from tests.support.entries import daemon_entry, member, origin_entry
from tests.support.operation_log import Log
from tests.support.registry_world import World
from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.common.events import Received, Tick
from willowpost.common.rendezvous import Rendezvous
from willowpost.node.command_client import CommandClient
from willowpost.node.node_state import DaemonDescriptor, NodeState
from willowpost.registry.origin_health import HeartbeatReceived, OriginHealthMonitor
from willowpost.sim.world import seconds
from willowpost.state.codec import decode_operation
from willowpost.state.configuration_changes import ConfigurationProposal
from willowpost.state.entries import ActiveConfiguration, AddressBinding
from willowpost.state.lifecycle import OriginState
from willowpost.state.operations import (
    ChangeOriginState,
    EndOrigin,
    EvacuateZone,
    RegisterOrigin,
)
from willowpost.state.results import OriginAccepted
from willowpost.state.tables import MAX_ADDRESS_BINDINGS, MAX_ENDED_TOKENS, Tables, tables_from
from willowpost.wire.messages import OriginHeartbeat, SubmitCommand

SERVICES = {
    "plain": {},
    "other": {},
    "named": {"named": True, "cold_rate": 5.0},
    "careful": {"cold_rate": 5.0},
}


class Incarnations(unittest.TestCase):
    def setUp(self):
        self.log = Log()
        self.log.put(ConfigurationProposal(tree={"services": SERVICES}))

    def register(self, token=None, address="127.0.0.1:1", service="plain", zone="a", **more):
        return self.log.put(
            RegisterOrigin(
                address=address,
                service=service,
                zone=zone,
                rate=9.0,
                slow_start_rate=1.0,
                token=token,
                **more,
            )
        )

    def change_state(self, origin, state, **more):
        return self.log.put(ChangeOriginState(state, origin, **more))

    def state(self, name):
        origin = self.log.tables.origins.get(name)
        return None if origin is None else origin.state

    def test_an_incarnation_registers_once_however_often_it_is_submitted(self):
        first = self.register("one", is_warming_up=False)
        self.assertEqual(
            OriginAccepted(first.origin, "warm"),
            self.register("one", is_warming_up=True),
        )
        self.assertEqual([first.origin], list(self.log.tables.origins))

    def test_a_incarnation_that_left_does_not_come_back(self):
        for end in (
            lambda name: self.change_state(name, "gone"),
            lambda name: self.log.put(EndOrigin("one")),
        ):
            self.setUp()
            end(self.register("one").origin)
            for _ in range(2):
                self.assertFalse(self.register("one").is_accepted)
            self.assertFalse(
                self.register("one", address="127.0.0.1:2", is_draining=True).is_accepted
            )
            self.assertEqual({}, self.log.tables.origins)
            self.assertTrue(self.log.put(EndOrigin("one")).is_accepted)
            self.assertEqual("gone", self.log.put(ChangeOriginState("draining", token="one")).state)
            self.assertEqual(("one",), self.log.tables.ended_tokens)
            self.assertTrue(self.register("two").is_accepted)

    def test_an_unknown_incarnation_can_end(self):
        self.assertTrue(self.log.put(EndOrigin("one")).is_accepted)
        self.assertFalse(self.register("one").is_accepted)

    def test_one_that_timed_out_may_return_unless_it_was_draining(self):
        self.change_state(self.register("one").origin, "gone", timed_out=True)
        name = self.register("one").origin
        self.change_state(name, "draining")
        self.change_state(name, "gone", timed_out=True)
        self.assertFalse(self.register("one").is_accepted)

    def test_another_incarnation_at_its_address_ends_it_but_its_own_new_address_does_not(self):
        self.register("one")
        moved = self.register("one", address="127.0.0.1:2").origin
        self.assertEqual(
            ([moved], ()), (list(self.log.tables.origins), self.log.tables.ended_tokens)
        )
        self.register("two", address="127.0.0.1:2")
        self.assertEqual(("one",), self.log.tables.ended_tokens)

    def test_its_own_other_service_does_not_end_it(self):
        self.register("one")
        self.register("one", service="other")
        self.assertEqual((1, ()), (len(self.log.tables.origins), self.log.tables.ended_tokens))

    def test_the_last_ended_incarnations_are_remembered_also_by_whoever_reads_a_snapshot(self):
        for number in range(MAX_ENDED_TOKENS + 5):
            self.log.put(EndOrigin(f"t{number}"))
        self.log.tables = tables_from(self.log.tables.text())
        self.assertEqual(MAX_ENDED_TOKENS, len(self.log.tables.ended_tokens))
        self.assertEqual(
            [True, False, False],
            [self.register(f"t{number}").is_accepted for number in (4, 5, MAX_ENDED_TOKENS + 4)],
        )

    def test_it_starts_warming_up_or_warm_as_it_reports(self):
        for is_warming_up, state, reports_warm_up in (
            (True, "cold", True),
            (False, "warm", True),
            (None, "cold", False),
        ):
            self.setUp()
            reported = {} if is_warming_up is None else {"is_warming_up": is_warming_up}
            name = self.register("one", **reported).origin
            self.assertEqual(
                (state, reports_warm_up),
                (self.state(name), self.log.tables.origins[name].reports_warm_up),
            )

    def test_draining_is_the_end_of_being_ready(self):
        name = self.register("one", is_draining=True).origin
        self.assertEqual("draining", self.state(name))
        self.assertEqual("draining", self.register("one").state)
        for state in ("warm", "cold"):
            self.assertFalse(self.change_state(name, state).is_accepted)
        self.assertEqual("draining", self.state(name))
        other = self.register("two", address="127.0.0.1:2").origin
        self.assertEqual(
            "draining", self.register("two", address="127.0.0.1:2", is_draining=True).state
        )
        self.assertEqual("draining", self.state(other))
        self.assertTrue(self.change_state(other, "draining").is_accepted)

    def test_a_used_address_waits_unless_the_service_names_its_incarnations(self):
        self.register("one")
        self.assertEqual(
            "waiting", self.register("two", service="other", is_warming_up=False).state
        )
        self.assertEqual("warm", self.register("three", service="named", is_warming_up=False).state)
        self.assertEqual(
            "waiting", self.register("four", service="plain", is_warming_up=False).state
        )

    def test_a_state_change_of_an_earlier_heartbeat_is_rejected(self):
        name = self.register("one", is_warming_up=False, heartbeat_number=3).origin
        self.change_state(name, "cold", heartbeat_number=3)
        self.assertEqual("warm", self.state(name))
        self.change_state(name, "cold", heartbeat_number=5)
        self.change_state(name, "warm", heartbeat_number=4)
        self.assertEqual("cold", self.state(name))
        self.change_state(name, "warm", heartbeat_number=6)
        self.assertEqual("warm", self.state(name))

    def test_origins_of_a_restored_zone_warm_up_until_a_later_heartbeat(self):
        origins = {
            service + zone: self.register(
                service + zone, f"127.0.0.1:{port}", service, zone, is_warming_up=False
            ).origin
            for port, (service, zone) in enumerate(
                (("careful", "a"), ("careful", "b"), ("plain", "a")), 1
            )
        }
        leaving = self.register("leaving", "127.0.0.1:9", "careful", "a", is_draining=True).origin
        self.log.put(EvacuateZone("a", is_evacuated=True, scope="origins"))
        before = self.log.tables.slot
        self.log.put(EvacuateZone("a", is_evacuated=False))
        self.assertEqual(
            {"carefula": "cold", "carefulb": "warm", "plaina": "warm"},
            {name: self.state(origin) for name, origin in origins.items()},
        )
        self.assertEqual("draining", self.state(leaving))
        self.assertFalse(
            self.change_state(origins["carefula"], "warm", known_slot=before).is_accepted
        )
        self.assertEqual("cold", self.state(origins["carefula"]))
        self.assertTrue(
            self.change_state(origins["carefula"], "warm", known_slot=before + 1).is_accepted
        )
        self.log.put(EvacuateZone("a", is_evacuated=False))  # repeated
        self.assertEqual("warm", self.state(origins["carefula"]))

    def test_one_that_was_warming_up_warms_up_again_when_its_zone_is_restored(self):
        name = self.register("one", service="careful", is_warming_up=True).origin
        before = self.log.tables.slot
        self.log.put(EvacuateZone("a", is_evacuated=True, scope="origins"))
        self.log.put(EvacuateZone("a", is_evacuated=False))
        self.assertFalse(self.change_state(name, "warm", known_slot=before).is_accepted)

    def test_restoring_a_zone_not_evacuated_of_origins_alone_warms_up_nothing_again(self):
        name = self.register("one", service="careful", is_warming_up=False).origin
        for empty, scope in (
            (False, {}),
            (True, {}),
            (False, {}),
            (True, {"scope": "origins"}),
            (True, {"scope": "all"}),
            (False, {}),
        ):
            self.log.put(EvacuateZone("a", empty, **scope))
            self.assertEqual("warm", self.state(name), (empty, scope))

    def test_the_oldest_bound_address_is_forgotten_first_also_after_a_snapshot(self):
        tables = Tables(
            epoch=1,
            slot=MAX_ADDRESS_BINDINGS,
            address_bindings={
                f"z{number}": AddressBinding("plain", MAX_ADDRESS_BINDINGS - number)
                for number in range(MAX_ADDRESS_BINDINGS)
            },
        )
        self.log.tables = tables_from(tables.text())
        self.register()
        self.assertEqual(
            (MAX_ADDRESS_BINDINGS, False, True),
            (
                len(self.log.tables.address_bindings),
                f"z{MAX_ADDRESS_BINDINGS - 1}" in self.log.tables.address_bindings,
                "z0" in self.log.tables.address_bindings,
            ),
        )


class OriginMonitoring(unittest.TestCase):
    """One registry, with others and a proxy beside it."""

    def setUp(self):
        def entry(kind, name):
            return daemon_entry(f"{name}/{kind}", kind=kind, name=name, address=name, http=name)

        daemons = {
            daemon.id: daemon
            for daemon in (entry("registry", "r0"), entry("registry", "r1"), entry("proxy", "p0"))
        }
        origin = origin_entry(service="careful", reports_warm_up=True)
        service = {"silent_seconds": 4.0, "ramp_seconds": 2.0}
        self.node_state = NodeState(
            DaemonDescriptor("r0/registry", "registry", "core", "r0", "a", "r0", "r0", 1),
            Tables(
                slot=7,
                epoch=1,
                voters=(member("s", address="s0"),),
                daemons=daemons,
                origins={"o": origin},
                configuration=ActiveConfiguration(1, {"services": {"careful": service}}),
            ),
        )
        self.health_checks, self.now, self.is_in_touch = [], 100 * SECOND, True
        self.monitor = OriginHealthMonitor(
            self.node_state,
            CommandClient("r0/registry", 1, self.node_state.store_addresses, lambda: 1),
            lambda *check: self.health_checks.append((self.now, check)),
        )

    def set_origin(self, name="o", **attributes):
        tables = self.node_state.tables
        (origin,) = tables.origins.values()
        origins = {name: replace(origin, **attributes)}
        self.node_state.tables = replace(tables, origins=origins)

    def step(self, event, after=0):
        """The messages sent, and the operations proposed.

        The command client submits them some ms later.
        """
        self.now += after
        if self.is_in_touch:
            self.node_state.confirm_fresh(self.now)
        plan = self.monitor.step(event, self.now)
        plan.join(self.monitor.command_client.step(Tick(), self.now + 10 * MILLISECOND))
        operations = [
            decode_operation(stored)
            for _, message in plan.sends
            if isinstance(message, SubmitCommand)
            for stored in json.loads(message.command.body)
        ]
        self.monitor.command_client.pending.clear()
        return [
            (address, message)
            for address, message in plan.sends
            if not isinstance(message, SubmitCommand)
        ], operations

    def pass_time(self, span, step=100 * MILLISECOND):
        return [operation for _ in range(0, span, step) for operation in self.step(Tick(), step)[1]]

    def choose_origin(self, is_owned=True):
        """Give the origin a name by which this registry owns it, or does not."""
        name = next(
            name
            for name in map(str, range(99))
            if (
                Rendezvous().rank(f"origin/{name}", ["r0/registry", "r1/registry"])[0]
                == "r0/registry"
            )
            == is_owned
        )
        self.set_origin(name)
        return name

    def test_a_heartbeat_is_passed_on_complete_to_every_other_registry_and_proxy_at_once(self):
        heartbeat = OriginHeartbeat("o", 4, 1500, 32, 6)
        sent, operations = self.step(HeartbeatReceived(heartbeat))
        self.assertEqual(([("r1", heartbeat), ("p0", heartbeat)], []), (sent, operations))

    def test_a_stale_heartbeat_changes_nothing_whoever_received_the_newer_one(self):
        for later in (
            HeartbeatReceived(OriginHeartbeat("o", heartbeat_number=6), True),
            Received("r1", OriginHeartbeat("o", heartbeat_number=6)),
        ):
            self.setUp()
            self.step(later)
            for number in (6, 5, 0):
                self.assertEqual(
                    ([], []),
                    self.step(
                        HeartbeatReceived(
                            OriginHeartbeat("o", 1, 1500, heartbeat_number=number), True
                        ),
                        SECOND,
                    ),
                )
                self.assertEqual(
                    ([], []),
                    self.step(Received("r1", OriginHeartbeat("o", heartbeat_number=number))),
                )
            self.assertEqual(100 * SECOND, self.monitor.records["o"].last_seen_at)
            self.assertEqual(
                2, len(self.step(HeartbeatReceived(OriginHeartbeat("o", heartbeat_number=7)))[0])
            )

    def test_heartbeats_without_numbers_all_count(self):
        for _ in range(3):
            self.assertEqual(2, len(self.step(HeartbeatReceived(OriginHeartbeat("o")), SECOND)[0]))
            self.assertEqual(
                2, len(self.step(HeartbeatReceived(OriginHeartbeat("o", 3)), SECOND)[0])
            )
        self.assertEqual(self.now, self.monitor.records["o"].last_seen_at)

    def test_the_receiver_of_a_heartbeat_proposes_at_once_what_it_reports_of_warming_up(self):
        self.assertEqual(
            [ChangeOriginState("cold", "o", reports_warm_up=True, heartbeat_number=6)],
            self.step(HeartbeatReceived(OriginHeartbeat("o", 0, 1500, heartbeat_number=6), True))[
                1
            ],
        )
        self.set_origin(state=OriginState.WARMING_UP)
        self.assertEqual(
            [
                ChangeOriginState(
                    "warm", "o", reports_warm_up=True, heartbeat_number=7, known_slot=7
                )
            ],
            self.step(
                HeartbeatReceived(OriginHeartbeat("o", heartbeat_number=7), True), 10 * MILLISECOND
            )[1],
        )
        self.assertEqual(
            [],
            self.step(HeartbeatReceived(OriginHeartbeat("o", 0, 1500, heartbeat_number=8), True))[
                1
            ],
        )
        self.assertEqual(
            [], self.step(HeartbeatReceived(OriginHeartbeat("o", heartbeat_number=9)))[1]
        )
        self.assertEqual(
            [], self.step(Received("r1", OriginHeartbeat("o", heartbeat_number=10)))[1]
        )
        for state in (OriginState.WAITING, OriginState.DRAINING):
            self.set_origin(state=state)
            self.assertEqual(
                [],
                self.step(
                    HeartbeatReceived(OriginHeartbeat("o", heartbeat_number=99 + len(state)), True)
                )[1],
            )

    def advance_log(self):
        tables = self.node_state.tables
        self.node_state.tables = replace(tables, slot=tables.slot + 1)

    def test_what_is_proposed_again_is_the_same_operation_while_the_origin_is_unchanged(self):
        """Guards against a slow log that is given a new operation with each slot and heartbeat."""
        self.set_origin(state=OriginState.WARMING_UP)
        proposed = []
        for number in range(6, 10):
            heartbeat = OriginHeartbeat("o", heartbeat_number=number)
            proposed += self.step(HeartbeatReceived(heartbeat, True), SECOND)[1]
            self.advance_log()
        self.assertEqual((4, 1), (len(proposed), len(set(proposed))))
        slot = self.node_state.tables.slot
        self.set_origin(state=OriginState.WARMING_UP, warming_up_since_slot=slot - 1)
        (again,) = self.step(
            HeartbeatReceived(OriginHeartbeat("o", heartbeat_number=10), True), SECOND
        )[1]
        self.assertEqual((10, slot), (again.heartbeat_number, again.known_slot))

    def test_so_is_the_end_of_a_slow_start_that_is_estimated(self):
        name = self.choose_origin()
        self.set_origin(name, state=OriginState.WARMING_UP, reports_warm_up=False)
        proposed = []
        for _ in range(40):
            self.step(HeartbeatReceived(OriginHeartbeat(name)))
            proposed += self.step(Tick(), 200 * MILLISECOND)[1]
            self.advance_log()
        self.assertGreater(len(proposed), 3)
        self.assertEqual(1, len(set(proposed)))

    def test_the_slow_start_is_estimated_only_for_those_who_do_not_report_it(self):
        name = self.choose_origin()
        for reported, states in ((True, []), (False, [("warm", 7)])):
            for record in self.monitor.records.values():
                record.state = None
            self.set_origin(name, state=OriginState.WARMING_UP, reports_warm_up=reported)
            self.step(HeartbeatReceived(OriginHeartbeat(name)))
            self.assertEqual(
                states,
                [
                    (operation.state, operation.known_slot)
                    for operation in self.pass_time(int(2.5 * SECOND))
                ][:1],
            )
            self.step(HeartbeatReceived(OriginHeartbeat(name)))

    def test_one_that_timed_out_is_health_checked_each_second_by_its_owner_then_gone(self):
        self.choose_origin(is_owned=False)
        self.assertEqual(([], []), (self.pass_time(9 * SECOND), self.health_checks))
        self.setUp()
        name = self.choose_origin()
        self.step(HeartbeatReceived(OriginHeartbeat(name)))
        operations = self.pass_time(int(4.5 * SECOND))
        gone = ChangeOriginState("gone", name, timed_out=True, registry="r0/registry")
        self.assertEqual([gone], operations[:1])
        moments = [moment for moment, _ in self.health_checks]
        self.assertEqual(3, len(moments))
        self.assertGreaterEqual(
            min(later - earlier for earlier, later in itertools.pairwise(moments)), SECOND
        )


class Calls(World):
    def setUp(self):
        super().setUp()
        self.call(
            "PUT",
            "/v1/configuration",
            {
                **self.world.configuration,
                "services": {
                    name: {**service, "cold_rate": 5.0}
                    for name, service in self.world.configuration["services"].items()
                },
            },
        )

    def send_heartbeat(
        self, number, token="incarnation-one", first=0, address="127.0.0.1:99", **more
    ):
        return self.call(
            "POST",
            "/v1/origins/beat",
            {
                "service": "art",
                "address": address,
                "zone": "x",
                "rate": 9,
                "token": token,
                "number": number,
                **more,
            },
            first,
        )

    def tables(self, first=1):
        self.world.run(seconds(0.5))
        return self.world.seats[f"r{first}"].node.registry.tables

    def states(self, token="incarnation-one", first=1):
        return [
            origin.state for origin in self.tables(first).origins.values() if origin.token == token
        ]

    def test_an_incarnation_from_its_first_heartbeat_to_its_end_through_two_registries(self):
        self.assertEqual(
            (200, "warm"),
            ((answer := self.send_heartbeat(1, cold_ms=0, slots=32)).code, answer.value["state"]),
        )
        self.assertEqual(
            (200, "warm"),
            ((answer := self.send_heartbeat(1, first=1, cold_ms=0)).code, answer.value["state"]),
        )
        self.assertEqual(["warm"], self.states())
        self.assertEqual(
            (200, "draining"),
            ((answer := self.send_heartbeat(3, state="draining")).code, answer.value["state"]),
        )
        self.assertEqual(["draining"], self.states())
        for number, first in ((2, 1), (3, 0), (4, 1)):
            self.assertEqual(
                (200, "draining"),
                (
                    (answer := self.send_heartbeat(number, first=first, cold_ms=0)).code,
                    answer.value["state"],
                ),
            )
        for first in (0, 1, 0):
            self.assertEqual(
                200,
                self.call("POST", "/v1/origins/drain", {"token": "incarnation-one"}, first).code,
            )
        self.assertEqual(["draining"], self.states())
        for first in (1, 0, 0):
            self.assertEqual(
                (200, "gone"),
                (
                    (
                        answer := self.call(
                            "POST", "/v1/origins/leave", {"token": "incarnation-one"}, first
                        )
                    ).code,
                    answer.value["state"],
                ),
            )
        self.assertEqual([], self.states())
        for first in (0, 1):
            for state in ("ready", "draining"):
                self.assertEqual(
                    (200, "gone"),
                    (
                        (answer := self.send_heartbeat(9, first=first, state=state)).code,
                        answer.value["state"],
                    ),
                )
            self.assertEqual(
                200,
                self.call("POST", "/v1/origins/drain", {"token": "incarnation-one"}, first).code,
            )
        self.assertEqual([], self.states())
        self.assertEqual(
            409,
            self.call(
                "POST",
                "/v1/origins",
                {
                    "service": "art",
                    "address": "127.0.0.1:99",
                    "zone": "x",
                    "token": "incarnation-one",
                },
            ).code,
        )

    def test_one_with_slots_and_no_rate_is_limited_by_its_services_rate_alone(self):
        for number, reported, rate in (
            (1, {}, 100.0),
            (2, {"slots": 32}, 1e6),
            (3, {"slots": 32, "rate": 50}, 50.0),
        ):
            self.call(
                "POST",
                "/v1/origins/beat",
                {
                    "service": "art",
                    "address": f"127.0.0.1:{number}",
                    "zone": "x",
                    "token": f"incarnation-{number}",
                    "cold_ms": 0,
                    **reported,
                },
                0,
            )
            self.assertEqual(
                [rate],
                [
                    origin.rate
                    for origin in self.tables().origins.values()
                    if origin.token == f"incarnation-{number}"
                ],
            )

    def test_a_registry_that_has_not_applied_the_end_yet_does_not_undo_it(self):
        """The heartbeat and the end go through two registries at the same moment.

        The tables of neither know of the other.
        """
        self.send_heartbeat(1, cold_ms=0)
        self.states()
        self.call("POST", "/v1/origins/leave", {"token": "incarnation-one"})
        self.send_heartbeat(2, first=1, cold_ms=0)
        self.assertEqual([], self.states())

    def test_a_heartbeat_after_the_end_is_answered_by_the_log_only_where_the_end_is_not_known_yet(
        self,
    ):
        self.call("POST", "/v1/origins/leave", {"token": "incarnation-one"})
        self.assertNotIn(
            "incarnation-one", self.world.seats["r1"].node.registry.tables.ended_tokens
        )
        self.assertEqual(
            (200, "gone"), ((answer := self.send_heartbeat(2, first=1)).code, answer.value["state"])
        )
        self.assertIn("incarnation-one", self.tables().ended_tokens)
        for name in ("s0", "s1", "s2"):
            self.world.crash(name)
        self.assertEqual(
            (200, "gone"),
            (
                (answer := self.send_heartbeat(3, first=1, state="draining")).code,
                answer.value["state"],
            ),
        )

    def test_an_unknown_incarnation_may_register_as_draining_and_an_unknown_one_cannot_drain(self):
        self.assertEqual(
            404, self.call("POST", "/v1/origins/drain", {"token": "incarnation-one"}).code
        )
        self.assertEqual(
            (200, "draining"),
            ((answer := self.send_heartbeat(1, state="draining")).code, answer.value["state"]),
        )
        self.assertEqual(["draining"], self.states())
        for wrong in (
            {},
            {"token": "t", "address": "127.0.0.1:99"},
            {"token": ""},
            {"token": "a b"},
        ):
            self.assertEqual(422, self.call("POST", "/v1/origins/drain", wrong).code)

    def test_draining_is_answered_only_once_accepted(self):
        self.send_heartbeat(1, cold_ms=0)
        self.states()
        for name in ("s0", "s1", "s2"):
            self.world.crash(name)
        self.assertEqual(504, self.send_heartbeat(2, state="draining").code)
        self.world.run(seconds(1))  # by then both registries know that they are out of touch
        leave = self.call("POST", "/v1/origins/leave", {"token": "incarnation-one"})
        for answer in (
            self.send_heartbeat(2, state="draining", first=1),
            self.send_heartbeat(3, cold_ms=0),
            leave,
        ):
            self.assertEqual((503, "not-run"), (answer.code, answer.value["outcome"]))

    def test_an_origin_warms_up_and_is_warm_by_its_heartbeats_alone(self):
        self.send_heartbeat(1, cold_ms=4000)
        self.assertEqual(["cold"], self.states())
        for number in range(2, 14):  # longer than the ramp
            self.send_heartbeat(number, first=number % 2, cold_ms=4000)
            self.world.run(seconds(1))
        self.assertEqual(["cold"], self.states())
        self.send_heartbeat(20, cold_ms=0)
        self.assertEqual(["warm"], self.states())
        self.send_heartbeat(21, first=1, cold_ms=900)
        self.assertEqual(["cold"], self.states(first=0))
        self.send_heartbeat(20, cold_ms=0)
        self.assertEqual(["cold"], self.states())

    def test_a_restored_zone_warms_up_until_its_origins_send_heartbeats_again(self):
        self.send_heartbeat(1, cold_ms=0)
        self.assertEqual(200, self.call("POST", "/v1/zones/x/empty", {"what": "origins"}).code)
        self.assertEqual(["warm"], self.states())
        self.assertEqual(200, self.call("POST", "/v1/zones/x/restore").code)
        self.assertEqual(["cold"], self.states())
        self.send_heartbeat(2, cold_ms=0)
        self.assertEqual(["warm"], self.states())

    def test_issues_have_their_location(self):
        for more, place in (
            ({"number": -1}, "number"),
            ({"number": "x"}, "number"),
            ({"state": "ill"}, "state"),
            ({"cold_ms": -1}, "cold_ms"),
            ({"slots": -1}, "slots"),
            ({"token": ""}, "token"),
            ({"address": "here"}, "address"),
            ({"x": 1}, "x"),
        ):
            answer = self.send_heartbeat(**{"number": 1, **more})
            self.assertEqual(
                (422, place), (answer.code, answer.value["findings"][0]["place"]), more
            )


if __name__ == "__main__":
    unittest.main()
