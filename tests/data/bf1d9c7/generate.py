"""Writes the data of this folder with the code of commit bf1d9c7; see README.md.

It is kept to show how the data was made. The data is never made anew with later code.
"""

import json
from dataclasses import fields, is_dataclass, replace
from pathlib import Path

from willowpost.consensus.replica.records import (
    ballot_state_record,
    bootstrap_promise_record,
    decision_record,
    found_record,
    identity_record,
    passed_record,
)
from willowpost.consensus.replica.replica_state import Pace, ReplicaState
from willowpost.shell.disk import Disk, segments_in
from willowpost.shell.segment_format import batch_of, segment_of
from willowpost.sim.core import CoreWorld
from willowpost.sim.world import seconds
from willowpost.state.apply import Apply
from willowpost.state.configuration_changes import content_digest
from willowpost.state.tables import Tables
from willowpost.wire import messages
from willowpost.wire.codec import Codec
from willowpost.wire.messages import BallotState, Command, Decision, Member

HERE = Path(__file__).resolve().parent
SOURCE = "10.1.2.3:7000"


# Frames


def content(value):
    """Return the values of a message in the order of its fields, without their names."""
    if is_dataclass(value):
        return [content(getattr(value, field.name)) for field in fields(value)]
    return [content(item) for item in value] if isinstance(value, tuple) else value


def filled(kind, number):
    """Return a message none of whose fields has its default; `number` is the least integer."""
    values = {}
    for field in fields(kind):
        number += 1
        values[field.name] = _filled_field(field, number)
    return kind(**values)


def _filled_field(field, number):
    nested = {
        "command": Command,
        "piece": messages.SnapshotPiece,
        messages.SnapshotRequest | None: messages.SnapshotRequest,
    }
    if field.type in (int, bool, str):
        return {int: number, bool: True, str: f'text é "{number}"\n'}[field.type]
    if field.name in ("states", "votes"):
        return (0, 1, 1) if field.name == "states" else (2, 1)
    if field.name == "promise":
        return ("one", "two é")
    if field.name in ("decisions", "known"):
        kind = {"decisions": Decision, "known": Member}[field.name]
        return (filled(kind, number), kind(), filled(kind, number + 50))
    return filled(nested.get(field.name) or nested[field.type], number)


def frames():
    codec, rows = Codec(), []
    for kind in messages.BODIES:
        for message in (filled(kind, 1000), kind()):
            frame = codec.encode(SOURCE, message)
            assert codec.decode(frame) == (SOURCE, message), kind
            rows.append(
                {
                    "body": messages.BODIES.index(kind),
                    "hex": frame.hex(),
                    "content": content(message),
                }
            )
    write_json("frames.json", {"source": SOURCE, "frames": rows})


# Operations


class Log:
    """Applies commands and keeps what they were and what came of them."""

    def __init__(self):
        self.tables, self.lines, self.counters = Tables(), [], {}

    def found(self, members):
        self.tables = replace(self.tables, epoch=1, core=tuple(members))

    def do(self, daemon, *ops, incarnation=100, counter=None):
        body = json.dumps(list(ops), separators=(",", ":"))
        if counter is None:
            counter = self.counters[daemon, incarnation] = (
                self.counters.get((daemon, incarnation), 0) + 1
            )
        stamp = 1_000_000 + self.tables.slot * 10
        self.decide(Command(daemon, incarnation, counter, stamp, body))
        held = self.tables.seen.get(daemon, {"answers": {}})["answers"].get(str(counter))
        return held and held[1]

    def decide(self, command):
        decision = Decision(self.tables.slot, command.key if command else "", command)
        self.tables = Apply().step(self.tables, decision)
        self.lines.append({**decision_record(decision), "digest": self.tables.digest()})

    def write(self, name, texts):
        text = "\n".join(json.dumps(line, separators=(",", ":")) for line in self.lines)
        (HERE / f"{name}.jsonl").write_text(text + "\n")
        write_json(f"{name}-tables.json", texts)


def member(identity, zone, address=None, name=None):
    return {
        "identity": identity,
        "name": name or identity,
        "zone": zone,
        "address": address or f"{identity}:1",
    }


def card(identity, zone, kind="store", incarnation=1, address=None, name=None):
    return {
        "id": identity,
        "kind": kind,
        "role": "core",
        "name": name or identity,
        "zone": zone,
        "address": address or f"{identity}:1",
        "http": f"{identity}:2",
        "incarnation": incarnation,
    }


def join(*args, **more):
    return {"op": "join", "daemon": card(*args, **more)}


def suspect(target, watcher, suspected=True, incarnation=1):
    return {
        "op": "suspicion",
        "target": target,
        "incarnation": incarnation,
        "watcher": watcher,
        "suspected": suspected,
    }


def register(address, service="shop", zone="a", **more):
    return {
        "op": "register",
        "address": address,
        "service": service,
        "zone": zone,
        "rate": 100.0,
        "cold_rate": 10.0,
        **more,
    }


def turn(state, **more):
    return {"op": "turn", "state": state, **more}


TREE = {
    "services": {
        "shop": {"rate": 100, "cold_rate": 10},
        "named": {"named": True},
        "plain": {},
    },
    "branches": {"one": {"host": "a.example"}, "two": {"host": "b.example"}},
}
SOURCE_TEXT = '{"branches":{"one":{"host":"a.example"},"two":{"host":"b.example"}}}'


def configuration(**more):
    return {"op": "configuration", **more}


def configurations(log):
    do = lambda *ops: log.do("reg", *ops)  # noqa: E731
    do(configuration(patch="p", content="c"))  # no configuration
    do(configuration(version=3, tree=TREE, source=SOURCE_TEXT))
    do(configuration(version=3, tree=TREE, source=SOURCE_TEXT))  # again
    do(configuration(version=3, tree={"services": {}}))  # another content
    do(configuration(version=2, tree={}), configuration(version=1))
    do(configuration(tree={**TREE, "x": 1}, key="k1"))  # the next number
    do(configuration(tree={**TREE, "x": 1}, key="k1"))  # again by its key
    do(configuration(tree={**TREE, "x": 2}, key="k1"))  # key reused
    do(configuration(tree={**TREE, "x": 3}, if_match=4, as_of_version=1))
    do(configuration(tree={**TREE, "x": 3}, if_match=4))  # again by its content
    do(configuration(tree={**TREE, "x": 4}, if_match=4))  # stale
    do(configuration(tree={**TREE, "x": 5}, as_of_version=2))  # superseded
    do(configuration(tree={**TREE, "x": 5}, as_of_version=5))
    whole = {**TREE, "x": 6}
    do(configuration(tree=whole, patch="pp", key="k2", content=content_digest(whole, None)))
    do(configuration(patch="pp", key="k2"), configuration(patch="qq", key="k2"))
    base = content_digest(whole, None)
    changed = {**TREE, "x": 7}
    delta = {
        "base": base,
        "tree_delta": {"set": {"x": 7}},
        "content": content_digest(changed, None),
    }
    do(configuration(**delta))
    do(configuration(**delta))  # its base is not in force any more
    nested = {
        "base": content_digest(changed, None),
        "tree_delta": {
            "into": {
                "branches": {"drop": ["two"], "into": {"one": {"set": {"host": "c.example"}}}}
            },
            "drop": ["x"],
        },
        "source_delta": ["new text"],
        "content": "0" * 32,
    }
    do(configuration(**nested, version=20))
    do(configuration(base="0" * 32, tree_delta={"into": {"none": {}}}))  # malformed: KeyError
    do(
        configuration(
            base="0" * 32,
            tree_delta={"set": {"services": TREE["services"]}},
            source_delta=[[0, 3], " more"],
            content="1" * 32,
            if_match=20,
        )
    )
    do(configuration(version=19, tree={"never": "seen"}))
    do(configuration(version=2**63 - 1, tree=TREE))
    do(configuration(tree={}))  # no number left


def origins(log):
    do = lambda *ops: log.do("reg", *ops)[0]  # noqa: E731
    name = do(register("o1:1"))["origin"]
    do(register("o2:1", cold=False, token="t2", slots=4, number=1))
    do(register("o2:1", cold=False, token="t2"))  # again
    do(register("o2:1", token="t2", state="draining"))  # again, and drains
    do(register("o2:1", token="t2", state="draining"))
    do(register("o3:1", "named", "b", cold=True, token="t3"), register("o3:2", "plain", "b"))
    do(register("o3:1", "plain", "b", token="t3b"))  # moved: waits
    do(register("o3:1", "plain", "b", token="t3c"))  # still waits
    do(register("o3:2", "named", "b", state="draining"))  # named services do not wait
    do(register("o3:2", "shop", "b", as_of=1))  # superseded
    do(register("o3:2", "shop", "b", as_of=10**6))
    do(register("o4:1", token="t3b"))  # an ended token
    do(turn("cold", token="t3c"))
    do(turn("warm", origin=name), turn("warm", origin=name), turn("waiting", origin=name))
    do(turn("cold", origin=name, number=5, told=True), turn("warm", origin=name, number=5))
    do(turn("warm", origin=name, number=6, as_of=log.tables.slot - 1))  # turned cold since
    do(turn("warm", origin=name, number=7, as_of=log.tables.slot + 1))
    do(turn("warm", origin=name, by="reg"), turn("draining", origin=name, by="nobody"))
    do(turn("gone", origin="none"), turn("gone", token="t3b"), turn("gone", token="none"))
    do(turn("nonsense", origin=name))
    do(turn("gone", token="t3c", silent=True))
    do(turn("gone", token="t2", silent=True))  # it drained: its incarnation ends
    do(register("o5:1", token="t5"), turn("gone", token="t5"), register("o5:1", token="t5"))
    do(
        register("o6:1", token="t6"),
        register("o6:2", token="t6"),
        register("o6:2", "named", token="t6"),
    )
    do({"op": "end", "token": "t6"}, {"op": "end", "token": "t6"}, {"op": "end", "token": "never"})
    do({"op": "end"}, {"op": "register"}, {"op": "turn", "origin": name})
    do(
        register("o7:1", cold=False),
        register("o7:2", "named", cold=False),
        register("o7:3", zone="z"),
    )


def zones(log):
    do = lambda *ops: log.do("reg", *ops)  # noqa: E731
    zone = lambda name, empty, **more: {"op": "zone", "zone": name, "empty": empty, **more}  # noqa: E731
    do(zone("a", True, what="origins"))
    do(zone("a", False))  # restored: origins turn cold
    do(zone("b", True))
    do(zone("b", True, as_of=1), zone("b", False, as_of=1))  # stands; superseded
    do(zone("b", False, as_of=10**6))
    do(zone("c", False), {"op": "zone", "zone": "c"})
    do(
        *(
            {"op": "purge", "host": "a.example", "kind": kind, "path": f"/{kind}"}
            for kind in ("item", "prefix", "all", "tag")
        ),
        {"op": "purge", "kind": "all"},
        {"op": "purge"},
    )
    own = lambda owner, fence: {"op": "own", "key": "service/shop", "owner": owner, "fence": fence}  # noqa: E731
    do(own("p1", 0), own("p2", 0), own("p2", 1), {"op": "own", "key": "x"})


def daemons(log):
    do = lambda *ops: log.do("reg", *ops)  # noqa: E731
    stores = ("s0", "s1", "s2")
    do(*(join(name, zone) for name, zone in zip(stores, "abc", strict=True)))
    do(join("reg", "a", "registry"), join("p1", "b", "proxy"))
    do(join("reg", "a", "registry"))  # known
    do(
        {"op": "epoch_opened", "epoch": 1},
        {"op": "epoch_opened", "epoch": 9},
        {"op": "epoch_opened"},
    )
    do(
        suspect("none", "s0"),
        suspect("p1", "p1"),
        suspect("p1", "none"),
        suspect("p1", "s0", incarnation=7),
    )
    do(suspect("p1", "s0"), suspect("p1", "s0"), suspect("p1", "s1"))  # lost
    do(suspect("s0", "p1"), suspect("s0", "p1", False))  # its watcher is lost
    do(suspect("p1", "s0", False), suspect("p1", "s1", False))  # back
    do(suspect("p1", "s0"), suspect("p1", "s1"), join("p1", "b", "proxy"))  # suspected yet
    do(suspect("s1", "s0"), {"op": "leave", "id": "s0x", "incarnation": 1})
    do(join("p2", "b", "proxy"), suspect("p2", "s0"), {"op": "leave", "id": "p2", "incarnation": 2})
    do({"op": "leave", "id": "p2", "incarnation": 1})
    do(join("p1", "b", "proxy", incarnation=2), join("p3", "b", "proxy", address="p1:1"))
    do({"op": "drain", "id": "p3", "incarnation": 2}, {"op": "drain", "id": "p3", "incarnation": 1})
    do({"op": "drain", "id": "none", "incarnation": 1}, {"op": "drain"})
    do(join("w1", "a", "proxy"), join("w2", "a", "proxy"), suspect("p3", "w1"), suspect("p3", "w2"))
    do({"op": "leave", "id": "w1", "incarnation": 1}, {"op": "leave", "id": "w2", "incarnation": 1})
    do(join("p3", "b", "proxy", address="p1:1"))  # nobody suspects it any more
    swap = lambda old, new: {"op": "replace_voter", "old": old, "new": new}  # noqa: E731
    do(join("l1", "c"), join("l2", "a"), join("l3", "b"))
    do(swap("none", member("l1", "c")), swap("s0", member("s1", "b")))
    do(swap("s0", member("gone", "c")), swap("s0", member("l1", "c")))  # not up; not lost
    do({"op": "drain", "id": "s0", "incarnation": 1}, swap("s0", member("l1", "c")))  # zone
    do(swap("s0", member("l2", "a")), swap("s1", member("l3", "b")))  # done; once in a slot
    do(suspect("s1", "l2"), suspect("s1", "l3"), swap("s1", member("l3", "b")))  # lost and replaced
    do(join("m2", "c", address="s2:1"), swap("s2", member("m2", "c", "s2:1")))  # its own address
    offer = lambda learner, most=5, incarnation=1: {  # noqa: E731
        "op": "add_voters",
        "learner": learner,
        "incarnation": incarnation,
        "most": most,
    }
    do(offer("none"), offer("l2"), offer("p3"), offer("l1", incarnation=2))
    do(join("l4", "a"), offer("l1", most=3), offer("l4"))
    do(
        suspect("l1", "l2"),
        suspect("l1", "l3"),
        suspect("l1", "l2", False),
        suspect("l1", "l3", False),
    )
    do(offer("l1"))  # the second one: accepted
    do(join("n1", "a"), join("n2", "b"), offer("n1", 7))
    do({"op": "drain", "id": "m2", "incarnation": 1}, offer("n2", 7))  # the core is not whole
    do({"op": "unknown"}, {}, 7, None, "text", [], {"op": "join"}, {"op": "join", "daemon": 3})
    do({"op": "replace_voter"}, {"op": "add_voters"}, {"op": "suspicion"}, {"op": "leave"})


def commands(log):
    log.decide(None)
    again = Command("reg", 100, 1, 5, "[]")
    log.decide(again)  # it ran already
    log.do("reg", {"op": "purge", "kind": "all"}, incarnation=99, counter=1)  # an older incarnation
    log.do("gaps", {"op": "purge", "kind": "all"}, counter=7)
    log.do("gaps", {"op": "purge", "kind": "all"}, counter=5)
    for _ in range(70):
        log.do("many", {"op": "epoch_opened", "epoch": 1})
    log.do("many", {"op": "purge", "kind": "all"}, counter=2)  # below the floor
    log.do("many", incarnation=101)
    for number in range(258):
        log.do(f"absent-{number}", incarnation=10 + number)
    log.do("absent-0", {"op": "purge", "kind": "all"}, incarnation=10)  # barred: forgotten
    log.do("stranger", {"op": "purge", "kind": "all"}, incarnation=1)
    log.do("stranger", {"op": "purge", "kind": "all"}, incarnation=1000)


def operations():
    log, texts = Log(), {}
    log.found(member(f"s{number}", zone) for number, zone in enumerate("abc"))
    start = log.tables.text()
    for part in (daemons, configurations, origins, zones, commands):
        part(log)
        texts[str(log.tables.slot)] = log.tables.text()
    log.write("operations", {"start": start, "texts": texts})
    limits = Log()
    limits.found([member("s0", "a")])
    start = limits.tables.text()
    for _ in range(9):
        limits.do("reg", *[{"op": "purge", "kind": "all"}] * 512)
    for first in range(0, 2100, 700):
        limits.do("reg", *({"op": "end", "token": f"t{n}"} for n in range(first, first + 700)))
    for first in range(1, 1051, 350):
        limits.do("reg", *(configuration(version=n, tree={}) for n in range(first, first + 350)))
    limits.write("limits", {"start": start, "texts": {}})
    return log


# Store folders


def state_of(records):
    first = records[0]
    me = Member(first["identity"], first["name"], first["zone"], first["address"])
    state = ReplicaState(me)
    state.restore(records, 0)
    return state


def store(name, batches, torn=b""):
    """Write a folder: its first batch as a segment, the others appended, and a torn tail."""
    folder = HERE / "stores" / name / "data"
    disk = Disk(str(folder))
    disk.rotate(batches[0])
    for batch in batches[1:]:
        disk.append(batch)
    with open(folder / segments_in(str(folder))[-1], "ab") as file:
        file.write(torn)
    state = state_of([record for batch in batches for record in batch])
    (folder.parent / "tables.json").write_text(state.tables.text())
    (folder.parent / "rewritten.wp").write_bytes(segment_of(state.segment()))
    return state


def hand_made_stores():
    core = [member(f"s{number}", zone) for number, zone in enumerate("abc")]
    me = Member(**core[0])
    cards = tuple(json.dumps(one, sort_keys=True) for one in core)
    first = [identity_record(me), bootstrap_promise_record(cards)]
    store("promised", [first])
    purge = json.dumps([{"op": "purge", "kind": "item", "host": "é.example", "path": "/a"}])
    one, two = (Command("p", 7, number, 1000 + number, purge) for number in (1, 2))
    ballots = [
        BallotState("s0", 1, 0, one.key, one, (1,), (1,), agreed=one.key),
        BallotState("s0", 1, 1, "", None, (0,), ()),
        BallotState("s0", 1, 2, two.key, two, (1,), ()),
        BallotState("s0", 1, 2, two.key, two, (1, 0), (2, 0), agreed=two.key),
    ]
    batches = [
        [*first, found_record(core)],
        [passed_record(1), ballot_state_record(ballots[0], True)],
        [decision_record(Decision(0, one.key, one), whole=False)],
        [ballot_state_record(ballots[1], True), decision_record(Decision(1, "", None))],
        [ballot_state_record(ballots[2], True)],
        [ballot_state_record(ballots[3], False)],
    ]
    voting = store("voting", batches)
    batches.append([decision_record(Decision(2, two.key, two))])
    decided = store("decided", batches)
    store("torn", batches, batch_of([passed_record(2), passed_record(3)])[:-9])
    decided.log_floor, decided.passed = 1, 1
    del decided.log[0]
    three = Command("p", 7, 3, 1003, "[]")
    more = [[decision_record(Decision(3, three.key, three))], [passed_record(2)]]
    store("snapshot", [decided.segment(), *more])
    store("snapshot-voting", [voting.segment()])
    earlier = ballot_state_record(ballots[2], True)
    del earlier["agreed"]
    store("earlier-ballot-state", [[*first, found_record(core)], [earlier | {"slot": 0}]])


def simulated_stores():
    """A fleet with a caller; one store loses its disk, joins anew and replaces its former self."""
    world = CoreWorld(5, zones=("a", "b", "c"), pace=Pace(keep=16, rotate=40))
    world.add_caller("caller", ["s0", "s1", "s2"])
    world.until(world.bootstrapped, seconds(10))
    for number in range(60):
        world.ask("caller", {"op": "purge", "kind": "item", "host": "h", "path": f"/{number}"})
        world.run(seconds(0.05))
    world.crash("s1", lose_disk=True)
    world.run(seconds(5))
    world.start("s1")
    world.run(seconds(10))
    for number in range(25):
        world.ask("caller", register(f"o{number}:1"))
        world.run(seconds(0.05))
    world.run(seconds(2))
    for name in ("s0", "s1", "s2"):
        records = [json.loads(json.dumps(record)) for record in world.seats[name].disk.records]
        store(f"simulated-{name}", [records[:1], *([record] for record in records[1:])])
    print("core", [one["identity"] for one in world.seats["s0"].node.node_state.tables.core])


def write_json(name, value):
    (HERE / name).write_text(json.dumps(value, indent=1, sort_keys=True) + "\n")


def main():
    frames()
    log = operations()
    print("slots", log.tables.slot)
    hand_made_stores()
    simulated_stores()


if __name__ == "__main__":
    main()
