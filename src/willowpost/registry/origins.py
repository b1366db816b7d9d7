"""Which registration a call of an origin speaks of."""

from willowpost.state.tables import Tables


def origin_at(tables: Tables, address: str, service: str | None) -> str | None:
    return next(
        (
            name
            for name, card in tables.origins.items()
            if card["address"] == address and service in (None, card["service"])
        ),
        None,
    )


def same_incarnation(tables: Tables, address: str, service: str, token: str | None) -> str | None:
    """Invariant: who names another token than the registered one, or none where one is registered.

    Is another life and must register anew.
    """
    name = origin_at(tables, address, service)
    return name if name is not None and tables.origins[name].get("token") == token else None
