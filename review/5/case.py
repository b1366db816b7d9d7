"""LOST: a few bodies within `max_body_bytes` end an edge, with all requests that it works on."""

import sys
import threading
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

import fleet  # noqa: E402

ZONES = ("krk-a", "krk-b", "kat-a")
ROUNDS = 3
UPLOADS_PER_EDGE = 4
LARGE_BYTES, SMALL_BYTES = 67108864, 300  # the first is `max_body_bytes`
GUESTS_PER_EDGE = 6
LOST_ALLOWED = 3  # "more than three times"
ENDS, MACHINES = 3, 2  # "three times in the day", "two at least"


def case(folder: Path, record: fleet.Record, has_trouble: bool) -> bool:
    platform = fleet.Platform(folder, record, ZONES, edges=2)
    operator = fleet.Operator(platform.controls, record)
    ledger = fleet.Ledger(record)
    origins = [
        fleet.Origin(
            ledger, f"127.{platform.subnet}.{100 + number}.1:{platform.port}", "rsvp-app",
            ZONES[number % 3], platform.controls, work_seconds=0.072,
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
    submit = fleet.route("submit", "/rsvp/", "non_idempotent", "rsvp-app")
    operator.configure(fleet.configuration(5, [submit], [fleet.service("rsvp-app")]))
    time.sleep(3.0)
    statuses: Counter[str] = Counter()
    unanswered: list[str] = []
    body = bytes(LARGE_BYTES if has_trouble else SMALL_BYTES)
    stopping = threading.Event()

    def upload(name: str, edge: fleet.Machine) -> None:
        client = fleet.Client(name, platform.front(edge), record)
        _, _, answer = client.ask("POST", "/rsvp/photo", body, deadline_ms=3000)
        statuses[f"upload {answer.status}"] += 1
        client.close()

    def guest(name: str, edge: fleet.Machine) -> None:
        """A guest of the same edge, whose requests are small."""
        client = fleet.Client(name, platform.front(edge), record)
        while not stopping.wait(0.05):
            attempt, _, answer = client.ask("POST", f"/rsvp/{client.count}", b"yes", 3000)
            statuses[f"guest {answer.status}"] += 1
            if not answer.status and client.was_kept:
                unanswered.append(attempt)

    guests = [
        threading.Thread(target=guest, args=(f"g{edge.name}-{number}", edge))
        for edge in platform.edges
        for number in range(GUESTS_PER_EDGE)
    ]
    for task in guests:
        task.start()
    for number in range(ROUNDS):
        uploads = [
            threading.Thread(target=upload, args=(f"u{number}-{edge.name}-{other}", edge))
            for edge in platform.edges
            for other in range(UPLOADS_PER_EDGE)
        ]
        for task in uploads:
            task.start()
        for task in uploads:
            task.join()
        time.sleep(1.0)
        platform.wait_until_ready(25.0)
    stopping.set()
    for task in guests:
        task.join()
    ran = ledger.runs_by_attempt()
    lost = [attempt for attempt in unanswered if attempt in ran]
    for attempt in lost:
        record("LOST", attempt, "passed on to", ran[attempt][0].instance, "and cut")
    ends = Counter(name for _, name, _, _ in platform.ends)
    summary = f"ends {dict(ends)}, {dict(statuses)}, passed on and cut {len(lost)}"
    record(summary)
    print(summary)
    if not any(name.startswith("guest 200") for name in statuses):
        raise fleet.CannotRun("no guest was served")
    is_fault = sum(count >= ENDS for count in ends.values()) >= MACHINES
    return len(lost) > LOST_ALLOWED or is_fault


if __name__ == "__main__":
    fleet.main(case, HERE)
