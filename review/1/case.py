"""A control machine freezes and wakes: the order it finds undoes an evacuation ordered since."""

import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from platform_stand_in import Kept, Platform, Record, main, route, set_up  # noqa: E402

ZONE, FROZEN = "embakasi", "shield-westlands-1"  # the first registry of the operator's list
FREEZE_S = 3.8  # as node_freeze on a core machine in the site's day scale-1
AGAIN_AFTER_S = 1.0  # from the withdrawal's acknowledgement to the second evacuation
BOUND_S = 5.0 + 5.0  # `evacuation`, and `stretch_max` for the time that the core is unsettled
MEASURED_FROM_S = 12.0  # after the acknowledgement of the second evacuation
ROUNDS, PAUSE_S = 30, 0.1
BEGIN = f"/v1/rpc?call=evacuation.begin&of={ZONE}"
FINISH = f"/v1/rpc?call=evacuation.finish&of={ZONE}"


def play(platform: Platform, record: Record, has_trouble: bool) -> list[str]:
    """Return the requests that reached an origin of the evacuated zone too late."""
    look = route("look", "/look/", "idempotent", "screening-app", "2500ms")
    set_up(platform, [look], ["screening-app"], "/look/1/0")
    platform.order(BEGIN, first=1)
    time.sleep(6.0)
    frozen_at = time.monotonic()
    if has_trouble:
        platform.signal_machine(FROZEN, signal.SIGSTOP)
        record.note(f"{FROZEN} freezes")
    time.sleep(0.1)
    platform.order(FINISH)
    time.sleep(AGAIN_AFTER_S)
    platform.order(BEGIN, first=1)
    acknowledged_at = time.monotonic()
    record.note(f"the zone {ZONE} is evacuated again; nobody takes that back")
    time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    if has_trouble:
        platform.signal_machine(FROZEN, signal.SIGCONT)
        record.note(f"{FROZEN} wakes {time.monotonic() - frozen_at:.1f} s after it froze")
    time.sleep(max(0.0, acknowledged_at + MEASURED_FROM_S - time.monotonic()))
    send(platform)
    return judge(platform, record, acknowledged_at)


def send(platform: Platform) -> None:
    """Send requests by way of every edge."""

    def ask(edge: str, name: str) -> None:
        kept = Kept(platform.front(edge))
        kept.ask("GET", "/look/1/0", name, 2500)
        kept.close()

    for number in range(ROUNDS):
        tasks = [
            threading.Thread(target=ask, args=(edge, f"late-{order}-{number}"))
            for order, edge in enumerate(platform.edges)
        ]
        for task in tasks:
            task.start()
        for task in tasks:
            task.join()
        time.sleep(PAUSE_S)


def judge(platform: Platform, record: Record, acknowledged_at: float) -> list[str]:
    """The requests that reached an origin of the zone later than the bound."""
    broken, served = [], 0
    for origin in platform.origins:
        for name, begun in origin.begun.items():
            if not name.startswith("late-"):
                continue
            after = begun - acknowledged_at
            served += 1
            record.note(f"{name}: ran on {origin.instance} in {origin.zone}, {after:.1f} s after")
            if origin.zone == ZONE and after > BOUND_S:
                broken.append(
                    f"{name} reached an origin of {ZONE} {after:.1f} s after its evacuation was "
                    "acknowledged"
                )
    record.note(f"{len(broken)} of {served} requests that ran reached {ZONE}")
    return broken


if __name__ == "__main__":
    main(str(FOLDER), play)
