"""Operations that operators ask for besides configurations: purges and zones; and fences."""

from dataclasses import replace

from willowpost.state.apply.origins import turned_cold
from willowpost.state.kinds import IN_FORCE, SUPERSEDED
from willowpost.state.tables import PURGES_KEPT, Tables


def purge(tables: Tables, op: dict):
    """Record a purge of cached items.

    At most PURGES_KEPT are kept; `purge_floor` is then the first slot from which all are known.

    Args:
        tables: the tables before the operation.
        op: `host`, `kind` (item, prefix, all or tag) and `path`, which holds the tag for kind tag.

    Returns:
        The tables and the answer with the `slot` of the purge.
    """
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
    """Empty a zone, or restore it.

    `what` is emptied: "all" (daemons there reject too) or only the "origins". Once restored,
    origins of services with a `cold_rate` count as cold from this slot on, since their state is
    unknown.

    An operation with `as_of`, the slot that its registry knew, changes nothing if the zone changed
    in that slot or later: an order delayed by a network partition does not undo a newer one.

    Args:
        tables: the tables before the operation.
        op: `zone`, its name; `empty`, whether to empty it; optionally `what` and `as_of`.

    Returns:
        The tables and the answer.
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
    """Make `owner` the owner of `key`, if `fence` is the key's current fence.

    The fence then grows by 1. A key's fence only grows, and one fence has one owner. A key without
    an owner has fence 0.

    Returns:
        The tables and the answer with the new `fence`.
    """
    held = tables.fences.get(op["key"], {"owner": "", "fence": 0})
    if held["fence"] != op["fence"]:
        return tables, {"ok": False, "why": "fence moved on"}
    card = {"owner": op["owner"], "fence": held["fence"] + 1}
    return replace(tables, fences={**tables.fences, op["key"]: card}), {
        "ok": True,
        "fence": card["fence"],
    }
