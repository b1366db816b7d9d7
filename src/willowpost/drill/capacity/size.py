"""How large a fleet is, for measuring: the size to design for, and smaller ones like it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Size:
    """The size of a fleet.

    Attributes:
        daemons: Stores, registries and proxies together.
        origins: Origins of all services.
        routes: Routes of the configuration.
        purges: Purges a second, over the fleet.
        zones: Zones.
        voters: Stores.
        registries: Registries.
        per_service: Origins of one service.
        origin_rate: Requests a second that one origin bears.
        beat_seconds: Time between two heartbeats of an origin.
    """

    daemons: int = 150
    origins: int = 40
    routes: int = 500
    purges: float = 20.0  # a second, over the fleet
    zones: int = 4
    voters: int = 5
    registries: int = 5
    per_service: int = 10  # origins of one service
    origin_rate: float = 250.0  # requests a second that one origin bears
    beat_seconds: float = 1.0

    @property
    def proxies(self) -> int:
        """How many of the daemons are proxies."""
        return self.daemons - self.voters - self.registries

    @property
    def services(self) -> int:
        """How many services the origins make."""
        return -(-self.origins // self.per_service)


@dataclass(frozen=True, slots=True)
class Budget:
    """What one daemon may spend on control."""

    micros: float = 16_000.0  # processor time a second: 1.6 % of a core
    memory: float = 128e6
    bytes: float = 26_000.0  # a second


BUDGET = Budget()
LADDER = (
    Size(50, 10, 100, 10.0, 4, registries=5),
    Size(150, 20, 500, 20.0, 4, registries=5),
    Size(400, 50, 2000, 30.0, 8, registries=8),
    Size(1000, 120, 8000, 45.0, 14, registries=12),
)
DESIGN = Size(2600, 310, 20_000, 75.0, 30, registries=22)
