"""Entries of the tables, with defaults for the attributes that a test does not depend on."""

from typing import Any

from willowpost.state.entries import DaemonEntry, OriginEntry
from willowpost.state.lifecycle import OriginState
from willowpost.wire.messages import Member


def member(name: str, zone: str = "a", address: str | None = None) -> Member:
    """Return a voter whose identity is its name; by default, so is its address."""
    return Member(name, name, zone, name if address is None else address)


def daemon_entry(daemon_id: str, **attributes: Any) -> DaemonEntry:
    """Return the entry of a daemon that is up; by default, of a core store in zone a."""
    defaults = {
        "kind": "store",
        "role": "core",
        "name": daemon_id,
        "zone": "a",
        "address": daemon_id,
        "http": "",
        "incarnation": 1,
    }
    return DaemonEntry(id=daemon_id, **{**defaults, **attributes})


def origin_entry(**attributes: Any) -> OriginEntry:
    """Return the entry of a warm origin in zone a."""
    defaults = {
        "service": "g",
        "address": "127.0.0.1:9",
        "zone": "a",
        "rate": 10,
        "slow_start_rate": 1,
        "slot": 1,
        "state": OriginState.WARM,
    }
    return OriginEntry(**{**defaults, **attributes})
