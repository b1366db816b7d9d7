"""The configuration changes between the plan of a request and its sending.

Each test makes the change while a connection is taken: the request has been planned, and none of
its bytes has left.
"""

from dataclasses import replace
from types import MappingProxyType

import gevent
import gevent.event

from tests.support.scripted_proxy import CONFIGURATION, Scripted, sealed
from tests.support.served import ScriptedOrigin, ServedProxy
from willowpost.configuration.checker import ConfigurationChecker
from willowpost.configuration.routes import RouteTable, routes_of
from willowpost.proxy.proxy_state import Grant
from willowpost.state.entries import Ownership

LOST = None  # the origin closes the connection without an answer
KINDS = {"once": "POST", "again": "GET", "kept": "GET"}


class ChangedRoutes(Scripted):
    """Origin 0 serves the service that the route names first, origin 1 the other one."""

    def serve(self, *first_answers):
        self.origins = [
            ScriptedOrigin(*first_answers or (sealed(b"old"),)),
            ScriptedOrigin(sealed(b"new")),
        ]
        services = {**CONFIGURATION["services"], "other": CONFIGURATION["services"]["g"]}
        self.configuration = {**CONFIGURATION, "services": services}
        self.proxy = ServedProxy(*self.origins, configuration=self.configuration)
        self.addCleanup(self.proxy.stop)
        self.proxy.set_origins(self.origins, checks_incarnation=True, requires_seal=True)
        state = self.proxy.node_state
        both = state.snapshot.services["g"]
        services = {
            name: replace(both, origins=(origin,), senders=())
            for name, origin in zip(("g", "other"), both.origins, strict=True)
        }
        state.snapshot = replace(state.snapshot, services=MappingProxyType(services))
        grant = Grant(1000.0, self.proxy.clock.now() + 10**12, 1)
        state.grants = {"g": grant, "other": grant}
        owner = Ownership("p", 1)
        ownerships = {f"quota_share/{service}": owner for service in services}
        state.tables = replace(state.tables, ownerships=ownerships)
        for service in services:
            self.proxy.quota_admission.admit(service, self.proxy.clock.now())
        self.proxy.clock.time += 1_000_000
        state.fresh_as_of = self.proxy.clock.now()

    def change(self, branches):
        """Puts a configuration with these branches in force, as the next version."""
        state = self.proxy.node_state
        tree = {**self.configuration, "branches": branches}
        routes = routes_of(ConfigurationChecker().check_value(tree).unwrap())
        state.snapshot = replace(
            state.snapshot, version=state.snapshot.version + 1, routes=RouteTable(routes)
        )

    def change_at_send(self, branches, skipped=0):
        """Makes the change while a connection is taken, after so many that were taken before."""
        connections = self.proxy.front.executor.attempts.resources.io
        take, taken = connections.open, []

        def take_and_change(*arguments):
            taken.append(arguments)
            if len(taken) == skipped + 1:
                self.change(branches)
            return take(*arguments)

        connections.open = take_and_change

    def moved(self, **settings):
        """The branches, with these settings on all routes; by default at the other service."""
        settings = settings or {"service": "other"}
        return {
            name: {**branch, "settings": {**branch["settings"], **settings}}
            for name, branch in CONFIGURATION["branches"].items()
        }

    def requests_by_origin(self):
        return [len(origin.requests) for origin in self.origins]

    def ask(self, kind, name="n1"):
        return self.proxy.ask(KINDS[kind], f"/{kind}/x", wp_request=name)

    def test_a_route_that_moved_is_sent_to_its_new_service(self):
        for kind in KINDS:
            with self.subTest(kind=kind):
                self.serve()
                self.change_at_send(self.moved())
                status, body, _ = self.ask(kind)
                self.assertEqual((200, b"new"), (status, body))
                self.assertEqual([0, 1], self.requests_by_origin())

    def test_a_route_that_was_dropped_is_sent_nowhere(self):
        for kind in KINDS:
            with self.subTest(kind=kind):
                self.serve()
                self.change_at_send({"x": {"host": "h.example", "path": "/x/"}})
                self.assertEqual(404, self.ask(kind)[0])
                self.assertEqual([0, 0], self.requests_by_origin())

    def test_a_route_that_is_the_same_is_sent_as_planned(self):
        for kind in KINDS:
            with self.subTest(kind=kind):
                self.serve()
                self.change_at_send({**CONFIGURATION["branches"], "y": {"path": "/y/"}})
                self.assertEqual((200, b"old"), self.ask(kind)[:2])
                self.assertEqual([1, 0], self.requests_by_origin())

    def test_a_split_that_still_has_the_service_is_sent_as_planned_and_at_weight_0_is_not(self):
        for weight, expected in ((1, [1, 0]), (0, [0, 1])):
            with self.subTest(weight=weight):
                self.serve()
                split = [{"service": "g", "weight": weight}]
                if not weight:
                    split.append({"service": "other", "weight": 1})
                self.change_at_send(self.moved(split=split))
                self.assertEqual(200, self.ask("again")[0])
                self.assertEqual(expected, self.requests_by_origin())

    def test_a_request_of_another_kind_now_is_planned_anew(self):
        self.serve(sealed(status="503 Busy"), sealed(b"old"))
        branches = CONFIGURATION["branches"]
        once = {**branches["again"], "settings": {"kind": "once"}}
        self.change_at_send({**branches, "again": once})
        self.ask("again")
        self.assertIn(b"connection: close", self.origins[0].requests[0].lower())

    def test_no_retry_goes_to_a_service_that_the_route_has_left(self):
        """It may have run there already, so it is not planned anew either."""
        self.serve(LOST)
        self.origins[1].answers = [LOST]
        state = self.proxy.node_state
        services = state.snapshot.services
        both = tuple(origin for service in services.values() for origin in service.origins)
        services = {**services, "g": replace(services["g"], origins=both)}
        state.snapshot = replace(state.snapshot, services=MappingProxyType(services))
        self.change_at_send(self.moved(), skipped=1)
        self.assertEqual(502, self.ask("again")[0])
        self.assertEqual(1, sum(self.requests_by_origin()))

    def test_requests_that_joined_a_fetch_are_planned_anew_each(self):
        self.serve()
        connections = self.proxy.front.executor.attempts.resources.io
        take, joined = connections.open, gevent.event.Event()

        def take_when_joined(*arguments):
            joined.wait(5)
            return take(*arguments)

        connections.open = take_when_joined
        tasks = [gevent.spawn(self.ask, "kept", f"n{number}") for number in (1, 1)]
        with gevent.Timeout(5):
            while not self.proxy.stats["collapsed"]:
                gevent.sleep(0)
        self.change(self.moved())
        joined.set()
        self.assertEqual([(200, b"new")] * 2, [task.get()[:2] for task in tasks])
        self.assertEqual(0, len(self.origins[0].requests))

    def test_changes_that_go_on_end_with_the_request_sent(self):
        self.serve()
        moved, branches = self.moved(), CONFIGURATION["branches"]
        connections = self.proxy.front.executor.attempts.resources.io
        take, changes = connections.open, [moved, branches, moved]

        def take_and_change(*arguments):
            if changes:
                self.change(changes.pop(0))
            return take(*arguments)

        connections.open = take_and_change
        self.assertEqual((200, b"new"), self.ask("once")[:2])
        self.assertEqual([0, 1], self.requests_by_origin())
