"""SIGTERM of an edge: requests that origins end before the last sixth of the grace."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from platform_stand_in import Kept, Platform, Record, main, route, set_up  # noqa: E402

# Seconds after the SIGTERM: when a request is sent, on a connection kept since before it, and when
# its origin would be done. The last sixth of the grace begins at 5.0 s.
REQUESTS_S = ((1.9, 4.7), (1.95, 4.8), (2.0, 4.85), (2.05, 4.9), (2.1, 4.93), (2.15, 4.96))
DEADLINE_MS = 3000
LAST_SIXTH_S = 5.0


def play(platform: Platform, record: Record, has_trouble: bool) -> list[str]:
    """Return the requests that were lost."""
    set_up(
        platform,
        [
            route("fee", "/pay/", "non_idempotent", "screening-app", "3000ms"),
            route("look", "/look/", "idempotent", "screening-app", "2500ms"),
        ],
        ["screening-app"],
        "/look/1/0",
    )
    edge = platform.edges[0]
    kept = [Kept(platform.front(edge)) for _ in REQUESTS_S]
    for number, connection in enumerate(kept):
        answer = connection.ask("POST", "/pay/20/0", f"before-{number}", DEADLINE_MS, b"x=1")
        record.note(f"before-{number}: {answer[0] if not isinstance(answer, str) else answer}")
    start = time.monotonic()
    if has_trouble:
        platform.process(edge).terminate()
        record.note(f"SIGTERM to {edge}")
    results: dict[str, tuple] = {}

    def send(number: int, at: float, done_at: float) -> None:
        time.sleep(max(0.0, start + at - time.monotonic()))
        work_ms = round((done_at - at) * 1000)
        name, sent = f"fee-{number}", time.monotonic()
        answer = kept[number].ask("POST", f"/pay/{work_ms}/{number}", name, DEADLINE_MS, b"x=1")
        results[name] = (sent, time.monotonic(), work_ms / 1000, answer)

    tasks = [
        threading.Thread(target=send, args=(number, *times))
        for number, times in enumerate(REQUESTS_S)
    ]
    for task in tasks:
        task.start()
    for task in tasks:
        task.join()
    if has_trouble:
        code = platform.process(edge).wait(timeout=10)
        record.note(
            f"{edge} ended by itself {time.monotonic() - start:.3f} s after SIGTERM: {code}"
        )
    time.sleep(0.2)
    found = [judge(platform, record, name, results[name], start) for name in sorted(results)]
    return [line for line in found if line is not None]


def judge(platform: Platform, record: Record, name: str, result: tuple, start: float) -> str | None:
    """Why this request is lost, by the rule as written, or None."""
    sent, ended, work_s, answer = result
    begun = [o.begun[name] for o in platform.origins if name in o.begun]
    dropped = [o.dropped[name] for o in platform.origins if name in o.dropped]
    finished = [o.finished[name] for o in platform.origins if name in o.finished]
    runs = sum(o.runs.get(name, 0) for o in platform.origins)
    said = answer if isinstance(answer, str) else f"status {answer[0]}"
    record.note(
        f"{name}: sent {sent - start:.3f} s, ended {ended - start:.3f} s after the start: {said}; "
        f"runs {runs}, begun {[round(t - start, 3) for t in begun]}, "
        f"origin answered {[round(t - start, 3) for t in finished]}, "
        f"saw its connection closed {[round(t - start, 3) for t in dropped]}"
    )
    is_complete = not isinstance(answer, str) and answer[0] == 200
    is_handed_over = bool(begun)
    if is_complete or not is_handed_over:
        return None
    done_at = max(begun) + work_s  # when the origin is done, or would have been
    is_in_time = done_at - sent < DEADLINE_MS / 1000  # neither deadline nor route's timeout reached
    is_before_last_sixth = done_at - start < LAST_SIXTH_S
    if not is_in_time or not is_before_last_sixth:
        return None
    return (
        f"{name} was handed to an origin, whose work ends {done_at - start:.3f} s after the "
        f"SIGTERM, and was cut {ended - start:.3f} s after it: {said}"
    )


if __name__ == "__main__":
    main(str(FOLDER), play)
