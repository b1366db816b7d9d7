"""The validation issues of pydantic's models."""

from pydantic import ValidationError

from willowpost.shell.validation_issue import PrintedIssue


def validation_issues(error: ValidationError) -> list[PrintedIssue]:
    """Return all issues that a model found."""
    return [
        {"place": "/".join(map(str, issue["loc"])) or "/", "finding": issue["msg"]}
        for issue in error.errors()
    ]
