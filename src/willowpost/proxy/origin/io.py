"""Input and output of request tasks over real sockets: connections, tokens, waiting."""

from gevent.event import AsyncResult

from willowpost.proxy.admission.admission_tokens import AdmissionTokenWanted
from willowpost.proxy.origin.exchange import Exchange

TOKEN_SECONDS = 1.0


class SocketIo:
    """Opens and returns connections; a pooled connection ended its last response cleanly.

    Args:
        pool: The idle connections.
        want: Puts an event made from a ticket to the control node and waits so many seconds for its
            reply; None on timeout.
    """

    waiter = AsyncResult

    def __init__(self, pool, want=None):
        self.pool = pool
        self.want = want  # (make event from a ticket, seconds) -> its answer, or None

    def token(self, service: str, origin: str) -> bool:
        """Asks the owner of the service's quota for an admission token; False if none comes."""
        return bool(
            self.want(lambda ticket: AdmissionTokenWanted(ticket, service, origin), TOKEN_SECONDS)
        )

    def room(self, owner: str, most: int | None) -> bool:
        """Whether a request to this owner may have a connection, with at most `most` open."""
        return most is None or self.pool.open(owner) < most or bool(self.pool.idle.get(owner))

    def open(
        self, owner: str, address: str, reuse: bool, most: int | None = None, seconds: float = 1.0
    ) -> Exchange:
        """A connection to the owner: an idle one if `reuse` allows, else a new one.

        Args:
            owner: Whom the connection belongs to in the pool.
            address: Where to connect.
            reuse: Whether an idle connection may be taken.
            most: The most connections open to this owner, or None.
            seconds: How long connecting may take.

        Raises:
            ExchangeFailure: No connection could be made; nothing was sent.
        """
        connection = self.pool.take(owner) if reuse else None
        if connection is None and most is not None and self.pool.open(owner) >= most:
            self.pool.room(owner)
        self.pool.began(owner)
        exchange = Exchange(address, connection)
        if exchange.connection is None:
            try:
                exchange.connect(seconds)
            except BaseException:
                self.pool.ended(owner)
                raise
        return exchange

    def finish(self, owner: str, exchange: Exchange, reuse: bool, answer) -> None:
        """Ends the use of a connection: it goes back to the pool or is closed.

        A connection whose response is still being streamed stays open; the stream closes it.
        """
        self.pool.ended(owner)
        if answer is None or (answer.rest is None and not (reuse and exchange.reusable)):
            exchange.close()
        elif answer.rest is None:
            self.pool.give(owner, exchange.connection, exchange.keep)
