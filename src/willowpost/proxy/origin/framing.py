"""HTTP/1.1 framing: a request's head, a response's body length (RFC 9112, 2 and 6)."""

from collections.abc import Iterable, Mapping

BODY_METHODS = ("POST", "PUT", "PATCH")
BODYLESS_STATUSES = (204, 304)
HEAD_END = b"\r\n\r\n"


def request_head(
    method: str, target: str, headers: Iterable[tuple[str, str]], body_length: int
) -> bytes:
    """Returns the request line and the headers, with the empty line that ends them."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    if body_length or method in BODY_METHODS:
        lines.append(f"content-length: {body_length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def content_length(headers: Mapping[str, str], is_bodyless: bool, has_digest: bool) -> int | None:
    """Returns a response's Content-Length, or None if it is chunked or has no length to check.

    Stricter than RFC 9112, 6.3: a body that ends with the connection is accepted only if a digest
    proves that it is complete.

    Args:
        headers: The response's headers by lower-case name.
        is_bodyless: Whether the response has no body by its method or status.
        has_digest: Whether a digest of the content is stated.

    Raises:
        ValueError: The body's end is ambiguous or cannot be determined.
    """
    length = headers.get("content-length")
    coding = headers.get("transfer-encoding")
    if coding is not None and coding.strip().lower() != "chunked":
        raise ValueError("an answer in a transfer coding that is not known")
    if length is not None and (coding is not None or not length.isdigit()):
        raise ValueError("an answer framed in two ways")
    if length is None and coding is None and not is_bodyless and not has_digest:
        raise ValueError("an answer whose end cannot be told")
    return None if length is None else int(length)


def head_end(data: bytes, interim_heads: int) -> int:
    """Returns the offset behind the head that follows `interim_heads` interim ones.

    Raises:
        ValueError: That head is not complete in `data`.
    """
    end = 0
    for _ in range(interim_heads + 1):
        while data[end : end + 1] in (b"\r", b"\n"):  # a parser skips them before a head
            end += 1
        end = data.index(HEAD_END, end) + len(HEAD_END)
    return end
