"""Which shields a request goes through: those its home regions allow, the own region's first."""

from collections.abc import Mapping

from willowpost.common.rendezvous import Rendezvous
from willowpost.configuration.routes import Route
from willowpost.proxy.routing.request import CACHED, SAFE_METHODS

MAX_SHIELDS = 3


def goes_through_shields(route: Route) -> bool:
    """Whether the route's reads pass a shield: only what may be stored gains by the hop."""
    return route.shield and route.cache and (route.kind is None or route.kind == CACHED)


def only_through_shields(route: Route) -> bool:
    """Whether an edge sends no request of the route to an origin while a shield serves."""
    if not goes_through_shields(route):
        return False
    return route.kind == CACHED or set(route.methods) <= set(SAFE_METHODS)


class ShieldChooser:
    """Ranks shields for a request.

    Each region's shields share its objects by rendezvous hashing, so an object is fetched about
    once for each region. Objects of a route with homes pass through shields of its homes only.

    Args:
        zone: The edge's zone.
        regions: Zone to region; empty if regions do not matter.
    """

    def __init__(self, zone: str, regions: Mapping[str, str]) -> None:
        self.regions = regions
        self.region = regions.get(zone)

    def choose(
        self, key: str, homes: tuple[str, ...], shields: Mapping[str, str], zones: Mapping[str, str]
    ) -> tuple[tuple[str, str], ...]:
        """Returns (id, address) of the shields to try, best first.

        Args:
            key: What is hashed: the request's host and target.
            homes: The route's home regions; none if it may pass everywhere.
            shields: Id to HTTP address of the shields that may be used.
            zones: Id to zone.
        """
        allowed = [name for name in shields if self.is_allowed(homes, zones.get(name))]
        ranked = Rendezvous().rank(key, allowed)
        near = [name for name in ranked if self.regions.get(zones.get(name, "")) == self.region]
        far = [name for name in ranked if name not in near]
        return tuple((name, shields[name]) for name in (near + far)[:MAX_SHIELDS])

    def is_allowed(self, homes: tuple[str, ...], zone: str | None) -> bool:
        """Whether a body of a route with these home regions may pass a shield in this zone."""
        return not homes or not self.regions or self.regions.get(zone or "") in homes
