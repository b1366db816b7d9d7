"""The digest by which a history knows a configuration's content."""

import json

from willowpost.common.digest import blake2b


def content_of(tree: object) -> str | None:
    """A digest of a configuration's tree, whatever the order of its keys; None if there is none."""
    if tree is None:
        return None
    return blake2b(json.dumps(tree, sort_keys=True).encode(), digest_size=8).hexdigest()
