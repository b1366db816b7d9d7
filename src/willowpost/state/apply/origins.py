"""Origins register, enter, warm, drain and go."""
from dataclasses import replace

from willowpost.state.kinds import NEXT_ORIGIN, OriginState
from willowpost.state.tables import Tables

BOUND_KEPT = 4096


def register(tables: Tables, op: dict):
    """Invariant: an address that last served another group waits until the log says it may enter."""
    address, group = op["address"], op["group"]
    moved = tables.bound.get(address, {}).get("group", group) != group
    waits = moved or any(origin["address"] == address and origin["state"] == OriginState.WAITING.value
                         for origin in tables.origins.values())
    name = f"{address}@{tables.slot}.{op.get('part', 0)}"
    card = {"group": group, "address": address, "zone": op["zone"], "rate": op["rate"], "coldRate": op["coldRate"], "slot": tables.slot,
            **({"token": op["token"]} if op.get("token") else {}),
            "state": (OriginState.WAITING if waits else OriginState.COLD).value}
    others = {other: origin for other, origin in tables.origins.items() if origin["address"] != address}
    bound = {**tables.bound, address: {"group": group}}
    if len(bound) > BOUND_KEPT:
        bound = dict(list(bound.items())[-BOUND_KEPT:])
    return replace(tables, origins={**others, name: card}, bound=bound), {"ok": True, "origin": name, "state": card["state"]}


def turn(tables: Tables, op: dict):
    card = tables.origins.get(op["origin"])
    if card is None:
        return tables, {"ok": False, "why": "unknown origin"}
    state = OriginState(op["state"])
    if state.value == card["state"]:
        return tables, {"ok": True}
    if state not in NEXT_ORIGIN[OriginState(card["state"])]:
        return tables, {"ok": False, "why": f"{card['state']} does not turn {state.value}"}
    others = {name: origin for name, origin in tables.origins.items() if name != op["origin"]}
    held = others if state is OriginState.GONE else {**tables.origins, op["origin"]: {**card, "state": state.value}}
    return replace(tables, origins=held), {"ok": True}
