"""Snapshots as they would be if draining origins stayed in force: a protection switched off."""

from dataclasses import replace

from willowpost.proxy.routing.snapshot import RoutingSnapshot
from willowpost.proxy.routing.snapshot_maker import SnapshotMaker
from willowpost.state.lifecycle import OriginState
from willowpost.state.tables import Tables

MAKE = SnapshotMaker.make


def make_with_draining(maker: SnapshotMaker, tables: Tables) -> RoutingSnapshot:
    """Make the snapshot of tables in which each draining origin is warm; patches `make`."""
    origins = {
        name: replace(origin, state=OriginState.WARM)
        if origin.state is OriginState.DRAINING
        else origin
        for name, origin in tables.origins.items()
    }
    return MAKE(maker, replace(tables, origins=origins))
