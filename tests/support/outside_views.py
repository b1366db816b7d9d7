"""What the code shows to the outside, as plain JSON values: for data written by earlier builds.

`tests/data/COMMIT/generate_outside.py` writes these values, the compatibility tests compare them
with those of the code at hand. The names in them are those that files, calls and logs hold.
"""

import json
import sys
import tempfile
import tomllib
from dataclasses import fields, is_dataclass
from enum import Enum
from importlib.resources import files
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[2] / "platform"))

from adapter.configuration import ConfigurationTranslator
from adapter.settings import SettingsReader as PlatformSettingsReader

from tests.support.registry_world import World
from tests.support.served import ScriptedOrigin, ServedProxy, answer
from willowpost.configuration.checker import ConfigurationChecker
from willowpost.configuration.routes import routes_of
from willowpost.drill.deployment import Deployment
from willowpost.history.codec import read_history, write_history
from willowpost.node.node_state import DaemonDescriptor, NodeState
from willowpost.proxy.metrics import ProxyMetrics
from willowpost.registry.status import StatusPage
from willowpost.shell.metrics import MetricsPage
from willowpost.shell.settings import SettingsReader
from willowpost.sim.world import seconds
from willowpost.state.configuration_changes import content_digest
from willowpost.state.tables import tables_from

ROOT = Path(__file__).resolve().parents[2]
NOW = 10_000_000


def content(value):
    """Return a value with dataclasses as lists of their values, in the order of their fields."""
    if is_dataclass(value):
        return [content(getattr(value, field.name)) for field in fields(value)]
    if isinstance(value, Enum):
        return value.value
    return [content(item) for item in value] if isinstance(value, (tuple, list)) else value


def _in_file(name: str, text: str, read):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, name)
        path.write_text(text)
        return read(str(path))


def settings(name: str, text: str, flags: dict) -> dict:
    """What the programs make of a settings file."""
    found = _in_file(name, text, lambda path: SettingsReader().read(path, flags, ("http",)))
    if found.is_err():
        return {"findings": found.unwrap_err()}
    held = found.unwrap()
    return {"values": held.model_dump(by_alias=True), "place": content(held.to_process_settings())}


def platform_settings(kind: str, text: str) -> dict:
    """What a program on the platform makes of the platform's settings file."""
    found = _in_file("local.yaml", text, PlatformSettingsReader(kind).read)
    return {"findings": found.unwrap_err()} if found.is_err() else {"all": content(found.unwrap())}


def platform_configuration(document: dict) -> dict:
    """The body of the product's call that a platform's document comes to."""
    found = ConfigurationTranslator(4500).translate(json.dumps(document).encode())
    return {"findings": found.unwrap_err()} if found.is_err() else {"body": found.unwrap()}


def configuration(tree: dict) -> dict:
    """What the checker makes of a configuration, its digest in the log, and its routes."""
    found = ConfigurationChecker().check(json.dumps(tree).encode())
    if found.is_err():
        return {"findings": found.unwrap_err()}
    checked = found.unwrap()
    return {
        "tree": checked,
        "digest": content_digest(checked, None),
        "routes": [content(route) for route in routes_of(checked)],
    }


def shipped_deployments() -> dict:
    """The deployments that ship with the product, as they stand in their files."""
    folder = files("willowpost.deployments")
    return {
        held.name: json.loads(held.read_text())
        for held in folder.iterdir()
        if held.name.endswith(".json")
    }


def deployment(held: dict) -> dict:
    """The program and the settings of each process of a deployment."""
    processes = Deployment(held, Path("folder"), 7000).processes()
    return {process.key: [process.program, process.settings] for process in processes}


def deploy_file() -> dict:
    """The platform's deploy file."""
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def history(text: str) -> dict:
    """The calls of a history file, and the text that they are written as."""

    def read(path):
        calls = read_history(path)
        write_history(path, calls)
        return {"calls": content(calls), "text": Path(path).read_text()}

    return _in_file("history.jsonl", text, read)


def status(text: str) -> dict:
    """The status page of a registry with these tables."""

    class Node:
        node_state = NodeState(DaemonDescriptor("r", "registry", "core", "m", "a", "r:1", "r:2", 5))

    Node.node_state.tables = tables_from(text)
    Node.node_state.fresh_as_of = NOW - 250_000
    return json.loads(json.dumps(StatusPage().make(Node, NOW)))


def metrics() -> list[str]:
    """The names, kinds and labels of a proxy's metrics, and the names of its events."""
    proxy = ServedProxy(ScriptedOrigin(answer(b"ok", cache_control="no-store")))
    try:
        proxy.ask("GET", "/a")
        outgoing = proxy.front.executor.attempts.resources.outgoing
        page = MetricsPage(ProxyMetrics(proxy.front, proxy.node_state, outgoing, {}))
        lines = page.text().decode().splitlines()
    finally:
        proxy.stop()
    types = {line for line in lines if line.startswith("# TYPE")}
    labelled = {line.rpartition(" ")[0] for line in lines if "{" in line and line[0] != "#"}
    return sorted(types | labelled)


def shape(value):
    """The structure of a JSON value: its names, and the types of its plain values."""
    if isinstance(value, dict):
        return {name: shape(held) for name, held in sorted(value.items())}
    if isinstance(value, (list, tuple)):
        return [shape(value[0])] if value else []
    return type(value).__name__


class Calls(World):
    """A simulated fleet whose registries are called; holds no tests of its own."""

    def runTest(self):
        """Do nothing: the class is used as a fixture."""

    def answers(self, calls: list) -> list:
        """The code of each answer, and the shape of what it says."""
        found = []
        for method, path, body, headers in calls:
            made = self.call(method, path, body if body is not None else b"", **headers)
            found.append([method, path, made.code, shape(made.value)])
        return found

    def operations(self) -> dict:
        """The operations in the stores' logs: for each the names of all its fields."""
        names: dict[str, set] = {}
        for name in self.world.names:
            for record in self.world.seats[name].disk.records:
                command = record.get("command")
                for operation in json.loads(command["body"]) if command else ():
                    names.setdefault(operation["op"], set()).update(_names(operation))
        return {name: sorted(held) for name, held in names.items()}


def _names(operation: dict):
    for name, value in operation.items():
        yield name
        if name in ("daemon", "new"):
            yield from (f"{name}/{below}" for below in value)


def calls(script: list) -> dict:
    """The answers to a script of calls, and the operations that the fleet then has in its log."""
    case = Calls()
    case.setUp()
    try:
        answers = case.answers(script)
        _lose_a_store_and_a_proxy(case.world)
        return {"answers": answers, "operations": case.operations()}
    finally:
        case.doCleanups()


def _lose_a_store_and_a_proxy(world):
    """Machines fail, so that others suspect them, and one whose disk is lost joins anew."""
    world.crash("s1", lose_disk=True)
    world.crash(world.edges[0])
    world.run(seconds(6))
    world.start("s1")
    world.run(seconds(8))
