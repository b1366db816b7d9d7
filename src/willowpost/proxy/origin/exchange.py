"""One request to one address over HTTP/1.1: connect, send, read, and check that the answer is whole."""
import base64
import hashlib
from dataclasses import dataclass, field
from enum import Enum

import gevent
from gevent import socket
from geventhttpclient.response import HTTPConnectionClosed, HTTPParseError, HTTPSocketResponse

from willowpost.proxy.origin.breakdown import Breakdown
from willowpost.proxy.origin.knock import BYTES_MOST, Knock
from willowpost.shell.mesh import split

CONNECT_SECONDS = 1.0
BLOCK = 64 * 1024


class Phase(Enum):
    CONNECT = "connect"
    KNOCK = "knock"
    SEND = "send"
    READ = "read"
    DONE = "done"


@dataclass(slots=True)
class WholeAnswer:
    """Invariant: `body` is the whole body as the origin framed it, unless `rest` goes on with it."""

    status: int
    headers: list = field(default_factory=list)
    body: bytes = b""
    rest: object = None         # an iterator over what follows, for oversized answers

    def header(self, name: str) -> str | None:
        return next((value for held, value in self.headers if held == name), None)

    def lowered(self) -> dict[str, str]:
        """Repeated headers joined, as a list header may be."""
        joined = {}
        for name, value in self.headers:
            joined[name] = f"{joined[name]}, {value}" if name in joined else value
        return joined


def head_of(method: str, target: str, headers: list, body: bytes) -> bytes:
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def digests_of(headers: dict) -> list[tuple[str, str]]:
    """(algorithm, base64) that the origin says of its content: RFC 9530 and the older Digest."""
    found = []
    for name in ("content-digest", "digest"):
        for part in headers.get(name, "").split(","):
            kind, _, value = part.strip().partition("=")
            if kind.lower() in ("sha-256", "sha-512"):
                found.append((kind.lower(), value.strip().strip(":")))
    return found


class Digester:
    def __init__(self, said):
        self.said = [(hashlib.new(kind.replace("-", "")), value) for kind, value in said]

    def eat(self, data: bytes) -> None:
        for running, _ in self.said:
            running.update(data)

    def right(self) -> bool:
        return all(base64.b64encode(running.digest()).decode() == value for running, value in self.said)


class Exchange:
    """Invariant: run() gives a whole, checked answer or raises Breakdown saying whether a byte may have left."""

    def __init__(self, address: str, connection=None):
        self.address = address
        self.connection = connection
        self.phase = Phase.CONNECT if connection is None else Phase.SEND
        self.reusable = False
        self.reused = connection is not None

    def connect(self) -> None:
        try:
            self.connection = socket.create_connection(split(self.address), timeout=CONNECT_SECONDS)
            self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as problem:
            raise Breakdown(f"connect: {problem}", sent=False, died=isinstance(problem, ConnectionRefusedError))
        self.phase = Phase.SEND

    def knock(self, knock: Knock, seconds: float) -> None:
        """Invariant: nothing of the request has left, whatever comes of it."""
        self.phase = Phase.KNOCK
        asked = head_of("GET", knock.path, [("host", self.address), ("via", "1.1 willowpost")], b"")
        answer = self._asked("GET", asked, seconds, BYTES_MOST, sent=False)
        knock.judge(answer)
        if answer.rest is not None or not self.reusable:
            raise Breakdown("knock: does not keep the connection", sent=False)
        self.phase, self.reusable = Phase.SEND, False

    def run(self, method: str, target: str, headers: list, body: bytes, seconds: float, wholeMost: int) -> WholeAnswer:
        return self._asked(method, head_of(method, target, headers, body) + body, seconds, wholeMost, sent=True)

    def _asked(self, method, asked, seconds, wholeMost, sent):
        self.connection.settimeout(seconds)
        try:
            self.connection.sendall(asked)
            self.phase = Phase.READ if sent else self.phase
            with gevent.Timeout(seconds, TimeoutError("deadline")):
                return self._read(method, wholeMost)
        except (OSError, HTTPParseError, TimeoutError, ValueError) as problem:
            died = self.reused and isinstance(problem, (ConnectionError, HTTPConnectionClosed))
            raise Breakdown(f"{self.phase.value}: {problem}", sent=sent, died=died)

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _read(self, method, wholeMost):
        response = HTTPSocketResponse(self.connection, block_size=BLOCK, method=method)
        answer = WholeAnswer(response.status_code, [(name.lower(), value) for name, value in response.headers])
        said = answer.lowered()
        bodyless = method == "HEAD" or answer.status in (204, 304)
        length = said.get("content-length")
        chunked = "chunked" in said.get("transfer-encoding", "").lower()
        if length is not None and (chunked or not length.isdigit()):
            raise ValueError("an answer framed in two ways")
        digester = Digester([] if bodyless else digests_of(said))
        if not bodyless and length is None and not chunked and not digester.said:
            raise ValueError("an answer whose end cannot be told")
        if not bodyless and length is not None and int(length) > wholeMost:
            answer.rest = self._stream(response, digester, int(length))
            return answer
        answer.body = b"" if bodyless else response.read(wholeMost + 1)
        if len(answer.body) > wholeMost:
            digester.eat(answer.body)
            answer.rest = self._stream(response, digester, None)
            return answer
        digester.eat(answer.body)
        self._check(response, digester, bodyless, length, len(answer.body))
        return answer

    def _check(self, response, digester, bodyless, length, size):
        if not response.message_complete or (not bodyless and length is not None and size != int(length)):
            raise ValueError("the answer ended short")
        if not digester.right():
            raise ValueError("the answer is not what its digest says")
        self.phase = Phase.DONE
        self.reusable = not response.should_close()

    def _stream(self, response, digester, length):
        """Passes on all but the last block as it comes; the last only when the whole is known to be right."""
        held, size = b"", 0
        try:
            while True:
                block = response.read(BLOCK)
                if not block:
                    break
                if held:
                    yield held
                held, size = block, size + len(block)
                digester.eat(block)
            self._check(response, digester, length is None, None if length is None else str(length), size)
            yield held
        finally:
            self.close()
