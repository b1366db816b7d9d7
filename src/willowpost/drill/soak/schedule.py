"""The troubles of one soak, drawn from a seed; several overlap in time."""

import random
from dataclasses import dataclass
from enum import Enum


class Kind(Enum):
    """What happens to the fleet, its origins, or its configuration."""

    KILL = "kill"  # SIGKILL; started again at the end
    HERD_KILL = "herd_kill"  # several processes at one moment
    FREEZE = "freeze"  # SIGSTOP until the end
    FREEZE_SOURCES = "freeze_sources"  # of all edges that others follow: these change source
    RESTART = "restart"  # SIGTERM, and started again
    RELOAD = "reload"  # SIGHUP
    CUT = "cut"  # no frame passes between a machine and all others
    CUT_CORE = "cut_core"  # no frame passes between a core machine and the other core machines
    ORIGINS_SLOW = "origins_slow"
    ORIGINS_LOSE_ANSWERS = "origins_lose_answers"
    ORIGINS_CRASH = "origins_crash"
    ORIGIN_LEAVES = "origin_leaves"  # drains, then starts anew
    CHANGE = "change"  # another configuration
    PURGE = "purge"


LASTING = {
    Kind.FREEZE: (0.3, 3.0),
    Kind.FREEZE_SOURCES: (0.6, 3.0),
    Kind.CUT: (1.0, 5.0),
    Kind.CUT_CORE: (1.0, 6.0),
}
SPAN = (0.5, 3.5)  # seconds that the others last
SERIES = {  # how many in a row, and the pause between them in seconds
    Kind.RESTART: (3, 0.6),
    Kind.RELOAD: (4, 0.3),
    Kind.CHANGE: (5, 0.3),
    Kind.PURGE: (5, 0.2),
    Kind.ORIGIN_LEAVES: (3, 0.5),
}
CORE_WEIGHT = 0.3  # how often a process of the core is hit
CORE_PAUSE_SECONDS = 3.0  # after a trouble of the core, until the machine counts as back
HERD = 3


@dataclass(frozen=True, slots=True)
class Trouble:
    """One trouble.

    Attributes:
        at: When it begins, in seconds from the start of the troubles.
        span: How long it lasts, in seconds.
        kind: What it is.
        targets: The processes' keys, machine names or origins' addresses that it hits.
    """

    at: float
    span: float
    kind: Kind
    targets: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Parts:
    """What troubles can hit.

    Attributes:
        core: Keys of the core's processes.
        proxies: Keys of the proxies.
        origins: Addresses of the origins.
        core_tolerance: How many machines of the core may be hit at a time.
        sources: Keys of the edges that others poll for state updates.
    """

    core: tuple[str, ...]
    proxies: tuple[str, ...]
    origins: tuple[str, ...]
    core_tolerance: int = 1
    sources: tuple[str, ...] = ()


def drawn(seed: int, parts: Parts, seconds: float, each: float = 0.8) -> list[Trouble]:
    """The troubles of a seed, by their beginning.

    Args:
        seed: Of the random choices.
        parts: What can be hit.
        seconds: Within which they begin.
        each: The mean pause between two beginnings, so that two or three overlap.
    """
    chance = random.Random(f"soak {seed}")
    troubles: list[Trouble] = []
    at, core_free_at = 0.0, [0.0] * parts.core_tolerance
    while (at := at + chance.expovariate(1 / each)) < seconds:
        kind = chance.choice(list(Kind))
        span = chance.uniform(*LASTING.get(kind, SPAN))
        for number in range(chance.randint(1, SERIES[kind][0]) if kind in SERIES else 1):
            begin = at + number * SERIES.get(kind, (1, 0.0))[1]
            on_core = begin >= min(core_free_at) and chance.random() < CORE_WEIGHT
            targets = _targets(kind, parts, chance, on_core)
            if set(targets) & set(parts.core):
                core_free_at.remove(min(core_free_at))
                core_free_at.append(begin + span + CORE_PAUSE_SECONDS)
            troubles.append(Trouble(begin, span, kind, targets))
    return sorted(troubles, key=lambda trouble: trouble.at)


def _targets(kind: Kind, parts: Parts, chance: random.Random, on_core: bool) -> tuple[str, ...]:
    match kind:
        case Kind.ORIGINS_SLOW | Kind.ORIGINS_LOSE_ANSWERS | Kind.ORIGINS_CRASH:
            most = max(1, len(parts.origins) // 2)
            return tuple(chance.sample(parts.origins, chance.randint(1, most)))
        case Kind.ORIGIN_LEAVES:
            return (chance.choice(parts.origins),)
        case Kind.FREEZE_SOURCES:
            return parts.sources
        case Kind.CHANGE | Kind.PURGE:
            return ()
        case Kind.CUT_CORE:
            return (chance.choice(parts.core),) if on_core else (chance.choice(parts.proxies),)
        case Kind.HERD_KILL:
            return tuple(chance.sample(parts.proxies, min(HERD, len(parts.proxies))))
    return (chance.choice(parts.core if on_core else parts.proxies),)
