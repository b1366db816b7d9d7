"""Starts, kills and stops a deployment's processes on this machine, as the platform would.

The daemons themselves start no process; the drill stands in for the platform that does.
"""

import json
import os
import signal
import subprocess
import sys
import time

import gevent

from willowpost.common.clock import Clock
from willowpost.drill.control_history import ControlHistory
from willowpost.drill.deployment import Deployment
from willowpost.stand_ins.callers import ask


class Fleet:
    """Invariant: ends only processes it started, by their ID, and leaves none behind."""

    def __init__(self, deployment: Deployment):
        self.deployment = deployment
        self.history = ControlHistory(Clock())
        self.running: dict[str, subprocess.Popen] = {}
        self.processes = {process.key: process for process in deployment.processes()}
        self.control = f"127.{deployment.subnet}.200.1:{deployment.port + 91}"

    def start(self, key: str) -> None:
        process = self.processes[key]
        path = self._write(process)
        log = open(self.deployment.folder / process.machine / f"{process.program}.log", "ab")
        module = {"wpstore": "store", "wpregistry": "registry", "wpproxy": "proxy"}[process.program]
        self.running[key] = subprocess.Popen(
            [
                sys.executable,
                "-c",
                f"from willowpost.{module}.main import main; main()",
                "--settings",
                path,
            ],
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()

    def _write(self, process) -> str:
        folder = self.deployment.folder / process.machine
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / f"{process.program}.json"
        path.write_text(json.dumps(process.settings, indent=1))
        return str(path)

    def reload(self, key: str) -> None:
        """The platform says that settings have changed."""
        self._write(self.processes[key])
        self.running[key].send_signal(signal.SIGHUP)

    def said(self, key: str, words: str) -> bool:
        process = self.processes[key]
        return (
            words
            in (self.deployment.folder / process.machine / f"{process.program}.log").read_text()
        )

    def start_all(self) -> None:
        for key in self.processes:
            self.start(key)

    def start_origins(self, beat_seconds: float = 1.0) -> None:
        registries = self.registries()
        cards = [
            {
                **origin,
                "registries": registries[number % len(registries) :]
                + registries[: number % len(registries)],
                "beat_seconds": beat_seconds,
            }
            for number, origin in enumerate(self.deployment.origins)
        ]
        path = self.deployment.folder / "origins.json"
        path.write_text(json.dumps({"control": self.control, "origins": cards}, indent=1))
        log = open(self.deployment.folder / "origins.log", "ab")
        self.running["origins"] = subprocess.Popen(
            [sys.executable, "-m", "willowpost.stand_ins.main", str(path)],
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()

    def steer(self, do: str, address: str | None = None, **more):
        return ask(
            self.control, "POST", "/steer", {"do": do, "address": address, **more}, seconds=10
        )

    def ledger(self) -> dict:
        return ask(self.control, "GET", "/ledger", seconds=10)[2]

    def kill(self, key: str) -> None:
        self.running[key].send_signal(signal.SIGKILL)
        self.running.pop(key).wait()

    def freeze(self, key: str) -> None:
        self.running[key].send_signal(signal.SIGSTOP)

    def thaw(self, key: str) -> None:
        self.running[key].send_signal(signal.SIGCONT)

    def stop(self, key: str, seconds: float = 45) -> int | None:
        running = self.running.pop(key)
        running.send_signal(signal.SIGTERM)
        return self._wait(running, seconds)

    def _wait(self, running, seconds):
        end = time.monotonic() + seconds
        while running.poll() is None and time.monotonic() < end:
            gevent.sleep(0.05)
        return running.poll()

    def stop_all(self) -> None:
        for running in self.running.values():
            running.send_signal(signal.SIGCONT)
            running.send_signal(signal.SIGKILL)
        for running in self.running.values():
            running.wait()
        self.running.clear()

    def registries(self) -> list[str]:
        return [self.deployment.registry_http(machine) for machine in self.deployment.cores()]

    def proxies(self) -> dict[str, str]:
        return {
            f"{machine['name']}/wpproxy": self.deployment.proxy_http(machine)
            for machine in self.deployment.machines
            if machine["kind"] in ("edge", "shield")
        }

    def edges(self) -> list[str]:
        return [
            self.deployment.proxy_http(machine)
            for machine in self.deployment.machines
            if machine["kind"] == "edge"
        ]

    def call(self, method: str, path: str, value=None, headers=None, first: int = 0):
        """A call by an operator, who turns to the next registry when one is not there."""
        registries = self.registries()
        for number in range(len(registries)):
            address = registries[(first + number) % len(registries)]
            call = self.history.sent(address, method, path, value, headers)
            held = ask(address, method, path, value, headers)
            if call is not None:
                self.history.answered(call, held)
            if held is not None:
                return held
        return None

    def stats(self) -> dict[str, dict]:
        tasks = {
            key: gevent.spawn(ask, address, "GET", "/.wp/stats", None, None, 2)
            for key, address in self.proxies().items()
            if key in self.running
        }
        return {
            key: held[2]
            for key, task in tasks.items()
            if (held := task.get()) is not None and held[0] == 200
        }

    def until(self, condition, seconds: float, step: float = 0.05) -> float | None:
        """Seconds it took, or None."""
        begun = time.monotonic()
        while time.monotonic() - begun < seconds:
            if condition():
                return time.monotonic() - begun
            gevent.sleep(step)
        return None

    def ready(self, seconds: float = 40) -> float | None:
        want = len(self.processes)

        def joined():
            held = self.call("GET", "/v1/status")
            return (
                held is not None
                and held[0] == 200
                and sum(card["state"] == "up" for card in held[2]["daemons"].values()) >= want
                and len(sound) == len(self.proxies())
            )

        sound: dict = {}

        def look():
            sound.clear()
            sound.update({key: True for key, held in self.stats().items() if held["sound"]})
            return joined()

        return self.until(look, seconds, 0.2)


def free_port() -> int:
    """A base whose hundred ports are most likely free: picked by process ID.

    Away from the ephemeral range.
    """
    return 10_000 + (os.getpid() * 100) % 20_000
