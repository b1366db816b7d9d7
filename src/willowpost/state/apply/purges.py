"""Purges of cached responses."""

from dataclasses import replace

from willowpost.state.apply.transition import Transition
from willowpost.state.entries import Purge
from willowpost.state.operations import PurgeCache
from willowpost.state.results import PurgeAccepted
from willowpost.state.tables import MAX_PURGES, Tables


def purge(tables: Tables, operation: PurgeCache) -> Transition:
    """Record a purge of cached responses.

    At most MAX_PURGES are kept, but all of one slot or none; `purge_floor` is then the first slot
    from which all are known.
    """
    entry = Purge(tables.slot, operation.host, operation.kind, operation.path)
    purges, floor = (*tables.purges, entry), tables.purge_floor
    if len(purges) > MAX_PURGES:
        floor = purges[-MAX_PURGES - 1].slot + 1
        purges = tuple(known for known in purges if known.slot >= floor)
    after = replace(tables, purges=purges, purge_floor=floor)
    return Transition(after, PurgeAccepted(tables.slot))
