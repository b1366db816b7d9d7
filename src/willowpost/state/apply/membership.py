"""Daemons join, leave, and are suspected by those who watch them."""

from dataclasses import replace

from willowpost.state.kinds import DaemonState
from willowpost.state.tables import FAILURE_VERDICTS_KEPT, Tables

SUSPICIONS_NEEDED = 2


def join(tables: Tables, op: dict):
    card = {**op["daemon"], "state": DaemonState.UP.value, "since": tables.slot}
    others = {
        name: other
        for name, other in tables.daemons.items()
        if other["address"] != card["address"] or name == card["id"]
    }
    known = tables.daemons.get(card["id"])
    if known is not None and known["incarnation"] == card["incarnation"]:
        return _found_again(tables, known), {"ok": True}
    suspicions = forget(tables.suspicions, {card["id"], *(tables.daemons.keys() - others.keys())})
    return replace(
        tables,
        daemons={**others, card["id"]: card},
        suspicions=suspicions,
        failure_verdicts=_repaired(tables, card["name"], card["kind"]),
    ), {"ok": True}


def _found_again(tables: Tables, card: dict) -> Tables:
    """Who is held lost, but is suspected by nobody any more, need only say that it is there.

    Its doubters may have ended.
    """
    if card["state"] != DaemonState.LOST.value or card["id"] in tables.suspicions:
        return tables
    return replace(
        tables,
        daemons={**tables.daemons, card["id"]: {**card, "state": DaemonState.UP.value}},
        failure_verdicts=_repaired(tables, card["name"], card["kind"]),
    )


def leave(tables: Tables, op: dict):
    rest = {
        name: card
        for name, card in tables.daemons.items()
        if name != op["id"] or card["incarnation"] != op["incarnation"]
    }
    gone = tables.daemons.keys() - rest.keys()
    return replace(tables, daemons=rest, suspicions=forget(tables.suspicions, gone)), {"ok": True}


def drain(tables: Tables, op: dict):
    card = tables.daemons.get(op["id"])
    if card is None or card["incarnation"] != op["incarnation"]:
        return tables, {"ok": False, "why": "unknown daemon"}
    return replace(
        tables, daemons={**tables.daemons, op["id"]: {**card, "state": DaemonState.DRAINING.value}}
    ), {"ok": True}


def suspicion(tables: Tables, op: dict):
    """A watcher suspects a daemon, or hears it again.

    Invariants: a daemon is lost only while at least two others (or all others) suspect this
    incarnation of it. A watcher that is held lost itself suspects nobody: behind a cut it misses
    everybody on the other side, and may say so long afterwards.
    """
    target, watcher = op["target"], op["watcher"]
    card = tables.daemons.get(target)
    if (
        card is None
        or card["incarnation"] != op["incarnation"]
        or watcher not in tables.daemons
        or watcher == target
    ):
        return tables, {"ok": False, "why": "unknown daemon"}
    if op["suspected"] and tables.daemons[watcher]["state"] == DaemonState.LOST.value:
        return tables, {"ok": False, "why": "its watcher is lost"}
    held = tables.suspicions.get(target, {})
    suspecting = (
        {**held, watcher: True}
        if op["suspected"]
        else {name: True for name in held if name != watcher}
    )
    suspicions = {
        **_without(tables.suspicions, target),
        **({target: suspecting} if suspecting else {}),
    }
    needed = min(SUSPICIONS_NEEDED, len(tables.daemons) - 1)
    lost = len(suspecting) >= needed
    back = card["state"] == DaemonState.LOST.value and not suspecting
    state = DaemonState.LOST.value if lost else DaemonState.UP.value if back else card["state"]
    failure_verdicts = tables.failure_verdicts
    if lost and card["state"] != DaemonState.LOST.value:
        failure_verdicts = (
            *failure_verdicts,
            {
                "slot": tables.slot,
                "daemon": target,
                "name": card["name"],
                "kind": card["kind"],
                "zone": card["zone"],
                "repaired": None,
            },
        )[-FAILURE_VERDICTS_KEPT:]
    if back:
        failure_verdicts = _repaired(tables, card["name"], card["kind"])
    return replace(
        tables,
        suspicions=suspicions,
        failure_verdicts=failure_verdicts,
        daemons={**tables.daemons, target: {**card, "state": state}},
    ), {"ok": True, "state": state}


def _repaired(tables, name, kind):
    return tuple(
        {**failure_verdict, "repaired": tables.slot}
        if failure_verdict["name"] == name
        and failure_verdict["kind"] == kind
        and failure_verdict["repaired"] is None
        else failure_verdict
        for failure_verdict in tables.failure_verdicts
    )


def forget(suspicions: dict, gone) -> dict:
    """What the gone suspected, and what was suspected of them, is void."""
    kept = {
        target: {name: True for name in held if name not in gone}
        for target, held in suspicions.items()
        if target not in gone
    }
    return {target: held for target, held in kept.items() if held}


def _without(held: dict, key: str) -> dict:
    return {name: value for name, value in held.items() if name != key}
