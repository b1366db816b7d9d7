"""What operators ask besides configurations: purges, zones; and the fences of duties."""

from dataclasses import replace

from willowpost.state.apply.origins import turned_cold
from willowpost.state.kinds import IN_FORCE, SUPERSEDED
from willowpost.state.tables import PURGES_KEPT, Tables


def purge(tables: Tables, op: dict):
    entry = {
        "slot": tables.slot,
        "host": op.get("host", ""),
        "kind": op["kind"],
        "path": op.get("path", ""),
    }
    held = (*tables.purges, entry)
    floor = tables.purge_floor
    if len(held) > PURGES_KEPT:
        floor = held[-PURGES_KEPT - 1]["slot"] + 1
        held = tuple(other for other in held if other["slot"] >= floor)
    return replace(tables, purges=held, purge_floor=floor), {"ok": True, "slot": tables.slot}


def zone(tables: Tables, op: dict):
    """`what` is emptied: all (daemons reject there too), or the origins alone.

    Given back, origins that a cold rate protects count as cold from this slot on: nobody knows what
    they became meanwhile.

    Invariant: what a registry proposes that knew the tables only up to slot `as_of` changes nothing
    if the zone changed in a later one. So an order that was left in a queue behind a cut takes no
    effect after a newer one.
    """
    before = tables.zones.get(op["zone"], {})
    what = op.get("what", "all") if op["empty"] else before.get("what", "all")
    if op.get("as_of") is not None and before.get("slot", -1) >= op["as_of"]:
        stands = (before["empty"], before["what"]) == (op["empty"], what)
        return tables, {"ok": True} if stands else {"ok": False, "why": SUPERSEDED}
    held = {**tables.zones, op["zone"]: {"empty": op["empty"], "slot": tables.slot, "what": what}}
    back = not op["empty"] and before.get("empty") and what == "origins"
    return replace(
        tables, zones=held, origins=_cold(tables, op["zone"]) if back else tables.origins
    ), {"ok": True}


def _cold(tables, zone):
    services = (tables.configuration["tree"] or {}).get("services") or {}
    return {
        name: turned_cold(card, tables.slot)
        if card["zone"] == zone
        and card["state"] in IN_FORCE
        and services.get(card["service"], {}).get("cold_rate") is not None
        else card
        for name, card in tables.origins.items()
    }


def own(tables: Tables, op: dict):
    """Invariant: a key's fence only grows, and one fence has one owner."""
    held = tables.fences.get(op["key"], {"owner": "", "fence": 0})
    if held["fence"] != op["fence"]:
        return tables, {"ok": False, "why": "fence moved on"}
    card = {"owner": op["owner"], "fence": held["fence"] + 1}
    return replace(tables, fences={**tables.fences, op["key"]: card}), {
        "ok": True,
        "fence": card["fence"],
    }
