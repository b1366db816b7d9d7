"""Bootstraps an empty fleet once; an empty store in a bootstrapped fleet becomes a learner."""

import json
from dataclasses import dataclass

from willowpost.common.clock import SECOND
from willowpost.common.events import Received, SettingsChanged, Tick
from willowpost.common.plan import Plan
from willowpost.consensus.replica.records import bootstrap_promise_record, founding_record
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.state.codec import MEMBER
from willowpost.wire.messages import CatchupRequest, Hello, Member

# µs; a bootstrapped store without a successful quorum read for so long asks its seeds who votes
WITHOUT_SOURCE_AFTER = 3 * SECOND


@dataclass(frozen=True, slots=True)
class VoterPolicy:
    """What a store may do to the set of voters.

    Attributes:
        may_bootstrap: whether an empty store may become a bootstrap member; if not, it only learns.
        bootstrap_from_seeds: whether only the first seeds by address, as many as the fleet has
            bootstrap members, may be bootstrap members.
        max_voters: how many voters the core may grow to; 0: it does not grow.
    """

    may_bootstrap: bool = True
    bootstrap_from_seeds: bool = False
    max_voters: int = 0


class Bootstrap:
    """Bootstraps the fleet once, and reconnects a store that no voter answers.

    A store makes one bootstrap promise, for one set of members, and syncs it to disk before sending
    it. The fleet is bootstrapped only when every member of the set has promised the same set. A
    store that may not bootstrap sends no claim, so it is in no set.
    """

    def __init__(
        self,
        node_state: ReplicaState,
        seeds: tuple[str, ...],
        size: int,
        rights: VoterPolicy = VoterPolicy(),
    ):
        self.node_state = node_state
        self.rights = rights
        self.seeds = seeds
        self.size = size
        self.claims: dict[str, Member] = {node_state.member.identity: node_state.member}
        self.bootstrap_promises: dict[str, tuple] = {}
        # addresses to greet; only first-hand claims may found
        self.heard_of: set[str] = set()
        self.bootstrapped_addresses: set[str] = set()
        self.sent_at = -1
        self.round = 0

    def step(self, event, now: int) -> Plan:
        """Handle one event.

        Until the fleet is bootstrapped, a `Hello` goes to the seeds and to all addresses heard of,
        every `pace.hello`. Afterwards one goes to the seeds whenever no quorum read has succeeded
        for WITHOUT_SOURCE_AFTER.
        """
        plan = Plan()
        match event:
            case SettingsChanged(seeds=seeds, pace=pace):
                self.seeds, self.node_state.tuning = tuple(seeds), pace or self.node_state.tuning
            case Received(source, Hello() as hello):
                self._hear(source, hello, plan)
            case Tick() if (
                self.node_state.is_bootstrapped
                and self._without_source(now)
                and now - self.sent_at >= WITHOUT_SOURCE_AFTER
            ):
                self.sent_at = now
                plan.sends += [
                    (seed, self._hello(False))
                    for seed in self.seeds
                    if seed != self.node_state.member.address
                ]
            case Tick() if not self.node_state.is_bootstrapped and (
                self.sent_at < 0 or now - self.sent_at >= self.node_state.tuning.hello
            ):
                self.sent_at = now
                self._say(now, plan)
        if not self.node_state.is_bootstrapped:
            self._found(plan)
        return plan

    def _may_bootstrap(self) -> bool:
        """Whether this store may bootstrap; a promise once made stays valid."""
        return (
            self.rights.may_bootstrap and self._seat_of(self.node_state.member.address)
        ) or bool(self.node_state.bootstrap_promise)

    def _seat_of(self, address) -> bool:
        """Whether the store at `address` may be a bootstrap member.

        With more seeds than bootstrap members, two sets of seeds could otherwise bootstrap a fleet
        each.
        """
        return (
            not self.rights.bootstrap_from_seeds or address in sorted(set(self.seeds))[: self.size]
        )

    def _hello(self, answer):
        node_state = self.node_state
        if not node_state.is_bootstrapped and not self._may_bootstrap():
            return Hello(answer=answer)
        known = node_state.tables.voters or tuple(self.claims.values())
        return Hello(
            node_state.member.identity,
            node_state.member.name,
            node_state.member.zone,
            node_state.member.address,
            node_state.is_bootstrapped,
            answer,
            known,
            node_state.bootstrap_promise,
        )

    def _say(self, now, plan):
        addresses = {
            *self.seeds,
            *self.heard_of,
            *(claim.address for claim in self.claims.values()),
            *self.bootstrapped_addresses,
        }
        plan.sends += [
            (address, self._hello(False))
            for address in sorted(addresses - {self.node_state.member.address})
        ]
        # each time another voter: the first may be the very one that was lost
        tellers = sorted(self.bootstrapped_addresses)
        self.round += 1
        if tellers and not self.node_state.incoming_snapshot.is_progressing(now):
            request = self.node_state.incoming_snapshot.request()
            plan.send(
                tellers[self.round % len(tellers)], CatchupRequest(0, blank=True, snapshot=request)
            )

    def _hear(self, source, hello, plan):
        node_state = self.node_state
        if not hello.answer:
            plan.send(source, self._hello(True))
        if hello.bootstrapped and node_state.is_bootstrapped:
            # The voters known here are gone, or it would not have asked; the sender's are newer.
            strangers = {member.address for member in hello.known} - {
                node_state.member.address,
                *node_state.voter_addresses.values(),
            }
            plan.sends += [
                (address, CatchupRequest(node_state.tables.slot)) for address in sorted(strangers)
            ]
        elif hello.bootstrapped:
            self.bootstrapped_addresses = {member.address for member in hello.known} - {
                node_state.member.address
            }
        elif hello.identity and self._seat_of(hello.address):
            self._claim(Member(hello.identity, hello.name, hello.zone, hello.address))
        if hello.promise:
            self.bootstrap_promises[hello.identity] = hello.promise
        self.heard_of |= {member.address for member in hello.known}

    def _without_source(self, now) -> bool:
        fresh = self.node_state.fresh_as_of
        return fresh is None or now - fresh > WITHOUT_SOURCE_AFTER

    def _claim(self, member):
        """Add a first-hand claim, in place of an earlier one for the same address."""
        self.claims = {
            identity: claim
            for identity, claim in self.claims.items()
            if claim.address != member.address or identity == self.node_state.member.identity
        }
        self.claims[member.identity] = member

    def _found(self, plan):
        node_state = self.node_state
        if not node_state.bootstrap_promise and self._may_promise():
            self._promise(plan)
        self.bootstrap_promises[node_state.member.identity] = node_state.bootstrap_promise
        members = tuple(
            MEMBER.decode(json.loads(member)) for member in node_state.bootstrap_promise
        )
        promised = (
            self.bootstrap_promises.get(member.identity) == node_state.bootstrap_promise
            for member in members
        )
        if members and all(promised):
            plan.records.append(founding_record(members))
            node_state.enter_first_epoch(members)
            plan.log("bootstrap", "fleet bootstrapped", voters=[member.name for member in members])

    def _may_promise(self) -> bool:
        """Whether this store may bootstrap, enough stores have claimed, and no fleet runs yet."""
        return (
            not self.bootstrapped_addresses
            and self._may_bootstrap()
            and len(self.claims) >= self.size
        )

    def _promise(self, plan):
        """Promise a set of whole cards, so that equal promises give equal tables."""
        node_state = self.node_state
        ranked = sorted(self.claims.values(), key=lambda claim: (claim.name, claim.identity))
        chosen = ranked[: self.size]
        if node_state.member not in chosen:
            return
        cards = sorted(json.dumps(MEMBER.encode(claim), sort_keys=True) for claim in chosen)
        node_state.bootstrap_promise = tuple(cards)
        plan.records.append(bootstrap_promise_record(cards))
