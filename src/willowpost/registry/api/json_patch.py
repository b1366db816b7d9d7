"""JSON Patches (RFC 6902) of the configuration."""

import json
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from willowpost.configuration.checker import ConfigurationChecker
from willowpost.registry.api.responses import ValidationIssue, issues_from_json
from willowpost.state.configuration_changes import digest_of


@dataclass(frozen=True, slots=True)
class ConfigurationPatch:
    """A JSON Patch as it was sent.

    Attributes:
        changes: the document; whether it is a valid patch shows when it is applied.
        digest: identifies it among the accepted changes.
    """

    changes: Any
    digest: str

    @classmethod
    def read(cls, body: bytes) -> Result["ConfigurationPatch", list[ValidationIssue]]:
        """Read the body of a request; an error is the list of its issues."""
        try:
            changes = json.loads(body)
            return Ok(cls(changes, digest_of(changes)))
        except (ValueError, RecursionError) as error:
            return Err([_patch_issue(error)])

    def apply(
        self, tree: dict[str, Any], checker: ConfigurationChecker
    ) -> Result[dict[str, Any], list[ValidationIssue]]:
        """Return the checked configuration that the patch makes of `tree`, or the issues."""
        # Imported here since few registries ever receive a patch.
        import jsonpatch
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
        ) as error:
            return Err([_patch_issue(error)])
        checked = checker.check_value(patched)
        if checked.is_err():
            return Err(issues_from_json(checked.unwrap_err()))
        return Ok(checked.unwrap())


def _patch_issue(error: Exception) -> ValidationIssue:
    return ValidationIssue("patch", str(error))
