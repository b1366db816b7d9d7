"""Answers to the calls that change the configuration."""

from willowpost.shell.web import Answer
from willowpost.state.configuration_changes import ChangeRefusal

REFUSALS = {
    ChangeRefusal.OTHER_CONTENT.value: (409, "version"),
    ChangeRefusal.KEY_REUSED.value: (422, "Idempotency-Key"),
}


def accepted_change(answer: dict, slot: int) -> Answer:
    """Return the answer to a proposal that the log accepted, now or before."""
    told = {name: answer[name] for name in ("version", "changed", "held") if name in answer}
    return Answer(200, {**told, "slot": slot}, version_tag(answer))


def not_accepted(answer: dict) -> Answer:
    """Return the answer to a proposal that the log refused."""
    why = answer["why"]
    if why == ChangeRefusal.STALE.value:
        return moved_on_answer(answer)
    code, place = REFUSALS.get(why, (409, "configuration"))
    finding = {"place": place, "finding": why}
    return Answer(code, {"findings": [finding], "version": answer["version"]})


def nothing_to_patch() -> Answer:
    """Return the answer to a patch before the first configuration."""
    finding = {"place": "configuration", "finding": "there is no configuration to patch yet"}
    return Answer(409, {"findings": [finding]})


def version_tag(held: dict) -> tuple[tuple[str, str], ...]:
    """Return the header that names a version."""
    return (("ETag", f'"{held["version"]}"'),)


def moved_on_answer(held: dict) -> Answer:
    """Return the answer to a call whose `If-Match` names another version."""
    return Answer(
        412,
        {
            "findings": [{"place": "If-Match", "finding": f"the version is {held['version']}"}],
            "version": held["version"],
        },
    )
