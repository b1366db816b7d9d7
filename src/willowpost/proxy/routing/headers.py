"""What goes from one side to the other, and what ends at a hop."""

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
CONDITIONS = ("if-none-match", "if-modified-since")


def end_to_end(headers, kept=frozenset()) -> list[tuple[str, str]]:
    """Invariant: no header that speaks of one connection.

    Nor one of our own (but the words in `kept`), passes through.
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
    """`whole`: the whole object is asked for, whatever part of it the caller wants."""
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
        [("wp-hop", hop), ("wp-slot", str(slot)), *([("wp-extra", "1")] if extra else [])]
        if hop
        else []
    )
    said = [(words.request, request.name)] if words and request.name is not None else []
    said += [(words.left, str(max(1, left // 1000)))] if words and left is not None else []
    said += [(words.incarnation, incarnation)] if words and incarnation is not None else []
    return [("host", request.host), *sent, *check, *said, ("via", "1.1 willowpost"), *hops]
