"""A process's settings, from a file and command-line flags.

All findings are reported together, each with its place.
"""

import json
import re
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator
from result import Err, Ok, Result

from willowpost.common.clock import MILLISECOND
from willowpost.consensus.replica.replica_state import ReplicaTuning
from willowpost.shell.process_settings import ProcessSettings

Address = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]


class PaceSettings(BaseModel):
    """A store's timing: milliseconds, but `keep` and `rotate` count decisions."""

    model_config = ConfigDict(extra="forbid")
    resend: int = Field(60, ge=5, le=5000)
    freeze: int = Field(0, ge=0, le=500)
    synced_index: int = Field(100, ge=10, le=5000)
    ask: int = Field(40, ge=5, le=5000)
    read: int = Field(150, ge=20, le=1000)
    hello: int = Field(200, ge=20, le=5000)
    keep: int = Field(512, ge=16)
    rotate: int = Field(2048, ge=16)

    def micros(self) -> ReplicaTuning:
        """The timing in µs, as the replica takes it."""
        return ReplicaTuning(
            **{
                name: value * (1 if name in ("keep", "rotate") else MILLISECOND)
                for name, value in self.model_dump().items()
            }
        )


class DaemonSettings(BaseModel):
    """The settings of one process, as an operator writes them; unknown names are refused."""

    model_config = ConfigDict(extra="forbid")
    name: Name
    zone: Name
    address: Address
    seeds: list[Address] = Field(min_length=1, max_length=3)
    http: Address | None = None
    role: Literal["edge", "shield", "core"] = "core"
    data: str | None = None
    voters: int = Field(5, ge=3, le=9)
    max_voters: int = Field(0, ge=0, le=9)
    may_bootstrap: bool = True
    bootstrap_from_seeds: bool = False
    regions: dict[Name, Name] = {}
    health: Address | None = None
    metrics: Address | None = None
    serve_on_ms: int = Field(1500, ge=500, le=3_600_000)
    link_mbps: float | None = Field(None, gt=0)
    drain_ms: int = Field(3000, ge=0, le=60_000)
    finish_ms: int = Field(30_000, ge=0, le=600_000)
    leave_ms: int = Field(1500, ge=0, le=10_000)
    pace: PaceSettings = PaceSettings()
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"

    @field_validator("address", "http", "health", "metrics", "seeds")
    @classmethod
    def _number(cls, value):
        for address in [] if value is None else value if isinstance(value, list) else [value]:
            host, port = address.rsplit(":", 1)
            if (
                not re.fullmatch(r"\d+", port)
                or not 0 < int(port) < 65536
                or any(int(part) > 255 for part in host.split("."))
            ):
                raise ValueError(f"{address} is not an IP address with a port")
        return value

    @field_validator("voters", "max_voters")
    @classmethod
    def _odd(cls, value):
        if value % 2 == 0 and value:
            raise ValueError("an even count of voters bears no more than the odd one below it")
        return value

    def place(self) -> ProcessSettings:
        """The settings as plain data."""
        held = {name: getattr(self, name) for name in type(self).model_fields}
        return ProcessSettings(**{**held, "seeds": tuple(self.seeds), "pace": self.pace.micros()})


def findings_of(error: ValidationError) -> list[dict]:
    """What a model found wrong, each with its place."""
    return [
        {"place": "/".join(map(str, finding["loc"])) or "/", "finding": finding["msg"]}
        for finding in error.errors()
    ]


def _parse(path: str, text: str):
    """By the file's ending; raises ValueError."""
    if not path.endswith((".yaml", ".yml")):
        return json.loads(text)
    import yaml  # only for who has such a file

    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as problem:
        raise ValueError(str(problem)) from problem


class SettingsReader:
    """Reads and checks settings: either all of them, or every finding at once."""

    def read(
        self, path: str | None, flags: dict, needs: tuple[str, ...] = ()
    ) -> Result[DaemonSettings, list[dict]]:
        """The checked settings, or the findings.

        Args:
            path: A JSON or YAML file, or None.
            flags: Command-line flags by field; a value that is not None replaces the file's.
            needs: Fields that this program requires.
        """
        held = {}
        if path is not None:
            try:
                with open(path, encoding="utf-8") as file:
                    held = _parse(path, file.read())
            except (OSError, ValueError) as problem:
                return Err([{"place": path, "finding": str(problem)}])
            if not isinstance(held, dict) or not all(isinstance(name, str) for name in held):
                return Err([{"place": path, "finding": "not an object of named settings"}])
        try:
            settings = DaemonSettings(
                **{**held, **{name: value for name, value in flags.items() if value is not None}}
            )
        except ValidationError as error:
            return Err(findings_of(error))
        missing = [
            {"place": need, "finding": "needed by this program"}
            for need in needs
            if getattr(settings, need) is None
        ]
        return Err(missing) if missing else Ok(settings)
