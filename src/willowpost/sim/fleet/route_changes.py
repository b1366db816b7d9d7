"""A fleet through many changes of its routes, with cuts, kills and joins; judges every denial.

A route is asked for at an edge only if every configuration that may be in force by then has it: the
newest that was accepted `APPLIED_AFTER` ago, and all that were sent since. A 3xx or 4xx of the
edge's own is then wrong, whatever the edge has missed.
"""

import copy
import json
import random
from dataclasses import dataclass, replace

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.configuration.checker import ConfigurationChecker
from willowpost.proxy.routing.request import RejectPlan, Request
from willowpost.registry.api.proposal_encoder import ProposalEncoder
from willowpost.sim.fleet.shape import SMALL
from willowpost.sim.fleet.world import FleetWorld
from willowpost.state.codec import encode_operation
from willowpost.state.configuration_changes import ConfigurationProposal, content_digest

APPLIED_AFTER = 2 * SECOND
CHANGE_EVERY = 250 * MILLISECOND
ASK_EVERY = 25 * MILLISECOND
FAULT_EVERY = 3 * SECOND
CUT_FOR = 8 * SECOND
SERVE_ON = 60 * SECOND  # as on a platform whose cut-off machines must go on serving
NO_DENIALS = (408, 421, 429)
HOST = "changing.example"


@dataclass(frozen=True, slots=True)
class SentChange:
    """One configuration as it was sent.

    Attributes:
        token: Under which the registry's command client answers.
        paths: The paths of its changing routes.
        bytes: Size of its operation in the log.
    """

    token: int
    paths: frozenset[str]
    bytes: int


@dataclass(frozen=True, slots=True)
class Denial:
    """A wrong answer.

    Attributes:
        at: When, in µs of the world's time.
        edge: Who gave it.
        code: The status.
        path: What was asked for.
    """

    at: int
    edge: str
    code: int
    path: str


class RouteChanges:
    """One seeded run.

    Attributes:
        denials: Every wrong denial.
        asked: How many requests were judged.
        changes: All changes, in the order in which they were sent.
    """

    def __init__(self, seed: int, edges: int = 8):
        zones = tuple("abcd"[number % 4] for number in range(edges))
        self.world = FleetWorld(seed, shape=replace(SMALL, edges=zones))
        self.chance = random.Random(f"route changes {seed}")
        self.changes: list[SentChange] = []
        self.accepted: dict[int, int] = {}  # number of a change -> when it was known as accepted
        self.paths: list[str] = []
        self.denials: list[Denial] = []
        self.asked = self.named = 0

    def run(self, changes: int) -> "RouteChanges":
        """Opens the fleet, sends that many changes and judges it until the last is in force."""
        world = self.world
        world.open()
        next_change = next_fault = world.time
        while len(self.changes) < changes or len(self.accepted) < changes:
            if world.time >= next_change and len(self.changes) < changes:
                next_change += CHANGE_EVERY
                self._change()
            if world.time >= next_fault and len(self.changes) < changes:
                next_fault += FAULT_EVERY
                self._fault()
            self._note_accepted()
            self._ask()
            world.run(ASK_EVERY)
        return self

    def _change(self):
        if len(self.paths) > 2 and self.chance.random() < 0.3:
            self.paths.remove(self.chance.choice(self.paths))
        else:
            self.named += 1
            self.paths.append(f"/changing{self.named}/")
        tree = copy.deepcopy(self.world.configuration)
        tree["branches"] |= {
            path.strip("/"): {"host": HOST, "path": path, "settings": {"service": "art"}}
            for path in self.paths
        }
        tree = ConfigurationChecker().check_value(tree).unwrap()
        proposal = ConfigurationProposal(
            content=content_digest(tree, None),
            tree=tree,
            version=1_000 + len(self.changes),
        )
        registry = f"r{len(self.changes) % 2}"
        tables = self.world.seats[registry].node.registry.tables
        operation = ProposalEncoder(proposal).encode(tables)
        size = len(json.dumps(encode_operation(operation)))
        self.changes.append(
            SentChange(self.world.ask(registry, operation), frozenset(self.paths), size)
        )

    def _note_accepted(self):
        for number, change in enumerate(self.changes):
            if number not in self.accepted and change.token in self.world.replies:
                self.accepted[number] = self.world.time

    def _fault(self):
        world, edge = self.world, self.chance.choice(self.world.edges)
        match self.chance.choice(("cut", "cut", "kill", "core")):
            case "cut":
                rest = [*world.stores(), *world.registries, *world.shields, *world.edges]
                world.cut([edge], [name for name in rest if name != edge])
            case "kill":
                world.crash(edge)
                world.at(SECOND, world.start, edge)
            case "core":
                store = self.chance.choice(world.stores())
                world.cut([store], [name for name in world.stores() if name != store])
        world.at(CUT_FOR, world.heal)

    def _ask(self):
        paths = self._certain()
        edges = [name for name in self.world.edges if self.world.seats[name].node is not None]
        if not paths or not edges:
            return
        edge, path = self.chance.choice(edges), self.chance.choice(sorted(paths))
        node = self.world.seats[edge].node
        node.proxy.max_stale_serving = SERVE_ON
        plan = node.execution.planner.plan(Request("GET", HOST, f"{path}1", {}))
        self.asked += 1
        if (
            isinstance(plan, RejectPlan)
            and 300 <= plan.status < 500
            and plan.status not in NO_DENIALS
        ):
            self.denials.append(Denial(self.world.time, edge, plan.status, path))

    def _certain(self) -> frozenset[str]:
        """The paths that all configurations have that may be in force."""
        old = [
            number for number, at in self.accepted.items() if at <= self.world.time - APPLIED_AFTER
        ]
        if not old:
            return frozenset()
        return frozenset.intersection(*(change.paths for change in self.changes[max(old) :]))
