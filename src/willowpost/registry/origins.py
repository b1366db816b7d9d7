"""Which registration a call of an origin speaks of."""

from willowpost.state.tables import Tables


def origin_at(tables: Tables, address: str | None, service: str | None) -> str | None:
    """The name of the origin at an address, of that service if one is named."""
    return next(
        (
            name
            for name, card in tables.origins.items()
            if card["address"] == address and service in (None, card["service"])
        ),
        None,
    )


def same_incarnation(tables: Tables, address: str, service: str, token: str | None) -> str | None:
    """The name of the origin, if it is the same incarnation of its process.

    Who names another token than the registered one, or none where one is registered, is another
    incarnation and must register anew.
    """
    name = origin_at(tables, address, service)
    return name if name is not None and tables.origins[name].get("token") == token else None
