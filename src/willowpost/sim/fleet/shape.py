"""The layout of a simulated fleet and its callers' requests: small, or a shipped deployment."""

import json
from dataclasses import dataclass
from importlib.resources import files


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    Attributes:
        share: Its weight in the mix.
        path: First part of its path.
        service: The service that must answer it.
        items: How many different items are asked for.
        personal: Whether requests carry Authorization.
        write: Whether it is a POST.
    """

    share: float
    path: str
    service: str
    items: int
    personal: bool = False
    write: bool = False


@dataclass(frozen=True, slots=True)
class Shape:
    """The layout of a fleet.

    The path of every kind lies on a route of the configuration to that kind's service.

    Attributes:
        cores: The zone of each core machine, by number.
        shields: Numbers of the core machines with a shield.
        edges: The zone of each edge, by number.
        origins: Service to ((zone, requests a second), ...).
        configuration: The configuration's tree.
        kinds: The mix of requests.
        host: The host that callers ask.
        rate: Requests a second.
        keep: How long responses may be stored, in seconds.
        ramp: How long a cold origin takes to bear its full rate, in seconds.
    """

    cores: tuple[str, ...]  # zones, by number
    shields: tuple[int, ...]
    edges: tuple[str, ...]  # zones, by number
    origins: dict  # service -> ((zone, rate), ...)
    configuration: dict
    kinds: tuple[Kind, ...]
    host: str = "h.example"
    rate: float = 60.0
    keep: int = 3  # seconds that content says it may be kept
    ramp: float = 4.0

    @property
    def zones(self) -> list[str]:
        """All zones, sorted."""
        return sorted({*self.cores, *self.edges})


RATES = {"art": 240.0, "apps": 240.0}
SMALL = Shape(
    ("a", "b", "c", "d", "a"),
    (2, 3, 4),
    ("a", "b", "c", "d", "b"),
    {service: tuple((zone, 120.0) for zone in "abcd") for service in RATES},
    {
        "services": {
            name: {"rate": rate, "ramp_seconds": 4.0, "silent_seconds": 3.0}
            for name, rate in RATES.items()
        },
        "settings": {"deadline_ms": 2000, "tries": 3},
        "branches": {
            "art": {"path": "/art", "settings": {"service": "art", "keep_seconds": 3.0}},
            "seat": {
                "path": "/seat",
                "settings": {"service": "apps", "cache": False, "shield": False},
            },
            "rsvp": {
                "path": "/rsvp",
                "settings": {"service": "apps", "methods": ["POST"], "shield": False},
            },
        },
    },
    (
        Kind(15, "/rsvp", "apps", 10**9, write=True),
        Kind(20, "/seat", "apps", 20, personal=True),
        Kind(65, "/art", "art", 40),
    ),
)


def shipped(name: str) -> tuple[Shape, dict, int]:
    """A shipped deployment at its peak: (shape, regions by zone, ms between regions)."""
    deployment = json.loads((files("willowpost.deployments") / f"{name}.json").read_text())
    cores = [machine for machine in deployment["machines"] if machine["kind"] != "edge"]
    origins: dict = {}
    for origin in deployment["origins"]:
        origins.setdefault(origin["service"], []).append((origin["zone"], float(origin["rate"])))
    kinds = tuple(
        Kind(
            kind["share"],
            kind["path"],
            kind["service"],
            kind["items"],
            kind.get("personal", False),
            kind["method"] == "POST",
        )
        for kind in deployment["mix"]
    )
    shape = Shape(
        tuple(machine["zone"] for machine in cores),
        tuple(number for number, machine in enumerate(cores) if machine["kind"] == "shield"),
        tuple(machine["zone"] for machine in deployment["machines"] if machine["kind"] == "edge"),
        {service: tuple(members) for service, members in origins.items()},
        deployment["configuration"],
        kinds,
        deployment["host"],
        float(deployment["rate"]),
        10,
        8.0,
    )
    return shape, deployment["regions"], deployment["between"]["ms"]
