"""Tables as a fleet of some size would hold them after a while, and who watches whom by them."""

from dataclasses import asdict, dataclass

from willowpost.common.rendezvous import Rendezvous
from willowpost.configuration.checker import ConfigurationChecker
from willowpost.drill.capacity.size import Size
from willowpost.node.node_state import DaemonDescriptor
from willowpost.node.failure_detector import watchers_of
from willowpost.state.tables import MAX_RECORDED_RESULTS, MAX_PURGES, Tables
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

    def card(kind, role, number, machine, port):
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
        tuple(card("store", "core", number, "core-", 7001) for number in range(size.voters)),
        tuple(card("registry", "core", number, "core-", 7002) for number in range(size.registries)),
        tuple(card("proxy", "edge", number, "edge-", 7003) for number in range(size.proxies)),
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


def purge_of(number: int) -> dict:
    """One purge operation of a single path, another one for each number."""
    return {
        "op": "purge",
        "kind": "item",
        "host": f"service-{number % 31}.example",
        "path": f"/part-{number % 640}/things/{number:08d}",
    }


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
        daemons = {card.id: {**asdict(card), "state": "up", "since": 1} for card in cards.all}
        core = tuple(
            {"identity": card.id, "name": card.name, "zone": card.zone, "address": card.address}
            for card in cards.stores
        )
        places = [
            f"10.200.{number >> 7}.{100 + number % 128}:9000" for number in range(size.origins)
        ]
        origins = {
            f"{place}@{1000 + number}.0": {
                "service": f"service-{number // size.per_service}",
                "address": place,
                "zone": f"zone-{number % size.zones}",
                "rate": size.origin_rate,
                "cold_rate": size.origin_rate / 10,
                "slot": number,
                "token": f"incarnation-{number:08d}",
                "state": "warm",
            }
            for number, place in enumerate(places)
        }
        held = [
            {
                **{name: value for name, value in purge_of(number).items() if name != "op"},
                "slot": slot - purges + number,
            }
            for number in range(purges)
        ]
        # what the log has of each daemon's former incarnation: under its own, commands counted so
        # far would be barred
        answers = {
            str(number): [number, [{"ok": True, "slot": number}]]
            for number in range(1, MAX_RECORDED_RESULTS + 1)
        }
        seen = {
            card.id: {
                "incarnation": INCARNATION - 1,
                "floor": 0,
                "answers": answers if card.kind == "registry" else {"1": [1, [{"ok": True}]]},
            }
            for card in cards.all
        }
        fences = {
            f"quota_share/service-{number}": {
                "owner": cards.proxies[number % len(cards.proxies)].id,
                "fence": 1,
            }
            for number in range(size.services)
        }
        return Tables(
            slot=slot,
            epoch=1,
            core=core,
            daemons=daemons,
            origins=origins,
            configuration={
                "version": 7,
                "tree": ConfigurationChecker().check_value(configuration_of(size)).unwrap(),
            },
            bound={card["address"]: {"service": card["service"]} for card in origins.values()},
            purges=tuple(held),
            purge_floor=slot - purges,
            fences=fences,
            seen=seen,
        )


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
    in_zone = {card.id: card for card in cards.proxies if card.zone == zone}
    return tuple(in_zone[name] for name in Rendezvous().rank(f"state_update/{zone}", in_zone))
