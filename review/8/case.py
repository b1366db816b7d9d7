"""BUDGET: second attempts that an edge sends through another shield are not counted as repeats."""

import sys
import threading
import time
from bisect import bisect_left
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

import fleet  # noqa: E402

ZONES = ("krk-a", "krk-b", "kat-a")
MAX_ATTEMPTS = 2
WORK_SECONDS = 0.29  # `card-art` of the large deployment
ROUTE_TIMEOUTS_MS = (2500, 600)  # before the change and after it
CONFIG_APPLY_SECONDS = 2.0
BEFORE_SECONDS = 15.0
LOAD_SECONDS = 40.0
CLIENTS = 48
ALLOWED = 3  # requests that may run on more origins
WINDOW_SECONDS, RATIO, SLACK = 10.0, 0.2, 60  # `budget_window`, `retry_budget_ratio`, ..._slack


def case(folder: Path, record: fleet.Record, has_trouble: bool) -> bool:
    platform = fleet.Platform(folder, record, ZONES, edges=2)
    operator = fleet.Operator(platform.controls, record)
    ledger = fleet.Ledger(record)
    origins = [
        fleet.Origin(
            ledger, f"127.{platform.subnet}.{100 + number}.1:{platform.port}", "card-store",
            ZONES[number % 3], platform.controls, work_seconds=WORK_SECONDS,
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


def configured(version: int, timeout_ms: int) -> dict[str, object]:
    cards = fleet.route(
        "cards", "/cards/", "cacheable", "card-store", cache_ttl="20s",
        timeout=f"{timeout_ms}ms", max_attempts=MAX_ATTEMPTS,
    )  # fmt: skip
    return fleet.configuration(version, [cards], [fleet.service("card-store", rate_per_s=730.0)])


def play(platform, operator, ledger, record, has_trouble) -> bool:
    operator.configure(configured(5, ROUTE_TIMEOUTS_MS[0]))
    time.sleep(BEFORE_SECONDS)  # the proxies use their retry budget from then on
    if has_trouble:  # the operator alters the time-out
        operator.configure(configured(9, ROUTE_TIMEOUTS_MS[1]))
    time.sleep(CONFIG_APPLY_SECONDS + 3.0)  # `contact` long nothing else happens
    sent: dict[str, float] = {}
    statuses: Counter[int] = Counter()
    end = time.monotonic() + LOAD_SECONDS

    def load(number: int) -> None:
        front = platform.front(platform.edges[number % len(platform.edges)])
        client = fleet.Client(f"c{number}", front, record)
        while time.monotonic() < end:
            attempt, sent_at, answer = client.ask("GET", f"/cards/{number}-{client.count}")
            sent[attempt] = sent_at
            statuses[answer.status] += 1
            time.sleep(0.2)

    tasks = [threading.Thread(target=load, args=(number,)) for number in range(CLIENTS)]
    for task in tasks:
        task.start()
    for task in tasks:
        task.join()
    time.sleep(1.0)
    record("tries", len(sent), "answered", dict(statuses))
    runs = {
        attempt: held for attempt, held in ledger.runs_by_attempt().items() if attempt in sent
    }
    if len(runs) < 100:
        raise fleet.CannotRun("too few requests reached an origin")
    is_over = check_budget(runs, sent, record)
    return check_origins(runs, record) or is_over


def check_budget(runs, sent, record) -> bool:
    """Arrivals beyond the first of each request, in every window of `budget_window`."""
    further = sorted(run.at for held in runs.values() for run in held[1:])
    moments = sorted(sent.values())

    def count(held: list[float], start: float) -> int:
        return bisect_left(held, start + WINDOW_SECONDS) - bisect_left(held, start)

    worst = (0.0, 0, 0)
    for start in further:
        starts = (start, start - WINDOW_SECONDS, start - WINDOW_SECONDS / 2)
        requests = max(count(moments, other) for other in starts)
        arrivals = count(further, start)
        excess = arrivals - (RATIO * requests + SLACK)
        worst = max(worst, (excess, arrivals, requests))
    excess, arrivals, requests = worst
    allowed = RATIO * requests + SLACK
    summary = (
        f"arrivals beyond the first {len(further)}; worst window: {arrivals} "
        f"for {requests} requests, {allowed:.0f} allowed"
    )
    record("BUDGET" if excess > 0 else "budget", summary)
    print(summary)
    return excess > 0


def check_origins(runs, record) -> bool:
    """How many origins each try ran on."""
    by_try = {attempt: len({run.instance for run in held}) for attempt, held in runs.items()}
    above = {attempt: count for attempt, count in by_try.items() if count > MAX_ATTEMPTS}
    for attempt, count in sorted(above.items()):
        record("BUDGET", attempt, "ran on", count, "origins, max_attempts", MAX_ATTEMPTS)
    summary = f"tries by number of origins {dict(Counter(by_try.values()))}"
    record(summary)
    print(summary)
    return len(above) > ALLOWED


if __name__ == "__main__":
    fleet.main(case, HERE)
