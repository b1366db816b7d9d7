"""Reads single fields of a settings file that another party wrote, and notes what is wrong."""

import re
from typing import Any, TypeVar

from willowpost.shell.validation_issue import PrintedIssue

ADDRESS = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})")
MAX_OCTET = 255
MAX_PORT = 65535
Default = TypeVar("Default", int, float, None)


class FieldReader:
    """Takes single fields out of settings and notes an issue for each that is wrong.

    Args:
        values: the settings.
        issues: to which each issue is added.
    """

    def __init__(self, values: dict[str, Any], issues: list[PrintedIssue]) -> None:
        self.values, self.issues = values, issues

    def add_issue(self, path: str, message: str) -> None:
        """Note that the field at `path` is wrong."""
        self.issues.append({"place": path, "finding": message})

    def _add_unfit(self, path: str, value: object, message: str) -> None:
        self.add_issue(path, "missing" if value is None else message)

    def value_at(self, *path: str) -> Any:
        """Return the value at a path of keys, or None."""
        value: Any = self.values
        for name in path:
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def text(self, name: str, pattern: re.Pattern[str] | None = None) -> str:
        """Return a text that is not empty, and matches `pattern`; "" after an issue."""
        value = self.value_at(name)
        if not isinstance(value, str) or not value or (pattern and not pattern.fullmatch(value)):
            self._add_unfit(name, value, f"{value!r} does not fit")
            return ""
        return value

    def boolean(self, name: str) -> bool:
        """Return true or false; False after an issue."""
        value = self.value_at(name)
        if not isinstance(value, bool):
            self._add_unfit(name, value, f"{value!r} is neither true nor false")
        return value is True

    def string_table(self, name: str) -> dict[str, str]:
        """Return a table of texts by name; empty after an issue."""
        value = self.value_at(name)
        if not isinstance(value, dict) or not value:
            self._add_unfit(name, value, "not a table of names")
            return {}
        return {str(key): str(text) for key, text in value.items()}

    def address(self, *path: str) -> str:
        """Return an IP address with a port; "" after an issue."""
        value = self.value_at(*path)
        if not _is_address(value):
            message = f"{value!r} is not an IP address with a port"
            self._add_unfit("/".join(path), value, message)
            return ""
        return str(value)

    def addresses(self, name: str) -> list[str]:
        """Return a list of IP addresses with ports; empty after an issue."""
        value = self.value_at(name)
        if not isinstance(value, list) or not value or not all(map(_is_address, value)):
            self._add_unfit(name, value, f"{value!r} is not a list of IP addresses with ports")
            return []
        return value

    def port_range(self, name: str) -> tuple[int, int]:
        """Return the first and the last port of a range; all ports after an issue."""
        value = self.value_at(name)
        if not isinstance(value, list) or len(value) != 2 or not all(map(_is_port, value)):
            self._add_unfit(name, value, f"{value!r} is not a first and a last port")
            return 1, MAX_PORT
        return value[0], value[1]

    def number(self, *path: str, default: Default) -> Any:
        """Return a number that is not negative, or `default` if the field is missing."""
        value = self.value_at(*path)
        if value is None:
            return default
        if type(value) in (int, float) and value >= 0:
            return value
        self.add_issue("/".join(path), f"{value!r} is not a number")
        return default or 0


def _is_address(value: object) -> bool:
    match = ADDRESS.fullmatch(value) if isinstance(value, str) else None
    return (
        match is not None
        and all(int(octet) <= MAX_OCTET for octet in match.groups()[:4])
        and _is_port(int(match[5]))
    )


def _is_port(value: object) -> bool:
    return type(value) is int and 0 < value <= MAX_PORT
