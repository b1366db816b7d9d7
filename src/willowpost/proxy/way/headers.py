"""What goes from one side to the other, and what ends at a hop."""
HOP = {"connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer",
       "transfer-encoding", "upgrade", "content-length", "expect"}
OURS = "wp-"


def end_to_end(headers) -> list[tuple[str, str]]:
    """Invariant: no header that speaks of one connection, nor one of our own, passes through."""
    pairs = list(headers)
    named = {name.strip().lower() for held, value in pairs if held == "connection" for name in value.split(",")}
    return [(name, value) for name, value in pairs if name not in HOP and name not in named and not name.startswith(OURS)]


def toward(request, address: str, hop: str | None, slot: int, entry=None, extra: bool = False) -> list[tuple[str, str]]:
    sent = [(name, value) for name, value in end_to_end(request.headers.items())
            if name not in ("host", "if-none-match", "if-modified-since") or entry is None and name != "host"]
    held = dict(entry.headers) if entry is not None else {}
    check = [("if-none-match", held["etag"])] if "etag" in held else \
        [("if-modified-since", held["last-modified"])] if "last-modified" in held else []
    hops = [("wp-hop", hop), ("wp-slot", str(slot)), *([("wp-extra", "1")] if extra else [])] if hop else []
    return [("host", request.host), *sent, *check, ("via", "1.1 willowpost"), *hops]
