"""A simulated fleet whose registries are called through their own fronts."""

import json
import unittest
from unittest.mock import patch

from willowpost.common.events import WithdrawSubmission
from willowpost.registry.api.routes import ControlApiRoutes
from willowpost.shell.web import Request
from willowpost.sim.fleet.world import FleetWorld
from willowpost.sim.world import seconds

REDIRECTS_FOLLOWED = 2


class SimRunner:
    """As the shell's runner, on virtual time."""

    def __init__(self, world, address):
        self.world, self.address = world, address
        self.seat = world.seats[address]
        self.clock = self.inbox = self

    @property
    def node(self):
        return self.seat.node.node

    def now(self):
        return self.world.now(self.seat)

    def put(self, event):
        self.world.give(self.address, event)

    def submit(self, *ops, timeout):
        token = self.world.ask(self.address, *ops)
        if not self.world.until(lambda: token in self.world.replies, seconds(timeout)):
            self.put(WithdrawSubmission(token))
            return None
        return self.world.replies[token]


class World(unittest.TestCase):
    """A founded fleet and two registries' fronts."""

    seed = 9

    def setUp(self):
        self.world = FleetWorld(self.seed)
        self.world.until(self.world.bootstrapped, seconds(10))
        self.world.run(seconds(3))
        self.fronts = [ControlApiRoutes(SimRunner(self.world, f"r{number}")) for number in range(2)]
        sleep = patch("gevent.sleep", lambda span: self.world.run(seconds(span)))
        sleep.start()
        self.addCleanup(sleep.stop)

    def call(self, method, path, value=b"", first=0, **headers):
        """Sends a call to a registry, and follows redirects as callers do."""
        answer = self.call_once(method, path, value, first, **headers)
        for _ in range(REDIRECTS_FOLLOWED):
            if answer.code != 307:
                break
            target, _, query = dict(answer.headers)["Location"].partition("?")
            self.assertEqual(path, target)
            answer = self.call_once(method, path, value, first, query=query, **headers)
        return answer

    def call_once(self, method, path, value=b"", first=0, query="", known_before=None, **headers):
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        parts = tuple(path.strip("/").split("/"))
        handler, params = next(
            (
                handler,
                tuple(
                    part
                    for want, part in zip(route.strip("/").split("/"), parts, strict=False)
                    if want == "*"
                ),
            )
            for held, route, _, handler in self.fronts[first].routes()
            if held == method
            and len(route.strip("/").split("/")) == len(parts)
            and all(
                want in ("*", part)
                for want, part in zip(route.strip("/").split("/"), parts, strict=False)
            )
        )
        return handler(
            Request(
                method,
                path,
                query,
                {name.replace("_", "-").lower(): held for name, held in headers.items()},
                body,
                params,
                known_before,
            )
        )
