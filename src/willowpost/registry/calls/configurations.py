"""Calls for configurations: read, replace, number, patch, and plan a change."""

from dataclasses import replace
from typing import Annotated

from pydantic import Field, ValidationError
from result import Err, Ok, Result

from willowpost.configuration.checker import BYTES_MOST, ConfigurationChecker
from willowpost.registry.calls.body import Strict, unfit
from willowpost.registry.calls.change_carrier import ChangeCarrier
from willowpost.registry.calls.configuration_answers import (
    accepted_change,
    moved_on_answer,
    not_accepted,
    nothing_to_patch,
    version_tag,
)
from willowpost.registry.calls.control_api import ControlApi, unread
from willowpost.registry.calls.patches import Patch
from willowpost.registry.calls.preconditions import Preconditions
from willowpost.shell.settings import findings_of
from willowpost.shell.web import Answer, Call
from willowpost.state.configuration_changes import (
    MAX_VERSION,
    ConfigurationProposal,
    content_digest,
)
from willowpost.state.results import ConfigurationAccepted
from willowpost.state.tables import Tables
from willowpost.toolbox.planner import ConfigurationPlanner

PATCH_MOST = 64 * 1024
NUMBERED_MOST = 16 * 1024 * 1024  # a configuration and the document it was made from


class NumberedCall(Strict):
    """The body of a call that numbers a configuration.

    `configuration` is checked by the `ConfigurationChecker` alone, as in all other calls.
    """

    version: Annotated[int, Field(strict=True, ge=0, le=MAX_VERSION)]
    configuration: object
    source: str | None = None


class ConfigurationCalls:
    """The calls for configurations.

    A change is answered as a success only if the log has accepted it, now or in an earlier call, or
    if it is in force already.
    """

    def __init__(self, control_api: ControlApi):
        self.control_api = control_api
        self.checker = ConfigurationChecker()

    def routes(self):
        """Return the routes: (method, path, most bytes of a body, handler)."""
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
        """The node's shared state."""
        return self.control_api.node_state

    def _held(self, call: Call) -> Answer:
        if not self.control_api.read(self.control_api.deadline(call)):
            return unread()
        held = self.node_state.tables.configuration
        source = {"source": held.source} if held.source is not None else {}
        return Answer(
            200,
            {"version": held.version, "configuration": held.tree, **source},
            version_tag(held.version),
        )

    def _put(self, call: Call) -> Answer:
        deadline = self.control_api.deadline(call)
        required = Preconditions.read(call.headers)
        if required.is_err():
            return required.unwrap_err()
        checked = self.checker.check(call.body)
        if checked.is_err():
            return unfit(checked.unwrap_err())
        tree = checked.unwrap()
        return self._propose(
            ConfigurationProposal(
                content=content_digest(tree, None),
                tree=tree,
                if_match=required.unwrap().version,
                key=required.unwrap().key,
            ),
            deadline,
        )

    def _propose(self, proposal: ConfigurationProposal, deadline: int) -> Answer:
        """Have the log decide on the proposal; a repeat is acknowledged as the first was.

        One that replaces whatever is in force is fenced, so that one delayed by a network partition
        replaces nothing newer.
        """
        return self.control_api.accepted(
            proposal,
            accepted_change,
            deadline,
            refused=not_accepted,
            fence=ChangeCarrier(proposal).fields,
        )

    def _number(self, call: Call) -> Answer:
        """Propose a configuration that the operator numbered; the highest number is in force.

        A number that is not above it is acknowledged as well, unless it is known to name other
        content.
        """
        deadline = self.control_api.deadline(call)
        read = self._numbered(call.body)
        if read.is_err():
            return unfit(read.unwrap_err())
        proposal = read.unwrap()
        held = self.node_state.tables.configuration
        if proposal.version <= held.version and held.tree is not None:
            # The log is never behind these tables and its version only goes up: it compares the
            # digest and need not carry the tree again.
            proposal = replace(proposal, tree=None, source=None)
        return self._propose(proposal, deadline)

    def _numbered(self, body: bytes) -> Result[ConfigurationProposal, list[dict]]:
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
        tree = checked.unwrap()
        return Ok(
            ConfigurationProposal(
                content=content_digest(tree, numbered.source),
                tree=tree,
                source=numbered.source,
                version=numbered.version,
            )
        )

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
        """Propose the patched tree, only against the version it was made from.

        A patch that was accepted before is recognised by its digest and its `If-Match`, or by its
        key; one that requires no version, by its effect.
        """
        deadline = self.control_api.deadline(call)
        read = self._patch_call(call, deadline)
        if read.is_err():
            return read.unwrap_err()
        patch, required = read.unwrap()
        tables = self.node_state.tables
        held = tables.configuration
        proposal = ConfigurationProposal(
            patch=patch.digest, if_match=required.version, key=required.key
        )
        moved_on = required.version not in (None, held.version)
        if moved_on or tables.configuration_changes.by_key(required.key) is not None:
            return self._propose(proposal, deadline)  # the log knows whether it is a repeat
        if held.tree is None:
            return nothing_to_patch()
        applied = patch.applied(held.tree, self.checker)
        if required == Preconditions() and _stands(tables, patch, applied):
            return accepted_change(
                ConfigurationAccepted(held.version, is_changed=False), tables.slot - 1
            )
        if applied.is_err():
            return unfit(applied.unwrap_err())
        tree = applied.unwrap()
        return self._propose(
            replace(
                proposal,
                tree=tree,
                content=content_digest(tree, None),
                if_match=held.version,
            ),
            deadline,
        )

    def _plan_patch(self, call: Call) -> Answer:
        read = self._patch_call(call, self.control_api.deadline(call))
        if read.is_err():
            return read.unwrap_err()
        patch, required = read.unwrap()
        held = self.node_state.tables.configuration
        if required.version not in (None, held.version):
            return moved_on_answer(held.version)
        if held.tree is None:
            return nothing_to_patch()
        applied = patch.applied(held.tree, self.checker)
        return unfit(applied.unwrap_err()) if applied.is_err() else self._planned(applied.unwrap())

    def _patch_call(self, call: Call, deadline: int) -> Result[tuple[Patch, Preconditions], Answer]:
        """Return the patch and its conditions, after a successful quorum read."""
        required = Preconditions.read(call.headers)
        if required.is_err():
            return required
        patch = Patch.read(call.body)
        if patch.is_err():
            return Err(unfit(patch.unwrap_err()))
        if not self.control_api.read(deadline):
            return Err(unread())
        return Ok((patch.unwrap(), required.unwrap()))


def _stands(tables: Tables, patch: Patch, applied: Result[dict, list[dict]]) -> bool:
    """Whether the effect of a patch is in force already.

    It changes nothing, or it made the version in force and does not apply a second time.
    """
    if applied.is_err():
        newest = tables.configuration_changes.newest()
        return newest is not None and newest.patch == patch.digest
    return applied.unwrap() == tables.configuration.tree
