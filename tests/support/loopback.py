"""Addresses on the loopback network that nobody else takes between their choice and their use."""

import random
import socket

# Below the ports that the system gives to outgoing connections (32768 and above on Linux).
FIRST_PORT, LAST_PORT = 10_000, 30_000
MAX_CHOICES = 100


def free_addresses(count: int) -> list[str]:
    """Returns so many addresses of one host of 127/8, chosen at random.

    A port of the range for outgoing connections may be one's own at 127.0.0.1 now and belong to
    another test's connection a moment later, so that the process which is to listen there ends.

    Raises:
        OSError: No free place was found.
    """
    chance = random.SystemRandom()
    for _ in range(MAX_CHOICES):
        host = f"127.{chance.randrange(1, 255)}.{chance.randrange(255)}.{chance.randrange(1, 255)}"
        first = chance.randrange(FIRST_PORT, LAST_PORT - count)
        ports = range(first, first + count)
        if all(_is_free(host, port) for port in ports):
            return [f"{host}:{port}" for port in ports]
    raise OSError("no free addresses")


def _is_free(host: str, port: int) -> bool:
    try:
        socket.create_server((host, port)).close()
    except OSError:
        return False
    return True
