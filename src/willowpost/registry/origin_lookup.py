"""Finds the registration that a call of an origin refers to."""

from willowpost.state.tables import Tables


def find_origin(tables: Tables, address: str | None, service: str | None) -> str | None:
    """Return the name of the origin at an address (of `service`, if given), or None."""
    return next(
        (
            name
            for name, origin in tables.origins.items()
            if origin.address == address and service in (None, origin.service)
        ),
        None,
    )


def find_incarnation(tables: Tables, address: str, service: str, token: str | None) -> str | None:
    """Return the name of the origin if it is the same incarnation of its process, else None.

    A call with another token than the registered one, or without one where one is registered, comes
    from another incarnation, which must register anew.
    """
    name = find_origin(tables, address, service)
    return name if name is not None and tables.origins[name].token == token else None
