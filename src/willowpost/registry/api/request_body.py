"""Bodies of requests: parsed and checked, or rejected with all their issues at once."""

from typing import TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError
from result import Err, Ok, Result

from willowpost.registry.api.responses import invalid_body, issues_from_json
from willowpost.shell.settings import findings_of
from willowpost.shell.web import Answer

SMALL_BODY_BYTES = 64 * 1024  # limit of the calls that carry no documents
Body = TypeVar("Body", bound="RequestBody")


class RequestBody(BaseModel):
    """A body in which every unknown field is an issue."""

    model_config = ConfigDict(extra="forbid")


def parse_body(model: type[Body], body: bytes) -> Result[Body, Answer]:
    """Return the body as a `model`, or the response (422) that names all its issues."""
    try:
        return Ok(model.model_validate_json(body))
    except ValidationError as error:
        return Err(invalid_body(issues_from_json(findings_of(error))))
