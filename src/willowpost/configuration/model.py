"""The operator's configuration: one tree of settings, inherited unless a branch overrides.

It stays plain data: thousands of branches as models and back would block a registry's event loop
for seconds. Null means the same as leaving a field out.
"""

from typing import Annotated, Literal

from pydantic import AfterValidator, ConfigDict, Field, TypeAdapter, with_config
from typing_extensions import TypedDict

Name = Annotated[str, Field(pattern=r"^[^\s/\x00-\x1f\x7f]{1,128}$")]
Path = Annotated[str, Field(pattern=r"^/[^\x00-\x1f\x7f]*$", max_length=4096)]
# Goes into a request line.
Target = Annotated[str, Field(pattern=r"^/[^\s#\x00-\x1f\x7f]*$", max_length=512)]
Host = Annotated[str, Field(pattern=r"^(\*|[^\sA-Z/\x00-\x1f\x7f]{1,253})$")]
Method = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
Positive = Annotated[int, Field(gt=0)]

MAX_BRANCHES = 20_000
MAX_SERVICES = 20_000

strict = with_config(ConfigDict(extra="forbid", strict=True))


@strict
class SplitShare(TypedDict):
    """One service's share of a route's requests."""

    service: Name
    weight: Annotated[float, Field(ge=0, allow_inf_nan=False)]


@strict
class Settings(TypedDict, total=False):
    """A branch's settings.

    Each may be left out: then it is what the branch above sets, or the default of `routes.Route`,
    which also explains them.
    """

    service: Name | None
    split: Annotated[list[SplitShare], Field(min_length=1, max_length=1000)] | None
    kind: Literal["once", "repeatable", "kept"] | None
    methods: Annotated[list[Method], Field(min_length=1)] | None
    cache: bool | None
    shield: bool | None
    keep_seconds: Annotated[float, Field(ge=0, le=31_536_000)] | None
    deadline_ms: Annotated[int, Field(ge=1, le=3_600_000)] | None
    aim_ms: Annotated[int, Field(ge=1, le=3_600_000)] | None
    priority: Annotated[int, Field(ge=0, le=1_000_000)] | None
    body_max: Annotated[int, Field(ge=0, le=64 * 1024 * 1024)] | None
    whole_max: Annotated[int, Field(ge=0, le=64 * 1024 * 1024)] | None
    zones: Annotated[list[Name], Field(min_length=1)] | None
    homes: list[Name] | None
    tries: Annotated[int, Field(ge=1, le=100)] | None


def _check_target(settings: "Settings") -> "Settings":
    split = settings.get("split")
    if split is not None:
        if settings.get("service") is not None:
            raise ValueError("a service and a split: one of them says where requests go")
        if not any(share["weight"] for share in split):
            raise ValueError("a split whose weights are all 0")
    return settings


RouteSettings = Annotated[Settings, AfterValidator(_check_target)]


@strict
class Branch(TypedDict, total=False):
    """A branch of the tree: its settings apply to all below it."""

    host: Host | None
    path: Path | None
    settings: RouteSettings
    branches: dict[Name, "Branch"]


@strict
class Service(TypedDict, total=False):
    """A service of origins.

    Attributes:
        rate: requests a second that all proxies together may send it; left out: no rate limit.
        ramp_seconds: how long the slow start of an origin takes.
        health_check_path: target of health checks; left out: none are made.
        silent_seconds: an origin without a heartbeat for so long has timed out.
        connections: how many all proxies together may have open to one origin.
        cold_rate: requests a second that one origin in slow start can serve.
        named: whether its origins check the incarnation that a request names.
        sealed: whether a success without its seal (a header) is no valid response.
    """

    rate: Annotated[float, Field(gt=0, le=1_000_000)] | None
    ramp_seconds: Annotated[float, Field(ge=0, le=600)]
    health_check_path: Target | None
    silent_seconds: Annotated[float, Field(ge=1, le=120)]
    connections: Positive | None
    cold_rate: Annotated[float, Field(ge=0, le=1_000_000)] | None
    named: bool
    sealed: bool


SERVICE_DEFAULTS = {"ramp_seconds": 10.0, "silent_seconds": 6.0, "named": False, "sealed": False}


@strict
class Limits(TypedDict, total=False):
    """Limits on what a caller may send; those left out are the proxy's own.

    Attributes:
        head_bytes: size of a request's head.
        body_bytes: size of a request's body.
        head_ms: how long the head may take to arrive.
        idle_ms: how long a connection may be idle.
    """

    head_bytes: Positive | None
    body_bytes: Positive | None
    head_ms: Positive | None
    idle_ms: Positive | None


@strict
class Sections(TypedDict, total=False):
    """The top of the tree, apart from the services."""

    settings: RouteSettings
    branches: Annotated[dict[Name, Branch], Field(max_length=MAX_BRANCHES)]
    limits: Limits


@strict
class Configuration(Sections):
    """A configuration as the checker takes it."""

    services: Annotated[dict[Name, Service], Field(max_length=MAX_SERVICES)]


CONFIGURATION_ADAPTER = TypeAdapter(Configuration)
