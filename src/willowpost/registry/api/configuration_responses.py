"""Responses to the calls that change the configuration."""

from willowpost.registry.api.responses import ValidationIssue, rejection
from willowpost.shell.web import Answer
from willowpost.state.results import ConfigurationAccepted, Reason, Rejected

# Status and location of the issue; any other reason is a conflict with the configuration.
REJECTIONS: dict[str | None, tuple[int, str]] = {
    Reason.OTHER_CONTENT: (409, "version"),
    Reason.KEY_REUSED: (422, "Idempotency-Key"),
}
CONFLICT = (409, "configuration")


def change_accepted(result: ConfigurationAccepted, slot: int) -> Answer:
    """Return the response to a proposal that the log accepted, now or before."""
    body: dict[str, object] = {"version": result.version, "changed": result.is_changed}
    if result.version_in_force is not None:
        body["held"] = result.version_in_force
    return Answer(200, {**body, "slot": slot}, version_tag(result.version))


def change_rejected(result: Rejected) -> Answer:
    """Return the response to a proposal that the log rejected."""
    if result.reason == Reason.STALE_VERSION:
        return version_mismatch(result.version)
    code, location = REJECTIONS.get(result.reason, CONFLICT)
    return rejection(code, ValidationIssue(location, result.reason), version=result.version)


def no_configuration() -> Answer:
    """Return the response to a patch before the first configuration."""
    return rejection(
        409, ValidationIssue("configuration", "there is no configuration to patch yet")
    )


def version_tag(version: int) -> tuple[tuple[str, str], ...]:
    """Return the header that names a version."""
    return (("ETag", f'"{version}"'),)


def version_mismatch(version: int | None) -> Answer:
    """Return the response to a request whose `If-Match` names another version."""
    issue = ValidationIssue("If-Match", f"the version is {version}")
    return rejection(412, issue, version=version)
