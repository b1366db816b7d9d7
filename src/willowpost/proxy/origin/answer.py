"""An answer of an origin, and how to tell whose request it answers."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class WholeAnswer:
    """Invariant: `body` is the whole body as the origin framed it, unless `rest` goes on with it."""

    status: int
    headers: list = field(default_factory=list)
    body: bytes = b""
    rest: object = None  # an iterator over what follows, for oversized answers

    def header(self, name: str) -> str | None:
        """The value of the first header of that (lower case) name."""
        return next((value for held, value in self.headers if held == name), None)

    def lowered(self) -> dict[str, str]:
        """Repeated headers joined, as a list header may be."""
        joined = {}
        for name, value in self.headers:
            joined[name] = f"{joined[name]}, {value}" if name in joined else value
        return joined


@dataclass(frozen=True, slots=True)
class Echo:
    """The request id that an answer has to bear.

    Invariant: an answer whose `header` names another id than `name` answers somebody else's
    request.
    """

    header: str
    name: str

    def foreign(self, headers) -> bool:
        """Whether the answer names another request."""
        return any(held == self.header and value != self.name for held, value in headers)

    def confirmed(self, headers) -> bool:
        """Whether the answer names this request."""
        return any(held == self.header and value == self.name for held, value in headers)
