"""Answers to the calls that change the configuration."""

from willowpost.shell.web import Answer
from willowpost.state.results import ConfigurationAccepted, Reason, Rejected

REFUSALS = {
    Reason.OTHER_CONTENT: (409, "version"),
    Reason.KEY_REUSED: (422, "Idempotency-Key"),
}


def accepted_change(result: ConfigurationAccepted, slot: int) -> Answer:
    """Return the answer to a proposal that the log accepted, now or before."""
    content = {"version": result.version, "changed": result.is_changed}
    if result.version_in_force is not None:
        content["held"] = result.version_in_force
    return Answer(200, {**content, "slot": slot}, version_tag(result.version))


def not_accepted(result: Rejected) -> Answer:
    """Return the answer to a proposal that the log refused."""
    if result.reason == Reason.STALE_VERSION:
        return moved_on_answer(result.version)
    code, place = REFUSALS.get(result.reason, (409, "configuration"))
    finding = {"place": place, "finding": result.reason}
    return Answer(code, {"findings": [finding], "version": result.version})


def nothing_to_patch() -> Answer:
    """Return the answer to a patch before the first configuration."""
    finding = {"place": "configuration", "finding": "there is no configuration to patch yet"}
    return Answer(409, {"findings": [finding]})


def version_tag(version: int) -> tuple[tuple[str, str], ...]:
    """Return the header that names a version."""
    return (("ETag", f'"{version}"'),)


def moved_on_answer(version: int) -> Answer:
    """Return the answer to a call whose `If-Match` names another version."""
    return Answer(
        412,
        {
            "findings": [{"place": "If-Match", "finding": f"the version is {version}"}],
            "version": version,
        },
    )
