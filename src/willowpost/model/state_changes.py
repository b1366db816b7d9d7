"""Small changes of a system state, each giving a new one."""

from willowpost.common.errors import WillowpostError
from willowpost.model.system_state import SystemState


class ActionNotPossibleError(WillowpostError):
    """The action cannot happen in this state."""


def spent(state: SystemState, kind: str) -> SystemState:
    """The state with one less of this kind in its budget.

    Raises:
        ActionNotPossibleError: none is left.
    """
    left = getattr(state.budget, kind)
    if not left:
        raise ActionNotPossibleError(f"no {kind} are left in the scope's budget")
    return state._replace(budget=state.budget._replace(**{kind: left - 1}))


def with_item(items: tuple[int, ...], index: int, value: int) -> tuple[int, ...]:
    """The tuple with another value at this index."""
    return (*items[:index], value, *items[index + 1 :])


def with_messages(network: tuple[int, ...], messages: tuple[int, ...]) -> tuple[int, ...]:
    """The network with these messages in flight as well, each once."""
    return tuple(sorted({*network, *messages})) if messages else network


def without_message(network: tuple[int, ...], number: int) -> tuple[int, ...]:
    """The network with this message no longer in flight."""
    return tuple(other for other in network if other != number)
