"""The operations of the log that scopes use."""

from willowpost.model.processes import incarnation_of, member_of
from willowpost.model.scope import Machine
from willowpost.state.configuration_changes import ConfigurationProposal
from willowpost.state.entries import DaemonDescriptor
from willowpost.state.operations import (
    EvacuateZone,
    JoinDaemon,
    OfferVoter,
    ReplaceVoter,
    ReportSuspicion,
)

MAX_VOTERS = 5
EVACUATE_ZONE_A = EvacuateZone("a", is_evacuated=True)
EVACUATE_ZONE_B = EvacuateZone("b", is_evacuated=True)


def configuration(number: int, host: str) -> ConfigurationProposal:
    """An operator gives the configuration this number."""
    return ConfigurationProposal(version=number, tree={"host": host})


def descriptor(machine: Machine) -> DaemonDescriptor:
    """A store's description of itself as it joins."""
    member = member_of(machine)
    return DaemonDescriptor(
        id=member.identity,
        kind="store",
        role="core",
        name=member.name,
        zone=member.zone,
        address=member.address,
        http="",
        incarnation=incarnation_of(1),
    )


def join(machine: Machine) -> JoinDaemon:
    """A store joins."""
    return JoinDaemon(descriptor(machine))


def suspect(target: Machine, watcher: Machine) -> ReportSuspicion:
    """One store suspects another."""
    return ReportSuspicion(
        member_of(target).identity,
        incarnation_of(1),
        member_of(watcher).identity,
        is_suspected=True,
    )


def replace_voter(replaced: Machine, learner: Machine) -> ReplaceVoter:
    """A learner replaces a voter."""
    return ReplaceVoter(member_of(replaced).identity, member_of(learner))


def offer_voter(learner: Machine) -> OfferVoter:
    """A learner offers itself as one more voter."""
    return OfferVoter(member_of(learner).identity, incarnation_of(1), MAX_VOTERS)
