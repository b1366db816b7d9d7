"""Operations on origins: register, change state, end; an ended incarnation does not return."""

from dataclasses import replace

from willowpost.state.kinds import NEXT_ORIGIN, SUPERSEDED, DaemonState, OriginState
from willowpost.state.tables import BOUND_KEPT, ENDED_KEPT, Tables

OVER = "this life is over"


def register(tables: Tables, op: dict):
    """Register an incarnation of an origin.

    An address that last served another service waits until the log lets it enter, unless the
    service is `named` (its origins check the incarnation named on a request). An incarnation with a
    token registers once, however often it asks. A registration with `as_of` (the slot that its
    registry knew) changes nothing if the address was registered in that slot or later.

    Args:
        tables: the tables before the operation.
        op: `address`, `service`, `zone`, `rate` and `cold_rate` (requests per second); optionally
            `token`, `slots`, `number`, `state`, `as_of`, `part` (its index in the command) and
            `cold`, whether it is cold; if given, its heartbeats will go on saying so (`told`).

    Returns:
        The tables and the answer with the `origin`'s name and `state`.
    """
    address, service, token = op["address"], op["service"], op.get("token")
    if token in tables.ended:
        return tables, {"ok": False, "why": OVER}
    known = named(tables, token)
    if known is not None and (
        tables.origins[known]["address"],
        tables.origins[known]["service"],
    ) == (address, service):
        return _again(tables, known, op)
    if op.get("as_of") is not None and tables.bound.get(address, {}).get("slot", -1) >= op["as_of"]:
        return tables, {"ok": False, "why": SUPERSEDED}
    former = {name for name, origin in tables.origins.items() if origin["address"] == address}
    moved = tables.bound.get(address, {}).get("service", service) != service
    waits = not _service(tables, service).get("named") and (
        moved or any(tables.origins[name]["state"] == OriginState.WAITING.value for name in former)
    )
    name = f"{address}@{tables.slot}.{op.get('part', 0)}"
    card = {
        "service": service,
        "address": address,
        "zone": op["zone"],
        "rate": op["rate"],
        "cold_rate": op["cold_rate"],
        "slot": tables.slot,
        **{name: op[name] for name in ("token", "slots", "number") if op.get(name)},
        **({"told": True} if op.get("cold") is not None else {}),
        "state": _first(op, waits).value,
    }
    others = {
        other: origin
        for other, origin in tables.origins.items()
        if other not in former and other != known
    }
    return _over(
        replace(tables, origins={**others, name: card}, bound=_bound(tables, address, service)),
        [tables.origins[other] for other in former if other != known],
    ), {"ok": True, "origin": name, "state": card["state"]}


def turn(tables: Tables, op: dict):
    """Change the state of the origin `origin`, or of the incarnation with `token`.

    A change from a heartbeat (`number`) changes nothing after one of a later heartbeat. A change
    with `as_of` (the slot that its registry knew) is refused if the log turned the origin cold in
    that slot or later. One that names its registry (`by`) counts only if that is up.

    Args:
        tables: the tables before the operation.
        op: `state`, an `OriginState` value; `origin` or `token`; optionally `number`, `as_of`,
            `by`, `told` and `silent`: for GONE, the origin fell silent and its incarnation may
            return.

    Returns:
        The tables and the answer with the origin's `state`.
    """
    if op.get("by") is not None and not _up(tables, op["by"]):
        return tables, {"ok": False, "why": "its registry is lost"}
    name = op["origin"] if op.get("origin") is not None else named(tables, op.get("token"))
    card = tables.origins.get(name)
    if card is None:
        over = op.get("token") is not None and op["token"] in tables.ended
        return tables, {"ok": True, "state": OriginState.GONE.value} if over else {
            "ok": False,
            "why": "unknown origin",
        }
    state = OriginState(op["state"])
    if op.get("number") and op["number"] <= card.get("number", 0):
        return tables, {"ok": True, "state": card["state"]}
    if op.get("as_of") is not None and op["as_of"] <= card.get("cold_at", -1):
        return tables, {"ok": False, "why": "turned cold since"}
    if state.value == card["state"]:
        return tables, {"ok": True, "state": card["state"]}
    if state not in NEXT_ORIGIN[OriginState(card["state"])]:
        return tables, {"ok": False, "why": f"{card['state']} does not turn {state.value}"}
    if state is OriginState.GONE:
        rest = replace(
            tables,
            origins={other: origin for other, origin in tables.origins.items() if other != name},
        )
        incarnations = (
            [] if op.get("silent") and card["state"] != OriginState.DRAINING.value else [card]
        )
        return _over(rest, incarnations), {"ok": True, "state": state.value}
    turned = (
        turned_cold(card, tables.slot)
        if state is OriginState.COLD
        else {**card, "state": state.value}
    )
    turned |= {name: op[name] for name in ("number", "told") if op.get(name)}
    return replace(tables, origins={**tables.origins, name: turned}), {
        "ok": True,
        "state": state.value,
    }


def end(tables: Tables, op: dict):
    """End the incarnation with `token`, whether or not it ever registered.

    Its late heartbeats change nothing.

    Returns:
        The tables and the answer with the `origin`'s name, None if it was not registered.
    """
    name = named(tables, op["token"])
    rest = replace(
        tables, origins={other: origin for other, origin in tables.origins.items() if other != name}
    )
    return _over(rest, [{"token": op["token"]}]), {
        "ok": True,
        "state": OriginState.GONE.value,
        "origin": name,
    }


def turned_cold(card: dict, slot: int) -> dict:
    """Return an origin's card as cold since `slot`."""
    return {**card, "state": OriginState.COLD.value, "cold_at": slot}


def named(tables: Tables, token: str | None) -> str | None:
    """Return the name of the origin with this token, or None."""
    return (
        next((name for name, card in tables.origins.items() if card.get("token") == token), None)
        if token
        else None
    )


def _up(tables, daemon):
    return tables.daemons.get(daemon, {}).get("state") == DaemonState.UP.value


def _again(tables, name, op):
    """Handle a repeated registration: only a change to draining takes effect."""
    card = tables.origins[name]
    if (
        op.get("state") == OriginState.DRAINING.value
        and card["state"] != OriginState.DRAINING.value
    ):
        card = {**card, "state": OriginState.DRAINING.value}
        tables = replace(tables, origins={**tables.origins, name: card})
    return tables, {"ok": True, "origin": name, "state": card["state"]}


def _first(op, waits):
    if op.get("state") == OriginState.DRAINING.value:
        return OriginState.DRAINING
    if waits:
        return OriginState.WAITING
    return OriginState.WARM if op.get("cold") is False else OriginState.COLD


def _service(tables, service):
    return ((tables.configuration["tree"] or {}).get("services") or {}).get(service, {})


def _bound(tables, address, service):
    """Return `Tables.bound` with this address; beyond BOUND_KEPT without the oldest one.

    The oldest by slot, not by the order in the table, which differs after a snapshot.
    """
    bound = {**tables.bound, address: {"service": service, "slot": tables.slot}}
    if len(bound) > BOUND_KEPT:
        bound.pop(min(bound, key=lambda held: (bound[held].get("slot", 0), held)))
    return bound


def _over(tables, cards):
    tokens = [
        card["token"] for card in cards if card.get("token") and card["token"] not in tables.ended
    ]
    return replace(tables, ended=(*tables.ended, *tokens)[-ENDED_KEPT:]) if tokens else tables
