"""Input and output of a simulated proxy's request tasks: virtual connections and waiting."""

from greenlet import getcurrent, greenlet

from willowpost.common.clock import SECOND
from willowpost.proxy.admission.admission_tokens import AdmissionTokenWanted
from willowpost.proxy.origin.errors import ExchangeError
from willowpost.proxy.origin.response import OriginResponse
from willowpost.sim.fleet.messages import HEALTH, SimAnswer, SimRequest

CONNECT = 1 * SECOND


class SimClock:
    """The clock of one simulated process."""

    def __init__(self, world, seat):
        self.world, self.seat = world, seat

    def now(self):
        """The process's monotonic time, in µs."""
        return self.world.now(self.seat)


class SimWaiter:
    """A one-time value that simulated tasks wait for, like gevent's AsyncResult."""

    def __init__(self, request_io):
        self.request_io, self.value, self.sleepers = request_io, None, []

    def set(self, value):
        """Sets the value and wakes all who wait for it."""
        self.value = (value,)
        sleepers, self.sleepers = self.sleepers, []
        for sleeper in sleepers:
            self.request_io.world.at(0, self.request_io.wake, sleeper, None)

    def wait(self, seconds):
        """The value, or None if it is not set within `seconds`."""
        if self.value is None:
            sleeper = getcurrent()
            self.sleepers.append(sleeper)
            self.request_io.world.at(int(seconds * SECOND), self._give_up, sleeper)
            self.request_io.pause()
        return None if self.value is None else self.value[0]

    def _give_up(self, sleeper):
        if sleeper in self.sleepers:
            self.sleepers.remove(sleeper)
            self.request_io.wake(sleeper, None)


class SimExchange:
    """A virtual connection, with the interface of origin.exchange.Exchange.

    Args:
        request_io: Sends its messages.
        owner: Whom the connection belongs to in the pool.
        address: The other side.
        incarnation: The other side's incarnation that accepted the connection.
    """

    def __init__(self, request_io, owner, address, incarnation):
        self.request_io, self.owner, self.address, self.incarnation = (
            request_io,
            owner,
            address,
            incarnation,
        )
        self.is_reused = False

    def check_instance(self, instance_check, seconds):
        """Asks which process answers; waits at most `seconds`.

        Raises:
            ExchangeError: There was no valid answer, or it comes from another process.
        """
        answer = self.request_io.call(
            self.address,
            SimRequest(self.request_io.next(), "GET", HEALTH, (), "", self.incarnation),
            int(seconds * SECOND),
        )
        if answer is None or not answer.whole:
            raise ExchangeError(
                "instance check: deadline" if answer is None else "instance check: closed",
                was_sent=False,
            )
        instance_check.verify(OriginResponse(answer.status, list(answer.headers), answer.body))

    def run(self, request, seconds, max_buffered_bytes, echo=None, memory=None):
        """Sends a request and waits at most `seconds` for the response.

        Raises:
            ExchangeError: No whole response came from the incarnation that the connection belongs
                to.
        """
        answer = self.request_io.call(
            self.address,
            SimRequest(
                self.request_io.next(),
                request.method,
                request.target,
                tuple(request.headers),
                b"".join(request.body.blocks).decode(),
                self.incarnation,
            ),
            int(seconds * SECOND),
        )
        if (
            answer is None
            or not answer.whole
            or (self.incarnation is not None and answer.incarnation != self.incarnation)
        ):
            raise ExchangeError(
                "deadline" if answer is None else "read: the answer ended short",
                was_sent=True,
                is_process_gone=answer is not None and answer.incarnation != self.incarnation,
            )
        self.incarnation = answer.incarnation
        return OriginResponse(answer.status, list(answer.headers), answer.body)

    def close(self):
        """Virtual connections are counted by the fault injector alone."""


class SimRequestIO:
    """The simulated counterpart of OriginConnections, and the scheduler of request tasks.

    A task of an incarnation that has ended is never woken.
    """

    def __init__(self, world, seat):
        self.world, self.seat = world, seat
        self.incarnation = seat.incarnation
        self.waiting: dict[int, greenlet] = {}
        self.asked: dict[int, int | None] = {}  # number -> the incarnation that was asked
        self.pool: dict[str, int] = {}
        self.sends: list = []

    def waiter(self):
        """A new value that tasks can wait for."""
        return SimWaiter(self)

    def next(self):
        """A new message number, unique in the world."""
        self.world.number += 1
        return self.world.number

    def pause(self):
        """Suspends the current task; returns the value that it is woken with."""
        return getcurrent().parent.switch()

    def wake(self, task, value):
        """Resumes a task with a value, after a freeze of the process if there is one."""
        if self.seat.incarnation != self.incarnation or task.dead:
            return
        if self.seat.frozen_until > self.world.time:
            self.world.at(self.seat.frozen_until - self.world.time, self.wake, task, value)
            return
        task.switch(value)
        self.flush()

    def flush(self):
        """Sends the messages that tasks have left."""
        if self.sends:
            sends, self.sends = self.sends, []
            self.world.send_all(self.seat, sends)

    def call(self, address, message, span):
        """Sends a message and waits at most `span` µs for its answer; None if there is none."""
        task = getcurrent()
        self.waiting[message.number] = task
        self.asked[message.number] = message.incarnation
        self.sends.append((address, message))
        self.world.at(span, self._late, message.number, task)
        return self.pause()

    def _late(self, number, task):
        if self.waiting.get(number) is task:
            del self.waiting[number]
            self.asked.pop(number, None)
            self.wake(task, None)

    def reset(self):
        """Resets all connections: requests that wait for an answer fail."""
        self.pool.clear()
        for number in [number for number in self.waiting if isinstance(number, int)]:
            closed = SimAnswer(number, 0, whole=False, incarnation=self.asked[number] or 0)
            self.world.at(0, self.answered, closed)

    def answered(self, answer):
        """Wakes the task that waits for this answer, if there is one."""
        task = self.waiting.pop(answer.number, None)
        self.asked.pop(answer.number, None)
        if task is not None:
            self.wake(task, answer)

    def has_capacity(self, owner, most):
        """Whether a request may have a connection; there is no limit here."""
        return True

    def open(self, owner, address, reuse, most=None, seconds=1.0):
        """A connection to the owner: an idle one if `reuse` allows, else a new one.

        Raises:
            ExchangeError: No connection could be made; nothing was sent.
        """
        incarnation = self.pool.get(owner) if reuse else None
        reused = incarnation is not None
        if not reused:
            instance_checked = self.call(
                address, SimRequest(self.next(), "CONNECT", "", (), "", None), CONNECT
            )
            if instance_checked is None or not instance_checked.whole:
                raise ExchangeError(
                    "connect: refused", was_sent=False, is_process_gone=instance_checked is not None
                )
            incarnation = instance_checked.incarnation
        exchange = SimExchange(self, owner, address, incarnation)
        exchange.is_reused = reused
        return exchange

    def request_token(self, service, origin):
        """Asks the control node for an admission token; False if it gives none."""
        ticket = ("token", self.next())
        self.waiting[ticket] = getcurrent()
        self.world.at(
            0, self.world.give, self.seat.address, AdmissionTokenWanted(ticket, service, origin)
        )
        return bool(self.pause())

    def told(self, ticket, given):
        """Wakes the task that waits for an admission token."""
        task = self.waiting.pop(ticket, None)
        if task is not None:
            self.wake(task, given)

    def release(self, owner, exchange, reuse, answer):
        """Ends the use of a connection; after an answer it may be reused if `reuse` is set."""
        if answer is not None and reuse:
            self.pool[owner] = exchange.incarnation
        else:
            self.pool.pop(owner, None)
