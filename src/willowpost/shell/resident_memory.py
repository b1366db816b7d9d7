"""How much memory of this process is resident."""

import os

STATUS_FILE = "/proc/self/statm"  # proc(5): sizes in pages, the resident one second
RESIDENT_FIELD = 1


def resident_bytes() -> int:
    """Returns the process's resident memory in bytes; 0 where the system does not tell."""
    try:
        with open(STATUS_FILE, encoding="ascii") as file:
            pages = int(file.read().split()[RESIDENT_FIELD])
    except OSError:
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")
