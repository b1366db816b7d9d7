"""Responses of the control API that several groups of calls share."""

from collections.abc import Iterable
from dataclasses import dataclass

from willowpost.shell.validation_issue import PrintedIssue
from willowpost.shell.web import Response, reject


@dataclass(frozen=True, slots=True)
class ValidationIssue:
    """What is wrong with a request.

    Attributes:
        location: the field, header or other part of the request that it concerns.
        message: what is wrong there; None: the log gave no reason.
    """

    location: str
    message: str | None

    def as_json(self) -> dict[str, str | None]:
        """Return the issue as it stands in a response's `findings`."""
        return {"place": self.location, "finding": self.message}


def issues_from_json(findings: Iterable[PrintedIssue]) -> list[ValidationIssue]:
    """Return the issues that the checkers of configurations and models report as JSON."""
    return [ValidationIssue(finding["place"], finding["finding"]) for finding in findings]


def rejection(code: int, *issues: ValidationIssue, **members: object) -> Response:
    """Return the response to a request that is rejected for these issues.

    Args:
        code: HTTP status.
        issues: what is wrong.
        members: further members of the body.
    """
    return Response(code, {"findings": [issue.as_json() for issue in issues], **members})


def invalid_body(issues: Iterable[ValidationIssue]) -> Response:
    """Return the response (422) to a body that can be parsed but is not valid."""
    return rejection(422, *issues)


def outcome_unknown() -> Response:
    """Return the response (504) if it is not known in time whether the log accepts an operation."""
    return reject(504, "not known in time whether it was accepted", outcome="unknown")


def out_of_touch() -> Response:
    """Return the response (503) if nothing was submitted; another registry may be in touch."""
    return reject(503, "out of touch with the core", outcome="not-run")


def superseded() -> Response:
    """Return the response (503) if the log rejected the operation; it never takes effect."""
    return reject(503, "superseded while it was under way", outcome="not-run")


def quorum_read_failed() -> Response:
    """Return the response (503) if a quorum read did not succeed in time."""
    return reject(503, "no quorum read in time", outcome="not-run")
