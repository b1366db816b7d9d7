"""Picks the service of a route split over several ones, by the operator's weights."""

import random

from willowpost.configuration.routes import Route


class ServicePicker:
    """Picks anew for each request; a service of weight 0 is never picked."""

    def __init__(self, chance=random):
        self.chance = chance

    def pick(self, route: Route) -> str:
        """The name of the service for one request on this route."""
        if not route.split:
            return route.service
        services = [service for service, weight in route.split if weight > 0]
        weights = [weight for _, weight in route.split if weight > 0]
        return services[0] if len(services) == 1 else self.chance.choices(services, weights)[0]
