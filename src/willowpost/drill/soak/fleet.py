"""The soak's fleet: a drill's fleet whose processes can be cut off, and its layout."""

import json
import os
from pathlib import Path
from typing import Any

from willowpost.drill.deployment import Deployment
from willowpost.drill.fleet import MODULES, Fleet
from willowpost.drill.soak.process import CUTS_VARIABLE, SYNC_VARIABLE

HOST = "soak.example"
GRACE_SECONDS = 6.0  # from SIGTERM to SIGKILL
# as the platform's settings come to for this grace
SHUTDOWN = {"drain_ms": 2250, "finish_ms": 2250, "leave_ms": 500}
ZONES = ("a", "b", "c", "d", "e")
CONFIGURATION: dict[str, Any] = {
    "services": {
        "pages": {"rate": 2000, "ramp_seconds": 2, "named": True, "silent_seconds": 4},
        "orders": {"rate": 2000, "ramp_seconds": 2, "named": True, "silent_seconds": 4},
    },
    "settings": {"deadline_ms": 6000, "tries": 3, "service": "orders", "body_max": 65536},
    "branches": {
        "once": {"host": HOST, "path": "/once", "settings": {"kind": "once"}},
        "upload": {
            "host": HOST,
            "path": "/upload",
            "settings": {"kind": "once", "body_max": 64 * 1024 * 1024},
        },
        "again": {"host": HOST, "path": "/again", "settings": {"kind": "repeatable"}},
        "kept": {
            "host": HOST,
            "path": "/kept",
            "settings": {"kind": "kept", "service": "pages", "keep_seconds": 1},
        },
    },
}
MAX_TRIES = CONFIGURATION["settings"]["tries"]
PROXY_MEMORY_MB = 160
ORIGINS_EACH = 4
MIN_CORES, MAX_CORES = 3, len(ZONES)


def layout(edges: int, cores: int = MIN_CORES) -> dict[str, Any]:
    """A deployment with a zone for each core machine; all of these but one have a shield.

    Args:
        edges: How many edges, spread over the zones.
        cores: How many core machines, from `MIN_CORES` to `MAX_CORES`.
    """
    zones = ZONES[:cores]
    machines = [
        {"name": f"edge-{number}", "zone": zones[number % cores], "kind": "edge"}
        for number in range(edges)
    ]
    machines += [
        {"name": f"core-{number}", "zone": zone, "kind": "shield" if number else "store"}
        for number, zone in enumerate(zones)
    ]
    origins = [
        {"service": service, "zone": zones[number % cores], "rate": 500, "keep": 1}
        for service in ("pages", "orders")
        for number in range(ORIGINS_EACH)
    ]
    return {
        "name": "soak",
        "host": HOST,
        "rate": 100,
        "regions": dict.fromkeys(zones, "one"),
        "between": {"ms": 0},
        "machines": machines,
        "pace": {},
        "configuration": CONFIGURATION,
        "mix": [],
        "origins": origins,
    }


class SoakFleet(Fleet):
    """Starts daemons by `drill.soak.process`, so that their meshes can be cut.

    Args:
        deployment: What to start.
        serve_on_ms: How long the proxies serve on without state updates.
        sync_ms: How much longer each sync of a store's disk takes.
    """

    def __init__(self, deployment: Deployment, serve_on_ms: int, sync_ms: float = 0.0) -> None:
        super().__init__(deployment)
        self.sync_ms = sync_ms
        self.cuts: set[frozenset[str]] = set()
        self.cut_path = deployment.folder / "cuts.json"
        for process in self.processes.values():
            process.settings.update(SHUTDOWN)
            if process.program == "wpproxy":
                process.settings["serve_on_ms"] = serve_on_ms
                process.settings["memory_mb"] = PROXY_MEMORY_MB
        self.write_cuts()

    def write_cuts(self) -> None:
        """Tells the processes who is cut off from whom now."""
        text = json.dumps([sorted(pair) for pair in self.cuts])
        draft = Path(f"{self.cut_path}.draft")
        draft.write_text(text)
        draft.rename(self.cut_path)

    def start(self, key: str) -> None:
        """Start a process by its key, machine/program."""
        process = self.processes[key]
        os.environ |= {CUTS_VARIABLE: str(self.cut_path), SYNC_VARIABLE: str(self.sync_ms)}
        module = MODULES[process.program]
        self._spawn(
            key,
            ["-m", "willowpost.drill.soak.process", module, "--settings", self._write(process)],
            self.log_path(key),
        )

    def log_path(self, key: str) -> Path:
        """Where a process logs."""
        process = self.processes[key]
        return self.deployment.folder / process.machine / f"{process.program}.log"

    def address(self, key: str) -> str:
        """Where peers reach a process."""
        address: str = self.processes[key].settings["address"]
        return address
