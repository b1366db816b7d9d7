"""Who votes: the founding epoch and the two commands that change it."""

from collections import Counter
from dataclasses import replace

from willowpost.state.apply.membership import forget
from willowpost.state.kinds import DaemonState
from willowpost.state.tables import Tables


def replace_voter(tables: Tables, op: dict):
    """Invariant: n never changes; one lost member leaves and one learner enters.

    From the next slot on.
    """
    old, new = op["old"], op["new"]
    members = {member["identity"]: member for member in tables.core}
    if old not in members or new["identity"] in members:
        return tables, {"ok": False, "why": "not a replacement of a member for a learner"}
    same_seat = members[old]["name"] == new["name"]
    card = tables.daemons.get(old)
    if not same_seat and (card is None or card["state"] != DaemonState.LOST.value):
        return tables, {"ok": False, "why": "the member is not lost"}
    core = tuple(new if member["identity"] == old else member for member in tables.core)
    if not spread(tables.core, core):
        return tables, {"ok": False, "why": f"more than {borne(len(core))} voters in one zone"}
    return replace(
        tables,
        core=core,
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


def add_voters(tables: Tables, op: dict):
    """A learner that holds what the voters hold says that it may be one; when a second fits.

    Both enter, from the next slot on.

    Invariant: n goes from odd to odd, at most to `most`, and only while no member is missing or
    lost and both newcomers are up.
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
    core = with_voters_added(asked, learner)
    if core is None:
        return asked, {"ok": False, "why": "waits for a second, or for the core to be whole"}
    return replace(
        asked,
        core=core,
        epoch=tables.epoch + 1,
        former={"slot": tables.slot, "core": list(tables.core)},
    ), {"ok": True, "epoch": tables.epoch + 1}


def with_voters_added(tables: Tables, learner: str) -> tuple | None:
    """The core with this learner and a second one in it, if that may be now.

    A function of the tables alone.
    """
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
    """f: how many of n voters may be lost."""
    return (n - 1) // 2


def spread(before: tuple, core: tuple) -> bool:
    """No zone holds more voters than may be lost.

    Or than it held before (few zones may leave the bootstrap members no choice).
    """
    held, most = Counter(member["zone"] for member in before), borne(len(core))
    return all(
        count <= max(most, held[zone])
        for zone, count in Counter(member["zone"] for member in core).items()
    )


def voters(tables: Tables) -> set[str]:
    return {member["identity"] for member in tables.core}


def _asks(tables, learner) -> bool:
    """It said so in this life, was not held lost since.

    And the core may still grow by two in its eyes.
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
    """One voter a machine: a wiped machine's new identity takes its own seat back.

    It does not grow the core.
    """
    return (
        len({member["name"] for member in core})
        == len({member["address"] for member in core})
        == len(core)
    )


def _member(card) -> dict:
    return {
        "identity": card["id"],
        "name": card["name"],
        "zone": card["zone"],
        "address": card["address"],
    }


def _state(tables, identity):
    return tables.daemons.get(identity, {}).get("state")
