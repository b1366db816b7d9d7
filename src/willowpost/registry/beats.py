"""Origins' beats, and the duty of saying when one has fallen silent. Soft state: rebuilt from those who beat."""
from willowpost.common.clock import MILLI, SECOND
from willowpost.common.events import Asked, Received, Tick
from willowpost.common.plan import Plan
from willowpost.common.rendezvous import Rendezvous
from willowpost.wire.messages import Beat

LOOK_EVERY = 100 * MILLI
ENTER_AFTER = 2_500 * MILLI     # longer than any lease plus the grace of a request under way
DEFAULT_SILENT = 6 * SECOND
ASK_EVERY = 1 * SECOND
PROBES_FAILED = 2


class Beats:
    """Invariants: only the origin's owner among the live registries proposes for it;
    silence counts from the later of the last beat, our own start, and the moment the duty came to us."""

    def __init__(self, board, clerk, probe):
        self.board = board
        self.clerk = clerk
        self.probe = probe              # (origin, address, path) -> None; its outcome comes back as told()
        self.heard: dict[str, int] = {}
        self.seen: dict[str, tuple] = {}     # origin -> (state, since)
        self.failed: dict[str, int] = {}
        self.probedAt: dict[str, int] = {}
        self.askedAt: dict[str, int] = {}
        self.lookedAt = 0

    def step(self, event, now: int) -> Plan:
        plan = Plan()
        match event:
            case Received(_, Beat(origin)):
                self.heard[origin] = now
                self.failed.pop(origin, None)
            case ("beat", origin, occupancy):
                self.heard[origin] = now
                self.failed.pop(origin, None)
                plan.sends += [(card["address"], Beat(origin, occupancy)) for kind in ("registry", "proxy")
                               for name, card in self.board.live(kind).items() if name != self.board.card.id]
            case ("probed", origin, sound):
                self.failed[origin] = 0 if sound else self.failed.get(origin, 0) + 1
                if sound:
                    self.heard[origin] = now
            case Tick() if now - self.lookedAt >= LOOK_EVERY:
                self.lookedAt = now
                self._look(now, plan)
        return plan

    def _look(self, now, plan):
        tables = self.board.tables
        live = self.board.live("registry")
        names = set(live) | {self.board.card.id}
        for held in (self.heard, self.seen, self.failed, self.probedAt, self.askedAt):
            for origin in [origin for origin in held if origin not in tables.origins]:
                del held[origin]
        groups = (tables.layout["tree"] or {}).get("groups", {})
        for origin, card in tables.origins.items():
            state, since = self.seen.get(origin, (None, now))
            if state != card["state"]:
                self.seen[origin] = (card["state"], now)
                since = now
            if Rendezvous().rank(f"origin/{origin}", names)[0] != self.board.card.id:
                continue
            self._care(origin, card, since, groups.get(card["group"], {}), now, plan)

    def _care(self, origin, card, since, group, now, plan):
        silent = int(group.get("silentSeconds", 6.0) * SECOND)
        heard = self.heard.setdefault(origin, now)
        quiet = now - heard
        if quiet > silent // 2 and now - self.probedAt.get(origin, 0) > 500 * MILLI:
            self.probedAt[origin] = now
            self.probe(origin, card["address"], group.get("soundnessPath"))
        if quiet > silent or (quiet > silent // 2 and self.failed.get(origin, 0) >= PROBES_FAILED):
            self._turn(origin, "gone", now, plan)
        elif card["state"] == "waiting" and now - since > ENTER_AFTER:
            self._turn(origin, "cold", now, plan)
        elif card["state"] == "cold" and now - since > int(group.get("rampSeconds", 10.0) * SECOND):
            self._turn(origin, "warm", now, plan)

    def _turn(self, origin, state, now, plan):
        if now - self.askedAt.get(origin, -ASK_EVERY) < ASK_EVERY:
            return
        self.askedAt[origin] = now
        plan.join(self.clerk.step(Asked(None, ({"op": "turn", "origin": origin, "state": state},)), now))
        plan.note("origins", "proposes a turn", origin=origin, state=state)
