"""Numbers for values, the same number for equal ones."""

from collections.abc import Hashable
from typing import Generic, TypeVar

Value = TypeVar("Value")


class Interner(Generic[Value]):
    """Gives values with equal keys one number, and stores the first of these values."""

    def __init__(self) -> None:
        self._numbers: dict[Hashable, int] = {}
        self._values: list[Value] = []

    def intern(self, key: Hashable, value: Value) -> int:
        """The value's number, given to its key now if it has none yet."""
        known = self._numbers.get(key)
        if known is not None:
            return known
        self._numbers[key] = len(self._values)
        self._values.append(value)
        return len(self._values) - 1

    def __getitem__(self, number: int) -> Value:
        """The value of this number."""
        return self._values[number]

    def __len__(self) -> int:
        """How many numbers were given."""
        return len(self._values)
