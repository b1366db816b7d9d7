"""Starts, kills and stops a deployment's processes on this machine, as the platform would.

The daemons themselves start no process; the drill stands in for the platform that does.
"""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent

from willowpost.common.clock import Clock
from willowpost.drill.control_history import ControlHistory
from willowpost.drill.deployment import Deployment, Process
from willowpost.stand_ins.http_call import Reply, ask

MODULES = {"wpstore": "store", "wpregistry": "registry", "wpproxy": "proxy"}
ORIGINS = "origins"  # the key of the process of all stand-in origins


class Fleet:
    """The processes of a deployment; it ends only those it started, by their ids."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.history = ControlHistory(Clock())
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.processes = {process.key: process for process in deployment.processes()}
        self.control = f"127.{deployment.subnet}.200.1:{deployment.port + 91}"

    def start(self, key: str) -> None:
        """Start a process by its key, machine/program."""
        process = self.processes[key]
        path = self._write(process)
        module = MODULES[process.program]
        self._spawn(
            key,
            ["-c", f"from willowpost.{module}.main import main; main()", "--settings", path],
            self.deployment.folder / process.machine / f"{process.program}.log",
        )

    def _spawn(self, key: str, arguments: list[str], log_path: Path) -> None:
        """Start the interpreter with these arguments; what it says is added to the log."""
        with open(log_path, "ab") as log:
            self.running[key] = subprocess.Popen(
                [sys.executable, *arguments], stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def _write(self, process: Process) -> str:
        folder = self.deployment.folder / process.machine
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / f"{process.program}.json"
        path.write_text(json.dumps(process.settings, indent=1))
        return str(path)

    def reload(self, key: str) -> None:
        """The platform says that settings have changed."""
        self._write(self.processes[key])
        self.running[key].send_signal(signal.SIGHUP)

    def has_logged(self, key: str, words: str) -> bool:
        """Whether a process's log has these words."""
        process = self.processes[key]
        return (
            words
            in (self.deployment.folder / process.machine / f"{process.program}.log").read_text()
        )

    def start_all(self) -> None:
        """Start every process."""
        for key in self.processes:
            self.start(key)

    def start_origins(self, beat_seconds: float = 1.0) -> None:
        """Start the stand-in origins, in one process."""
        registries = self.registries()
        origins = [
            {
                **origin,
                "registries": registries[number % len(registries) :]
                + registries[: number % len(registries)],
                "beat_seconds": beat_seconds,
            }
            for number, origin in enumerate(self.deployment.origins)
        ]
        path = self.deployment.folder / "origins.json"
        path.write_text(json.dumps({"control": self.control, "origins": origins}, indent=1))
        self._spawn(
            ORIGINS,
            ["-m", "willowpost.stand_ins.main", str(path)],
            self.deployment.folder / "origins.log",
        )

    def steer(self, do: str, address: str | None = None, **more: Any) -> Any:
        """Tell the stand-in origins what to do; their answer."""
        return ask(
            self.control, "POST", "/steer", {"do": do, "address": address, **more}, seconds=10
        )

    def ledger(self) -> dict[str, Any]:
        """What all stand-in origins saw.

        Raises:
            RuntimeError: Their process does not answer.
        """
        reply = ask(self.control, "GET", "/ledger", seconds=10)
        if reply is None:
            raise RuntimeError("the stand-in origins do not answer")
        ledger: dict[str, Any] = reply[2]
        return ledger

    def kill(self, key: str) -> None:
        """Kill a process with SIGKILL and wait for its end."""
        self.running[key].send_signal(signal.SIGKILL)
        self.running.pop(key).wait()

    def freeze(self, key: str) -> None:
        """Stop a process with SIGSTOP."""
        self.running[key].send_signal(signal.SIGSTOP)

    def thaw(self, key: str) -> None:
        """Let a stopped process go on."""
        self.running[key].send_signal(signal.SIGCONT)

    def stop(self, key: str, seconds: float = 45) -> int | None:
        """End a process with SIGTERM; its exit code, or None if it did not end in time.

        One that did not is killed, as the platform does after its grace.
        """
        running = self.running.pop(key)
        running.send_signal(signal.SIGTERM)
        code = self._wait(running, seconds)
        if code is None:
            running.kill()
            running.wait()
        return code

    def _wait(self, running: subprocess.Popen[bytes], seconds: float) -> int | None:
        end = time.monotonic() + seconds
        while running.poll() is None and time.monotonic() < end:
            gevent.sleep(0.05)
        return running.poll()

    def stop_all(self) -> None:
        """Kill everything that still runs."""
        for running in self.running.values():
            running.send_signal(signal.SIGCONT)
            running.send_signal(signal.SIGKILL)
        for running in self.running.values():
            running.wait()
        self.running.clear()

    def registries(self) -> list[str]:
        """Where operators and origins reach the registries."""
        return [self.deployment.registry_http(machine) for machine in self.deployment.cores()]

    def proxies(self) -> dict[str, str]:
        """Where callers reach each proxy, by its key."""
        return {
            f"{machine['name']}/wpproxy": self.deployment.proxy_http(machine)
            for machine in self.deployment.machines
            if machine["kind"] in ("edge", "shield")
        }

    def edges(self) -> list[str]:
        """Where callers reach the edges."""
        return [
            self.deployment.proxy_http(machine)
            for machine in self.deployment.machines
            if machine["kind"] == "edge"
        ]

    def call(
        self,
        method: str,
        path: str,
        value: Any = None,
        headers: dict[str, str] | None = None,
        first: int = 0,
    ) -> Reply | None:
        """A call by an operator, who turns to the next registry when one is not there."""
        registries = self.registries()
        for number in range(len(registries)):
            address = registries[(first + number) % len(registries)]
            call = self.history.sent(address, method, path, value, headers)
            reply = ask(address, method, path, value, headers)
            if call is not None:
                self.history.answered(call, reply)
            if reply is not None:
                return reply
        return None

    def stats(self) -> dict[str, dict[str, Any]]:
        """The stats page of each running proxy that answers, by its key."""
        tasks = {
            key: gevent.spawn(ask, address, "GET", "/.wp/stats", None, None, 2)
            for key, address in self.proxies().items()
            if key in self.running
        }
        return {
            key: reply[2]
            for key, task in tasks.items()
            if (reply := task.get()) is not None and reply[0] == 200
        }

    def until(
        self, condition: Callable[[], object], seconds: float, step: float = 0.05
    ) -> float | None:
        """Seconds it took, or None."""
        begun = time.monotonic()
        while time.monotonic() - begun < seconds:
            if condition():
                return time.monotonic() - begun
            gevent.sleep(step)
        return None

    def ready(self, seconds: float = 40) -> float | None:
        """Seconds until all daemons are up and all proxies are sound, or None."""
        want = len(self.processes)

        def joined() -> bool:
            reply = self.call("GET", "/v1/status")
            return (
                reply is not None
                and reply[0] == 200
                and sum(daemon["state"] == "up" for daemon in reply[2]["daemons"].values()) >= want
                and len(sound) == len(self.proxies())
            )

        sound: dict[str, bool] = {}

        def look() -> bool:
            sound.clear()
            sound.update({key: True for key, page in self.stats().items() if page["sound"]})
            return joined()

        return self.until(look, seconds, 0.2)


def free_port() -> int:
    """A base whose hundred ports are most likely free: picked by process ID.

    Away from the ephemeral range.
    """
    return 10_000 + (os.getpid() * 100) % 20_000
