"""Which headers pass from one side of the proxy to the other, and which end here."""

HOP = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
}
OURS = "wp-"
# between an edge and a shield
HOP_SLOT = "wp-slot"  # the least log slot known to any daemon that the fetch passed
HOP_AGE = "wp-age"  # a response's age in ms: Age in whole seconds would lose up to one
HOP_REJECT = "wp-reject"  # the shield's own refusal, not an origin's answer
CONDITIONS = ("if-none-match", "if-modified-since")


def end_to_end(headers, kept=frozenset()) -> list[tuple[str, str]]:
    """The headers without those of one connection and without the proxy's own.

    Args:
        headers: (lower-case name, value) pairs.
        kept: Names of the proxy's own headers that pass nevertheless.
    """
    pairs = list(headers)
    named = {
        name.strip().lower()
        for held, value in pairs
        if held == "connection"
        for name in value.split(",")
    }
    return [
        (name, value)
        for name, value in pairs
        if name not in HOP and name not in named and (not name.startswith(OURS) or name in kept)
    ]


def toward(
    request,
    address: str,
    hop: str | None,
    slot: int,
    entry=None,
    extra: bool = False,
    words=None,
    left: int | None = None,
    incarnation: str | None = None,
    whole: bool = False,
) -> list[tuple[str, str]]:
    """The headers of a request to an origin or a shield.

    Args:
        request: The caller's request.
        address: Where it is sent.
        hop: The sending proxy's id if it is sent to a shield, else None.
        slot: The log slot that the sending proxy has reached; sent to a shield only.
        entry: A stored response to be revalidated, or None.
        extra: Whether an earlier try may have reached an origin; sent to a shield only.
        words: Header names shared with origins; None leaves these headers out.
        left: How long the caller still waits, in µs, or None.
        incarnation: The incarnation that the request is meant for, or None.
        whole: Whether to ask for the whole object, whatever range the caller wants.
    """
    drop = {
        "host",
        *(CONDITIONS if entry is not None or whole else ()),
        *(("range", "if-range") if whole else ()),
    }
    ours = {words.request, words.left, words.incarnation} if words else set()
    sent = [
        (name, value)
        for name, value in end_to_end(request.headers.items())
        if name not in drop and name not in ours
    ]
    held = dict(entry.headers) if entry is not None else {}
    check = (
        [("if-none-match", held["etag"])]
        if "etag" in held
        else [("if-modified-since", held["last-modified"])]
        if "last-modified" in held
        else []
    )
    hops = (
        [("wp-hop", hop), (HOP_SLOT, str(slot)), *([("wp-extra", "1")] if extra else [])]
        if hop
        else []
    )
    said = [(words.request, request.name)] if words and request.name is not None else []
    said += [(words.left, str(max(1, left // 1000)))] if words and left is not None else []
    said += [(words.incarnation, incarnation)] if words and incarnation is not None else []
    return [("host", request.host), *sent, *check, *said, ("via", "1.1 willowpost"), *hops]
