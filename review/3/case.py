"""A crashed origin's last beat comes late: its successor at the address is barred for good."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from platform_stand_in import (  # noqa: E402
    Kept,
    Origin,
    Platform,
    Record,
    call,
    configuration,
    main,
    route,
    set_up,
    until,
)

DOWN_S = 4.5  # as `srv_crash` of the site: for_s = 4.5
LATE_S = 5.5  # how late the last beat of the crashed life comes
CALM_S = 10.0  # from the late beat to the first request that counts
ROUNDS, PAUSE_S = 60, 0.1
FIRST = route("look", "/look/", "idempotent", "screening-app", "2500ms")
LATER = route("next", "/next/", "idempotent", "report-next", "2500ms")


def play(platform: Platform, record: Record, has_trouble: bool) -> list[str]:
    """Return what broke the rule."""
    set_up(platform, [FIRST], ["screening-app"], "/look/1/0")
    origin = platform.origin("report-next", "nyali", 77)
    services = ["screening-app", "report-next"]
    wanted = configuration(9, [FIRST, LATER], services)
    platform.order("/v1/rpc?call=configuration.replace", wanted)
    record.note("configuration 9 acknowledged: it adds the route /next/")
    for edge in platform.edges:
        until(lambda edge=edge: served(platform, edge, "/next/1/0"), 10, "the later route")
    time.sleep(4.0)
    record.note(f"before: first {share(platform, 20, '/look/1/0')}, later "
                f"{share(platform, 20, '/next/1/0')} served")  # fmt: skip
    successor = replace(platform, record, origin, has_trouble)
    time.sleep(CALM_S)
    beats = successor.acknowledged
    first, later = measure(platform, record)
    record.note(
        f"successor {successor.instance}: {successor.acknowledged - beats} beats acknowledged "
        f"meanwhile, {sum(successor.runs.values())} requests ever reached it"
    )
    record.note(f"of {2 * ROUNDS} requests on each route: first {first}, later {later} served")
    if later < first / 4:
        return [f"the later route was served {later} times, the first one {first} times"]
    return []


def replace(platform: Platform, record: Record, origin: Origin, has_trouble: bool) -> Origin:
    """Crash an origin; a new life starts at its address. With trouble, its last beat is late."""
    until(lambda: origin.acknowledged >= 2, 10, "beats of the first life")
    seen = origin.acknowledged
    until(lambda: origin.acknowledged > seen, 5, "a beat")
    time.sleep(1.4)  # just before the next beat, which goes on its way and is late
    late = {**origin.card(), "call_sequence": origin.sequence + 1}
    sent = time.monotonic()
    origin.close()
    record.note(f"origin {origin.instance} sends beat {late['call_sequence']} and crashes")
    time.sleep(DOWN_S)
    successor = Origin(record, origin.address, origin.service, origin.zone, origin.controls)
    platform.origins.append(successor)
    until(lambda: successor.acknowledged, 3, "the first beat of the new life")
    record.note(
        f"origin {successor.instance} starts at its address; its first beat is acknowledged"
    )
    time.sleep(max(0.0, sent + LATE_S - time.monotonic()))
    if has_trouble:
        target = f"/v1/rpc?call=instances.heartbeat&of={origin.instance}"
        answer = call(origin.controls[0], "POST", target, late)
        late_s = time.monotonic() - sent
        record.note(f"the late beat of {origin.instance} arrives, {late_s:.1f} s late: {answer}")
    return successor


def measure(platform: Platform, record: Record) -> tuple[int, int]:
    """How many requests on the first and on the later route were served."""
    counts = {"/look/1/0": 0, "/next/1/0": 0}
    lock = threading.Lock()

    def ask(edge: str, path: str) -> None:
        is_served = served(platform, edge, path)
        with lock:
            counts[path] += is_served

    for _ in range(ROUNDS):
        tasks = [
            threading.Thread(target=ask, args=(edge, path))
            for edge in platform.edges
            for path in counts
        ]
        for task in tasks:
            task.start()
        for task in tasks:
            task.join()
        time.sleep(PAUSE_S)
    kept = Kept(platform.front(platform.edges[0]))
    record.note(f"an answer on the later route: {kept.ask('GET', '/next/1/0', 'last', 2500)}")
    return counts["/look/1/0"], counts["/next/1/0"]


def share(platform: Platform, count: int, path: str) -> str:
    """How many of so many requests were served."""
    held = [served(platform, platform.edges[n % len(platform.edges)], path) for n in range(count)]
    return f"{sum(held)} of {count}"


NUMBERS = iter(range(1_000_000))


def served(platform: Platform, edge: str, path: str) -> bool:
    """Whether a request gets a sealed success."""
    kept = Kept(platform.front(edge))
    answer = kept.ask("GET", path, f"r-{next(NUMBERS)}", 2500)
    kept.close()
    return not isinstance(answer, str) and answer[0] == 200 and "x-origin-seal" in answer[1]


if __name__ == "__main__":
    main(str(FOLDER), play)
