"""Operations on daemons: they join, drain and leave, and are suspected by their watchers."""

from dataclasses import replace

from willowpost.state.kinds import DaemonState
from willowpost.state.tables import FAILURE_VERDICTS_KEPT, Tables

SUSPICIONS_NEEDED = 2


def join(tables: Tables, op: dict):
    """Add a daemon, or a new incarnation of it, as up.

    It replaces another daemon at its address and repairs the failure verdicts on its machine and
    kind. For an incarnation that is known already, see `_found_again`.

    Args:
        tables: the tables before the operation.
        op: `daemon`, a `node_state.Card` as a mapping.

    Returns:
        The tables and the answer.
    """
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
    """Return the tables with a lost daemon up again, if nobody suspects it any more.

    The daemons that suspected it may have ended, so its own word is enough then.
    """
    if card["state"] != DaemonState.LOST.value or card["id"] in tables.suspicions:
        return tables
    return replace(
        tables,
        daemons={**tables.daemons, card["id"]: {**card, "state": DaemonState.UP.value}},
        failure_verdicts=_repaired(tables, card["name"], card["kind"]),
    )


def leave(tables: Tables, op: dict):
    """Remove the daemon `id`, if its incarnation is `incarnation`, and its suspicions.

    Suspicions of it go as well as those it reported.

    Returns:
        The tables and the answer, which is always positive.
    """
    rest = {
        name: card
        for name, card in tables.daemons.items()
        if name != op["id"] or card["incarnation"] != op["incarnation"]
    }
    gone = tables.daemons.keys() - rest.keys()
    return replace(tables, daemons=rest, suspicions=forget(tables.suspicions, gone)), {"ok": True}


def drain(tables: Tables, op: dict):
    """Mark the daemon `id` as draining, if its incarnation is `incarnation`.

    Returns:
        The tables and the answer; refused for an unknown daemon or another incarnation.
    """
    card = tables.daemons.get(op["id"])
    if card is None or card["incarnation"] != op["incarnation"]:
        return tables, {"ok": False, "why": "unknown daemon"}
    return replace(
        tables, daemons={**tables.daemons, op["id"]: {**card, "state": DaemonState.DRAINING.value}}
    ), {"ok": True}


def suspicion(tables: Tables, op: dict):
    """Record that a watcher suspects a daemon, or no longer does.

    A daemon turns lost when two others (or all others, if fewer) suspect this incarnation, and up
    again when none does. A lost watcher's new suspicions are refused: behind a network partition it
    misses everybody on the other side, and its reports may arrive long afterwards.

    Args:
        tables: the tables before the operation.
        op: `target` and its `incarnation`, `watcher`, and whether it is `suspected`.

    Returns:
        The tables and the answer with the target's `state`.
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
    """Return the suspicions without those by or of the daemons in `gone`."""
    kept = {
        target: {name: True for name in held if name not in gone}
        for target, held in suspicions.items()
        if target not in gone
    }
    return {target: held for target, held in kept.items() if held}


def _without(held: dict, key: str) -> dict:
    return {name: value for name, value in held.items() if name != key}
