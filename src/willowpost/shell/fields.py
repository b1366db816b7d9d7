"""Reads single fields of a settings file that another party wrote, and notes what is wrong."""

import re

ADDRESS = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})")


class Fields:
    """Takes single fields out of the settings and notes what is wrong with them."""

    def __init__(self, held: dict, findings: list):
        self.held, self.findings = held, findings

    def find(self, place, finding):
        """Note that the field at `place` is wrong."""
        self.findings.append({"place": place, "finding": finding})

    def at(self, *path):
        """The value at a path of keys, or None."""
        held = self.held
        for name in path:
            held = held.get(name) if isinstance(held, dict) else None
        return held

    def text(self, name, pattern=None) -> str:
        """A text that is not empty, and matches `pattern`; "" after a finding."""
        held = self.at(name)
        if not isinstance(held, str) or not held or (pattern and not pattern.fullmatch(held)):
            self.find(name, "missing" if held is None else f"{held!r} does not fit")
            return ""
        return held

    def flag(self, name) -> bool:
        """True or false; False after a finding."""
        held = self.at(name)
        if not isinstance(held, bool):
            self.find(name, "missing" if held is None else f"{held!r} is neither true nor false")
        return held is True

    def table(self, name) -> dict[str, str]:
        """A table of texts by name; empty after a finding."""
        held = self.at(name)
        if not isinstance(held, dict) or not held:
            self.find(name, "missing" if held is None else "not a table of names")
            return {}
        return {str(key): str(value) for key, value in held.items()}

    def address(self, *path) -> str:
        """An IP address with a port; "" after a finding."""
        held = self.at(*path)
        if not self._is_address(held):
            self.find(
                "/".join(path),
                "missing" if held is None else f"{held!r} is not an IP address with a port",
            )
            return ""
        return held

    def addresses(self, name) -> list[str]:
        """A list of IP addresses with ports; empty after a finding."""
        held = self.at(name)
        if (
            not isinstance(held, list)
            or not held
            or not all(self._is_address(address) for address in held)
        ):
            self.find(
                name,
                "missing" if held is None else f"{held!r} is not a list of IP addresses with ports",
            )
            return []
        return held

    def _is_address(self, held) -> bool:
        found = ADDRESS.fullmatch(held) if isinstance(held, str) else None
        return (
            found is not None
            and all(int(part) < 256 for part in found.groups()[:4])
            and 0 < int(found[5]) < 65536
        )

    def ports(self, name) -> tuple[int, int]:
        """The first and the last port of a range; all ports after a finding."""
        held = self.at(name)
        if (
            not isinstance(held, list)
            or len(held) != 2
            or not all(type(port) is int and 0 < port < 65536 for port in held)
        ):
            self.find(
                name, "missing" if held is None else f"{held!r} is not a first and a last port"
            )
            return 1, 65535
        return held[0], held[1]

    def number(self, *path, default):
        """A number that is not negative, or `default` if the field is missing."""
        held = self.at(*path)
        if held is None or (type(held) in (int, float) and held >= 0):
            return default if held is None else held
        self.find("/".join(path), f"{held!r} is not a number")
        return default or 0
