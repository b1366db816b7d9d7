"""Calls that purge cached responses."""

from typing import Annotated, Literal, Self

from pydantic import Field, model_validator

from willowpost.configuration.model import Host
from willowpost.registry.api.log_client import LogClient
from willowpost.registry.api.request_body import RequestBody, parse_body
from willowpost.registry.api.route import Route
from willowpost.shell.web import Request, Response
from willowpost.state.operations import PurgeCache

MAX_PURGE_BODY_BYTES = 1024 * 1024
MAX_ITEMS = 5000
ITEMS_PER_BATCH = 300


class PurgeItem(RequestBody):
    """What to purge from the caches.

    Attributes:
        kind: item: one path, with all its queries if it names none; prefix: all paths that begin
            with it; all: everything of the host; tag: all items with a tag, of every host.
        host: "*" for every host; not used for a tag.
        path: of an item or prefix, with or without a query; else None.
        tag: of a tag, else None.
    """

    kind: Literal["item", "prefix", "all", "tag"] = "item"
    host: Host = "*"
    path: Annotated[str, Field(pattern=r"^/", max_length=4096)] | None = None
    tag: Annotated[str, Field(pattern=r"^[^\s\x00-\x1f\x7f]{1,256}$")] | None = None

    @model_validator(mode="after")
    def _check_kind(self) -> Self:
        if (self.path is None) != (self.kind in ("all", "tag")):
            raise ValueError("an item or prefix has a path, all and a tag have none")
        if (self.tag is None) != (self.kind != "tag"):
            raise ValueError("a tag has a tag, nothing else has one")
        return self

    def as_operation(self) -> PurgeCache:
        """Return the operation of the log that purges this."""
        return PurgeCache(kind=self.kind, host=self.host, path=self.tag or self.path or "")


class PurgeRequest(RequestBody):
    """The body of a purge: 1 to MAX_ITEMS items."""

    items: list[PurgeItem] = Field(min_length=1, max_length=MAX_ITEMS)


class PurgeRoutes:
    """Purges; a success is answered only for what the log accepted in this call."""

    def __init__(self, log_client: LogClient) -> None:
        self.log_client = log_client

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of this group."""
        return (Route("POST", "/v1/purges", MAX_PURGE_BODY_BYTES, self._purge),)

    def _purge(self, call: Request) -> Response:
        """Purge items; one that takes effect late drops cached responses again, nothing else."""
        deadline = self.log_client.deadline_for(call)
        parsed = parse_body(PurgeRequest, call.body)
        if parsed.is_err():
            return parsed.unwrap_err()
        operations = tuple(item.as_operation() for item in parsed.unwrap().items)
        return self.log_client.submit_batches(
            [
                operations[start : start + ITEMS_PER_BATCH]
                for start in range(0, len(operations), ITEMS_PER_BATCH)
            ],
            deadline,
            lambda slot: Response(200, {"purged": len(operations), "slot": slot}),
        )
