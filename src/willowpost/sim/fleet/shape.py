"""What stands where in a simulated fleet, and what its callers ask: a small one.

Or a deployment as it ships.
"""

import json
from dataclasses import dataclass
from importlib.resources import files


@dataclass(frozen=True, slots=True)
class Kind:
    share: float
    path: str
    service: str
    items: int
    personal: bool = False
    write: bool = False


@dataclass(frozen=True, slots=True)
class Shape:
    """Invariant: `shields` numbers core machines.

    Every kind's path lies on a way of the configuration, to its service.
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
    """A deployment at its peak: (shape, regions by zone, ms between regions)."""
    held = json.loads((files("willowpost.deployments") / f"{name}.json").read_text())
    cores = [machine for machine in held["machines"] if machine["kind"] != "edge"]
    origins: dict = {}
    for origin in held["origins"]:
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
        for kind in held["mix"]
    )
    shape = Shape(
        tuple(machine["zone"] for machine in cores),
        tuple(number for number, machine in enumerate(cores) if machine["kind"] == "shield"),
        tuple(machine["zone"] for machine in held["machines"] if machine["kind"] == "edge"),
        {service: tuple(members) for service, members in origins.items()},
        held["configuration"],
        kinds,
        held["host"],
        float(held["rate"]),
        10,
        8.0,
    )
    return shape, held["regions"], held["between"]["ms"]
