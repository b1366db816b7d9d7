"""All origins of a drill in one process, steered over HTTP by the drill."""

import json
import sys
from pathlib import Path

import gevent

from willowpost.common.clock import Clock
from willowpost.shell.router import Router
from willowpost.shell.structured_log import StructuredLogger
from willowpost.shell.web import Response
from willowpost.shell.web_server import WebServer
from willowpost.stand_ins.origin import Ledger, StandInsOrigin


class Standins:
    """Invariant: the ledger is one for all origins.

    So a write that ran on two of them counts twice.
    """

    def __init__(self, origins):
        self.ledger, self.clock = Ledger(), Clock()
        self.origins = {
            origin["address"]: StandInsOrigin(self.ledger, self.clock, **origin)
            for origin in origins
        }

    def steer(self, call):
        """Do what the drill asks of the stand-ins."""
        asked = json.loads(call.body)
        origin = self.origins.get(asked.get("address"))
        match asked["do"]:
            case "mode":
                origin.mode = asked["mode"]
            case "crash":
                origin.crash()
            case "start":
                origin.start()
            case "drain" | "leave":
                return Response(200, origin.say(f"/{asked['do']}"))
            case "late_heartbeat":
                return Response(200, origin.say_late())
            case "tokens":
                tokens = {address: held.token for address, held in self.origins.items()}
                return Response(200, tokens)
            case "version":
                self.ledger.version += 1
                return Response(200, {"version": self.ledger.version})
            case "move":
                origin.crash()
                origin.service = asked.get("service", origin.service)
                origin.start(asked.get("quiet", 0.0))
        return Response(200, {})

    def ledger_page(self, call):
        """What all stand-in origins saw, as JSON."""
        return Response(
            200,
            {
                "writes": dict(self.ledger.writes),
                "version": self.ledger.version,
                "arrivals": self.ledger.arrivals,
                "seen": {address: dict(counts) for address, counts in self.ledger.seen.items()},
                "services": {
                    address: dict(counts) for address, counts in self.ledger.services.items()
                },
            },
        )


def main() -> None:
    """Run the stand-in origins of the file named on the command line."""
    settings = json.loads(Path(sys.argv[1]).read_text(encoding="utf-8"))
    standins = Standins(settings["origins"])
    logger = StructuredLogger("stand_ins", "origins")
    WebServer(
        settings["control"],
        Router(
            [
                ("POST", "/steer", 65536, standins.steer),
                ("GET", "/ledger", 0, standins.ledger_page),
            ],
            logger,
        ),
    ).start()
    for origin in standins.origins.values():
        origin.start()
    gevent.event.Event().wait()


if __name__ == "__main__":
    main()
