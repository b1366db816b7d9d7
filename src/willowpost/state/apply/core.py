"""Who votes: the founding epoch and the one command that changes it."""
from collections import Counter
from dataclasses import replace

from willowpost.state.apply.membership import forget
from willowpost.state.kinds import DaemonState
from willowpost.state.tables import Tables

ZONE_MOST = 2


def swap(tables: Tables, op: dict):
    """Invariant: n never changes; one lost member leaves and one learner enters, from the next slot on."""
    old, new = op["old"], op["new"]
    members = {member["identity"]: member for member in tables.core}
    if old not in members or new["identity"] in members:
        return tables, {"ok": False, "why": "not a swap of a member for a learner"}
    sameSeat = members[old]["name"] == new["name"]
    card = tables.daemons.get(old)
    if not sameSeat and (card is None or card["state"] != DaemonState.LOST.value):
        return tables, {"ok": False, "why": "the member is not lost"}
    core = tuple(new if member["identity"] == old else member for member in tables.core)
    if max(Counter(member["zone"] for member in core).values()) > ZONE_MOST:
        return tables, {"ok": False, "why": f"more than {ZONE_MOST} voters in one zone"}
    return replace(tables, core=core, epoch=tables.epoch + 1,
                   former={"slot": tables.slot, "core": list(tables.core)},
                   daemons={name: card for name, card in tables.daemons.items() if name != old},
                   doubts=forget(tables.doubts, {old}),
                   losses=tuple({**loss, "repaired": tables.slot} if loss["daemon"] == old else loss
                                for loss in tables.losses)), {"ok": True, "epoch": tables.epoch + 1}
