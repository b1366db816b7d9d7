"""Daemons join, leave, and are doubted by those who watch them."""
from dataclasses import replace

from willowpost.state.kinds import DaemonState
from willowpost.state.tables import LOSSES_KEPT, Tables

DOUBTS_NEEDED = 2


def join(tables: Tables, op: dict):
    card = {**op["daemon"], "state": DaemonState.UP.value, "since": tables.slot}
    others = {name: other for name, other in tables.daemons.items()
              if other["address"] != card["address"] or name == card["id"]}
    known = tables.daemons.get(card["id"])
    if known is not None and known["incarnation"] == card["incarnation"]:
        return _found_again(tables, known), {"ok": True}
    doubts = forget(tables.doubts, {card["id"], *(tables.daemons.keys() - others.keys())})
    return replace(tables, daemons={**others, card["id"]: card}, doubts=doubts,
                   losses=_repaired(tables, card["name"], card["kind"])), {"ok": True}


def _found_again(tables: Tables, card: dict) -> Tables:
    """Who is held lost, but is doubted by nobody any more, need only say that it is there: its doubters may have ended."""
    if card["state"] != DaemonState.LOST.value or card["id"] in tables.doubts:
        return tables
    return replace(tables, daemons={**tables.daemons, card["id"]: {**card, "state": DaemonState.UP.value}},
                   losses=_repaired(tables, card["name"], card["kind"]))


def leave(tables: Tables, op: dict):
    rest = {name: card for name, card in tables.daemons.items()
            if name != op["id"] or card["incarnation"] != op["incarnation"]}
    gone = tables.daemons.keys() - rest.keys()
    return replace(tables, daemons=rest, doubts=forget(tables.doubts, gone)), {"ok": True}


def drain(tables: Tables, op: dict):
    card = tables.daemons.get(op["id"])
    if card is None or card["incarnation"] != op["incarnation"]:
        return tables, {"ok": False, "why": "unknown daemon"}
    return replace(tables, daemons={**tables.daemons, op["id"]: {**card, "state": DaemonState.DRAINING.value}}), {"ok": True}


def doubt(tables: Tables, op: dict):
    """Invariant: a daemon is lost only while at least two others (or all others) doubt this incarnation of it."""
    target, watcher = op["target"], op["watcher"]
    card = tables.daemons.get(target)
    if card is None or card["incarnation"] != op["incarnation"] or watcher not in tables.daemons or watcher == target:
        return tables, {"ok": False, "why": "unknown daemon"}
    held = tables.doubts.get(target, {})
    doubters = {**held, watcher: True} if op["doubted"] else {name: True for name in held if name != watcher}
    doubts = {**_without(tables.doubts, target), **({target: doubters} if doubters else {})}
    needed = min(DOUBTS_NEEDED, len(tables.daemons) - 1)
    lost = len(doubters) >= needed
    back = card["state"] == DaemonState.LOST.value and not doubters
    state = DaemonState.LOST.value if lost else DaemonState.UP.value if back else card["state"]
    losses = tables.losses
    if lost and card["state"] != DaemonState.LOST.value:
        losses = (*losses, {"slot": tables.slot, "daemon": target, "name": card["name"], "kind": card["kind"],
                            "zone": card["zone"], "repaired": None})[-LOSSES_KEPT:]
    if back:
        losses = _repaired(tables, card["name"], card["kind"])
    return replace(tables, doubts=doubts, losses=losses,
                   daemons={**tables.daemons, target: {**card, "state": state}}), {"ok": True, "state": state}


def _repaired(tables, name, kind):
    return tuple({**loss, "repaired": tables.slot}
                 if loss["name"] == name and loss["kind"] == kind and loss["repaired"] is None else loss
                 for loss in tables.losses)


def forget(doubts: dict, gone) -> dict:
    """What the gone doubted, and what was doubted of them, is void."""
    kept = {target: {name: True for name in held if name not in gone} for target, held in doubts.items() if target not in gone}
    return {target: held for target, held in kept.items() if held}


def _without(held: dict, key: str) -> dict:
    return {name: value for name, value in held.items() if name != key}
