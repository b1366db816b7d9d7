"""The voters: the operations that change them, and the checks that these must pass."""

from collections import Counter
from dataclasses import replace

from willowpost.state.apply.membership import forget
from willowpost.state.kinds import DaemonState
from willowpost.state.tables import Tables

# a voter in one of these states may be replaced by a learner of another machine
REPLACEABLE = (DaemonState.LOST.value, DaemonState.DRAINING.value)


def replace_voter(tables: Tables, op: dict):
    """Replace a voter that is lost or leaves by a learner, from the next slot on.

    A voter at the learner's own address may be replaced in any state; one on a machine of the same
    name, unless it is up.

    n never changes, and one slot changes the voters at most once. The learner must be up by the
    log, so that a late command never makes a voter of a store that is gone meanwhile.

    Args:
        tables: the tables before the operation.
        op: `old`, the identity of the voter; `new`, the learner's Member as a mapping.

    Returns:
        The tables and the answer: the new `epoch`, or `why` it was refused.
    """
    old, new = op["old"], op["new"]
    refusal = replacement_refused(tables, old, new)
    if refusal:
        return tables, {"ok": False, "why": refusal}
    return replace(
        tables,
        core=_with_replaced(tables, old, new),
        epoch=tables.epoch + 1,
        former={"slot": tables.slot, "core": list(tables.core)},
        daemons={name: card for name, card in tables.daemons.items() if name != old},
        suspicions=forget(tables.suspicions, {old}),
        failure_verdicts=tuple(
            {**failure_verdict, "repaired": tables.slot}
            if failure_verdict["daemon"] == old
            else failure_verdict
            for failure_verdict in tables.failure_verdicts
        ),
    ), {"ok": True, "epoch": tables.epoch + 1}


def replacement_refused(tables: Tables, old: str, new: dict) -> str | None:
    """Return why the log would refuse to replace voter `old` by learner `new`, or None."""
    members = {member["identity"]: member for member in tables.core}
    if old not in members or new["identity"] in members:
        return "not a replacement of a member for a learner"
    if changed_in_this_slot(tables):
        return "the voters change once in a slot"
    if not _is_store_up(tables, new["identity"]):
        return "the learner is not up"
    if not _is_former_self(tables, members[old], new) and _state(tables, old) not in REPLACEABLE:
        return "the member neither is lost nor leaves"
    core = _with_replaced(tables, old, new)
    if not spread(tables.core, core):
        return f"more than {borne(len(core))} voters in one zone"
    return None


def seat_for(tables: Tables, learner: dict) -> dict | None:
    """Return the voter that the log would let this learner replace, or None.

    The learner is a Member as a mapping. The former identity of its own machine comes first, then
    lost voters, then those that leave.
    """

    def order(member):
        same = _is_former_self(tables, member, learner)
        lost = _state(tables, member["identity"]) == DaemonState.LOST.value
        return not same, not lost

    candidates = [
        member
        for member in tables.core
        if replacement_refused(tables, member["identity"], learner) is None
    ]
    return min(candidates, key=order, default=None)


def successor_of(tables: Tables, identity: str) -> str | None:
    """Return a learner that could replace this voter once it leaves, or None."""
    card = tables.daemons.get(identity)
    if card is None:
        return None
    leaving = {**card, "state": DaemonState.DRAINING.value}
    after = replace(tables, daemons={**tables.daemons, identity: leaving})
    return next(
        (
            name
            for name, other in sorted(tables.daemons.items())
            if other["kind"] == "store"
            and replacement_refused(after, identity, _member(other)) is None
        ),
        None,
    )


def changed_in_this_slot(tables: Tables) -> bool:
    """Whether an earlier operation of the command being applied changed the voters."""
    return bool(tables.former) and tables.former["slot"] == tables.slot


def epoch_opened(tables: Tables, op: dict):
    """Answer the operation by which a voter has the first slot of its epoch decided.

    It changes nothing: that the slot is decided is enough (`is_settled`).
    """
    return tables, {"ok": op["epoch"] <= tables.epoch}


def is_settled(tables: Tables) -> bool:
    """Whether the last change of the voters is finished: a later slot was decided.

    That slot opened behind the barrier (`consensus/replica/barrier.py`), so n - f of the new voters
    hold everything that was accepted before the change.
    """
    return not tables.former or tables.slot > tables.former["slot"] + 1


def add_voters(tables: Tables, op: dict):
    """Record a learner's offer to vote; if a second learner's offer fits, add both to the voters.

    They vote from the next slot on. n goes from odd to odd, to at most `most`, and only while every
    voter and both learners are up.

    Args:
        tables: the tables before the operation.
        op: `learner`, its identity; `incarnation`, its incarnation; `most`, the greatest n.

    Returns:
        The tables and the answer: the new `epoch`, or `why` the voters did not change.
    """
    learner = op["learner"]
    card = tables.daemons.get(learner)
    if (
        card is None
        or card["kind"] != "store"
        or card["incarnation"] != op["incarnation"]
        or learner in voters(tables)
    ):
        return tables, {"ok": False, "why": "not a learner of this life"}
    asked = replace(
        tables,
        daemons={
            **tables.daemons,
            learner: {**card, "voter_offer": {"slot": tables.slot, "most": op["most"]}},
        },
    )
    core = None if changed_in_this_slot(tables) else with_voters_added(asked, learner)
    if core is None:
        return asked, {"ok": False, "why": "waits for a second, or for the core to be whole"}
    return replace(
        asked,
        core=core,
        epoch=tables.epoch + 1,
        former={"slot": tables.slot, "core": list(tables.core)},
    ), {"ok": True, "epoch": tables.epoch + 1}


def with_voters_added(tables: Tables, learner: str) -> tuple | None:
    """Return the core with this learner and a second one added; None if not possible now."""
    missing = [
        member
        for member in tables.core
        if _state(tables, member["identity"]) != DaemonState.UP.value
    ]
    if missing or not _asks(tables, learner):
        return None
    cores = (
        (*tables.core, _member(tables.daemons[learner]), _member(tables.daemons[other]))
        for other in sorted(tables.daemons)
        if other != learner and _asks(tables, other)
    )
    return next((core for core in cores if spread(tables.core, core) and _apart(core)), None)


def borne(n: int) -> int:
    """Return f: how many of n voters may fail."""
    return (n - 1) // 2


def spread(before: tuple, core: tuple) -> bool:
    """Whether no zone holds more voters than may fail, or than the fullest zone held before.

    With few zones the bootstrap members leave no better choice, and a voter that stays lost is
    worse than a replacement in another zone.
    """
    allowed = max(borne(len(core)), _fullest_zone(before))
    return _fullest_zone(core) <= allowed


def _fullest_zone(core: tuple) -> int:
    return max(Counter(member["zone"] for member in core).values(), default=0)


def voters(tables: Tables) -> set[str]:
    """Return the identities of the voters."""
    return {member["identity"] for member in tables.core}


def _asks(tables, learner) -> bool:
    """Whether this learner's offer to vote counts.

    It must be up, not have been lost since the offer, and the core may grow by two within its
    limit.
    """
    card = tables.daemons.get(learner, {})
    asked = card.get("voter_offer")
    return (
        asked is not None
        and card["state"] == DaemonState.UP.value
        and len(tables.core) + 2 <= asked["most"]
        and learner not in voters(tables)
        and not any(
            failure_verdict["daemon"] == learner and failure_verdict["slot"] >= asked["slot"]
            for failure_verdict in tables.failure_verdicts
        )
    )


def _apart(core) -> bool:
    """Whether all voters differ in machine and address.

    The new identity of a machine whose disk was wiped replaces its former one; it does not grow the
    core.
    """
    return (
        len({member["name"] for member in core})
        == len({member["address"] for member in core})
        == len(core)
    )


def _with_replaced(tables: Tables, old: str, new: dict) -> tuple:
    return tuple(new if member["identity"] == old else member for member in tables.core)


def _is_former_self(tables: Tables, member: dict, learner: dict) -> bool:
    """Whether the learner runs where the member ran, whose disk is therefore lost.

    Two machines with one name and two addresses are two: the one that is up stays a voter, or each
    would keep replacing the other.
    """
    if member["address"] == learner["address"]:
        return True
    is_up = _state(tables, member["identity"]) == DaemonState.UP.value
    return member["name"] == learner["name"] and not is_up


def _is_store_up(tables: Tables, identity: str) -> bool:
    card = tables.daemons.get(identity)
    return card is not None and card["kind"] == "store" and card["state"] == DaemonState.UP.value


def _member(card) -> dict:
    return {
        "identity": card["id"],
        "name": card["name"],
        "zone": card["zone"],
        "address": card["address"],
    }


def _state(tables, identity):
    return tables.daemons.get(identity, {}).get("state")
