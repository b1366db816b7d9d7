"""Operators' orders that are no configurations: purges, and zones that are emptied or given back."""

from typing import Annotated, Literal

from pydantic import Field, model_validator

from willowpost.configuration.model import Host
from willowpost.registry.calls.body import Strict, parsed
from willowpost.registry.calls.control_api import ControlApi, unknown, unread
from willowpost.shell.web import Answer, Call
from willowpost.toolbox.planner import ZonePlanner

SMALL = 64 * 1024
PURGES_MOST = 5000
PURGE_BATCH = 300


class ZoneCall(Strict):
    what: Literal["all", "origins"] = "all"


class PurgeItem(Strict):
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
    items: list[PurgeItem] = Field(min_length=1, max_length=PURGES_MOST)


class OrderCalls:
    def __init__(self, control_api: ControlApi):
        self.control_api = control_api

    def routes(self):
        return (
            ("GET", "/v1/zones/*/plan", 0, self._plan),
            ("POST", "/v1/purges", 1024 * 1024, self._purge),
            ("POST", "/v1/zones/*/empty", SMALL, lambda call: self._zone(call, True)),
            ("POST", "/v1/zones/*/restore", SMALL, lambda call: self._zone(call, False)),
        )

    def _plan(self, call: Call) -> Answer:
        return (
            Answer(
                200,
                {"plan": ZonePlanner().plan(self.control_api.node_state.tables, call.params[0])},
            )
            if self.control_api.read()
            else unread()
        )

    def _purge(self, call: Call) -> Answer:
        read = parsed(PurgeCall, call.body)
        if read.is_err():
            return read.unwrap_err()
        ops = [
            {
                "op": "purge",
                "host": item.host,
                "kind": item.kind,
                "path": item.tag or item.path or "",
            }
            for item in read.unwrap().items
        ]
        slot = self.control_api.accepted_all(
            [ops[start : start + PURGE_BATCH] for start in range(0, len(ops), PURGE_BATCH)]
        )
        return unknown() if slot is None else Answer(200, {"purged": len(ops), "slot": slot})

    def _zone(self, call: Call, empty: bool) -> Answer:
        read = parsed(ZoneCall, call.body.strip() or b"{}")
        if read.is_err():
            return read.unwrap_err()
        what = {"what": read.unwrap().what} if empty else {}
        return self.control_api.accepted(
            {"op": "zone", "zone": call.params[0], "empty": empty, **what},
            lambda answer, slot: Answer(
                200, {"zone": call.params[0], "empty": empty, **what, "slot": slot}
            ),
        )
