"""Writes `outside.json` with the code of commit bf1d9c7; see README.md.

It is kept to show how the data was made. The data is never made anew with later code.
"""

import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

import test_platform_config
import test_settings

from tests.support import outside_views as views
from willowpost.configuration.model import Settings
from willowpost.history.codec import write_history
from willowpost.history.records import Answer, Call, Operation, Outcome, Request
from willowpost.sim.fleet.shape import SMALL

HERE = Path(__file__).resolve().parent
# The example of docs/operate/running.md.
RUNNING_EXAMPLE = (
    '{"name": "store-1", "zone": "a", "address": "127.0.0.1:7000", "seeds": ["127.0.0.2:7000"],'
    ' "data": "/var/lib/wp", "voters": 5}'
)
ALL_SETTINGS = {
    "name": "edge-1",
    "zone": "a",
    "address": "127.0.0.1:7000",
    "seeds": ["127.0.0.2:7000", "127.0.0.3:7000"],
    "http": "127.0.0.1:8000",
    "role": "shield",
    "data": "/var/lib/wp",
    "voters": 3,
    "max_voters": 7,
    "may_bootstrap": False,
    "bootstrap_from_seeds": True,
    "regions": {"a": "one", "b": "two"},
    "health": "127.0.0.1:8001",
    "metrics": "127.0.0.1:8002",
    "serve_on_ms": 1600,
    "link_mbps": 12.5,
    "drain_ms": 3001,
    "finish_ms": 30001,
    "leave_ms": 1501,
    "pace": {
        "resend": 61,
        "freeze": 1,
        "synced_index": 101,
        "ask": 41,
        "read": 151,
        "hello": 201,
        "keep": 513,
        "rotate": 2049,
    },
    "level": "WARNING",
}
# The example of docs/operate/calls.md.
CALLS_EXAMPLE = {
    "services": {
        "art": {
            "rate": 800,
            "ramp_seconds": 8,
            "silent_seconds": 4,
            "health_check_path": "/health",
        }
    },
    "settings": {"deadline_ms": 3000},
    "limits": {"head_bytes": 16384, "body_bytes": 67108864, "head_ms": 3000, "idle_ms": 15000},
    "branches": {
        "cards": {
            "host": "cards.example",
            "path": "/cards",
            "settings": {"service": "art", "keep_seconds": 60},
        }
    },
}
EVERY_SETTING = {
    "kind": "repeatable",
    "methods": ["GET", "POST"],
    "cache": False,
    "shield": False,
    "keep_seconds": 5.5,
    "deadline_ms": 1234,
    "aim_ms": 99,
    "priority": 3,
    "body_max": 1000,
    "whole_max": 2000,
    "zones": ["a", "b"],
    "homes": ["one"],
    "tries": 5,
}
ALL_CONFIGURATION = {
    "services": {
        "one": {
            "rate": 10.5,
            "ramp_seconds": 3,
            "health_check_path": "/up",
            "silent_seconds": 2,
            "connections": 7,
            "cold_rate": 1.5,
            "named": True,
            "sealed": True,
        },
        "two": {},
    },
    "settings": {"service": "two", "tries": None},
    "limits": {"head_bytes": 1, "body_bytes": 2, "head_ms": 3, "idle_ms": 4},
    "branches": {
        "every": {"host": "a.example", "path": "/a", "settings": EVERY_SETTING},
        "plain": {"host": "b.example", "branches": {"below": {"path": "/b"}}},
        "split": {
            "path": "/c",
            "settings": {
                "split": [{"service": "one", "weight": 90}, {"service": "two", "weight": 10}]
            },
        },
    },
}
ORIGIN = {
    "service": "art",
    "address": "127.0.0.1:9000",
    "zone": "a",
    "rate": 300,
    "cold_rate": 75,
    "load": 4,
    "slots": 32,
    "token": "5f0c9c1e77ab41d2",
    "number": 17,
    "state": "ready",
    "cold_ms": 0,
}


def every_setting_changed():
    tree = json.loads(json.dumps(ALL_CONFIGURATION))
    tree["branches"]["every"]["settings"] = {}
    tree["branches"]["every"]["host"] = "z.example"
    tree["branches"]["every"]["path"] = "/z"
    tree["branches"]["plain"]["branches"]["more"] = {"path": "/more"}
    del tree["branches"]["split"]
    return tree


def script():
    """Return calls: method, path, body, headers."""
    change = [{"op": "replace", "path": "/services/one/rate", "value": 11}]
    numbered = {"version": 40, "configuration": ALL_CONFIGURATION, "source": "as it was written"}
    rows = [
        ("GET", "/v1/health"),
        ("GET", "/v1/configuration"),
        ("PUT", "/v1/configuration", ALL_CONFIGURATION),
        ("POST", "/v1/configuration/plan", every_setting_changed()),
        ("PUT", "/v1/configuration", ALL_CONFIGURATION, {"If_Match": '"7"'}),
        ("PUT", "/v1/configuration", {**ALL_CONFIGURATION, "x": 1}),
        ("PATCH", "/v1/configuration", change, {"If_Match": '"1"', "Idempotency_Key": "k"}),
        ("POST", "/v1/configuration/patch/plan", change),
        ("POST", "/v1/configurations", numbered),
        ("POST", "/v1/configurations", {**numbered, "version": 3}),
        ("GET", "/v1/configuration"),
        ("PUT", "/v1/configuration", SMALL.configuration),
        ("POST", "/v1/origins", ORIGIN),
        ("POST", "/v1/origins/beat", {**ORIGIN, "number": 18, "load": 5}),
        ("POST", "/v1/origins/beat", {**ORIGIN, "number": 19, "cold_ms": 500}),
        ("POST", "/v1/origins/beat", {"service": "art"}),
        ("POST", "/v1/origins/drain", {"token": ORIGIN["token"]}),
        ("POST", "/v1/origins/leave", {"address": ORIGIN["address"], "service": "art"}),
        ("POST", "/v1/origins/leave", {"token": ORIGIN["token"]}),
        ("POST", "/v1/origins/leave", {}),
        ("POST", "/v1/origins", {"service": "art", "address": "127.0.0.1:9001", "zone": "a"}),
        ("POST", "/v1/origins/drain", {"address": "127.0.0.1:9001", "service": "art"}),
        ("POST", "/v1/origins/leave", {"address": "127.0.0.1:9001"}),
        ("GET", "/v1/zones/b/plan"),
        ("POST", "/v1/zones/b/empty", {"what": "origins"}),
        ("POST", "/v1/zones/b/restore"),
        (
            "POST",
            "/v1/purges",
            {"items": [{"kind": "item", "path": "/a"}, {"kind": "tag", "tag": "t"}]},
        ),
        ("POST", "/v1/purges", {"items": [{"kind": "all", "host": "a.example"}]}),
        ("POST", "/v1/purges", {"items": []}),
    ]
    return [[*row, *(None, {})[len(row) - 2 :]] for row in rows]


def history_text():
    """Return a history with every operation and outcome, as the drill writes it."""
    calls = []
    for number, operation in enumerate(Operation):
        outcome = list(Outcome)[number % len(Outcome)]
        request = Request(operation, "zone/a", number, f"c{number}")
        answer = Answer(outcome, number, f"d{number}", number % 2 == 0, number % 3 == 0)
        calls.append(
            Call(number, f"caller-{number}", request, 10 * number, 10 * number + 5, answer)
        )
    calls.append(Call(99, "lost", Request(Operation.READ, "configuration"), 1000))
    path = HERE / "history.jsonl"
    write_history(path, calls)
    return path.read_text()


def settings_cases():
    every = json.dumps(ALL_SETTINGS)
    cases = [
        ["running.json", RUNNING_EXAMPLE, {}],
        ["running.json", RUNNING_EXAMPLE, {"http": "127.0.0.1:1"}],
        ["every.json", every, {}],
        ["every.json", every, {"level": "DEBUG", "name": "other"}],
        ["held.json", json.dumps(test_settings.HELD), {}],
        ["some.yaml", "name: edge-1\nzone: a\naddress: 127.0.0.1:7000\nhttp: 127.0.0.1:8000\n"
         "seeds:\n  - 127.0.0.2:7000\npace:\n  keep: 20\n", {}],
        ["wrong.json", '{"name": "A b", "voters": 4, "unknown": 1, "pace": {"x": 1}}', {}],
    ]  # fmt: skip
    return [[*case, views.settings(*case)] for case in cases]


def main():
    platform = test_platform_config
    missing = "ip_address: 3\nrole: x\n"
    documents = [
        platform.configuration(
            {}, {"name": "r2", "host": "b.example", "route_kind": "non_idempotent"}
        ),
        platform.configuration(services=()),
        {"version": "x"},
    ]
    assert set(EVERY_SETTING) | {"service", "split"} == set(Settings.__annotations__)
    tables = json.loads((HERE / "operations-tables.json").read_text())["texts"]
    held = {
        "settings": settings_cases(),
        "platform_settings": [
            [kind, text, views.platform_settings(kind, text)]
            for kind in ("store", "registry", "proxy", "shield")
            for text in (platform.SETTINGS, missing)
        ],
        "platform_configurations": [
            [document, views.platform_configuration(document)] for document in documents
        ],
        "configurations": [
            [tree, views.configuration(tree)]
            for tree in (
                CALLS_EXAMPLE,
                ALL_CONFIGURATION,
                every_setting_changed(),
                SMALL.configuration,
                {"services": {"one": {"rate": -1, "x": 1}}, "branches": {"b": {"path": "a"}}},
            )
        ],
        "deployments": [
            [name, deployment, views.deployment(deployment)]
            for name, deployment in views.shipped_deployments().items()
        ],
        "deploy_file": views.deploy_file(),
        "history": views.history(history_text()),
        "status": {slot: views.status(text) for slot, text in tables.items()},
        "metrics": views.metrics(),
        "script": script(),
        "calls": views.calls(script()),
    }
    text = json.dumps(held, separators=(",", ":"))
    (HERE / "outside.json").write_text(text + "\n")


if __name__ == "__main__":
    main()
