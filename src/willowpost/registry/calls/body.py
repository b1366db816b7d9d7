"""Bodies of calls: whole and checked, or every finding at once."""

from pydantic import BaseModel, ConfigDict, ValidationError
from result import Err, Ok, Result

from willowpost.shell.settings import findings_of
from willowpost.shell.web import Answer


class Strict(BaseModel):
    model_config = ConfigDict(extra="forbid")


def parsed(kind, body: bytes) -> Result[BaseModel, Answer]:
    try:
        return Ok(kind.model_validate_json(body))
    except ValidationError as error:
        return Err(unfit(findings_of(error)))


def unfit(findings: list[dict]) -> Answer:
    return Answer(422, {"findings": findings})
