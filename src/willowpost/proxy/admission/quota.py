"""The rules of a service's quota, which is its rate divided among the proxies.

A part of the rate is every sender's base quota, which follows from the tables. The rest is granted
by the service's owner according to demand. The base quota lets traffic continue while an owner is
lost or a fencing token is being waited out. See docs/design/allowances.md.
"""

from willowpost.proxy.proxy_state import ProxyState
from willowpost.proxy.routing.snapshot import RoutableService

BASE_QUOTA_FRACTION = 0.7  # of the rate; the rest is granted
QUOTA_WINDOW_SECONDS = 5.0
# What a window tolerates over the rate.
TOLERANCE_FACTOR = 1.1
# Below this fraction of its rate a service could not be used if the rate were divided.
MIN_USABLE_FRACTION = 0.75


def role_of(service_name: str) -> str:
    """Returns the key of the singleton role that grants a service's quota."""
    return f"quota_share/{service_name}"


def fencing_token_of(node_state: ProxyState, service_name: str) -> int | None:
    """Returns the fencing token of the owner of a service's quota; None: it has no owner yet."""
    ownership = node_state.tables.ownerships.get(role_of(service_name))
    return None if ownership is None else ownership.fencing_token


def is_admitted_by_tokens(service: RoutableService) -> bool:
    """Whether the rate is too small for each sender to use a share of it.

    The owner then gives admission tokens one by one.
    """
    tolerated_rate = TOLERANCE_FACTOR * service.rate
    usable_rate = tolerated_rate - len(service.senders) / QUOTA_WINDOW_SECONDS
    return usable_rate < MIN_USABLE_FRACTION * tolerated_rate


def base_quota_of(node_state: ProxyState, service: RoutableService, now: int) -> float:
    """Returns the requests a second that this proxy may send without a grant.

    Args:
        node_state: The proxy's shared state.
        service: The service.
        now: This process's clock, in µs.
    """
    if is_admitted_by_tokens(service) or not node_state.is_warmed_up(now):
        return 0.0
    share = service.base_quota_shares.get(node_state.descriptor.id, 0.0)
    return BASE_QUOTA_FRACTION * service.rate * share


def grantable_rate_of(service: RoutableService) -> float:
    """Returns the requests a second that the owner may grant to all proxies together."""
    return (1 - BASE_QUOTA_FRACTION) * service.rate
