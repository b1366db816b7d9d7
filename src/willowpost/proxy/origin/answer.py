"""An origin's HTTP response (RFC 9110, 3.4), and the check that it answers our request."""

from collections.abc import Generator, Iterable
from dataclasses import dataclass, field

Header = tuple[str, str]


@dataclass(slots=True)
class WholeAnswer:
    """A final response.

    Attributes:
        status: The HTTP status code.
        headers: (lower-case name, value) pairs in the order received.
        body: The complete body without its framing, or empty if `rest` is set.
        rest: The body in blocks, for a body over the size limit; closing the generator before its
            end closes the connection.
    """

    status: int
    headers: list[Header] = field(default_factory=list)
    body: bytes = b""
    rest: Generator[bytes, None, None] | None = None

    def header(self, name: str) -> str | None:
        """Returns the value of the first header with that lower-case name, or None."""
        return next((value for header, value in self.headers if header == name), None)

    def lowered(self) -> dict[str, str]:
        """Returns the headers by name; repeated ones are joined with commas (RFC 9110, 5.3)."""
        joined: dict[str, str] = {}
        for name, value in self.headers:
            joined[name] = f"{joined[name]}, {value}" if name in joined else value
        return joined


@dataclass(frozen=True, slots=True)
class Echo:
    """The request id that a response has to carry.

    Attributes:
        header: Name of the header that carries it, lower case.
        request_id: The id of our request; a response with another id answers another request.
    """

    header: str
    request_id: str

    def names_other_request(self, headers: Iterable[Header]) -> bool:
        """Whether the response carries the id of another request."""
        return any(name == self.header and value != self.request_id for name, value in headers)

    def names_this_request(self, headers: Iterable[Header]) -> bool:
        """Whether the response carries the id of this request."""
        return any(name == self.header and value == self.request_id for name, value in headers)
