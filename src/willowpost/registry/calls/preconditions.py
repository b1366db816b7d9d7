"""Headers that state the condition for a change, and identify a repeated one."""

import re
from dataclasses import dataclass
from typing import Self

from result import Err, Ok, Result

from willowpost.registry.calls.body import unfit
from willowpost.shell.web import Answer
from willowpost.state.configuration_changes import MAX_VERSION, digest_of

VERSION_TAG = re.compile(r'("?)([0-9]{1,19})\1')
KEY = re.compile(r"[ -~]{1,256}")
ANY = "*"


@dataclass(frozen=True, slots=True)
class Preconditions:
    """What a call requires.

    Attributes:
        version: The version of `If-Match`; None if there is none, or any may be in force.
        key: Digest of `Idempotency-Key`; None if there is none.
    """

    version: int | None = None
    key: str | None = None

    @classmethod
    def read(cls, headers: dict[str, str]) -> Result[Self, Answer]:
        """Read the headers (names in lower case); an error is the answer to the call."""
        match = headers.get("if-match", ANY).strip()
        tag = VERSION_TAG.fullmatch(match)
        if match != ANY and (tag is None or int(tag[2]) > MAX_VERSION):
            return Err(
                Answer(400, {"findings": [{"place": "If-Match", "finding": "not a version"}]})
            )
        key = headers.get("idempotency-key")
        if key is not None and not KEY.fullmatch(key.strip()):
            return Err(
                unfit(
                    [{"place": "Idempotency-Key", "finding": "not 1 to 256 printable characters"}]
                )
            )
        return Ok(
            cls(
                version=None if tag is None else int(tag[2]),
                key=None if key is None else digest_of(key.strip()),
            )
        )
