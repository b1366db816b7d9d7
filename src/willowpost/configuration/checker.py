"""Checks a configuration as a whole: all findings, each with its place.

Or the configuration as plain data.
"""

import json
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any, NoReturn

from pydantic import ValidationError
from result import Err, Ok, Result

from willowpost.common.gc_pause import paused_gc
from willowpost.configuration.model import CONFIGURATION, SERVICE
from willowpost.configuration.routes import DEPTH_MOST, ROUTES_MOST, trunk_of, walk
from willowpost.shell.validation import validation_issues

BYTES_MOST = 4 * 1024 * 1024
Findings = list[ValidationIssue]


def once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """For JSON objects: a name that is said twice is refused.

    Since readers differ in which one they take.
    """
    held = dict(pairs)
    if len(held) < len(pairs):
        counts = Counter(name for name, _ in pairs)
        twice = sorted(name for name, count in counts.items() if count > 1)
        raise ValueError(f"names said twice: {', '.join(twice)}")
    return held


def _said(held: Mapping[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in held.items() if value is not None}


class ConfigurationChecker:
    """Invariant: only what comes back as Ok may be proposed to the log."""

    def read(self, body: bytes) -> Result[object, Findings]:
        """The JSON alone: no name twice in an object, no NaN."""
        try:
            return Ok(
                json.loads(
                    body.decode("utf-8"), object_pairs_hook=once, parse_constant=self._refuse
                )
            )
        except (ValueError, RecursionError) as problem:
            return Err([{"place": "/", "finding": f"not JSON: {problem}"}])

    def check(self, body: bytes) -> Result[dict[str, Any], Findings]:
        """The configuration as plain data with all defaults, or every finding with its place."""
        with paused_gc():
            return self.read(body).and_then(self.check_value)

    def check_value(self, held: object) -> Result[dict[str, Any], Findings]:
        """As check(), for a value that is already parsed."""
        with paused_gc():
            return self._judge(held)

    def _judge(self, held: object) -> Result[dict[str, Any], Findings]:
        try:
            configuration = CONFIGURATION.validate_python(held)
        except ValidationError as error:
            return Err(validation_issues(error))
        except RecursionError:
            return Err([{"place": "/", "finding": "nested too deep"}])
        tree = {
            "settings": {},
            "branches": {},
            **configuration,
            "services": {
                name: SERVICE | _said(service)
                for name, service in configuration["services"].items()
            },
            "limits": _said(configuration.get("limits") or {}),
        }
        findings = list(self._whole(tree))
        return Err(findings) if findings else Ok(tree)

    def _refuse(self, name: str) -> NoReturn:
        raise ValueError(f"{name} is no JSON number")

    def _whole(self, tree: dict[str, Any]) -> Iterator[dict[str, str]]:
        branches = list(walk(tree))
        if len(branches) > ROUTES_MOST:
            yield {"place": "branches", "finding": f"more than {ROUTES_MOST} branches"}
        places: dict[tuple[str, str], str] = {}
        yield from self._targets("", tree["settings"], tree["services"])
        for place, depth, host, path, settings, branch in branches:
            if depth > DEPTH_MOST:
                yield {"place": place, "finding": f"deeper than {DEPTH_MOST} branches"}
            yield from self._targets(f"{place}/", branch.get("settings") or {}, tree["services"])
            if path is not None and settings.get("service") is None and not branch.get("branches"):
                yield {"place": place, "finding": "a route without a service"}
            if path is None and not branch.get("branches"):
                yield {"place": place, "finding": "a leaf without a path"}
            if path is not None and settings.get("service"):
                first = places.setdefault((host, trunk_of(path)), place)
                own_place = branch.get("path") is not None or branch.get("host") is not None
                if first != place and own_place:
                    yield {"place": place, "finding": f"the same host and path as {first}"}

    def _targets(
        self, place: str, settings: dict[str, Any], services: dict[str, Any]
    ) -> Iterator[dict[str, str]]:
        """Where these settings themselves send requests.

        Each finding stands where the service is said.
        """
        if settings.get("service") is not None and settings["service"] not in services:
            yield {
                "place": f"{place}settings/service",
                "finding": f"no service {settings['service']}",
            }
        for number, part in enumerate(settings.get("split") or ()):
            if part["service"] not in services:
                yield {
                    "place": f"{place}settings/split/{number}/service",
                    "finding": f"no service {part['service']}",
                }
