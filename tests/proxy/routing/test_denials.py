"""A request is denied only by tables that are known to be current; changes cost what they change."""

import json
import random
import unittest
from dataclasses import replace
from unittest.mock import patch

from tests.support.served import ServedProxy
from willowpost.configuration.delta import (
    ConfigurationDelta,
    text_delta,
    tree_delta,
    with_text_delta,
    with_tree_delta,
)
from willowpost.proxy.proxy_state import ProxyState
from willowpost.proxy.routing.snapshot import RoutingSnapshot
from willowpost.registry.calls.change_carrier import ChangeCarrier
from willowpost.sim.fleet.route_changes import RouteChanges
from willowpost.state.apply.configurations import propose
from willowpost.state.codec import encode_operation
from willowpost.state.configuration_changes import ConfigurationProposal, content_digest
from willowpost.state.tables import Tables

SECOND = 1_000_000
ROUTES = 400


class Fleet(unittest.TestCase):
    def test_no_proper_request_is_denied_through_many_changes(self):
        for seed in (2, 3):
            run = RouteChanges(seed).run(60)
            self.assertEqual([], run.denials, seed)
            self.assertGreater(run.asked, 400)

    def test_the_judge_finds_denials_by_old_tables(self):
        """With the protection off: whoever has tables denies, however old they are."""
        with patch.object(ProxyState, "may_deny", lambda self, now: True):
            self.assertTrue(RouteChanges(2).run(60).denials)


class Denials(unittest.TestCase):
    def served(self):
        proxy = ServedProxy()
        self.addCleanup(proxy.stop)
        proxy.node_state.max_stale_serving = 60 * SECOND
        return proxy

    def test_an_old_table_asks_to_come_back(self):
        proxy = self.served()
        self.assertEqual(405, proxy.ask("PUT", "/x")[0])
        proxy.clock.time += 2 * SECOND
        status, _, headers = proxy.ask("PUT", "/x")
        self.assertEqual(503, status)
        self.assertGreater(float(headers["retry-after"]), 0)

    def test_an_old_limit_refuses_without_denying(self):
        proxy = self.served()
        body = b"x" * 100_000
        self.assertEqual(413, proxy.ask("POST", "/w", body)[0])
        proxy.clock.time += 2 * SECOND
        self.assertEqual(503, proxy.ask("POST", "/w", body)[0])

    def test_before_the_first_configuration_nothing_is_denied(self):
        proxy = self.served()
        proxy.node_state.snapshot = RoutingSnapshot(5)
        status, _, headers = proxy.ask("GET", "/x")
        self.assertEqual(503, status)
        self.assertIn("retry-after", headers)


def route(number, timeout=1000):
    return {
        "host": "h.example",
        "path": f"/p{number}/",
        "settings": {"service": "g", "deadline_ms": timeout},
    }


def tree_of(routes):
    return {"services": {"g": {"rate": 5.0}}, "branches": routes}


def document(routes):
    return json.dumps({"version": len(routes), "routes": list(routes.values())})


class Differences(unittest.TestCase):
    def changed(self, chance, routes):
        routes = dict(routes)
        for _ in range(chance.randrange(4)):
            name = f"w{chance.randrange(60)}"
            if chance.random() < 0.4:
                routes.pop(name, None)
            else:
                routes[name] = route(chance.randrange(60), chance.randrange(5))
        return routes

    def test_what_they_make_of_their_base_is_what_was_sent(self):
        for seed in range(300):
            chance = random.Random(seed)
            before = self.changed(chance, {f"w{number}": route(number) for number in range(40)})
            after = self.changed(chance, before)
            old, new = tree_of(before), tree_of(after)
            self.assertEqual(new, with_tree_delta(old, tree_delta(old, new)))
            base, text = document(before), document(after)
            self.assertEqual(text, with_text_delta(base, text_delta(base, text)))

    def test_values_of_another_type_are_other_values(self):
        for before, after in (({"a": 1}, {"a": True}), ({"a": {}}, {"a": 0}), ({}, {"a": None})):
            self.assertEqual(repr(after), repr(with_tree_delta(before, tree_delta(before, after))))

    def test_a_change_of_one_route_among_hundreds_is_a_small_operation(self):
        tables = self.accepted(Tables(epoch=1), self.proposal(1, ROUTES))
        proposal = self.proposal(2, ROUTES + 1)
        whole = len(json.dumps(encode_operation(proposal)))
        carried = replace(proposal, **ChangeCarrier(proposal).fields(tables))
        self.assertGreater(whole, 50_000)
        self.assertLess(len(json.dumps(encode_operation(carried))), 1_000)
        after, result = propose(tables, carried)
        self.assertTrue(result.is_accepted)
        active = after.configuration
        self.assertEqual((proposal.tree, proposal.source), (active.tree, active.source))

    def test_on_another_base_a_difference_is_superseded_and_the_whole_follows(self):
        tables = self.accepted(Tables(epoch=1), self.proposal(1, ROUTES))
        proposal, other = self.proposal(3, ROUTES + 1), self.proposal(2, ROUTES + 2)
        carrier = ChangeCarrier(proposal)
        carried = replace(proposal, **carrier.fields(tables))
        moved_on = self.accepted(tables, other)
        unchanged, result = propose(moved_on, carried)
        self.assertEqual((False, "superseded"), (result.is_accepted, result.reason))
        self.assertIs(moved_on, unchanged)
        for _ in range(3):
            last = replace(proposal, **carrier.fields(tables))
        self.assertEqual(proposal.tree, last.tree)
        self.assertTrue(propose(moved_on, last).result.is_accepted)

    def test_a_repeat_of_a_difference_is_acknowledged_by_its_content(self):
        tables = self.accepted(Tables(epoch=1), self.proposal(1, ROUTES))
        proposal = self.proposal(2, ROUTES + 1)
        carried = replace(proposal, **ChangeCarrier(proposal).fields(tables))
        after = propose(tables, carried).tables
        again, result = propose(after, carried)
        self.assertEqual((True, False), (result.is_accepted, result.is_changed))
        self.assertIs(after, again)

    def test_sizes_are_of_the_difference(self):
        before, after = tree_of({"a": route(1)}), tree_of({"a": route(1), "b": route(2)})
        delta = ConfigurationDelta.between(before, None, after, None)
        self.assertLess(delta.size(), 150)

    def proposal(self, version, routes):
        branches = {f"w{number}": route(number) for number in range(routes)}
        tree, source = tree_of(branches), document(branches)
        return ConfigurationProposal(
            content=content_digest(tree, source), tree=tree, source=source, version=version
        )

    def accepted(self, tables, proposal):
        after, result = propose(tables, proposal)
        self.assertTrue(result.is_accepted, result)
        return after


if __name__ == "__main__":
    unittest.main()
