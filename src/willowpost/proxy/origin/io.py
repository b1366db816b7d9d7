"""Connections of request tasks to origins over real sockets, and their admission tokens."""

from collections.abc import Callable
from typing import Any

from gevent.event import AsyncResult

from willowpost.proxy.admission.admission_tokens import AdmissionTokenWanted
from willowpost.proxy.origin.answer import WholeAnswer
from willowpost.proxy.origin.exchange import Exchange
from willowpost.proxy.origin.pool import ConnectionPool

TOKEN_TIMEOUT_SECONDS = 1.0


class SocketIo:
    """Opens and releases connections; a pooled connection ended its last response cleanly.

    Args:
        pool: The idle connections.
        want: Gives the control node the event made from a ticket, and waits so many seconds for its
            reply; returns None on time-out.
    """

    waiter = AsyncResult

    def __init__(
        self, pool: ConnectionPool, want: Callable[[Callable[[Any], Any], float], Any] | None = None
    ) -> None:
        self.pool = pool
        self.want = want

    def token(self, service: str, origin: str) -> bool:
        """Requests an admission token of the owner of the service's quota.

        Returns:
            False if none is granted in time.
        """
        assert self.want is not None
        return bool(
            self.want(
                lambda ticket: AdmissionTokenWanted(ticket, service, origin), TOKEN_TIMEOUT_SECONDS
            )
        )

    def room(self, owner: str, max_connections: int | None) -> bool:
        """Whether a request to this owner may have a connection."""
        return (
            max_connections is None
            or self.pool.count_open(owner) < max_connections
            or bool(self.pool.idle.get(owner))
        )

    def open(
        self,
        owner: str,
        address: str,
        may_reuse: bool,
        max_connections: int | None = None,
        timeout_seconds: float = 1.0,
    ) -> Exchange:
        """Returns an exchange on an idle connection if `may_reuse` allows, else on a new one.

        Args:
            owner: Whom the connection belongs to in the pool.
            address: Where to connect.
            may_reuse: Whether an idle connection may be taken.
            max_connections: The most connections open to this owner, or None.
            timeout_seconds: How long connecting may take.

        Raises:
            ExchangeFailure: No connection could be made; nothing was sent.
        """
        connection = self.pool.take(owner) if may_reuse else None
        is_full = max_connections is not None and self.pool.count_open(owner) >= max_connections
        if connection is None and is_full:
            self.pool.close_oldest_idle(owner)
        self.pool.record_start(owner)
        exchange = Exchange(address, connection)
        if exchange.connection is None:
            try:
                exchange.connect(timeout_seconds)
            except BaseException:
                self.pool.record_end(owner)
                raise
        return exchange

    def finish(
        self, owner: str, exchange: Exchange, may_reuse: bool, response: WholeAnswer | None
    ) -> None:
        """Ends the use of a connection: it goes back to the pool or is closed.

        A connection whose response is still being streamed stays open; the stream closes it.
        """
        self.pool.record_end(owner)
        is_reusable = may_reuse and exchange.reusable
        if response is None or (response.rest is None and not is_reusable):
            exchange.close()
        elif response.rest is None:
            self.pool.put(owner, exchange.connection, exchange.keep_alive)
