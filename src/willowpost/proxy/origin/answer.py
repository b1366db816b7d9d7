"""An origin's response, and the check that it belongs to our request."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class WholeAnswer:
    """A response.

    Attributes:
        status: The HTTP status code.
        headers: (lower-case name, value) pairs in the order received.
        body: The whole body as the origin framed it, or empty if `rest` is set.
        rest: An iterator over the body in pieces, for a body over the size limit.
    """

    status: int
    headers: list = field(default_factory=list)
    body: bytes = b""
    rest: object = None  # an iterator over what follows, for oversized answers

    def header(self, name: str) -> str | None:
        """The value of the first header with that lower-case name, or None."""
        return next((value for held, value in self.headers if held == name), None)

    def lowered(self) -> dict[str, str]:
        """The headers by name; repeated ones are joined with commas."""
        joined = {}
        for name, value in self.headers:
            joined[name] = f"{joined[name]}, {value}" if name in joined else value
        return joined


@dataclass(frozen=True, slots=True)
class Echo:
    """The request id that a response has to bear.

    Attributes:
        header: Name of the header that carries it, lower case.
        name: The id of our request; a response with another id belongs to another request.
    """

    header: str
    name: str

    def foreign(self, headers) -> bool:
        """Whether the response names another request."""
        return any(held == self.header and value != self.name for held, value in headers)

    def confirmed(self, headers) -> bool:
        """Whether the response names this request."""
        return any(held == self.header and value == self.name for held, value in headers)
