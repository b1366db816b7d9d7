"""Builds the processes of a simulated fleet that are no stores."""

from willowpost.sim.fleet.nodes import SimProxy, SimRegistry
from willowpost.sim.fleet.outside import SimOrigin
from willowpost.state.entries import DaemonDescriptor


class SeatBuilders:
    """Seats of registries, proxies and origins; a part of the world."""

    def _add(self, address, zone, build):
        self.add(address, build, self.regions.get(zone, "one"))
        return address

    def _registry(self, number, zone):
        address = f"r{number}"
        return self._add(
            address,
            zone,
            lambda records, now, wall, incarnation: SimRegistry(
                self,
                self.seats[address],
                DaemonDescriptor(
                    f"{address}/registry",
                    "registry",
                    "core",
                    f"s{number}",
                    zone,
                    address,
                    address,
                    incarnation,
                ),
                self.seeds(address),
                wall,
            ),
        )

    def _proxy(self, address, role, zone):
        return self._add(
            address,
            zone,
            lambda records, now, wall, incarnation: SimProxy(
                self,
                self.seats[address],
                DaemonDescriptor(
                    f"{address}/proxy", "proxy", role, address, zone, address, address, incarnation
                ),
                self.seeds(address),
                wall,
            ),
        )

    def _origin(self, address, service, zone, rate):
        self.homes = {**getattr(self, "homes", {}), address: service}
        return self._add(
            address,
            zone,
            lambda records, now, wall, incarnation: SimOrigin(
                self, self.seats[address], self.homes[address], zone, rate, self.registries
            ),
        )

    def add_origin(self, address, service, zone, rate):
        """One more origin starts while the fleet runs."""
        self.origins.append(self._origin(address, service, zone, rate))
