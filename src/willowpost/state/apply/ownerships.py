"""Singleton roles, each with one owner and a fencing token."""

from dataclasses import replace

from willowpost.state.apply.transition import Transition, rejected
from willowpost.state.entries import Ownership
from willowpost.state.operations import AcquireOwnership
from willowpost.state.results import OwnershipAcquired, Reason
from willowpost.state.tables import Tables


def acquire(tables: Tables, operation: AcquireOwnership) -> Transition:
    """Make a daemon the owner of a role, if it names the role's current fencing token.

    The token then grows by 1. A role's token only grows, and one token has one owner. A role
    without an owner has token 0.
    """
    before = tables.ownerships.get(operation.key, Ownership())
    if before.fencing_token != operation.fencing_token:
        return rejected(tables, Reason.FENCED)
    ownership = Ownership(operation.owner, before.fencing_token + 1)
    after = replace(tables, ownerships={**tables.ownerships, operation.key: ownership})
    return Transition(after, OwnershipAcquired(ownership.fencing_token))
