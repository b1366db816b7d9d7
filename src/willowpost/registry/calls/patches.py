"""JSON Patches of the configuration."""

import json
from dataclasses import dataclass

from result import Err, Ok, Result

from willowpost.configuration.checker import ConfigurationChecker
from willowpost.state.configuration_changes import digest_of


@dataclass(frozen=True, slots=True)
class Patch:
    """A JSON Patch as it was sent.

    Attributes:
        changes: The document; whether it is a valid patch shows when it is applied.
        digest: Names it among the accepted changes.
    """

    changes: object
    digest: str

    @classmethod
    def read(cls, body: bytes) -> Result["Patch", list[dict]]:
        """Read the body of a call; an error is a list of findings."""
        try:
            changes = json.loads(body)
            return Ok(cls(changes, digest_of(changes)))
        except (ValueError, RecursionError) as problem:
            return Err([{"place": "patch", "finding": str(problem)}])

    def applied(self, tree: dict, checker: ConfigurationChecker) -> Result[dict, list[dict]]:
        """Return the checked configuration that the patch makes of `tree`, or the findings."""
        import jsonpatch  # few registries are ever asked for a patch
        import jsonpointer

        try:
            patched = jsonpatch.JsonPatch(self.changes).apply(tree)
        except (
            ValueError,
            TypeError,
            KeyError,
            AttributeError,
            jsonpatch.JsonPatchException,
            jsonpointer.JsonPointerException,
        ) as problem:
            return Err([{"place": "patch", "finding": str(problem)}])
        return checker.check_value(patched)
