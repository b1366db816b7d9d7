"""All origins of a drill in one process, steered over HTTP by the drill."""

import json
import sys
from pathlib import Path
from typing import Any

from gevent.event import Event

from willowpost.common.clock import Clock
from willowpost.shell.router import Router
from willowpost.shell.structured_log import StructuredLogger
from willowpost.shell.web import Request, Response
from willowpost.shell.web_server import WebServer
from willowpost.stand_ins.ledger import Ledger
from willowpost.stand_ins.origin import StandInOrigin

MAX_ORDER_BYTES = 65536


class StandInOrigins:
    """The origins of a deployment, with one ledger.

    Args:
        origins: the arguments of each `StandInOrigin`.
    """

    def __init__(self, origins: list[dict[str, Any]]) -> None:
        self.ledger, self.clock = Ledger(), Clock()
        self.origins = {
            origin["address"]: StandInOrigin(self.ledger, self.clock, **origin)
            for origin in origins
        }

    def steer(self, call: Request) -> Response:
        """Do what the drill asks, of one origin or of all."""
        order = json.loads(call.body)
        match order["do"]:
            case "tokens":
                tokens = {address: origin.token for address, origin in self.origins.items()}
                return Response(200, tokens)
            case "version":
                self.ledger.version += 1
                return Response(200, {"version": self.ledger.version})
        return self._steer_one(self.origins[order["address"]], order)

    def _steer_one(self, origin: StandInOrigin, order: dict[str, Any]) -> Response:
        match order["do"]:
            case "mode":
                origin.mode = order["mode"]
            case "crash":
                origin.crash()
            case "start":
                origin.start()
            case "drain" | "leave":
                return Response(200, origin.say(f"/{order['do']}"))
            case "late_heartbeat":
                return Response(200, origin.say_late())
            case "move":
                origin.crash()
                origin.service = order.get("service", origin.service)
                origin.start(order.get("quiet", 0.0))
        return Response(200, {})

    def ledger_page(self, call: Request) -> Response:
        """Return what all stand-in origins saw."""
        return Response(200, self.ledger.as_json())


def main() -> None:
    """Run the stand-in origins of the file named on the command line."""
    settings = json.loads(Path(sys.argv[1]).read_text(encoding="utf-8"))
    stand_ins = StandInOrigins(settings["origins"])
    routes = [
        ("POST", "/steer", MAX_ORDER_BYTES, stand_ins.steer),
        ("GET", "/ledger", 0, stand_ins.ledger_page),
    ]
    logger = StructuredLogger("stand_ins", "origins")
    WebServer(settings["control"], Router(routes, logger)).start()
    for origin in stand_ins.origins.values():
        origin.start()
    Event().wait()


if __name__ == "__main__":
    main()
