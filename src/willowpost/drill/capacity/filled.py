"""Tables as a fleet of some size would hold them after a while, and who watches whom by them."""

from dataclasses import asdict, dataclass

from willowpost.common.rendezvous import Rendezvous
from willowpost.configuration.checker import ConfigurationChecker
from willowpost.drill.capacity.size import Size
from willowpost.node.failure_detector import watchers_of
from willowpost.state.entries import (
    ActiveConfiguration,
    AddressBinding,
    CommandHistory,
    DaemonDescriptor,
    DaemonEntry,
    OriginEntry,
    Ownership,
    Purge,
    PurgeKind,
    RecordedResults,
)
from willowpost.state.lifecycle import DaemonState, OriginState
from willowpost.state.operations import PurgeCache
from willowpost.state.results import Accepted, PurgeAccepted
from willowpost.state.tables import MAX_PURGES, MAX_RECORDED_RESULTS, Tables
from willowpost.wire.messages import OriginHeartbeat

INCARNATION = 10**15


@dataclass(frozen=True, slots=True)
class Cards:
    """The daemons of a fleet by kind."""

    stores: tuple[DaemonDescriptor, ...]
    registries: tuple[DaemonDescriptor, ...]
    proxies: tuple[DaemonDescriptor, ...]

    @property
    def all(self) -> tuple[DaemonDescriptor, ...]:
        """Of every kind, stores first."""
        return self.stores + self.registries + self.proxies


def cards_of(size: Size) -> Cards:
    """Addresses are as long as real ones: what is counted are bytes."""

    def descriptor(kind, role, number, machine, port):
        address = f"10.{number >> 8}.{number & 255}.7"
        name = f"{machine}{number}"
        return DaemonDescriptor(
            f"{name}/{kind}",
            kind,
            role,
            name,
            f"zone-{number % size.zones}",
            f"{address}:{port}",
            f"{address}:8080",
            INCARNATION,
        )

    return Cards(
        tuple(descriptor("store", "core", number, "core-", 7001) for number in range(size.voters)),
        tuple(
            descriptor("registry", "core", number, "core-", 7002)
            for number in range(size.registries)
        ),
        tuple(descriptor("proxy", "edge", number, "edge-", 7003) for number in range(size.proxies)),
    )


def configuration_of(size: Size) -> dict:
    """One branch a service, its routes beneath.

    Nothing goes through shields: every proxy may send to every service.
    """
    each = max(1, size.routes // size.services - 1)
    return {
        "services": {
            f"service-{number}": {"rate": size.origin_rate * size.per_service}
            for number in range(size.services)
        },
        "settings": {"shield": False, "deadline_ms": 2000},
        "branches": {
            f"service-{number}": {
                "host": f"service-{number}.example",
                "settings": {"service": f"service-{number}"},
                "branches": {
                    f"route-{route}": {
                        "path": f"/part-{route}/things",
                        "settings": {"keep_seconds": float(10 + route % 50)},
                    }
                    for route in range(each)
                },
            }
            for number in range(size.services)
        },
    }


def purge_of(number: int) -> PurgeCache:
    """One purge operation of a single path, another one for each number."""
    return PurgeCache(
        kind=PurgeKind.ITEM,
        host=f"service-{number % 31}.example",
        path=f"/part-{number % 640}/things/{number:08d}",
    )


def beat_of(origin: str, second: int) -> OriginHeartbeat:
    """A heartbeat with all fields that an origin can send."""
    return OriginHeartbeat(origin, 3, 0, 8, 10_000 + second)


class FilledTables:
    """Makes tables that depend on the size alone.

    All daemons are up, all origins warm, all purge entries used and all services owned.
    """

    def make(self, size: Size, purges: int = MAX_PURGES) -> Tables:
        """Tables of a fleet of this size with so many purges kept."""
        cards, slot = cards_of(size), max(purges, MAX_PURGES) + 100
        daemons = _daemons(cards)
        origins = _origins(size)
        return Tables(
            slot=slot,
            epoch=1,
            voters=tuple(daemons[store.id].as_member() for store in cards.stores),
            daemons=daemons,
            origins=origins,
            configuration=ActiveConfiguration(
                version=7, tree=ConfigurationChecker().check_value(configuration_of(size)).unwrap()
            ),
            address_bindings={
                origin.address: AddressBinding(origin.service) for origin in origins.values()
            },
            purges=_purges(purges, slot - purges),
            purge_floor=slot - purges,
            ownerships=_ownerships(size, cards),
            command_histories=_command_histories(cards),
        )


def _daemons(cards: Cards) -> dict[str, DaemonEntry]:
    return {
        descriptor.id: DaemonEntry(**asdict(descriptor), state=DaemonState.UP, since_slot=1)
        for descriptor in cards.all
    }


def _origins(size: Size) -> dict[str, OriginEntry]:
    addresses = [
        f"10.200.{number >> 7}.{100 + number % 128}:9000" for number in range(size.origins)
    ]
    return {
        f"{address}@{1000 + number}.0": OriginEntry(
            service=f"service-{number // size.per_service}",
            address=address,
            zone=f"zone-{number % size.zones}",
            rate=size.origin_rate,
            slow_start_rate=size.origin_rate / 10,
            slot=number,
            state=OriginState.WARM,
            token=f"incarnation-{number:08d}",
        )
        for number, address in enumerate(addresses)
    }


def _purges(count: int, first_slot: int) -> tuple[Purge, ...]:
    operations = [purge_of(number) for number in range(count)]
    return tuple(
        Purge(
            slot=first_slot + number,
            host=operation.host,
            kind=operation.kind,
            path=operation.path,
        )
        for number, operation in enumerate(operations)
    )


def _command_histories(cards: Cards) -> dict[str, CommandHistory]:
    """What the log remembers of each daemon's previous incarnation.

    Under the present one, commands counted so far would be barred.
    """
    registry_results = {
        number: RecordedResults(number, (PurgeAccepted(number),))
        for number in range(1, MAX_RECORDED_RESULTS + 1)
    }
    other_results = {1: RecordedResults(1, (Accepted(),))}
    return {
        descriptor.id: CommandHistory(
            incarnation=INCARNATION - 1,
            floor=0,
            results=registry_results if descriptor.kind == "registry" else other_results,
        )
        for descriptor in cards.all
    }


def _ownerships(size: Size, cards: Cards) -> dict[str, Ownership]:
    return {
        f"quota_share/service-{number}": Ownership(
            owner=cards.proxies[number % len(cards.proxies)].id, fencing_token=1
        )
        for number in range(size.services)
    }


class WatchSets:
    """Who watches whom, worked out once for all daemons of a process: each would find the same."""

    def make(self, tables: Tables) -> dict[str, tuple[str, ...]]:
        """Names of the daemons that each daemon watches."""
        watched: dict[str, list] = {name: [] for name in tables.daemons}
        for target in tables.daemons:
            for watcher in watchers_of(target, tables.daemons):
                watched[watcher].append(target)
        return {name: tuple(targets) for name, targets in watched.items()}


def homes_of(zone: str, cards: Cards) -> tuple[DaemonDescriptor, ...]:
    """The zone's proxies in the order in which they are asked for state updates."""
    in_zone = {proxy.id: proxy for proxy in cards.proxies if proxy.zone == zone}
    return tuple(in_zone[name] for name in Rendezvous().rank(f"state_update/{zone}", in_zone))
