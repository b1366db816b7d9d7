"""How much memory the soak's proxies have had at their peak."""

import os

import gevent

from willowpost.drill.soak.fleet import PROXY_MEMORY_MB, SoakFleet

SAMPLE_SECONDS = 0.05
BYTES_PER_MB = 1024 * 1024
RESIDENT_FIELD = 1  # of proc(5), statm: in pages


class MemoryWatch:
    """Samples the resident memory of all proxies.

    Args:
        fleet: The fleet.

    Attributes:
        peaks_mb: Proxy's key to its highest sample.
    """

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet
        self.peaks_mb: dict[str, int] = {}

    def run(self) -> None:
        """Sample until the task is killed."""
        while True:
            for key, running in list(self._fleet.running.items()):
                if key.endswith("/wpproxy"):
                    self.peaks_mb[key] = max(self.peaks_mb.get(key, 0), _resident_mb(running.pid))
            gevent.sleep(SAMPLE_SECONDS)

    def over_limit(self) -> list[str]:
        """Return the proxies that have had more than they may."""
        return [f"{key}: {mb} MB" for key, mb in self.peaks_mb.items() if mb > PROXY_MEMORY_MB]


def _resident_mb(pid: int) -> int:
    try:
        with open(f"/proc/{pid}/statm", encoding="ascii") as file:
            pages = int(file.read().split()[RESIDENT_FIELD])
    except (OSError, IndexError):
        return 0  # it has ended
    return pages * os.sysconf("SC_PAGE_SIZE") // BYTES_PER_MB
