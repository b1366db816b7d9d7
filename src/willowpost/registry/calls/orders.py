"""Operators' calls besides configurations: purges, and zones emptied or restored."""

from typing import Annotated, Literal

from pydantic import Field, model_validator

from willowpost.configuration.model import Host
from willowpost.registry.calls.body import Strict, parsed
from willowpost.registry.calls.control_api import ControlApi, as_of_slot, unread
from willowpost.shell.web import Answer, Call
from willowpost.state.operations import EvacuateZone, PurgeCache
from willowpost.toolbox.planner import ZonePlanner

SMALL = 64 * 1024
PURGES_MOST = 5000
PURGE_BATCH = 300


class ZoneCall(Strict):
    """The body of a call that empties or restores a zone; `what` counts for emptying only."""

    what: Literal["all", "origins"] = "all"


class PurgeItem(Strict):
    """What to purge from the caches.

    Attributes:
        kind: item: one path, with all its queries if it names none; prefix: all paths that begin
            with it; all: the whole host; tag: all items with a tag, of every host.
        host: "*" for every host; not used for a tag.
        path: of an item or prefix, with or without a query; else None.
        tag: of a tag, else None.
    """

    kind: Literal["item", "prefix", "all", "tag"] = "item"
    host: Host = "*"
    path: Annotated[str, Field(pattern=r"^/", max_length=4096)] | None = None
    tag: Annotated[str, Field(pattern=r"^[^\s\x00-\x1f\x7f]{1,256}$")] | None = None

    @model_validator(mode="after")
    def _names(self):
        if (self.path is None) != (self.kind in ("all", "tag")):
            raise ValueError("an item or prefix has a path, all and a tag have none")
        if (self.tag is None) != (self.kind != "tag"):
            raise ValueError("a tag has a tag, nothing else has one")
        return self


class PurgeCall(Strict):
    """The body of a purge: 1 to PURGES_MOST items."""

    items: list[PurgeItem] = Field(min_length=1, max_length=PURGES_MOST)


class OrderCalls:
    """Purges and zones; a success is answered only for what the log accepted in this call."""

    def __init__(self, control_api: ControlApi):
        self.control_api = control_api

    def routes(self):
        """Return the routes: (method, path, most bytes of a body, handler)."""
        return (
            ("GET", "/v1/zones/*/plan", 0, self._plan),
            ("POST", "/v1/purges", 1024 * 1024, self._purge),
            ("POST", "/v1/zones/*/empty", SMALL, lambda call: self._zone(call, True)),
            ("POST", "/v1/zones/*/restore", SMALL, lambda call: self._zone(call, False)),
        )

    def _plan(self, call: Call) -> Answer:
        if not self.control_api.read(self.control_api.deadline(call)):
            return unread()
        plan = ZonePlanner().plan(self.control_api.node_state.tables, call.params[0])
        return Answer(200, {"plan": plan})

    def _purge(self, call: Call) -> Answer:
        """Purge items; one that takes effect late drops cached answers once more, nothing else."""
        deadline = self.control_api.deadline(call)
        read = parsed(PurgeCall, call.body)
        if read.is_err():
            return read.unwrap_err()
        ops = [_purge_op(item) for item in read.unwrap().items]
        return self.control_api.accepted_all(
            [ops[start : start + PURGE_BATCH] for start in range(0, len(ops), PURGE_BATCH)],
            lambda slot: Answer(200, {"purged": len(ops), "slot": slot}),
            deadline,
        )

    def _zone(self, call: Call, empty: bool) -> Answer:
        """Empty or restore a zone; fenced, so that a late order undoes no newer one."""
        deadline = self.control_api.deadline(call)
        read = parsed(ZoneCall, call.body.strip() or b"{}")
        if read.is_err():
            return read.unwrap_err()
        name = call.params[0]
        what = {"what": read.unwrap().what} if empty else {}
        return self.control_api.accepted(
            EvacuateZone(name, is_evacuated=empty, scope=what.get("what")),
            lambda answer, slot: Answer(200, {"zone": name, "empty": empty, **what, "slot": slot}),
            deadline,
            fence=as_of_slot,
        )


def _purge_op(item: PurgeItem) -> PurgeCache:
    return PurgeCache(kind=item.kind, host=item.host, path=item.tag or item.path or "")
