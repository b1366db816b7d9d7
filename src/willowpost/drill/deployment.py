"""A deployment's settings, and the settings of each of its processes."""

import json
from dataclasses import dataclass
from importlib.resources import files
from pathlib import Path
from typing import Any

SEEDS = 3
Machine = dict[str, Any]  # as a deployment's file has it: name, zone, kind


def known() -> list[str]:
    """Names of the deployments that ship with willowpost."""
    return sorted(
        file.name[:-5]
        for file in files("willowpost.deployments").iterdir()
        if file.name.endswith(".json")
    )


def shipped(name: str) -> dict[str, Any]:
    """The settings of a deployment that ships with willowpost."""
    settings: dict[str, Any] = json.loads(
        (files("willowpost.deployments") / f"{name}.json").read_text()
    )
    return settings


@dataclass(frozen=True, slots=True)
class Process:
    """One process of a deployment: its program, place and settings."""

    program: str
    key: str  # machine/program
    machine: str
    zone: str
    settings: dict[str, Any]


class Deployment:
    """A deployment on loopback addresses; each process's seeds are three stores but not itself."""

    def __init__(
        self, name: str | dict[str, Any], folder: Path, port: int, subnet: int = 77
    ) -> None:
        """Lays a deployment out: one that ships with willowpost, by its name, or a given one."""
        stored = name if isinstance(name, dict) else shipped(name)
        self.name, self.host, self.rate = stored["name"], stored["host"], stored["rate"]
        self.configuration, self.mix, self.pace, self.regions = (
            stored["configuration"],
            stored["mix"],
            stored["pace"],
            stored["regions"],
        )
        self.machines, self.folder, self.port, self.subnet = (
            stored["machines"],
            folder,
            port,
            subnet,
        )
        self.zones = sorted(self.regions)
        self.addresses = {
            machine["name"]: f"127.{subnet}.{self.zones.index(machine['zone']) + 1}.{number + 1}"
            for number, machine in enumerate(self.machines)
        }
        self.origins = [
            {
                **origin,
                "address": self._origin_address(origin["zone"], number),
            }
            for number, origin in enumerate(stored["origins"])
        ]

    def _origin_address(self, zone: str, number: int) -> str:
        return f"127.{self.subnet}.{100 + self.zones.index(zone)}.{number + 1}:{self.port + 90}"

    def cores(self) -> list[Machine]:
        """Machines with a store and a registry."""
        return [machine for machine in self.machines if machine["kind"] != "edge"]

    def replace(self, lost: str) -> str:
        """Replaces a machine that is gone for good by an empty one in its zone.

        Returns:
            The new machine's name; it has another address, too.
        """
        number = next(
            number for number, machine in enumerate(self.machines) if machine["name"] == lost
        )
        name = f"{lost}-next"
        self.machines[number] = {**self.machines[number], "name": name}
        self.addresses[name] = f"{self.addresses[lost].rsplit('.', 1)[0]}.{100 + number}"
        return name

    def store(self, machine: Machine) -> str:
        """Where peers reach the machine's store."""
        return f"{self.addresses[machine['name']]}:{self.port}"

    def registry(self, machine: Machine) -> str:
        """Where peers reach the machine's registry."""
        return f"{self.addresses[machine['name']]}:{self.port + 1}"

    def registry_http(self, machine: Machine) -> str:
        """Where operators and origins reach the machine's registry."""
        return f"{self.addresses[machine['name']]}:{self.port + 2}"

    def proxy(self, machine: Machine) -> str:
        """Where peers reach the machine's proxy."""
        return f"{self.addresses[machine['name']]}:{self.port + 3}"

    def proxy_http(self, machine: Machine) -> str:
        """Where callers reach the machine's proxy."""
        return f"{self.addresses[machine['name']]}:{self.port + 4}"

    def processes(self) -> list[Process]:
        """All processes, those of the core first."""
        cores = [(machine, kind) for machine in self.cores() for kind in ("wpstore", "wpregistry")]
        proxies = [
            (machine, "wpproxy")
            for machine in self.machines
            if machine["kind"] in ("edge", "shield")
        ]
        return [self.process(machine, program) for machine, program in cores + proxies]

    def process(self, machine: Machine, program: str) -> Process:
        """One process of a machine, with its settings."""
        addresses = {
            "wpstore": (self.store, None),
            "wpregistry": (self.registry, self.registry_http),
            "wpproxy": (self.proxy, self.proxy_http),
        }[program]
        own = addresses[0](machine)
        number = self.machines.index(machine)
        stores = [self.store(core) for core in self.cores() if self.store(core) != own]
        seeds = [stores[(number + step) % len(stores)] for step in range(SEEDS)]
        settings = {
            "name": machine["name"],
            "zone": machine["zone"],
            "address": own,
            "seeds": seeds,
            "voters": len(self.cores()),
            "level": "INFO",
        }
        if addresses[1] is not None:
            settings["http"] = addresses[1](machine)
        if program == "wpproxy":
            settings["role"] = machine["kind"]
        if program == "wpstore":
            settings |= {"data": str(self.folder / machine["name"]), "pace": self.pace}
        return Process(
            program, f"{machine['name']}/{program}", machine["name"], machine["zone"], settings
        )
