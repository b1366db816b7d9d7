"""Headers that state the condition for a change, and identify a repeated one."""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Self

from result import Err, Ok, Result

from willowpost.registry.api.responses import ValidationIssue, invalid_body, rejection
from willowpost.shell.web import Answer
from willowpost.state.configuration_changes import MAX_VERSION, digest_of

VERSION_TAG = re.compile(r'("?)([0-9]{1,19})\1')
IDEMPOTENCY_KEY = re.compile(r"[ -~]{1,256}")
ANY_VERSION = "*"


@dataclass(frozen=True, slots=True)
class Preconditions:
    """What a request requires.

    Attributes:
        version: the version of `If-Match`; None if there is none, or any may be in force.
        key: digest of `Idempotency-Key`; None if there is none.
    """

    version: int | None = None
    key: str | None = None

    @classmethod
    def read(cls, headers: Mapping[str, str]) -> Result[Self, Answer]:
        """Read the headers (names in lower case); an error is the response to the request."""
        required_tag = headers.get("if-match", ANY_VERSION).strip()
        tag = VERSION_TAG.fullmatch(required_tag)
        if required_tag != ANY_VERSION and (tag is None or int(tag[2]) > MAX_VERSION):
            return Err(rejection(400, ValidationIssue("If-Match", "not a version")))
        key = headers.get("idempotency-key")
        if key is not None and not IDEMPOTENCY_KEY.fullmatch(key.strip()):
            issue = ValidationIssue("Idempotency-Key", "not 1 to 256 printable characters")
            return Err(invalid_body([issue]))
        return Ok(
            cls(
                version=None if tag is None else int(tag[2]),
                key=None if key is None else digest_of(key.strip()),
            )
        )
