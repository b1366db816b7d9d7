"""Where a message begins and ends: the head of a request, the length of an answer."""

BODY_METHODS = ("POST", "PUT", "PATCH")
BODYLESS_STATUSES = (204, 304)
HEAD_END = b"\r\n\r\n"


def request_head(method: str, target: str, headers: list, body: bytes) -> bytes:
    """The request line and the headers, with the blank line."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    if body or method in BODY_METHODS:
        lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def content_length(headers: dict, bodyless: bool, stated: bool) -> int | None:
    """The length that an answer says, or None if it comes in chunks or has no body to measure.

    `stated`: the content has a digest, so its end may be the connection's.

    Raises:
        ValueError: the answer is framed in two ways, or in none whose end can be told.
    """
    length = headers.get("content-length")
    coding = headers.get("transfer-encoding")
    if coding is not None and coding.strip().lower() != "chunked":
        raise ValueError("an answer in a transfer coding that is not known")
    if length is not None and (coding is not None or not length.isdigit()):
        raise ValueError("an answer framed in two ways")
    if length is None and coding is None and not bodyless and not stated:
        raise ValueError("an answer whose end cannot be told")
    return None if length is None else int(length)


def head_end(data: bytes, interim: int) -> int:
    """Where the head ends that follows `interim` interim ones; ValueError if it is not there."""
    end = 0
    for _ in range(interim + 1):
        while data[end : end + 1] in (b"\r", b"\n"):  # a parser passes over them before a head
            end += 1
        end = data.index(HEAD_END, end) + len(HEAD_END)
    return end
