"""Checks a configuration: returns it as plain data, or all validation issues at once."""

import json
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any, NoReturn

from pydantic import ValidationError
from result import Err, Ok, Result

from willowpost.common.gc_pause import paused_gc
from willowpost.configuration.model import CONFIGURATION_ADAPTER, SERVICE_DEFAULTS
from willowpost.configuration.routes import (
    MAX_DEPTH,
    MAX_ROUTES,
    WalkedBranch,
    lookup_prefix,
    walk_branches,
)
from willowpost.shell.validation import validation_issues
from willowpost.shell.validation_issue import PrintedIssue

MAX_CONFIGURATION_BYTES = 4 * 1024 * 1024

Issues = list[PrintedIssue]


def object_without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Make a JSON object of its members; readers differ in which of two equal names they take.

    Raises:
        ValueError: a name occurs twice.
    """
    members = dict(pairs)
    if len(members) < len(pairs):
        counts = Counter(name for name, _ in pairs)
        duplicates = sorted(name for name, count in counts.items() if count > 1)
        raise ValueError(f"names said twice: {', '.join(duplicates)}")
    return members


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is no JSON number")


def _without_nulls(values: Mapping[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in values.items() if value is not None}


class ConfigurationChecker:
    """Checks configurations; only what comes back as Ok may be proposed to the log."""

    def read(self, body: bytes) -> Result[object, Issues]:
        """Parse the JSON alone: no name twice in an object, no NaN."""
        try:
            return Ok(
                json.loads(
                    body.decode("utf-8"),
                    object_pairs_hook=object_without_duplicates,
                    parse_constant=_reject_constant,
                )
            )
        except (ValueError, RecursionError) as problem:
            return Err([{"place": "/", "finding": f"not JSON: {problem}"}])

    def check(self, body: bytes) -> Result[dict[str, Any], Issues]:
        """Return the configuration as plain data with all defaults, or every issue."""
        with paused_gc():
            return self.read(body).and_then(self.check_value)

    def check_value(self, value: object) -> Result[dict[str, Any], Issues]:
        """Do the same as check(), for a value that is already parsed."""
        with paused_gc():
            return self._check(value)

    def _check(self, value: object) -> Result[dict[str, Any], Issues]:
        try:
            configuration = CONFIGURATION_ADAPTER.validate_python(value)
        except ValidationError as error:
            return Err(validation_issues(error))
        except RecursionError:
            return Err([{"place": "/", "finding": "nested too deep"}])
        tree = {
            "settings": {},
            "branches": {},
            **configuration,
            "services": {
                name: SERVICE_DEFAULTS | _without_nulls(service)
                for name, service in configuration["services"].items()
            },
            "limits": _without_nulls(configuration.get("limits") or {}),
        }
        issues = list(_tree_issues(tree))
        return Err(issues) if issues else Ok(tree)


def _tree_issues(tree: dict[str, Any]) -> Iterator[PrintedIssue]:
    """Yield what is wrong with a tree whose single fields are valid."""
    services = tree["services"]
    branches = list(walk_branches(tree))
    if len(branches) > MAX_ROUTES:
        yield {"place": "branches", "finding": f"more than {MAX_ROUTES} branches"}
    yield from _service_issues("", tree["settings"], services)
    first_locations: dict[tuple[str, str], str] = {}
    for walked in branches:
        if walked.depth > MAX_DEPTH:
            yield {"place": walked.location, "finding": f"deeper than {MAX_DEPTH} branches"}
        own_settings = walked.branch.get("settings") or {}
        yield from _service_issues(f"{walked.location}/", own_settings, services)
        yield from _leaf_issues(walked)
        yield from _duplicate_issues(walked, first_locations)


def _leaf_issues(walked: WalkedBranch) -> Iterator[PrintedIssue]:
    """Yield what a branch without branches below it lacks."""
    if walked.branch.get("branches"):
        return
    if walked.path is None:
        yield {"place": walked.location, "finding": "a leaf without a path"}
    elif walked.settings.get("service") is None:
        yield {"place": walked.location, "finding": "a route without a service"}


def _duplicate_issues(
    walked: WalkedBranch, first_locations: dict[tuple[str, str], str]
) -> Iterator[PrintedIssue]:
    """Yield an issue for a second route with the same host and path.

    Args:
        walked: the branch.
        first_locations: the first branch of each host and path so far; the branch is added.
    """
    if walked.path is None or not walked.settings.get("service"):
        return
    key = (walked.host, lookup_prefix(walked.path))
    first = first_locations.setdefault(key, walked.location)
    sets_own = walked.branch.get("path") is not None or walked.branch.get("host") is not None
    if first != walked.location and sets_own:
        yield {"place": walked.location, "finding": f"the same host and path as {first}"}


def _service_issues(
    location: str, settings: dict[str, Any], services: dict[str, Any]
) -> Iterator[PrintedIssue]:
    """Yield an issue for each unknown service that these settings themselves name."""
    service = settings.get("service")
    if service is not None and service not in services:
        yield {"place": f"{location}settings/service", "finding": f"no service {service}"}
    for number, share in enumerate(settings.get("split") or ()):
        if share["service"] not in services:
            yield {
                "place": f"{location}settings/split/{number}/service",
                "finding": f"no service {share['service']}",
            }
