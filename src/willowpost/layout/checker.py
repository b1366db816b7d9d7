"""Checks a layout as a whole: all findings, each with its place, or the layout as plain data."""
import json
from collections import Counter

from pydantic import ValidationError
from result import Err, Ok, Result

from willowpost.layout.model import Layout
from willowpost.layout.ways import DEPTH_MOST, WAYS_MOST, walk
from willowpost.shell.props import findings_of

BYTES_MOST = 4 * 1024 * 1024


def _once(pairs):
    counts = Counter(name for name, _ in pairs)
    twice = [name for name, count in counts.items() if count > 1]
    if twice:
        raise ValueError(f"names said twice: {', '.join(sorted(twice))}")
    return dict(pairs)


class LayoutChecker:
    """Invariant: only what comes back as Ok may be proposed to the log."""

    def check(self, body: bytes) -> Result[dict, list[dict]]:
        try:
            held = json.loads(body.decode("utf-8"), object_pairs_hook=_once, parse_constant=self._refuse)
        except (ValueError, RecursionError) as problem:
            return Err([{"place": "/", "finding": f"not JSON: {problem}"}])
        return self.check_value(held)

    def check_value(self, held) -> Result[dict, list[dict]]:
        try:
            layout = Layout.model_validate(held)
        except ValidationError as error:
            return Err(findings_of(error))
        except RecursionError:
            return Err([{"place": "/", "finding": "nested too deep"}])
        tree = layout.model_dump(exclude_none=True, exclude_defaults=False)
        findings = list(self._whole(tree))
        return Err(findings) if findings else Ok(tree)

    def _refuse(self, name):
        raise ValueError(f"{name} is no JSON number")

    def _whole(self, tree):
        branches = list(walk(tree))
        if len(branches) > WAYS_MOST:
            yield {"place": "branches", "finding": f"more than {WAYS_MOST} branches"}
        places = {}
        for place, depth, host, path, props, branch in branches:
            if depth > DEPTH_MOST:
                yield {"place": place, "finding": f"deeper than {DEPTH_MOST} branches"}
            if props.get("group") is not None and props["group"] not in tree["groups"]:
                yield {"place": f"{place}/props/group", "finding": f"no group {props['group']}"}
            if path is not None and props.get("group") is None and not branch.get("branches"):
                yield {"place": place, "finding": "a way without a group"}
            if path is None and not branch.get("branches"):
                yield {"place": place, "finding": "a leaf without a path"}
            if path is not None and props.get("group"):
                first = places.setdefault((host, path.rstrip("/")), place)
                ownPlace = branch.get("path") is not None or branch.get("host") is not None
                if first != place and ownPlace:
                    yield {"place": place, "finding": f"the same host and path as {first}"}
        group = tree["props"].get("group")
        if group is not None and group not in tree["groups"]:
            yield {"place": "props/group", "finding": f"no group {group}"}
