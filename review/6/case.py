"""STALE: a route added with a short `cache_ttl` is served from copies kept for the old one's."""

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

import fleet  # noqa: E402

ZONES = ("krk-a", "krk-b", "kat-a")
OBJECTS = [f"/cards/live/{number}" for number in range(20)]
OLD_TTL_SECONDS, NEW_TTL_SECONDS = 60, 2
STALE_SLACK_SECONDS, CONFIG_APPLY_SECONDS = 2.0, 2.0
WATCH_SECONDS = 20.0


def case(folder: Path, record: fleet.Record, has_trouble: bool) -> bool:
    platform = fleet.Platform(folder, record, ZONES, edges=2)
    operator = fleet.Operator(platform.controls, record)
    ledger = fleet.Ledger(record)
    origins = [
        fleet.Origin(
            ledger, f"127.{platform.subnet}.{100 + number}.1:{platform.port}", "card-store",
            ZONES[number % 3], platform.controls,
        )
        for number in range(4)
    ]  # fmt: skip
    try:
        platform.start_all()
        platform.wait_until_ready()
        for origin in origins:
            origin.start()
        fleet.until(lambda: all(origin.acknowledged >= 2 for origin in origins), 15, "beats")
        return play(platform, operator, ledger, record, has_trouble)
    finally:
        for origin in origins:
            origin.stop()
        platform.stop_all()


def play(platform, operator, ledger, record, has_trouble) -> bool:
    services = [fleet.service("card-store", rate_per_s=730.0)]
    cards = fleet.route("cards", "/cards/", "cacheable", "card-store",
                        cache_ttl=f"{OLD_TTL_SECONDS}s")  # fmt: skip
    live = fleet.route("live", "/cards/live/", "cacheable", "card-store",
                       cache_ttl=f"{NEW_TTL_SECONDS}s")  # fmt: skip
    operator.configure(fleet.configuration(5, [cards], services))
    time.sleep(CONFIG_APPLY_SECONDS + 1.0)
    clients = [
        fleet.Client(f"c{number}", platform.front(machine), record)
        for number, machine in enumerate(platform.edges)
    ]
    for client in clients:
        for path in OBJECTS:
            client.ask("GET", path)
    ttl = OLD_TTL_SECONDS
    if has_trouble:  # the operator adds a route
        operator.configure(fleet.configuration(9, [cards, live], services))
        ttl = NEW_TTL_SECONDS
    time.sleep(CONFIG_APPLY_SECONDS + 3.0)  # `contact` long nothing else happens
    for path in OBJECTS:
        ledger.change(path)
    changed_at = {path: ledger.replaced_at[path][0] for path in OBJECTS}
    end, stale, served = time.monotonic() + WATCH_SECONDS, 0, 0
    while time.monotonic() < end:
        for client in clients:
            for path in OBJECTS:
                attempt, sent_at, answer = client.ask("GET", path)
                if answer.status != 200:
                    continue
                served += 1
                age = sent_at - changed_at[path]
                if b" version 1 " in answer.body and age > ttl + STALE_SLACK_SECONDS:
                    stale += 1
                    record("STALE", attempt, path, f"replaced {age:.3f} s before it was sent")
        time.sleep(0.5)
    if served < 100:
        raise fleet.CannotRun(f"only {served} requests were served")
    record("served", served, "stale", stale)
    print(f"served {served}, stale {stale}")
    return stale > 0


if __name__ == "__main__":
    fleet.main(case, HERE)
