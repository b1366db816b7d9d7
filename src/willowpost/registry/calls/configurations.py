"""Operators' configurations: read, put, numbered, patched, and what a change would mean."""

import json
from typing import Annotated

from pydantic import Field, ValidationError
from result import Err, Ok

from willowpost.configuration.checker import BYTES_MOST, ConfigurationChecker
from willowpost.registry.calls.body import Strict, unfit
from willowpost.registry.calls.control_api import ControlApi, unread
from willowpost.shell.settings import findings_of
from willowpost.shell.web import Answer, Call
from willowpost.toolbox.planner import ConfigurationPlanner

PATCH_MOST = 64 * 1024
NUMBERED_MOST = 16 * 1024 * 1024  # a configuration and the document it was made from


class NumberedCall(Strict):
    """Invariant: `configuration` is judged by the checker alone.

    As the body of every other call that carries one.
    """

    version: Annotated[int, Field(strict=True, ge=0, lt=2**63)]
    configuration: object
    source: str | None = None


class ConfigurationCalls:
    def __init__(self, control_api: ControlApi):
        self.control_api = control_api
        self.checker = ConfigurationChecker()

    def routes(self):
        return (
            ("GET", "/v1/configuration", 0, self._held),
            ("PUT", "/v1/configuration", BYTES_MOST, self._put),
            ("POST", "/v1/configurations", NUMBERED_MOST, self._number),
            ("POST", "/v1/configuration/plan", BYTES_MOST, self._plan),
            ("PATCH", "/v1/configuration", PATCH_MOST, self._patch),
            ("POST", "/v1/configuration/patch/plan", PATCH_MOST, self._plan_patch),
        )

    @property
    def node_state(self):
        return self.control_api.node_state

    def _held(self, call: Call) -> Answer:
        if not self.control_api.read():
            return unread()
        held = self.node_state.tables.configuration
        source = {"source": held["source"]} if held.get("source") is not None else {}
        return Answer(
            200, {"version": held["version"], "configuration": held["tree"], **source}, _tag(held)
        )

    def _put(self, call: Call) -> Answer:
        match = call.headers.get("if-match")
        wanted = None
        if match not in (None, "*"):
            if not match.strip().strip('"').isdigit():
                return Answer(
                    400, {"findings": [{"place": "If-Match", "finding": "not a version"}]}
                )
            wanted = int(match.strip().strip('"'))
        checked = self.checker.check(call.body)
        return (
            unfit(checked.unwrap_err())
            if checked.is_err()
            else self._propose(checked.unwrap(), wanted)
        )

    def _propose(self, tree, wanted) -> Answer:
        return self.control_api.accepted(
            {"op": "configuration", "tree": tree, "if_match": wanted},
            lambda answer, slot: Answer(
                200, {"version": answer["version"], "slot": slot}, _tag(answer)
            ),
            refused=_moved_on,
        )

    def _number(self, call: Call) -> Answer:
        """The operator numbers it: the highest number holds.

        And one that is not above that is acknowledged all the same.
        """
        read = self._numbered(call.body)
        if read.is_err():
            return unfit(read.unwrap_err())
        version, tree, source = read.unwrap()
        held = self.node_state.tables.configuration
        op = {"op": "configuration", "version": version}
        if version > held["version"] or held["tree"] is None:
            # else the log need not carry it again
            op |= {"tree": tree, **({"source": source} if source is not None else {})}
        return self.control_api.accepted(
            op,
            lambda answer, slot: Answer(
                200,
                {"version": answer["version"], "changed": answer["changed"], "slot": slot},
                _tag(answer),
            ),
        )

    def _numbered(self, body):
        read = self.checker.read(body)
        if read.is_err():
            return read
        try:
            numbered = NumberedCall.model_validate(read.unwrap())
        except ValidationError as error:
            return Err(findings_of(error))
        checked = self.checker.check_value(numbered.configuration)
        if checked.is_err():
            return Err(
                [
                    {**finding, "place": f"configuration/{finding['place']}".rstrip("/")}
                    for finding in checked.unwrap_err()
                ]
            )
        return Ok((numbered.version, checked.unwrap(), numbered.source))

    def _plan(self, call: Call) -> Answer:
        checked = self.checker.check(call.body)
        return unfit(checked.unwrap_err()) if checked.is_err() else self._planned(checked.unwrap())

    def _planned(self, tree) -> Answer:
        return (
            Answer(200, {"plan": ConfigurationPlanner().plan(self.node_state.tables, tree)})
            if self.control_api.read()
            else unread()
        )

    def _patch(self, call: Call) -> Answer:
        """Invariant.

        The patched tree is proposed only against the very version it was worked out from.
        """
        patched = self._patched(call)
        return patched if isinstance(patched, Answer) else self._propose(*patched)

    def _plan_patch(self, call: Call) -> Answer:
        patched = self._patched(call)
        return patched if isinstance(patched, Answer) else self._planned(patched[0])

    def _patched(self, call):
        import jsonpatch  # few registries are ever asked for a patch
        import jsonpointer

        if not self.control_api.read():
            return unread()
        held = self.node_state.tables.configuration
        match = (call.headers.get("if-match") or "*").strip().strip('"')
        if match not in ("*", str(held["version"])):
            return _moved_on(held)
        if held["tree"] is None:
            return Answer(
                409,
                {
                    "findings": [
                        {
                            "place": "configuration",
                            "finding": "there is no configuration to patch yet",
                        }
                    ]
                },
            )
        try:
            tree = jsonpatch.JsonPatch(json.loads(call.body)).apply(held["tree"])
        except (
            ValueError,
            TypeError,
            KeyError,
            AttributeError,
            jsonpatch.JsonPatchException,
            jsonpointer.JsonPointerException,
        ) as problem:
            return unfit([{"place": "patch", "finding": str(problem)}])
        checked = self.checker.check_value(tree)
        return (
            unfit(checked.unwrap_err()) if checked.is_err() else (checked.unwrap(), held["version"])
        )


def _tag(held):
    return (("ETag", f'"{held["version"]}"'),)


def _moved_on(held) -> Answer:
    return Answer(
        412,
        {
            "findings": [{"place": "If-Match", "finding": f"the version is {held['version']}"}],
            "version": held["version"],
        },
    )
