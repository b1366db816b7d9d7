"""A whole fleet in the simulator: core, registries, edges, shields, origins, callers, operators."""

import copy

from willowpost.history.recorder import HistoryRecorder
from willowpost.sim.core import CoreWorld
from willowpost.sim.fleet.callers import CallerActions
from willowpost.sim.fleet.messages import SimAnswer, SimRequest
from willowpost.sim.fleet.operators import OperatorActions, Operators
from willowpost.sim.fleet.outside import SimCaller
from willowpost.sim.fleet.readers import Readers
from willowpost.sim.fleet.rules import TrafficRules
from willowpost.sim.fleet.seats import SeatBuilders
from willowpost.sim.fleet.settling import Settling
from willowpost.sim.fleet.shape import SMALL
from willowpost.sim.world import Weather, seconds


class FleetWorld(SeatBuilders, Settling, OperatorActions, CallerActions, CoreWorld):
    """One fleet on one virtual clock.

    Operators' replies, callers' responses and origins' requests all go through `traffic`, which
    checks them.

    Attributes:
        traffic: The rules of requests and orders.
        history: All calls of operators and readers.
        shape: The fleet's layout, and what callers ask.
        rate: Requests a second now; `usual_rate` without a burst.
        polite: Address of an origin that was given away -> whether it waits until it is in force.
        seed_names: The seeds of starting processes; empty: the first three stores.
        version: The newest configuration that an operator knows to be accepted.
    """

    def __init__(self, seed, weather=None, rate=None, regions=None, shape=SMALL, **core):
        super().__init__(seed, weather or Weather(), zones=shape.cores, regions=regions, **core)
        self.shape = shape
        self.history = HistoryRecorder(lambda: self.time)
        self.operators = Operators(self, seed)
        self.readers = Readers(self, seed)
        self.impatience = 0  # further requests that a rejected caller sends at once
        self.repeats_left = 0  # how many of them in all
        self.number = 0
        self.calling = False
        self.polite: dict = {}
        self.seed_names: list = []
        self.rate, self.keep, self.ramp, self.cold_part = (
            rate or shape.rate,
            shape.keep,
            shape.ramp,
            0.25,
        )
        self.usual_rate = self.rate
        self.rates = {
            name: float(service["rate"])
            for name, service in shape.configuration["services"].items()
        }
        self.shares = [kind.share for kind in shape.kinds]
        self.services = {kind.path: kind.service for kind in shape.kinds}
        # when a request of its service came to an origin
        self.arrivals = {service: [] for service in self.rates}
        self.tokened = lambda address: True  # which origins opt in to the instance check
        self.traffic = TrafficRules(self)
        self.checks.append(self.traffic)
        self.proxy_slots: dict = {}
        self.regions = regions or {}
        self.registries = [self._registry(number, zone) for number, zone in enumerate(shape.cores)]
        self.edges = [
            self._proxy(f"e{number}", "edge", zone) for number, zone in enumerate(shape.edges)
        ]
        self.shields = [
            self._proxy(f"h{number}", "shield", shape.cores[number]) for number in shape.shields
        ]
        self.origins = [
            self._origin(f"{service}{number}", service, zone, rate)
            for service, members in shape.origins.items()
            for number, (zone, rate) in enumerate(members)
        ]
        self.add(
            "caller", lambda records, now, wall, incarnation: SimCaller(self, self.seats["caller"])
        )
        self.configuration = copy.deepcopy(shape.configuration)
        self.version = 0

    def seeds_of_stores(self):
        """The addresses that stores start from."""
        return getattr(self, "seed_names", None) or self.names[:3]

    def seeds(self, own):
        """The addresses that another process starts from, without its own."""
        return [name for name in (self.seed_names or self.names[:3]) if name != own]

    def send_all(self, seat, sends):
        """Sends (address, message) pairs from a process."""
        for address, message in sends:
            self.sent[type(message).__name__] += 1
            self._post(seat, address, message)

    def _arrive(self, address, source, message):
        """Delivers a message.

        A machine whose process is down refuses requests at once; one without power or cut off does
        not answer.
        """
        seat = self.seats[address]
        if (
            isinstance(message, SimRequest)
            and seat.node is None
            and not seat.dark
            and (source, address) not in self.cuts
        ):
            self._post(seat, source, SimAnswer(message.number, 0, whole=False, incarnation=-1))
            return
        super()._arrive(address, source, message)

    def token(self, seat):
        """Names the origin's incarnation for the instance check; empty if it does not opt in."""
        return (
            f"{seat.address}-incarnation-{seat.incarnation}" if self.tokened(seat.address) else ""
        )

    def service_of(self, path):
        """The service that must answer a path."""
        return self.services["/" + path.split("/")[1]]

    def zone_seats(self, zone):
        """Every machine of a zone: stores with their registries, proxies and origins."""
        stores = [name for name in self.names if self.zones[name] == zone]
        stores = [name for name in stores if not self.seats[name].retired]
        numbers = [number for number, other in enumerate(self.shape.cores) if other == zone]
        registries = [f"r{number}" for number in numbers]
        proxies = [f"e{number}" for number, other in enumerate(self.shape.edges) if other == zone]
        shields = [name for name in (f"h{number}" for number in numbers) if name in self.seats]
        origins = [
            f"{service}{number}"
            for service, members in self.shape.origins.items()
            for number, (other, _) in enumerate(members)
            if other == zone
        ]
        return stores + registries + proxies + shields + origins

    def open(self):
        """Bootstraps the fleet, accepts the configuration and starts the callers.

        Raises:
            AssertionError: The core did not bootstrap within 10 s.
        """
        if not self.until(self.bootstrapped, seconds(10)):
            raise AssertionError("not founded")
        self.readers.start()
        self.put_configuration(0)
        self.until(lambda: self.version, seconds(5))
        self.run(seconds(7))
        self.calling = True
        self.at(0, self._call)
        self.run(seconds(2))

    def node_states(self):
        """(seat, node state) of all stores that are up."""
        return [
            (seat, seat.node.node_state)
            for name, seat in self.seats.items()
            if name in self.stores() and seat.node is not None
        ]

    def stores(self):
        """Names of all stores that are not gone for good."""
        return [
            name for name, seat in self.seats.items() if name.startswith("s") and not seat.retired
        ]
