"""Renames the words of the withdrawn house style in code, settings, calls, schema and docs.

Each word becomes the field's standard term.

Usage: ``python tools/rename_identifiers.py ROOT``, once, on a tree that still has the old words.
The script stays in the repository until the pieces of work that are parked in history have been
taken in (it is run on them first) or dropped.

How it works: every Python NAME token is split into its words (``chosenOrigin`` -> ``chosen``,
``origin``), each word is looked up, and the name is joined again in the convention it had
(snake_case, PascalCase or UPPER_CASE; camelCase becomes snake_case). Strings without blanks (keys,
paths, record kinds) are treated alike; prose in comments, docstrings, messages and Markdown gets
only those words that are unambiguous there. Files and folders follow the names of their modules.
"""

import io
import json
import re
import subprocess
import sys
import tokenize
from pathlib import Path

# Names of libraries, and of generated code, that stay as they are.
FOREIGN = {
    "addCleanup", "addHandler", "assertAlmostEqual", "assertEqual", "assertFalse", "assertGreater", "assertGreaterEqual",
    "assertIn", "assertIs", "assertIsNone", "assertIsNotNone", "assertLess", "assertLessEqual", "assertNotEqual",
    "assertNotIn", "assertRaises", "assertRaisesRegex", "assertRegex", "assertTrue", "bodyType", "defaultTestLoader",
    "doCleanups", "loadTestsFromName", "setFormatter", "setLevel", "setUp", "setUpClass", "subTest", "testsRun",
    "nCache", "nConnection", "nContent", "nETag", "nHost", "nOne", "nSingle", "nThe", "nTransfer", "nWp", "sA", "zA",
    "under_way", "BASE", "groupby", "Gateway", "always", "ALWAYS",
}  # fmt: skip

# word -> words; looked up in every part of every identifier
WORDS = {
    "picture": "snapshot", "pictures": "snapshots", "props": "settings", "breakdown": "failure", "layout": "configuration",
    "layouts": "configurations", "soundness": "health", "occupancy": "load", "stance": "ballot_state", "stances": "ballot_states",
    "vow": "bootstrap_promise", "vows": "bootstrap_promises", "vowed": "promised", "founding": "bootstrap",
    "founder": "member", "founders": "members", "founded": "bootstrapped", "knock": "instance_check", "knocks": "instance_checks",
    "knocked": "instance_checked", "knocking": "instance_checks", "question": "quorum_read", "news": "state_update",
    "forsaken": "without_source", "clerk": "command_client", "desk": "control_api", "doubt": "suspicion",
    "doubts": "suspicions", "doubted": "suspected", "doubters": "suspecting", "generation": "version",
    "generations": "versions", "presser": "sender", "pressers": "senders", "hands": "request_io",
    "ghosts": "simulated_peers", "hollow": "lightweight", "blow": "fault", "blows": "faults", "storm": "fault_schedule",
    "storms": "fault_schedules", "calm": "bounded", "shed": "reject", "sheds": "rejects", "way": "route", "ways": "routes",
    "draw": "pick", "drawn": "picked", "draws": "picks", "drawing": "picking", "group": "service", "groups": "services",
    "board": "node_state", "boards": "node_states", "life": "incarnation", "lives": "incarnations", "lifetime": "lifetime",
    "losses": "failure_verdicts", "swap": "replace_voter", "ripe": "warmed_up", "underway": "in_flight",
    "marks": "synced_indexes", "standin": "stand_ins", "delivered": "forwarded", "delivers": "forwards",
}  # fmt: skip

# whole identifiers whose words would mislead
NAMES = {
    "StoreBoard": "ReplicaState", "FollowBoard": "NodeState", "ProxyBoard": "ProxyState", "Stance": "BallotState",
    "Ballot": "BallotValue", "Founder": "Member", "founders_of": "members_of", "foundersAreSeeds": "bootstrap_from_seeds",
    "mayFound": "may_bootstrap", "foundedAt": "bootstrapped_addresses", "votersMost": "max_voters", "found": "found",
    "Founding": "Bootstrap", "Founders": "Members", "founds": "may_bootstrap", "_founds": "_may_bootstrap",
    "News": "StateUpdate", "NEWS_MOST": "DECISIONS_MAX", "Question": "QuorumRead", "Doubt": "Suspicion",
    "DOUBT_AFTER": "SUSPECT_AFTER", "DOUBTS_NEEDED": "SUSPICIONS_NEEDED", "FORSAKEN_AFTER": "WITHOUT_SOURCE_AFTER",
    "Mark": "SyncedIndex", "hear_mark": "hear_synced_index", "markedAt": "synced_index_sent_at", "LOSSES_KEPT": "FAILURE_VERDICTS_KEPT",
    "Shed": "Rejected", "ShedPlan": "RejectPlan", "OriginDraw": "OriginPicker", "GroupDraw": "ServicePicker",
    "GroupCard": "ServiceCard", "WayPicture": "RoutingSnapshot", "WayProps": "RouteSettings", "WayTable": "RouteTable",
    "PictureMaker": "SnapshotMaker", "PictureKeeper": "SnapshotKeeper", "Breakdown": "ExchangeFailure",
    "SoundnessPage": "HealthPage", "soundnessPath": "health_check_path", "ShareAsk": "QuotaShareAsk",
    "ShareTell": "QuotaShareTell", "ShareOwner": "QuotaShareOwner", "ShareTaker": "QuotaShareTaker",
    "TokenAsk": "AdmissionTokenAsk", "TokenTell": "AdmissionTokenTell", "TokenOwner": "AdmissionTokenOwner",
    "TokenTaker": "AdmissionTokenTaker", "TokenWanted": "AdmissionTokenWanted", "base_share": "base_quota_of",
    "BASE_PART": "BASE_QUOTA_PART", "base_parts": "base_quota_parts", "PER_PRESSER": "RATE_PER_SENDER",
    "CalmStorm": "BoundedFaultSchedule", "Calm": "BoundedFaults", "calm": "bounded", "SimHands": "SimRequestIO",
    "Ghosts": "SimulatedPeers", "HollowFleet": "LightweightFleet", "Hollow": "Lightweight", "Clerk": "CommandClient",
    "Desk": "ControlApi", "Knock": "InstanceCheck", "grow": "add_voters", "grown": "with_voters_added",
    "grows": "voter_offer", "_may_grow": "_may_add_voters", "Joined": "Joined", "DaemonProps": "DaemonSettings",
    "PaceProps": "PaceSettings", "BudgetProps": "BudgetSettings", "Props": "Settings", "seedCores": "seed_cores",
    "saidAt": "sent_at", "heardOf": "heard_of", "inForce": "in_force", "lookedAt": "looked_at", "test_calm": "test_bounded_faults",
    "test_draw": "test_picker", "test_core_storms": "test_core_fault_schedules", "LARGE_WAYS": "LARGE_ROUTES",
    "cut_one_way": "cut_one_way", "home_dies": "home_dies", "Token": "Token", "WAY": "ROUTE", "GROUP": "SERVICE",
    "GROUPS": "SERVICES", "LIFE": "INCARNATION", "same_life": "same_incarnation", "TokenHeader": "TokenHeader",
    "lossy": "lossy", "Away": "Away", "away": "away", "underway": "in_flight", "awaited": "awaited",
    "wholeMost": "whole_max", "bodyMost": "body_max", "sA": "sA", "zA": "zA", "clockBase": "clock_base",
    "test_a_split_takes_the_place_of_a_group_and_the_other_way_round": "test_a_split_takes_the_place_of_a_service_and_vice_versa",
    "test_the_core_split_every_way": "test_the_core_split_in_every_shape", "OCCUPANCY": "LOAD", "SOUNDNESS": "HEALTH",
    "test_no_way_in_accepts_an_invalid_layout": "test_no_call_accepts_an_invalid_configuration",
    "test_a_request_under_way_is_waited_for_and_no_longer_than_the_spans": "test_a_request_in_flight_is_waited_for_and_no_longer_than_the_spans",
    "test_without_heed_of_the_drain_what_is_under_way_is_lost": "test_without_heed_of_the_drain_what_is_in_flight_is_lost",
    "test_without_the_drain_requests_under_way_are_dropped": "test_without_the_drain_requests_in_flight_are_dropped",
}  # fmt: skip

# file (by the end of its old path) -> word or name -> new one
ROTATES = {
    "turn": "rotate",
    "turns": "rotates",
    "turned": "rotated",
    "turnedAt": "rotated_at",
    "generation": "segment",
    "generations": "segments",
}
VERDICTS = {"loss": "failure_verdict"}
SYNCED = {"mark": "synced_index"}
BY_FILE = {
    "common/plan.py": ROTATES, "shell/disk.py": ROTATES, "shell/runner.py": ROTATES, "store/daemon.py": ROTATES,
    "consensus/replica/board.py": ROTATES | SYNCED, "consensus/replica/catchup.py": ROTATES | SYNCED,
    "consensus/replica/compaction.py": ROTATES, "consensus/replica/records.py": ROTATES,
    "consensus/replica/founding.py": ROTATES, "consensus/replica/voting.py": ROTATES,
    "consensus/replica/reads.py": ROTATES, "sim/world.py": ROTATES, "sim/rules.py": ROTATES,
    "shell/props.py": {"mark": "synced_index", "turn": "rotate"}, "tests/shell/test_disk.py": ROTATES,
    "sim/core.py": ROTATES, "sim/fleet/nodes.py": ROTATES,
    "node/follower.py": {"turn": "source_index", "turnedAt": "source_changed_at"},
    "node/watch.py": {"life": "incarnation_id", "lives": "incarnation_ids"},
    "node/board.py": {"life": "incarnation_id"},
    "state/apply/core.py": VERDICTS, "state/apply/membership.py": VERDICTS, "store/repair.py": VERDICTS,
    "registry/status.py": VERDICTS, "sim/storms.py": {}, "toolbox/planner.py": VERDICTS,
    "proxy/admission/shares.py": {"share": "quota_share", "shares": "quota_shares", "base": "base_quota"},
    "proxy/admission/buckets.py": {"share": "quota_share", "shares": "quota_shares", "base": "base_quota"},
    "proxy/admission/tokens.py": {"share": "quota_share", "shares": "quota_shares"},
    "drill/capacity/hollow.py": {"turnedAt": "rotated_at", "generation": "segment"},
    "platform/adapter/settings.py": {"groups": "groups", "props": "values"},
    "platform/adapter/control.py": {"turn": "action"},
    "platform/adapter/names.py": {},
    "drill/losses.py": {"losses": "losses"}, "drill/script.py": {"losses": "losses"}, "drill/main.py": {"losses": "losses"},
}  # fmt: skip

# the same, but only for names, not for strings: there they are another party's words
NAMES_BY_FILE = {"platform/adapter/configuration.py": {"service": "entry", "services": "entries"}}

# unambiguous words of running text
PROSE = {
    "picture": "snapshot", "pictures": "snapshots", "props": "settings", "layout": "configuration", "layouts": "configurations",
    "soundness": "health", "occupancy": "load", "stance": "ballot state", "stances": "ballot states", "clerk": "command client",
    "presser": "sender", "pressers": "senders", "breakdown": "failure", "breakdowns": "failures", "knock": "instance check",
    "knocks": "instance checks", "vow": "bootstrap promise", "vows": "bootstrap promises", "doubt": "suspicion",
    "doubts": "suspicions", "doubted": "suspected", "generation": "version", "generations": "versions",
    "blackboard": "shared state", "group": "service", "groups": "services", "storm": "fault schedule",
    "storms": "fault schedules", "blow": "fault", "blows": "faults", "ghosts": "simulated peers", "hollow": "lightweight",
    "ripe": "warmed up", "sheds": "rejects", "shed": "reject", "news": "state updates", "forsaken": "without a source",
    "drawn": "picked", "swap": "replacement", "founders": "bootstrap members", "ways": "routes",
}  # fmt: skip
PROSE_NAMES = {
    name: new
    for name, new in NAMES.items()
    if re.search(r"[a-z][A-Z]|_", name) or (name[0].isupper() and len(name) > 5)
}
DOTTED = (
    ("consensus.replica.node_state", "consensus.replica.replica_state"), ("willowpost.proxy.node_state", "willowpost.proxy.proxy_state"),
    ("proxy.route.", "proxy.routing."), ("sim.fleet.bounded", "sim.fleet.bounded_faults"),
    ("proxy.admission.quota_shares", "proxy.admission.shares"), ("proxy.admission.shares", "proxy.admission.quota_shares"),
    ("proxy.admission.tokens", "proxy.admission.admission_tokens"), ("proxy/admission/shares.py", "proxy/admission/quota_shares.py"),
    ("proxy/admission/tokens.py", "proxy/admission/admission_tokens.py"),
    ("consensus/replica/node_state.py", "consensus/replica/replica_state.py"), ("proxy/node_state.py", "proxy/proxy_state.py"),
    ("proxy/route/", "proxy/routing/"), ("sim/fleet/bounded.py", "sim/fleet/bounded_faults.py"),
)  # fmt: skip
OWN_NAMES = {"desk"}
FENCE_KEY = re.compile(r"""(["'])share/""")
PART = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+|\d+")
WORD = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")
CAMEL = re.compile(r"[a-z0-9][A-Z]")


def renamed(name: str, local: dict[str, str]) -> str:
    """The new form of one identifier."""
    if name in FOREIGN or name.startswith("__"):
        return name
    if name in local:
        return local[name]
    if name in NAMES:
        return NAMES[name]
    parts = PART.findall(name)
    mapped = [local.get(part.lower(), WORDS.get(part.lower(), part.lower())) for part in parts]
    camel = bool(CAMEL.search(name)) and name.lstrip("_")[:1].islower()
    if not camel and mapped == [part.lower() for part in parts]:
        return name
    lead = name[: len(name) - len(name.lstrip("_"))]
    tail = "_" if name.endswith("_") and name.strip("_") else ""
    if name.isupper():
        return lead + "_".join(mapped).upper() + tail
    if name.lstrip("_")[:1].isupper():
        return (
            lead + "".join(word.capitalize() for part in mapped for word in part.split("_")) + tail
        )
    return lead + "_".join(mapped) + tail


def prose(text: str, local: dict[str, str]) -> str:
    """Running text: unambiguous words, and identifiers that can be told by their form."""

    def one(found: re.Match) -> str:
        word = found[0]
        if word in FOREIGN:
            return word
        if word in PROSE_NAMES or (CAMEL.search(word) and word[0].islower()):
            return renamed(word, local)
        lower = word.lower()
        new = (
            "segment" + lower[10:]
            if lower.startswith("generation") and local.get("generation")
            else PROSE.get(lower)
        )
        if new is None:
            return word
        return new.capitalize() if word[0].isupper() else new

    return WORD.sub(one, text)


def string(token: str, local: dict[str, str]) -> str:
    """A string literal: a key or path like a name, anything with blanks like prose.

    Replacement fields like code.
    """
    prefix = re.match(r"[A-Za-z]*", token)[0]
    quote = (
        token[len(prefix) :][:3]
        if token[len(prefix) :][:3] in ('"""', "'''")
        else token[len(prefix)]
    )
    body = token[len(prefix) + len(quote) : -len(quote)]
    words = (
        (lambda text: prose(text, local))
        if re.search(r"\s", body)
        else (lambda text: WORD.sub(lambda found: renamed(found[0], local), text))
    )
    if "f" not in prefix.lower():
        return prefix + quote + words(body) + quote
    out, depth, start = "", 0, 0
    for at, letter in enumerate(body):
        if letter == "{":
            if depth == 0:
                out, start = out + words(body[start:at]), at
            depth += 1
        elif letter == "}" and depth:
            depth -= 1
            if depth == 0:
                out, start = out + code(body[start : at + 1], local), at + 1
    return prefix + quote + out + words(body[start:]) + quote


def code(text: str, local: dict[str, str]) -> str:
    """Source text within a replacement field."""
    return re.sub(
        r"'[^']*'|\"[^\"]*\"|[A-Za-z_]\w*",
        lambda found: string(found[0], local) if found[0][0] in "'\"" else renamed(found[0], local),
        text,
    )


def module(source: str, local: dict[str, str], names: dict[str, str]) -> str:
    """A whole Python module."""
    lines = source.splitlines(keepends=True)
    starts = [0]
    for line in lines:
        starts.append(starts[-1] + len(line))
    out, last = [], 0
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        begin, end = (
            starts[token.start[0] - 1] + token.start[1],
            starts[token.end[0] - 1] + token.end[1],
        )
        if token.type == tokenize.NAME:
            new = renamed(token.string, local | names)
        elif token.type == tokenize.STRING:
            new = string(token.string, local)
        elif token.type == tokenize.COMMENT:
            new = prose(token.string, local)
        else:
            continue
        out += [source[last:begin], new]
        last = end
    return FENCE_KEY.sub(r"\1quota_share/", dotted("".join(out) + source[last:])).replace(
        "wp-life", "wp-incarnation"
    )


def dotted(text: str) -> str:
    """Modules that their package's name would make ambiguous."""
    for old, new in DOTTED:
        text = re.sub(
            rf"(?<![\w.]){re.escape(old)}"
            if "/" in old and not old.startswith("consensus")
            else re.escape(old) + ("" if old.endswith((".", "/")) else r"(?!\w)"),
            new,
            text,
        )
    return text


def markdown(text: str) -> str:
    """Prose outside code spans, names within them."""
    pieces = re.split(r"(```.*?```|`[^`\n]*`|^    .*$)", text, flags=re.S | re.M)
    return dotted(
        "".join(
            WORD.sub(lambda found: renamed(found[0], {}), piece)
            if piece.startswith(("`", "    "))
            else prose(piece, {})
            for piece in pieces
        )
    )


def table(value):
    """A JSON document: its keys, but for those that are a deployment's own names; and nothing else."""
    if isinstance(value, dict):
        return {
            name if name in OWN_NAMES else renamed(name, {}): table(held)
            for name, held in value.items()
        }
    return [table(held) for held in value] if isinstance(value, list) else value


def path_of(path: str) -> str:
    """Where a module or page stands afterwards."""
    folder, _, name = path.rpartition("/")
    stem, dot, ending = name.partition(".")
    if path.endswith("drill/losses.py"):
        return path
    parts = [
        renamed(part, {}) if part not in ("common", "docs") else part for part in folder.split("/")
    ]
    return dotted("/".join([*parts, renamed(stem, {}) + dot + ending]))


def main(root: Path) -> None:
    """Renames everything under src, platform, tests, docs and deploy."""
    tracked = subprocess.run(
        ["git", "ls-files"], cwd=root, capture_output=True, text=True, check=True
    ).stdout.split()
    for path in tracked:
        if not path.startswith(
            ("src/", "platform/", "tests/", "docs/", "README", "CONTRIBUTING")
        ) or path.endswith("generated.py"):
            continue
        file, local = (
            root / path,
            next((held for end, held in BY_FILE.items() if path.endswith(end)), {}),
        )
        text = file.read_text()
        if path.endswith(".py"):
            names = next((held for end, held in NAMES_BY_FILE.items() if path.endswith(end)), {})
            file.write_text(module(text, local, names))
        elif path.endswith(".md") and not path.startswith("docs/incidents"):
            file.write_text(markdown(text))
        elif path.endswith(".fbs"):
            file.write_text(WORD.sub(lambda found: renamed(found[0], {}), text))
        elif path.endswith(".json"):
            file.write_text(json.dumps(table(json.loads(text)), indent=2) + "\n")
        new = (
            path_of(path)
            if path.endswith((".py", ".json")) and not path.startswith("docs")
            else path
        )
        if new != path:
            (root / new).parent.mkdir(parents=True, exist_ok=True)
            subprocess.run(["git", "mv", path, new], cwd=root, check=True)


if __name__ == "__main__":
    main(Path(sys.argv[1]).resolve())
