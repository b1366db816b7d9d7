"""The platform's names stand in `platform/` alone, and what stands there only translates."""

import ast
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HEADERS = (
    "x-attempt-id",
    "x-deadline-remaining",
    "x-expected-instance",
    "x-origin-seal",
    "x-not-executed",
    "x-server-load",
    "x-object-tags",
    "x-instance-id",
    "x-cold-remaining",
)
CALLS = (
    "instances.heartbeat",
    "instances.deregister",
    "configuration.replace",
    "configuration.read",
    "evacuation.begin",
    "evacuation.finish",
    "/v1/rpc",
    "/v1/purge",
    "/v1/readiness",
)
FIELDS = (
    "heartbeat_target",
    "call_sequence",
    "cold_remaining",
    "traffic_split",
    "home_regions",
    "route_kind",
    "path_prefix",
    "target_latency",
    "max_attempts",
    "cache_ttl",
    "connection_limit",
    "cold_per_s",
    "rate_per_s",
    "health_path",
    "non_idempotent",
    "max_header_bytes",
    "max_body_bytes",
    "header_timeout",
    "idle_timeout",
)
SETTINGS = (
    "willowpost_config",
    "node_name",
    "machine_class",
    "ip_address",
    "listen_addresses",
    "front_http",
    "control_plane",
    "internal_port_range",
    "seed_nodes",
    "first_start",
    "loss_counted",
    "data_directory",
    "fault_tolerance",
    "retry_budget_ratio",
    "retry_budget_slack",
    "budget_window",
    "address_reuse",
    "config_apply",
    "cold_overshoot",
    "ceiling_window",
    "active_contracts",
)
NAME = re.compile(
    "|".join(
        rf"(?<![a-z0-9_.-]){re.escape(name)}(?![a-z0-9_-])"
        for name in HEADERS + CALLS + FIELDS + SETTINGS
    ),
    re.IGNORECASE,
)
# what speaks as the platform does: its stand-in, its tests, and the page that describes the way
# between
PLATFORMS = {
    "tests/support/stand_ins_platform.py",
    "docs/design/platform.md",
    # settings and documents of the platform, and what an earlier build made of them
    "tests/data/bf1d9c7/generate_outside.py",
    "tests/data/bf1d9c7/outside.json",
    "tests/platform_adapter/test_configuration_translation.py",
    "tests/platform_adapter/test_invalid_configurations.py",
    "tests/platform_adapter/test_loopback.py",
    "tests/platform_adapter/test_translation_boundary.py",
}
# the product's own names that a translation may call on: how it is started, what it is told, and
# what it answers with
MAY_IMPORT = {
    "willowpost.shell.startup_signals",
    "willowpost.shell.web",
    "willowpost.shell.structured_log",
    "willowpost.shell.field_reader",
    "willowpost.shell.process_settings",
    "willowpost.shell.serving",
    "willowpost.common.events",
    "willowpost.common.digest",
    "willowpost.proxy.daemon",
    "willowpost.proxy.frontend",
    "willowpost.proxy.routing.header_names",
    "willowpost.registry.daemon",
    "willowpost.store.daemon",
}

CODE_LINES = 627  # what the folder may hold, docstrings and blank lines aside


def code_lines(text):
    """Lines that are neither blank nor a docstring's."""
    documented = (ast.Module, ast.ClassDef, ast.FunctionDef)
    held = [
        node.body[0]
        for node in ast.walk(ast.parse(text))
        if isinstance(node, documented) and ast.get_docstring(node) is not None
    ]
    said = {line for first in held for line in range(first.lineno, first.end_lineno + 1)}
    lines = enumerate(text.splitlines(), 1)
    return sum(1 for number, line in lines if line.strip() and number not in said)


def found_in(text):
    return sorted({found[0].lower() for found in NAME.finditer(text)})


def texts():
    for folder in ("src", "tests", "docs", "deploy", ".ci"):
        for path in sorted((ROOT / folder).rglob("*")):
            if (
                path.suffix in (".py", ".md", ".json", ".toml", ".fbs", ".txt", "")
                and path.is_file()
                and "__pycache__" not in path.parts
                and ".egg-info" not in str(path)
            ):
                yield (
                    str(path.relative_to(ROOT)),
                    path.read_text(encoding="utf-8", errors="replace"),
                )


def modules():
    return {
        str(path.relative_to(ROOT)): ast.parse(path.read_text())
        for path in sorted((ROOT / "platform").rglob("*.py"))
    }


class PlatformNames(unittest.TestCase):
    def test_no_name_of_the_platforms_stands_outside_its_folder(self):
        read = dict(texts())
        self.assertGreater(len(read), 100)
        self.assertEqual(
            {},
            {
                path: found
                for path, text in read.items()
                if path not in PLATFORMS and (found := found_in(text))
            },
        )

    def test_the_search_finds_what_it_is_meant_to(self):
        for line in (
            'header("X-Attempt-Id")',
            "call=instances.heartbeat&of",
            '"traffic_split": []',
            "os.environ['WILLOWPOST_CONFIG']",
            "POST /v1/purge ",
        ):
            self.assertTrue(found_in(line), line)
        for line in ("POST /v1/purges", "x-attempt-ids", "the attempt id", "/v1/rpcs"):
            self.assertEqual([], found_in(line), line)


class OnlyTranslates(unittest.TestCase):
    def test_it_reaches_for_nothing_that_decides_or_keeps(self):
        for path, module in modules().items():
            imports = {
                name
                for node in ast.walk(module)
                for name in (
                    [node.module]
                    if isinstance(node, ast.ImportFrom) and node.module
                    else [held.name for held in node.names]
                    if isinstance(node, ast.Import)
                    else []
                )
            }
            self.assertEqual(
                set(),
                {
                    name
                    for name in imports
                    if name.startswith("willowpost") and name not in MAY_IMPORT
                },
                path,
            )

    def test_it_holds_no_state(self):
        """Only constructors set attributes; only the watch, which must know the file it has read.

        Sets them later.
        """
        for path, module in modules().items():
            for held in [
                node
                for node in ast.walk(module)
                if isinstance(node, ast.FunctionDef) and node.name != "__init__"
            ]:
                if path.endswith("adapter/watch.py"):
                    continue
                stores = [
                    node
                    for node in ast.walk(held)
                    if isinstance(node, ast.Attribute)
                    and isinstance(node.ctx, (ast.Store, ast.Del))
                ]
                shared = [
                    node for node in ast.walk(held) if isinstance(node, (ast.Global, ast.Nonlocal))
                ]
                self.assertEqual([], [(path, held.name, node.lineno) for node in stores + shared])

    def test_it_is_built_of_the_very_versions_that_are_tested(self):
        def pins(name):
            return set((ROOT / name).read_text().split())

        self.assertEqual(set(), pins("requirements.txt") - pins("requirements.lock"))

    def test_it_stays_small_and_shadows_nothing(self):
        paths = [Path(path) for path in modules()]
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())
        self.assertLess(sum(code_lines((ROOT / path).read_text()) for path in paths), CODE_LINES)
        import sys

        standard = {path.stem for path in paths if len(path.parts) == 2} & set(
            sys.stdlib_module_names
        )
        self.assertEqual(set(), standard)


if __name__ == "__main__":
    unittest.main()
