"""Picks the service of a route that is split over several services, by the operator's weights."""

import random
from collections.abc import Sequence
from typing import Protocol

from willowpost.configuration.routes import Route


class WeightedChoice(Protocol):
    """A source of random choices: the module `random` or a `random.Random`."""

    def choices(self, population: Sequence[str], weights: Sequence[float]) -> list[str]:
        """Returns a list of one member of `population`, picked by the weights."""


class ServicePicker:
    """Picks anew for each request; a service of weight 0 is never picked.

    Args:
        random_source: The source of random choices.
    """

    def __init__(self, random_source: WeightedChoice = random) -> None:
        self.random_source = random_source

    def pick(self, route: Route) -> str:
        """Returns the name of the service for one request on this route."""
        services = possible_services(route)
        if len(services) == 1:
            return services[0]
        weights = [weight for _, weight in route.split if weight > 0]
        return self.random_source.choices(services, weights)[0]


def possible_services(route: Route) -> tuple[str, ...]:
    """Returns the services that requests on a route may be sent to."""
    if not route.split:
        return (route.service,)
    return tuple(service for service, weight in route.split if weight > 0)
