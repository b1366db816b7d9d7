"""What the tables mean for requests: ways, groups, origins in force, shields. Immutable, swapped whole."""
from dataclasses import dataclass, field
from types import MappingProxyType

from willowpost.layout.ways import WayTable, ways_of
from willowpost.proxy.origin.knock import Knock
from willowpost.state.kinds import IN_FORCE
from willowpost.state.tables import Tables

FORCE = {state.value for state in IN_FORCE}


@dataclass(frozen=True, slots=True)
class OriginCard:
    name: str
    address: str
    zone: str
    rate: float
    coldRate: float
    cold: bool
    knock: Knock | None = None      # for an origin that opted in


@dataclass(frozen=True, slots=True)
class GroupCard:
    """Invariant: `rate` is the lesser of the operator's allowance and what the origins in force bear together."""

    rate: float = 0.0
    rampSeconds: float = 10.0
    pressers: tuple[str, ...] = ()      # proxies that may press this group: shields if it has ways through them, edges if it has others
    origins: tuple[OriginCard, ...] = ()


@dataclass(frozen=True, slots=True)
class WayPicture:
    """Invariant: holds only origins in force, of zones that are not emptied."""

    slot: int = 0
    generation: int = 0
    ways: WayTable = WayTable(())
    groups: MappingProxyType = field(default_factory=lambda: MappingProxyType({}))
    origins: frozenset = frozenset()
    shields: MappingProxyType = field(default_factory=lambda: MappingProxyType({}))   # id -> address over HTTP


class PictureMaker:
    """Invariant: make() depends on the tables alone; the ways are made anew only with a new layout."""

    def __init__(self):
        self.held = (None, WayTable(()), (), {})

    def make(self, tables: Tables) -> WayPicture:
        if self.held[0] is not tables.layout:
            tree = tables.layout["tree"]
            ways = ways_of(tree) if tree else ()
            self.held = (tables.layout, WayTable(ways), ways, tree["groups"] if tree else {})
        _, table, ways, groups = self.held
        emptied = {zone for zone, card in tables.zones.items() if card["empty"]}
        proxies = {name: card for name, card in tables.daemons.items() if card["kind"] == "proxy" and card["state"] != "lost"}
        byRole = {role: tuple(name for name, card in proxies.items() if card["role"] == role) for role in ("edge", "shield")}
        shields = {name: proxies[name]["http"] for name in byRole["shield"]
                   if proxies[name]["state"] == "up" and proxies[name]["zone"] not in emptied}
        through = {way.group for way in ways if way.shield and way.cache}
        direct = {way.group for way in ways if not (way.shield and way.cache and set(way.methods) <= {"GET", "HEAD"})}
        inForce, paths = {}, {name: group.get("soundnessPath") or "/" for name, group in groups.items()}
        for name, card in tables.origins.items():
            if card["state"] in FORCE and card["zone"] not in emptied:
                inForce.setdefault(card["group"], []).append(
                    OriginCard(name, card["address"], card["zone"], card["rate"], card["coldRate"], card["state"] == "cold",
                               Knock(paths.get(card["group"], "/"), card["token"]) if card.get("token") else None))
        bears = {name: sum(origin.rate for origin in origins) for name, origins in inForce.items()}
        cards = {name: GroupCard(min(group["rate"], bears.get(name, group["rate"])), group["rampSeconds"],
                                 (byRole["edge"] if name in direct or not shields else ()) + (byRole["shield"] if name in through else ()),
                                 tuple(inForce.get(name, ())))
                 for name, group in groups.items()}
        return WayPicture(tables.slot, tables.layout["generation"], table, MappingProxyType(cards),
                          frozenset(origin.name for card in cards.values() for origin in card.origins), MappingProxyType(shields))
