"""The carrier's hands: connections over sockets, and waiting for another's flight."""

from gevent.event import AsyncResult

from willowpost.proxy.admission.admission_tokens import AdmissionTokenWanted
from willowpost.proxy.origin.exchange import Exchange

TOKEN_SECONDS = 1.0


class SocketIo:
    """Invariant: a connection goes back to the pool only after a whole answer that ended cleanly."""

    waiter = AsyncResult

    def __init__(self, pool, want=None):
        self.pool = pool
        self.want = want  # (make event from a ticket, seconds) -> its answer, or None

    def token(self, service: str, origin: str) -> bool:
        return bool(
            self.want(lambda ticket: AdmissionTokenWanted(ticket, service, origin), TOKEN_SECONDS)
        )

    def room(self, owner: str, most: int | None) -> bool:
        """May a request to this owner have a connection, within `most` open ones?"""
        return most is None or self.pool.open(owner) < most or bool(self.pool.idle.get(owner))

    def open(
        self, owner: str, address: str, reuse: bool, most: int | None = None, seconds: float = 1.0
    ) -> Exchange:
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
        self.pool.ended(owner)
        if answer is None or (answer.rest is None and not (reuse and exchange.reusable)):
            exchange.close()
        elif answer.rest is None:
            self.pool.give(owner, exchange.connection, exchange.keep)
