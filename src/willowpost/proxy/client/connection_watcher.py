"""Watches a client's connection while its requests wait, and detects that the client has left."""

from typing import Any

import gevent

from willowpost.proxy.client.connection_reader import ConnectionReader, has_ended
from willowpost.proxy.client.response_queue import ResponseQueue

LIBEV_READ = 1  # libev's EV_READ
# seconds between the end of the client's side and the first probe, and between further ones
PROBE_INTERVALS_SECONDS = (0.05, 0.1, 0.3, 1.0)


class ConnectionWatcher:
    """Reads a connection ahead, whatever is being answered, so that its end is seen when it comes.

    A client that has only ended its sending side (FIN) may still read. It is distinguished by an
    interim response (100): a connection that is closed resets it, one that is half closed takes it.

    Args:
        connection: The client's socket.
        reader: Reads the connection.
        responses: The responses that the connection owes.
    """

    def __init__(self, connection: Any, reader: ConnectionReader, responses: ResponseQueue) -> None:
        self._connection, self._reader, self._responses = connection, reader, responses
        self._probes = 0  # sent since the client's side ended

    def wait(self, max_pending: int) -> None:
        """Waits until at most `max_pending` requests of this connection are not answered yet.

        Raises:
            OSError: The client has disconnected meanwhile.
        """
        while len(self._responses) > max_pending:
            if self._responses.is_broken:
                raise ConnectionAbortedError
            if self._reader.has_ended:
                self._wait_and_probe()
            else:
                self._wait_for_arrival()

    def is_disconnected(self) -> bool:
        """Whether the client has disconnected; takes a moment if its side has ended."""
        responses = self._responses
        if responses.is_broken or not (self._reader.has_ended or has_ended(self._connection)):
            return responses.is_broken
        try:
            responses.probe()
            gevent.sleep(PROBE_INTERVALS_SECONDS[0])
            responses.probe()
        except OSError:
            return True
        return responses.is_broken

    def _wait_and_probe(self) -> None:
        """Waits until a response has been written; probes whether anybody reads it."""
        self._responses.changed.clear()
        interval = PROBE_INTERVALS_SECONDS[min(self._probes, len(PROBE_INTERVALS_SECONDS) - 1)]
        if not self._responses.changed.wait(interval):
            self._probes += 1
            self._responses.probe()

    def _wait_for_arrival(self) -> None:
        """Waits until a response has been written or something has arrived, which is buffered."""
        changed = self._responses.changed
        changed.clear()
        if not self._reader.may_read_ahead():
            changed.wait()
            return
        arrival = gevent.get_hub().loop.io(self._connection.fileno(), LIBEV_READ)
        arrival.start(changed.set)
        try:
            changed.wait()
        finally:
            arrival.stop()
            arrival.close()
        if not self._responses.is_broken:
            self._reader.read_ahead()
