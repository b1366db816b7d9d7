"""The operator's configuration: one tree of settings, inherited unless a branch overrides.

Plain data all the way: thousands of branches as models and back would hold a registry's loop for
seconds. Null says the same as leaving out.
"""

from typing import Annotated, Literal

from pydantic import AfterValidator, ConfigDict, Field, TypeAdapter, with_config
from typing_extensions import TypedDict

Name = Annotated[str, Field(pattern=r"^[^\s/\x00-\x1f\x7f]{1,128}$")]
Path = Annotated[str, Field(pattern=r"^/[^\x00-\x1f\x7f]*$", max_length=4096)]
# goes into a request line
Target = Annotated[str, Field(pattern=r"^/[^\s#\x00-\x1f\x7f]*$", max_length=512)]
Host = Annotated[str, Field(pattern=r"^(\*|[^\sA-Z/\x00-\x1f\x7f]{1,253})$")]
Method = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
Positive = Annotated[int, Field(gt=0)]

BRANCHES_MOST = 20_000
SERVICES_MOST = 20_000


strict = with_config(ConfigDict(extra="forbid", strict=True))


@strict
class Part(TypedDict):
    """One service's part of a split way."""

    service: Name
    weight: Annotated[float, Field(ge=0, allow_inf_nan=False)]


@strict
class Settings(TypedDict, total=False):
    """Each may be left out: then it is what the branch above says, or the default in routes.Way."""

    service: Name | None
    split: Annotated[list[Part], Field(min_length=1, max_length=1000)] | None
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


def _target(settings: "Settings") -> "Settings":
    split = settings.get("split")
    if split is not None:
        if settings.get("service") is not None:
            raise ValueError("a service and a split: one of them says where requests go")
        if not any(part["weight"] for part in split):
            raise ValueError("a split whose weights are all 0")
    return settings


RouteSettings = Annotated[Settings, AfterValidator(_target)]


@strict
class Branch(TypedDict, total=False):
    """A part of the tree: its settings hold for all beneath it."""

    host: Host | None
    path: Path | None
    settings: RouteSettings
    branches: dict[Name, "Branch"]


@strict
class Service(TypedDict, total=False):
    """A service of origins.

    `rate` is its allowance, requests a second that all proxies together may send it; left out:
    none. `connections` are those that all proxies together may hold open to one origin, `cold_rate`
    what one cold origin bears a second. `named`: its origins honour the name of a life on a
    request. `sealed`: a success without its seal is none.
    """

    rate: Annotated[float, Field(gt=0, le=1_000_000)] | None
    ramp_seconds: Annotated[float, Field(ge=0, le=600)]
    health_check_path: Target | None
    silent_seconds: Annotated[float, Field(ge=1, le=120)]
    connections: Positive | None
    cold_rate: Annotated[float, Field(ge=0, le=1_000_000)] | None
    named: bool
    sealed: bool


SERVICE = {"ramp_seconds": 10.0, "silent_seconds": 6.0, "named": False, "sealed": False}


@strict
class Limits(TypedDict, total=False):
    """What a caller may send, how long its head may take, how long it may stay idle; left out.

    The proxy's own.
    """

    head_bytes: Positive | None
    body_bytes: Positive | None
    head_ms: Positive | None
    idle_ms: Positive | None


@strict
class Sections(TypedDict, total=False):
    """The tree's top, as far as it stands without services."""

    settings: RouteSettings
    branches: Annotated[dict[Name, Branch], Field(max_length=BRANCHES_MOST)]
    limits: Limits


@strict
class Configuration(Sections):
    """A whole configuration as the checker takes it."""

    services: Annotated[dict[Name, Service], Field(max_length=SERVICES_MOST)]


CONFIGURATION = TypeAdapter(Configuration)
