"""The carrier's hands: connections over sockets, and waiting for another's flight."""
from gevent.event import AsyncResult

from willowpost.proxy.admission.tokens import TokenWanted
from willowpost.proxy.origin.exchange import Exchange

TOKEN_SECONDS = 1.0


class SocketIo:
    """Invariant: a connection goes back to the pool only after a whole answer that ended cleanly."""

    waiter = AsyncResult

    def __init__(self, pool, want=None):
        self.pool = pool
        self.want = want        # (make event from a ticket, seconds) -> its answer, or None

    def token(self, group: str, origin: str) -> bool:
        return bool(self.want(lambda ticket: TokenWanted(ticket, group, origin), TOKEN_SECONDS))

    def open(self, owner: str, address: str, reuse: bool) -> Exchange:
        exchange = Exchange(address, self.pool.take(owner) if reuse else None)
        if exchange.connection is None:
            exchange.connect()
        return exchange

    def finish(self, owner: str, exchange: Exchange, reuse: bool, answer) -> None:
        if answer is None or (answer.rest is None and not (reuse and exchange.reusable)):
            exchange.close()
        elif answer.rest is None:
            self.pool.give(owner, exchange.connection)
