"""How large the responses of each route are, as a smoothed mean."""

SMOOTHING_FACTOR = 0.1
MAX_ROUTES = 4096


class ResponseSizes:
    """The smoothed sizes of the routes' responses."""

    def __init__(self) -> None:
        self._bytes_by_route: dict[str, float] = {}

    def of(self, route_name: str) -> float:
        """Returns the mean size of a route's responses, in bytes; 0 if none was seen."""
        return self._bytes_by_route.get(route_name, 0.0)

    def record(self, route_name: str, size_bytes: int) -> None:
        """Records the size of one response; forgets all routes when there are too many."""
        if len(self._bytes_by_route) > MAX_ROUTES:
            self._bytes_by_route.clear()
        mean = self._bytes_by_route.get(route_name, 0.0)
        self._bytes_by_route[route_name] = mean + SMOOTHING_FACTOR * (size_bytes - mean)
