"""Histories of configuration orders, drawn by Hypothesis, judged against what was confirmed.

Operators send through registries that lag behind the log; answers are lost, orders arrive late,
are sent again elsewhere, and registries and tables are restored from snapshots.
"""

import json
import unittest
from dataclasses import dataclass
from types import SimpleNamespace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tests.support.operation_log import Log
from tests.support.registry_world import REDIRECTS_FOLLOWED
from willowpost.configuration.checker import ConfigurationChecker
from willowpost.registry.api.configurations import ConfigurationRoutes
from willowpost.registry.api.log_client import LogClient
from willowpost.registry.api.responses import outcome_unknown
from willowpost.shell.web import Request
from willowpost.state.results import Reason, Rejected
from willowpost.state.tables import tables_from

REGISTRIES = st.integers(0, 2)
TRIES = st.integers(1, 3)
KEYS = st.sampled_from([None] * 4 + ["a", "b", "c", "d"])
FATES = st.sampled_from(["answered", "answered", "answered", "lost", "late"])
PATCHES = [
    [{"op": "replace", "path": "/settings/tries", "value": 2}],
    [{"op": "add", "path": "/services/late", "value": {}}],
    [{"op": "remove", "path": "/services/late"}],
]


class LaggingRegistry(LogClient):
    """A registry whose tables are those of an earlier slot until it reads."""

    def __init__(self, log, late):
        self.log, self.tables, self.fate, self.late = log, log.tables, "answered", late
        self.handlers = {
            (method, path): handler
            for method, path, _, handler in ConfigurationRoutes(self).routes()
        }

    @property
    def node_state(self):
        return SimpleNamespace(tables=self.tables)

    def deadline_for(self, call):
        return 0

    def quorum_read(self, deadline=None):
        self.tables = self.log.tables
        return True

    def submit(self, build, deadline, on_accepted, on_rejected, on_superseded):
        while True:
            operation = build(self.tables)
            if operation is None:
                return on_superseded()
            if self.fate == "late":
                self.late.append((operation, self.tables.configuration.version))
                return outcome_unknown()
            result, slot = self.log.put(operation), self.log.tables.slot - 1
            if not isinstance(result, Rejected) or result.reason != Reason.SUPERSEDED:
                break
            self.quorum_read()
        if self.fate == "lost":
            return outcome_unknown()
        return on_accepted(result, slot) if result.is_accepted else on_rejected(result)


@dataclass(frozen=True)
class Order:
    """One call of an operator, to be sent again as it is."""

    method: str
    path: str
    value: object
    headers: tuple = ()

    def names_itself(self):
        """Whether a repeat can be told from a second order that says the same."""
        return bool(self.headers) or self.path.endswith("s")


def tree(tries):
    return {"services": {}, "settings": {"tries": tries}, "branches": {}}


class Histories(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.log = Log()
        self.late = []  # operations delayed by a partition, each with the version its registry knew
        self.registries = [LaggingRegistry(self.log, self.late) for _ in range(3)]
        self.contents = {}  # version -> what was in force under it
        self.acknowledged = []  # [order, version of its first answer]
        self.version = 0

    def send(self, order, registry, fate="answered"):
        registry = self.registries[registry]
        registry.fate = fate
        body, query = json.dumps(order.value).encode(), ""
        for _ in range(1 + REDIRECTS_FOLLOWED):
            call = Request(order.method, order.path, query, dict(order.headers), body)
            answer = registry.handlers[order.method, order.path](call)
            if answer.code != 307:
                break
            query = dict(answer.headers)["Location"].partition("?")[2]
        if answer.code == 200:
            self.confirm(order, answer.value)
        return answer

    def confirm(self, order, response):
        """One number, one content: what the sender may now believe is what is in force under it."""
        active = self.log.tables.configuration
        self.contents.setdefault(active.version, (active.tree, active.source))
        active_tree, source = self.contents[response["version"]]
        if order.method == "PUT":
            assert (active_tree, source) == (self.checked(order.value), None)
        if order.path.endswith("s") and order.value["version"] in self.contents:
            wanted = self.checked(order.value["configuration"]), order.value.get("source")
            assert self.contents[order.value["version"]] == wanted
        self.acknowledged.append((order, response["version"]))

    def checked(self, value):
        return ConfigurationChecker().check_value(value).unwrap()

    def headers(self, match, key):
        version = self.log.tables.configuration.version
        named = {"if-match": None if match is None else f'"{max(0, version - match)}"'}
        named["idempotency-key"] = key
        return tuple((name, value) for name, value in named.items() if value is not None)

    @rule(at=REGISTRIES, tries=TRIES, match=st.sampled_from([None, 0, 0, 1]), key=KEYS, fate=FATES)
    def put(self, at, tries, match, key, fate):
        headers = self.headers(match, key)
        answer = self.send(Order("PUT", "/v1/configuration", tree(tries), headers), at, fate)
        assert answer.code in (200, 412, 422, 504)

    @rule(at=REGISTRIES, tries=TRIES, step=st.integers(-2, 3), source=KEYS, fate=FATES)
    def number(self, at, tries, step, source, fate):
        version = max(0, self.log.tables.configuration.version + step)
        value = {"version": version, "configuration": tree(tries)}
        value |= {"source": source} if source else {}
        answer = self.send(Order("POST", "/v1/configurations", value), at, fate)
        assert answer.code in ((200, 409, 504) if step <= 0 else (200, 504))

    @rule(
        at=REGISTRIES,
        patch=st.sampled_from(PATCHES),
        match=st.sampled_from([None, 0, 1]),
        key=KEYS,
        fate=FATES,
    )
    def patch(self, at, patch, match, key, fate):
        headers = self.headers(match, key)
        answer = self.send(Order("PATCH", "/v1/configuration", patch, headers), at, fate)
        assert answer.code in (200, 409, 412, 422, 504)

    @rule(at=REGISTRIES, wrong=st.sampled_from([{}, {"services": {}, "x": 1}, [], None]))
    def invalid(self, at, wrong):
        assert self.send(Order("PUT", "/v1/configuration", wrong), at).code == 422
        value = {"version": self.version + 1, "configuration": wrong}
        assert self.send(Order("POST", "/v1/configurations", value), at).code == 422

    @rule(at=REGISTRIES, which=st.integers(0, 40))
    def repeat(self, at, which):
        """Whatever came meanwhile, an order that names itself is acknowledged as before."""
        if which < len(self.acknowledged):
            order, version = self.acknowledged[-1 - which]
            if order.names_itself() and order.path != "/v1/configurations":
                again = self.send(order, at)
                assert (again.code, again.value["version"]) == (200, version), (order, again)

    @rule(at=REGISTRIES)
    def repeat_the_newest(self, at):
        """With no change since, no acknowledged order is refused, whether it names itself or not."""
        if self.acknowledged and self.acknowledged[-1][1] == self.version:
            order, version = self.acknowledged[-1]
            again = self.send(order, at)
            assert again.code == 200, (order, again)
            assert again.value["version"] == version or not order.names_itself()

    @precondition(lambda self: self.late)
    @rule()
    def arrive_late(self):
        """An order is delayed by a partition; it undoes nothing that was accepted meanwhile."""
        operation, known = self.late.pop(0)
        newest = self.log.tables.configuration_changes.newest()
        result = self.log.put(operation)
        unconditional = operation.version is None and operation.if_match is None
        if unconditional and newest is not None and newest.version > known:
            assert not (result.is_accepted and result.is_changed), (operation, result)

    @rule(at=REGISTRIES)
    def restore(self, at):
        self.log.tables = tables_from(self.log.tables.text())
        self.registries[at].tables = tables_from(self.registries[at].tables.text())

    @rule(at=REGISTRIES)
    def read(self, at):
        answer = self.registries[at].handlers["GET", "/v1/configuration"](
            Request("GET", "/v1/configuration", "", {})
        )
        if answer.value["version"] in self.contents:
            expected = self.contents[answer.value["version"]]
            assert (answer.value["configuration"], answer.value.get("source")) == expected

    @invariant()
    def one_content_under_one_version_that_only_goes_up(self):
        active = self.log.tables.configuration
        assert active.version >= self.version
        self.version = active.version
        if active.tree is not None:
            content = active.tree, active.source
            assert self.contents.setdefault(self.version, content) == content
            assert ConfigurationChecker().check_value(active.tree).is_ok()


class OrderHistories(Histories.TestCase):
    settings = settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=120,
        stateful_step_count=40,
    )


if __name__ == "__main__":
    unittest.main()
