"""Calls for configurations: read, replace, number, patch, and plan a change."""

from dataclasses import dataclass, replace
from typing import Annotated, Any

from pydantic import Field, ValidationError
from result import Err, Ok, Result

from willowpost.configuration.checker import MAX_CONFIGURATION_BYTES, ConfigurationChecker
from willowpost.node.node_state import NodeState
from willowpost.registry.api.configuration_responses import (
    change_accepted,
    change_rejected,
    no_configuration,
    version_mismatch,
    version_tag,
)
from willowpost.registry.api.json_patch import ConfigurationPatch
from willowpost.registry.api.log_client import LogClient
from willowpost.registry.api.preconditions import Preconditions
from willowpost.registry.api.proposal_encoder import ProposalEncoder
from willowpost.registry.api.request_body import RequestBody
from willowpost.registry.api.responses import (
    ValidationIssue,
    invalid_body,
    issues_from_json,
    quorum_read_failed,
)
from willowpost.registry.api.route import Route
from willowpost.shell.validation import validation_issues
from willowpost.shell.web import Request, Response
from willowpost.state.configuration_changes import (
    MAX_VERSION,
    ConfigurationProposal,
    content_digest,
)
from willowpost.state.results import ConfigurationAccepted
from willowpost.state.tables import Tables
from willowpost.toolbox.planner import ConfigurationPlanner

MAX_PATCH_BYTES = 64 * 1024
MAX_NUMBERED_BYTES = 16 * 1024 * 1024  # a configuration and the document it was made from

PatchedTree = Result[dict[str, Any], list[ValidationIssue]]


class NumberedConfiguration(RequestBody):
    """The body of a call that numbers a configuration.

    `configuration` is checked by the `ConfigurationChecker` alone, as in all other calls.
    """

    version: Annotated[int, Field(strict=True, ge=0, le=MAX_VERSION)]
    configuration: object
    source: str | None = None


@dataclass(frozen=True, slots=True)
class PatchRequest:
    """A patch and the conditions under which it may be applied.

    Attributes:
        patch: the patch itself.
        preconditions: of the headers.
        known_version: in force when the call can have been sent at the earliest.
    """

    patch: ConfigurationPatch
    preconditions: Preconditions
    known_version: int


class ConfigurationRoutes:
    """The calls for configurations.

    A change is answered as a success only if the log has accepted it, now or in an earlier call, or
    if it is in force already.
    """

    def __init__(self, log_client: LogClient) -> None:
        self.log_client = log_client
        self.checker = ConfigurationChecker()

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of this group."""
        return (
            Route("GET", "/v1/configuration", 0, self._show),
            Route("PUT", "/v1/configuration", MAX_CONFIGURATION_BYTES, self._replace),
            Route("POST", "/v1/configurations", MAX_NUMBERED_BYTES, self._replace_by_number),
            Route("POST", "/v1/configuration/plan", MAX_CONFIGURATION_BYTES, self._plan),
            Route("PATCH", "/v1/configuration", MAX_PATCH_BYTES, self._patch),
            Route("POST", "/v1/configuration/patch/plan", MAX_PATCH_BYTES, self._plan_patch),
        )

    @property
    def node_state(self) -> NodeState:
        """The node's shared state."""
        return self.log_client.node_state

    def _show(self, call: Request) -> Response:
        if not self.log_client.quorum_read(self.log_client.deadline_for(call)):
            return quorum_read_failed()
        active = self.node_state.tables.configuration
        source = {"source": active.source} if active.source is not None else {}
        return Response(
            200,
            {"version": active.version, "configuration": active.tree, **source},
            version_tag(active.version),
        )

    def _replace(self, call: Request) -> Response:
        deadline = self.log_client.deadline_for(call)
        required = Preconditions.read(call.headers)
        if required.is_err():
            return required.unwrap_err()
        checked = self.checker.check(call.body)
        if checked.is_err():
            return invalid_body(issues_from_json(checked.unwrap_err()))
        tree = checked.unwrap()
        known = self.log_client.position_of(call)
        if known.is_err():
            return known.unwrap_err()
        proposal = ConfigurationProposal(
            content=content_digest(tree, None),
            tree=tree,
            if_match=required.unwrap().version,
            key=required.unwrap().key,
            known_version=known.unwrap().version,
        )
        return self._propose(call, proposal, deadline)

    def _propose(self, call: Request, proposal: ConfigurationProposal, deadline: int) -> Response:
        """Have the log decide on the proposal; a repeat is acknowledged as the first was.

        One that replaces whatever is in force is fenced, so that one that was delayed, on its way
        or in a process that stood still, replaces nothing newer.
        """
        return self.log_client.submit(
            ProposalEncoder(proposal).encode,
            deadline,
            on_accepted=change_accepted,
            on_rejected=change_rejected,
            on_superseded=lambda: self.log_client.redirect(call),
        )

    def _replace_by_number(self, call: Request) -> Response:
        """Propose a configuration that the operator numbered; the highest number is in force.

        A number that is not above it is acknowledged as well, unless it is known to name other
        content.
        """
        deadline = self.log_client.deadline_for(call)
        read = self._read_numbered(call.body)
        if read.is_err():
            return invalid_body(read.unwrap_err())
        proposal = read.unwrap()
        active = self.node_state.tables.configuration
        is_newer = proposal.version is None or proposal.version > active.version
        if not is_newer and active.tree is not None:
            # The log is never behind these tables and its version only goes up: it compares the
            # digest and need not carry the tree again.
            proposal = replace(proposal, tree=None, source=None)
        return self._propose(call, proposal, deadline)

    def _read_numbered(self, body: bytes) -> Result[ConfigurationProposal, list[ValidationIssue]]:
        read = self.checker.read(body)
        if read.is_err():
            return Err(issues_from_json(read.unwrap_err()))
        try:
            numbered = NumberedConfiguration.model_validate(read.unwrap())
        except ValidationError as error:
            return Err(issues_from_json(validation_issues(error)))
        checked = self.checker.check_value(numbered.configuration)
        if checked.is_err():
            issues = issues_from_json(checked.unwrap_err())
            return Err([_inside_configuration(issue) for issue in issues])
        tree = checked.unwrap()
        return Ok(
            ConfigurationProposal(
                content=content_digest(tree, numbered.source),
                tree=tree,
                source=numbered.source,
                version=numbered.version,
            )
        )

    def _plan(self, call: Request) -> Response:
        checked = self.checker.check(call.body)
        if checked.is_err():
            return invalid_body(issues_from_json(checked.unwrap_err()))
        return self._show_plan(checked.unwrap())

    def _show_plan(self, tree: dict[str, Any]) -> Response:
        if not self.log_client.quorum_read():
            return quorum_read_failed()
        return Response(200, {"plan": ConfigurationPlanner().plan(self.node_state.tables, tree)})

    def _patch(self, call: Request) -> Response:
        """Propose the patched tree, only against the version it was made from.

        A patch that was accepted before is recognised by its digest and its `If-Match`, or by its
        key; one that requires no version, by its effect.
        """
        deadline = self.log_client.deadline_for(call)
        read = self._read_patch(call, deadline)
        if read.is_err():
            return read.unwrap_err()
        request = read.unwrap()
        patch, required = request.patch, request.preconditions
        tables = self.node_state.tables
        active = tables.configuration
        proposal = ConfigurationProposal(
            patch=patch.digest, if_match=required.version, key=required.key
        )
        is_stale = required.version not in (None, active.version)
        if is_stale or tables.configuration_changes.by_key(required.key) is not None:
            return self._propose(call, proposal, deadline)  # the log knows whether it is a repeat
        if active.tree is None:
            return no_configuration()
        patched = patch.apply(active.tree, self.checker)
        if required == Preconditions() and _is_in_force(tables, patch, patched):
            return change_accepted(
                ConfigurationAccepted(active.version, is_changed=False), tables.slot - 1
            )
        if required.version is None and request.known_version != active.version:
            # It may have waited while its caller gave up and changed the configuration elsewhere.
            return self.log_client.redirect(call)
        if patched.is_err():
            return invalid_body(patched.unwrap_err())
        tree = patched.unwrap()
        proposal = replace(
            proposal, tree=tree, content=content_digest(tree, None), if_match=active.version
        )
        return self._propose(call, proposal, deadline)

    def _plan_patch(self, call: Request) -> Response:
        read = self._read_patch(call, self.log_client.deadline_for(call))
        if read.is_err():
            return read.unwrap_err()
        request = read.unwrap()
        active = self.node_state.tables.configuration
        if request.preconditions.version not in (None, active.version):
            return version_mismatch(active.version)
        if active.tree is None:
            return no_configuration()
        patched = request.patch.apply(active.tree, self.checker)
        if patched.is_err():
            return invalid_body(patched.unwrap_err())
        return self._show_plan(patched.unwrap())

    def _read_patch(self, call: Request, deadline: int) -> Result[PatchRequest, Response]:
        """Return the patch and its conditions, after a successful quorum read."""
        required = Preconditions.read(call.headers)
        if required.is_err():
            return Err(required.unwrap_err())
        patch = ConfigurationPatch.read(call.body)
        if patch.is_err():
            return Err(invalid_body(patch.unwrap_err()))
        known = self.log_client.position_of(call)
        if known.is_err():
            return Err(known.unwrap_err())
        if not self.log_client.quorum_read(deadline):
            return Err(quorum_read_failed())
        return Ok(PatchRequest(patch.unwrap(), required.unwrap(), known.unwrap().version))


def _inside_configuration(issue: ValidationIssue) -> ValidationIssue:
    """Return an issue of a configuration as one of the document that has it as a member."""
    return replace(issue, location=f"configuration/{issue.location}".rstrip("/"))


def _is_in_force(tables: Tables, patch: ConfigurationPatch, patched: PatchedTree) -> bool:
    """Whether the effect of a patch is in force already.

    It changes nothing, or it made the version in force and does not apply a second time.
    """
    if patched.is_err():
        newest = tables.configuration_changes.newest()
        return newest is not None and newest.patch == patch.digest
    return bool(patched.unwrap() == tables.configuration.tree)
