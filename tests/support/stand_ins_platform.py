"""A small stand-in of the platform on loopback: its origins, its operator, its clients.

And who starts the processes.
"""

import json
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import gevent
import yaml
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer
from geventhttpclient import HTTPClient

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT = 0.5
STEP = 0.05


def ask(address, method, target, value=None, seconds=5.0, **headers):
    """(status, headers, body), or None when nobody answered."""
    host, port = address.rsplit(":", 1)
    client = HTTPClient(host, int(port), connection_timeout=1, network_timeout=seconds)
    try:
        body = (
            b""
            if value is None
            else value
            if isinstance(value, bytes)
            else json.dumps(value).encode()
        )
        answer = client.request(
            method,
            target,
            body=body,
            headers={name.replace("_", "-"): held for name, held in headers.items()},
        )
        text = bytes(answer.read())
        return answer.status_code, {name.lower(): held for name, held in answer.headers}, text
    except Exception:  # whatever the library raises: no answer
        return None
    finally:
        client.close()


def until(condition, seconds, what="it"):
    """What `condition` came to, polled; an error when it came to nothing in time."""
    end = time.monotonic() + seconds
    while True:
        held = condition()
        if held:
            return held
        if time.monotonic() > end:
            raise AssertionError(f"{what} did not come about in {seconds} s")
        gevent.sleep(STEP)


@dataclass(slots=True)
class Ledger:
    """What all origins saw. Invariant: `runs` counts how often each id ran."""

    runs: Counter = field(default_factory=Counter)
    seen: list = field(default_factory=list)  # (moment, instance, id, method, path, body)
    version: int = 1


class Origin:
    """One life at a time: answers with stamps, refuses what is meant for another life.

    And beats until it ends.
    """

    def __init__(self, ledger, address, service, zone, controls, slots=8):
        self.ledger, self.address, self.service, self.zone, self.controls, self.slots = (
            ledger,
            address,
            service,
            zone,
            controls,
            slots,
        )
        self.incarnation, self.sequence, self.state, self.target = 0, 0, "ready", None
        self.running = 0
        self.acknowledged = Counter()  # state -> beats of it that were taken
        self.server = self.beating = None

    @property
    def instance(self):
        place = self.address.rsplit(".", 1)[1].replace(":", "-")
        return f"i-{self.service}-{place}-{self.incarnation}"

    def start(self):
        self.incarnation, self.sequence, self.state = self.incarnation + 1, 0, "ready"
        self.acknowledged = Counter()
        host, port = self.address.rsplit(":", 1)
        self.server = WSGIServer(
            (host, int(port)), self._serve, log=None, error_log=None, spawn=Pool(200)
        )
        self.server.start()
        self.beating = gevent.spawn(self._beats)

    def crash(self):
        self.beating.kill()
        self.server.stop(timeout=0)

    def drain(self):
        self.state = "draining"

    def leave(self):
        """Whether somebody took it."""
        return self.tell("instances.deregister") is not None

    def tell(self, call, value=None):
        for address in [self.target, *self.controls] if self.target else self.controls:
            held = ask(
                address,
                "POST",
                f"/v1/rpc?call={call}&of={self.instance}",
                value,
                1.0,
                Content_Type="application/json",
            )
            if held is not None and 200 <= held[0] < 300 and len(held[2]) <= 4096:
                said = json.loads(held[2] or b"{}")
                self.target = said.get("heartbeat_target") or (
                    address if address == self.target else None
                )
                return said
            self.target = None if address == self.target else self.target
        return None

    def _beats(self):
        while True:
            state = self.state
            self.sequence += 1
            if (
                self.tell(
                    "instances.heartbeat",
                    {
                        "service": self.service,
                        "address": self.address,
                        "zone": self.zone,
                        "version": "v1",
                        "slots": self.slots,
                        "state": state,
                        "cold_remaining": "0ms",
                        "call_sequence": self.sequence,
                    },
                )
                is not None
            ):
                self.acknowledged[state] += 1
            gevent.sleep(HEARTBEAT)

    def _serve(self, environ, start_response):
        self.running += 1
        try:
            return self._answer(environ, start_response)
        finally:
            self.running -= 1

    def _answer(self, environ, start_response):
        path, method, request = (
            environ["PATH_INFO"],
            environ["REQUEST_METHOD"],
            environ.get("HTTP_X_ATTEMPT_ID", ""),
        )
        body = environ["wsgi.input"].read() if method == "POST" else b""
        said = [
            ("X-Instance-Id", self.instance),
            ("X-Server-Load", f"{self.running},0,{self.slots}"),
        ]
        if path == "/health":
            start_response("200 OK", [*said, ("Content-Length", "0")])
            return [b""]
        if environ.get("HTTP_X_EXPECTED_INSTANCE", self.instance) != self.instance:
            start_response("421 Misdirected Request", [*said, ("Content-Length", "0")])
            return [b""]
        self.ledger.runs[request] += 1
        self.ledger.seen.append((time.monotonic(), self.instance, request, method, path, body))
        text = json.dumps(
            {
                "path": path,
                "service": self.service,
                "version": self.ledger.version,
                "body": body.decode(),
            }
        ).encode()
        start_response(
            "200 OK",
            [
                *said,
                ("X-Attempt-Id", request),
                ("X-Origin-Seal", f"{self.instance}.{self.ledger.version}"),
                ("X-Object-Tags", f"t-{path.rsplit('/', 1)[1]} t-all"),
                ("ETag", f'"{self.ledger.version}"'),
                ("Content-Length", str(len(text))),
            ],
        )
        return [text]


class Processes:
    """Starts the programs as the deploy file says, each with a settings file.

    Invariant: ends only what it started, by its id.
    """

    def __init__(self, folder, subnet, zones, edges):
        self.folder, self.zones = Path(folder), zones
        port = 10_000 + (os.getpid() * 40) % 20_000
        self.port = port
        self.shields = {
            f"shield-{zone}": (f"127.{subnet}.{number + 1}.1", zone)
            for number, zone in enumerate(zones)
        }
        self.edges = {
            f"edge-{zone}": (f"127.{subnet}.{zones.index(zone) + 1}.9", zone) for zone in edges
        }
        self.seeds = [f"{ip}:{port}" for ip, _ in self.shields.values()]
        self.controls = list(self.seeds)
        self.running: dict[tuple, subprocess.Popen] = {}
        self.first_start = True

    def front(self, machine):
        return f"{self.edges[machine][0]}:{self.port + 1}"

    def readiness(self, machine):
        return f"{self.edges[machine][0]}:{self.port + 2}"

    def settings(self, machine, kind):
        ip, zone = (self.shields | self.edges)[machine]
        serves = {
            "store": {},
            "registry": {"control_plane": f"{ip}:{self.port}"},
            "proxy": {"front_http": f"{ip}:{self.port + 1}", "readiness": f"{ip}:{self.port + 2}"},
        }[kind]
        data = self.folder / f"{machine}.data"
        if kind == "store":
            data.mkdir(exist_ok=True)
        return {
            "node_name": machine,
            "role": kind,
            "ip_address": ip,
            "zone": zone,
            "region": "one",
            "zones": {name: "one" for name in self.zones},
            "listen_addresses": serves,
            "internal_port_range": [self.port + 10, self.port + 20],
            "seed_nodes": self.seeds,
            "first_start": self.first_start,
            "data_directory": str(data) if kind == "store" else None,
            "heartbeat": f"{int(HEARTBEAT * 1000)}ms",
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {
                "grace": "6s",
                "retry_budget_ratio": 0.2,
                "retry_budget_slack": 60,
                "budget_window": "10s",
            },
            "tomorrow": [1],
        }

    def write(self, machine, kind):
        path = self.folder / f"{machine}.{kind}.yaml"
        aside = path.with_suffix(".next")
        aside.write_text(yaml.safe_dump(self.settings(machine, kind)))
        aside.rename(path)
        return str(path)

    def start(self, machine, kind):
        """A bare environment, as the deploy file's reader gives.

        The path of libraries and the settings file.
        """
        libraries = os.pathsep.join(
            path for path in sys.path if path.endswith(("site-packages", "deps"))
        )
        with open(self.folder / f"{machine}.{kind}.log", "ab") as log:
            self.running[machine, kind] = subprocess.Popen(
                [sys.executable, f"platform/{kind}.py"],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": str(self.folder),
                    "PYTHONPATH": libraries,
                    "WILLOWPOST_CONFIG": self.write(machine, kind),
                },
            )

    def start_all(self):
        for machine in self.shields:
            self.start(machine, "store")
            self.start(machine, "registry")
        for machine in self.edges:
            self.start(machine, "proxy")

    def reload(self, machine, kind, tell=True):
        self.write(machine, kind)
        if tell:
            self.running[machine, kind].send_signal(signal.SIGHUP)

    def said(self, machine, kind):
        return (self.folder / f"{machine}.{kind}.log").read_text()

    def stop(self, machine, kind, seconds):
        """Its exit code, or None when it did not end in time."""
        running = self.running[machine, kind]
        running.send_signal(signal.SIGTERM)
        end = time.monotonic() + seconds
        while running.poll() is None and time.monotonic() < end:
            gevent.sleep(STEP)
        return running.poll()

    def stop_all(self):
        for running in self.running.values():
            if running.poll() is None:
                running.send_signal(signal.SIGKILL)
        for running in self.running.values():
            running.wait()


class Operator:
    """Sends an order to one daemon after the other until one takes it."""

    def __init__(self, controls):
        self.controls = controls

    def call(self, call, of=None, value=None, first=0):
        return self._send(f"/v1/rpc?call={call}" + (f"&of={of}" if of else ""), value, first)

    def purge(self, value):
        return self._send("/v1/purge", value, 0)

    def _send(self, target, value, first, seconds=8.0):
        end, number, held = time.monotonic() + seconds, first, None
        while time.monotonic() < end:
            held = ask(
                self.controls[number % len(self.controls)],
                "POST",
                target,
                value,
                4.0,
                Content_Type="application/json",
            )
            if held is not None and (held[0] < 500 and held[0] not in (408, 429)):
                return held
            number += 1
            gevent.sleep(STEP)
        return held


class Client:
    """Tries of one client; each has an id of its own."""

    def __init__(self, name):
        self.name, self.count = name, 0

    def ask(self, address, method, path, body=None, host="a.example", deadline=3000, **more):
        self.count += 1
        attempt = f"{self.name}-{self.count}"
        return attempt, ask(
            address,
            method,
            path,
            body,
            5.0,
            Host=host,
            X_Attempt_Id=attempt,
            X_Deadline_Remaining=str(deadline),
            **more,
        )
