"""A process's settings, from a file and command-line flags.

All issues are reported together, each with the path of its field.
"""

import json
import re
from collections.abc import Mapping
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator
from result import Err, Ok, Result

from willowpost.common.clock import MILLISECOND
from willowpost.consensus.replica.tuning import ReplicaTuning
from willowpost.shell.process_settings import DEFAULT_MEMORY_BYTES, ProcessSettings
from willowpost.shell.validation import validation_issues
from willowpost.shell.validation_issue import PrintedIssue

Address = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]

MEGABYTE = 1024 * 1024
MAX_PORT = 65535
MAX_OCTET = 255


class PaceSettings(BaseModel):
    """A store's timing: milliseconds, but `keep` and `rotate` count decisions."""

    model_config = ConfigDict(extra="forbid")
    resend: Annotated[int, Field(ge=5, le=5000)] = 60
    freeze: Annotated[int, Field(ge=0, le=500)] = 0
    synced_index: Annotated[int, Field(ge=10, le=5000)] = 100
    ask: Annotated[int, Field(ge=5, le=5000)] = 40
    read: Annotated[int, Field(ge=20, le=1000)] = 150
    hello: Annotated[int, Field(ge=20, le=5000)] = 200
    keep: Annotated[int, Field(ge=16)] = 512
    rotate: Annotated[int, Field(ge=16)] = 2048

    def to_tuning(self) -> ReplicaTuning:
        """Return the timing in µs, as the replica takes it."""
        return ReplicaTuning(
            resend_interval_us=self.resend * MILLISECOND,
            proposal_delay_us=self.freeze * MILLISECOND,
            synced_index_interval_us=self.synced_index * MILLISECOND,
            catchup_interval_us=self.ask * MILLISECOND,
            quorum_read_interval_us=self.read * MILLISECOND,
            hello_interval_us=self.hello * MILLISECOND,
            max_retained_decisions=self.keep,
            max_segment_decisions=self.rotate,
        )


class DaemonSettings(BaseModel):
    """The settings of one process, as an operator writes them; unknown names are rejected."""

    model_config = ConfigDict(extra="forbid")
    name: Name
    zone: Name
    address: Address
    seeds: list[Address] = Field(min_length=1, max_length=3)
    http: Address | None = None
    role: Literal["edge", "shield", "core"] = "core"
    data: str | None = None
    voters: Annotated[int, Field(ge=3, le=9)] = 5
    max_voters: Annotated[int, Field(ge=0, le=9)] = 0
    may_bootstrap: bool = True
    bootstrap_from_seeds: bool = False
    regions: dict[Name, Name] = {}
    health: Address | None = None
    metrics: Address | None = None
    serve_on_ms: Annotated[int, Field(ge=500, le=3_600_000)] = 1500
    link_mbps: Annotated[float, Field(gt=0)] | None = None
    drain_ms: Annotated[int, Field(ge=0, le=60_000)] = 3000
    finish_ms: Annotated[int, Field(ge=0, le=600_000)] = 30_000
    leave_ms: Annotated[int, Field(ge=0, le=10_000)] = 1500
    pace: PaceSettings = PaceSettings()
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    memory_mb: Annotated[int, Field(ge=64)] = DEFAULT_MEMORY_BYTES // MEGABYTE

    @field_validator("address", "http", "health", "metrics")
    @classmethod
    def _check_address(cls, address: str | None) -> str | None:
        if address is not None:
            _require_in_range(address)
        return address

    @field_validator("seeds")
    @classmethod
    def _check_seeds(cls, seeds: list[str]) -> list[str]:
        for address in seeds:
            _require_in_range(address)
        return seeds

    @field_validator("voters", "max_voters")
    @classmethod
    def _check_voter_count(cls, count: int) -> int:
        if count % 2 == 0 and count:
            raise ValueError("an even count of voters bears no more than the odd one below it")
        return count

    def to_process_settings(self) -> ProcessSettings:
        """Return the settings as plain data."""
        values = {name: getattr(self, name) for name in type(self).model_fields}
        values |= {"seeds": tuple(self.seeds), "pace": self.pace.to_tuning()}
        values["memory_bytes"] = values.pop("memory_mb") * MEGABYTE
        return ProcessSettings(**values)


def _require_in_range(address: str) -> None:
    """Raise ValueError for an address whose numbers are out of range."""
    host, port = address.rsplit(":", 1)
    if (
        not re.fullmatch(r"\d+", port)
        or not 0 < int(port) <= MAX_PORT
        or any(int(octet) > MAX_OCTET for octet in host.split("."))
    ):
        raise ValueError(f"{address} is not an IP address with a port")


def _parse(path: str, text: str) -> Any:
    """Read JSON or YAML, by the file's extension; raises ValueError."""
    if not path.endswith((".yaml", ".yml")):
        return json.loads(text)
    import yaml  # loaded only for a YAML file

    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as problem:
        raise ValueError(str(problem)) from problem


def _read_file(path: str) -> Result[dict[str, Any], list[PrintedIssue]]:
    try:
        with open(path, encoding="utf-8") as file:
            values = _parse(path, file.read())
    except (OSError, ValueError) as problem:
        return Err([{"place": path, "finding": str(problem)}])
    if not isinstance(values, dict) or not all(isinstance(name, str) for name in values):
        return Err([{"place": path, "finding": "not an object of named settings"}])
    return Ok(values)


class SettingsReader:
    """Reads and checks settings: either all of them, or every issue at once."""

    def read(
        self, path: str | None, flags: Mapping[str, Any], required: tuple[str, ...] = ()
    ) -> Result[DaemonSettings, list[PrintedIssue]]:
        """Return the checked settings, or the issues.

        Args:
            path: a JSON or YAML file, or None.
            flags: command-line flags by field; a value that is not None replaces the file's.
            required: fields that this program requires.
        """
        from_file = Ok({}) if path is None else _read_file(path)
        if from_file.is_err():
            return Err(from_file.unwrap_err())
        given_flags = {name: value for name, value in flags.items() if value is not None}
        try:
            settings = DaemonSettings(**{**from_file.unwrap(), **given_flags})
        except ValidationError as error:
            return Err(validation_issues(error))
        missing: list[PrintedIssue] = [
            {"place": name, "finding": "needed by this program"}
            for name in required
            if getattr(settings, name) is None
        ]
        return Err(missing) if missing else Ok(settings)
