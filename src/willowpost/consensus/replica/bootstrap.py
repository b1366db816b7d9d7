"""Bootstraps an empty fleet once; an empty store in a bootstrapped fleet becomes a learner."""

import json
from dataclasses import dataclass
from typing import Any

from willowpost.common.clock import SECOND
from willowpost.common.events import Received, SettingsChanged, Tick
from willowpost.common.plan import Plan
from willowpost.consensus.replica.record_types import BootstrapPromiseRecord
from willowpost.consensus.replica.records import bootstrap_voters_record, encode_record
from willowpost.consensus.replica.replica_state import ReplicaState
from willowpost.state.codec import MEMBER
from willowpost.wire.messages import CatchupRequest, Hello, Member

# A bootstrapped store without a successful quorum read for so long requests the voters from its
# seeds.
RECONNECT_AFTER_US = 3 * SECOND


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


DEFAULT_POLICY = VoterPolicy()


class Bootstrap:
    """Bootstraps the fleet once, and reconnects a store that no voter answers.

    A store makes one bootstrap promise, for one set of members, and syncs it to disk before sending
    it. The fleet is bootstrapped only when every member of the set has promised the same set. A
    store that may not bootstrap sends no claim, so it is in no set.

    Attributes:
        seeds: addresses of the seeds.
        size: the number of bootstrap members.
        claims: the stores that report themselves to be empty, by identity.
        promises: the bootstrap promises received, by identity.
        known_addresses: stores to greet, reported by others; only a store's own claim counts for
            the bootstrap.
        bootstrapped_addresses: the voters of a fleet that is bootstrapped already.
        sent_at: when the last greetings left; µs, own clock; -1: none left.
        request_count: of the requests to bootstrapped voters.
    """

    def __init__(
        self,
        node_state: ReplicaState,
        seeds: tuple[str, ...],
        size: int,
        policy: VoterPolicy = DEFAULT_POLICY,
    ):
        self.node_state = node_state
        self.policy = policy
        self.seeds = seeds
        self.size = size
        self.claims: dict[str, Member] = {node_state.member.identity: node_state.member}
        self.promises: dict[str, tuple[str, ...]] = {}
        self.known_addresses: set[str] = set()
        self.bootstrapped_addresses: set[str] = set()
        self.sent_at = -1
        self.request_count = 0

    def step(self, event: Any, now: int) -> Plan:
        """Handle one event.

        Until the fleet is bootstrapped, a `Hello` goes to the seeds and to all known addresses,
        every `hello_interval_us`. Afterwards one goes to the seeds whenever no quorum read has
        succeeded for RECONNECT_AFTER_US.
        """
        plan = Plan()
        match event:
            case SettingsChanged(seeds=seeds, pace=tuning):
                self.seeds = tuple(seeds)
                self.node_state.tuning = tuning or self.node_state.tuning
            case Received(source, Hello() as hello):
                self._receive_hello(source, hello, plan)
            case Tick() if self.node_state.is_bootstrapped:
                self._reconnect_if_due(now, plan)
            case Tick():
                self._greet_if_due(now, plan)
        if not self.node_state.is_bootstrapped:
            self._try_to_bootstrap(plan)
        return plan

    # Greetings

    def _reconnect_if_due(self, now: int, plan: Plan) -> None:
        fresh_as_of = self.node_state.fresh_as_of
        is_stale = fresh_as_of is None or now - fresh_as_of > RECONNECT_AFTER_US
        if not is_stale or now - self.sent_at < RECONNECT_AFTER_US:
            return
        self.sent_at = now
        plan.sends += [
            (seed, self._hello(is_answer=False))
            for seed in self.seeds
            if seed != self.node_state.member.address
        ]

    def _greet_if_due(self, now: int, plan: Plan) -> None:
        interval = self.node_state.tuning.hello_interval_us
        if self.sent_at >= 0 and now - self.sent_at < interval:
            return
        self.sent_at = now
        addresses = {
            *self.seeds,
            *self.known_addresses,
            *(claim.address for claim in self.claims.values()),
            *self.bootstrapped_addresses,
        }
        plan.sends += [
            (address, self._hello(is_answer=False))
            for address in sorted(addresses - {self.node_state.member.address})
        ]
        self._request_tables(now, plan)

    def _request_tables(self, now: int, plan: Plan) -> None:
        """Request a snapshot from the bootstrapped fleet, if there is one.

        Each time from another voter: the first may be the very one that was lost.
        """
        sources = sorted(self.bootstrapped_addresses)
        self.request_count += 1
        incoming = self.node_state.incoming_snapshot
        if sources and not incoming.is_progressing(now):
            source = sources[self.request_count % len(sources)]
            plan.send(source, CatchupRequest(0, has_no_tables=True, snapshot=incoming.request()))

    def _hello(self, is_answer: bool) -> Hello:
        node_state = self.node_state
        if not node_state.is_bootstrapped and not self._may_bootstrap():
            return Hello(is_reply=is_answer)
        return Hello(
            node_state.member.identity,
            node_state.member.name,
            node_state.member.zone,
            node_state.member.address,
            node_state.is_bootstrapped,
            is_answer,
            node_state.tables.voters or tuple(self.claims.values()),
            node_state.bootstrap_promise,
        )

    def _receive_hello(self, source: str, hello: Hello, plan: Plan) -> None:
        if not hello.is_reply:
            plan.send(source, self._hello(is_answer=True))
        own_address = self.node_state.member.address
        if hello.is_bootstrapped and self.node_state.is_bootstrapped:
            self._request_newer_decisions(hello, plan)
        elif hello.is_bootstrapped:
            voters = {member.address for member in hello.known_members}
            self.bootstrapped_addresses = voters - {own_address}
        elif hello.identity and self._may_be_bootstrap_member(hello.address):
            self._add_claim(Member(hello.identity, hello.name, hello.zone, hello.address))
        if hello.bootstrap_promise:
            self.promises[hello.identity] = hello.bootstrap_promise
        self.known_addresses |= {member.address for member in hello.known_members}

    def _request_newer_decisions(self, hello: Hello, plan: Plan) -> None:
        """Request decisions from the voters that the sender knows and this store does not.

        The voters known here are gone, or this store would not have greeted; the sender's are
        newer.
        """
        node_state = self.node_state
        known = {node_state.member.address, *node_state.voter_addresses.values()}
        unknown = {member.address for member in hello.known_members} - known
        plan.sends += [
            (address, CatchupRequest(node_state.tables.slot)) for address in sorted(unknown)
        ]

    # Claims and promises

    def _may_bootstrap(self) -> bool:
        """Whether this store may bootstrap; a promise once made stays valid."""
        is_allowed = self.policy.may_bootstrap and self._may_be_bootstrap_member(
            self.node_state.member.address
        )
        return is_allowed or bool(self.node_state.bootstrap_promise)

    def _may_be_bootstrap_member(self, address: str) -> bool:
        """Whether the store at `address` may be a bootstrap member.

        With more seeds than bootstrap members, two sets of seeds could otherwise bootstrap a fleet
        each.
        """
        if not self.policy.bootstrap_from_seeds:
            return True
        return address in sorted(set(self.seeds))[: self.size]

    def _add_claim(self, member: Member) -> None:
        """Add a store's own claim; it replaces an earlier one for the same address."""
        own_identity = self.node_state.member.identity
        self.claims = {
            identity: claim
            for identity, claim in self.claims.items()
            if claim.address != member.address or identity == own_identity
        }
        self.claims[member.identity] = member

    def _try_to_bootstrap(self, plan: Plan) -> None:
        node_state = self.node_state
        if not node_state.bootstrap_promise and self._may_promise():
            self._promise(plan)
        promise = node_state.bootstrap_promise
        self.promises[node_state.member.identity] = promise
        members = tuple(MEMBER.decode(json.loads(member)) for member in promise)
        have_all_promised = all(self.promises.get(member.identity) == promise for member in members)
        if members and have_all_promised:
            plan.records.append(bootstrap_voters_record(members))
            node_state.enter_first_epoch(members)
            plan.log("bootstrap", "fleet bootstrapped", voters=[member.name for member in members])

    def _may_promise(self) -> bool:
        """Whether this store may bootstrap, enough stores have claimed, and no fleet runs yet."""
        return (
            not self.bootstrapped_addresses
            and self._may_bootstrap()
            and len(self.claims) >= self.size
        )

    def _promise(self, plan: Plan) -> None:
        """Promise a set of members with all that describes them.

        So equal promises give equal tables.
        """
        node_state = self.node_state
        ranked = sorted(self.claims.values(), key=lambda claim: (claim.name, claim.identity))
        chosen = ranked[: self.size]
        if node_state.member not in chosen:
            return
        texts = sorted(json.dumps(MEMBER.encode(claim), sort_keys=True) for claim in chosen)
        node_state.bootstrap_promise = tuple(texts)
        plan.records.append(encode_record(BootstrapPromiseRecord(node_state.bootstrap_promise)))
