"""Bodies of calls: parsed and checked, or refused with all findings at once."""

from typing import TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError
from result import Err, Ok, Result

from willowpost.shell.settings import findings_of
from willowpost.shell.web import Answer

Body = TypeVar("Body", bound=BaseModel)


class Strict(BaseModel):
    """A body in which every unknown field is a finding."""

    model_config = ConfigDict(extra="forbid")


def parsed(kind: type[Body], body: bytes) -> Result[Body, Answer]:
    """Return the body as a `kind`, or the answer (422) that names all its findings."""
    try:
        return Ok(kind.model_validate_json(body))
    except ValidationError as error:
        return Err(unfit(findings_of(error)))


def unfit(findings: list[dict]) -> Answer:
    """Return the answer (422) to a body that can be parsed but is not valid."""
    return Answer(422, {"findings": findings})
