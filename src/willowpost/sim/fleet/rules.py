"""The promises about requests and orders, checked as the simulated traffic flows."""

import json
from collections import Counter, deque

from willowpost.common.clock import SECOND
from willowpost.configuration.routes import DEFAULT_TRIES
from willowpost.sim.fleet.process_rules import ProcessRules
from willowpost.sim.rules import Broken

GRACE = 2 * SECOND
ZONE_GRACE = 5 * SECOND
ROUTE = 20_000  # µs that a message may have been on its way when the limit passed


class TrafficRules:
    """Checks the rules of docs/design/promises.md at each step.

    Every check raises Broken at the step that breaks its rule.
    """

    def __init__(self, world):
        self.world = world
        self.version = 1
        # (address, service) -> when first known to a registry
        self.moved: dict = {}
        self.replaced: dict[int, int] = {}  # version -> when the next one replaced it
        self.asked: dict[int, tuple] = {}
        self.count = 0  # of all asked ever
        self.runs: Counter = Counter()
        self.not_run: set[str] = set()
        self.configurations: list[tuple[int, int]] = []  # (accepted at, version)
        self.purges: list[tuple[int, int]] = []  # (accepted at, version then)
        self.leaving: dict[str, tuple] = {}  # origin address -> (accepted at, life)
        self.emptied: dict[str, int] = {}
        self.outcomes: Counter = Counter()
        self.refusals: deque = deque()
        self.dropped: list = []  # requests whose connection was refused or broke
        # (moment, whether it is an extra try), as the origins saw them
        self.presses: deque = deque()
        self.extras = 0  # of them
        self.arrivals_by_ask: Counter[str] = Counter()
        self.pressed: dict[str, deque] = {}
        self.per_origin: dict[str, deque] = {}
        self.margin: Counter = Counter()
        self.process_rules = ProcessRules(self)
        self.served: list = []

    def say(self, kept, what):
        """Checks one rule.

        Raises:
            Broken: With the time and the text `what`, if `kept` is false.
        """
        if not kept:
            raise Broken(f"t={self.world.time}: {what}")

    # what origins see

    def at_origin(self, origin, source, asked, path):
        """Checks a request as it reaches an origin."""
        now = self.world.time
        self.world.arrivals[origin.service].append(now)
        self._extra_tries(dict(asked.headers)["x-ask"], now)
        wanted = self.world.service_of(path)
        if wanted != origin.service:
            self._judge_stray(origin, asked, path, wanted, now)
            return
        self._judge_write(asked)
        self._judge_leaving(origin, now)
        self._judge_evacuated(origin, now)
        self._judge_service_rate(origin, now)
        self._judge_origin_rate(origin, now)

    def _judge_stray(self, origin, asked, path, wanted, now):
        """Checks a request that reached an origin of another service.

        It is allowed for a while if the address was given to the new service before proxies could
        know.
        """
        address = origin.seat.address
        learned = self.moved.get((address, origin.service))
        self.say(
            not self.world.polite.get(address)
            and not origin.token
            and (learned is None or now <= learned + GRACE + ROUTE),
            f"{path} of service {wanted} reached {address} of service {origin.service}",
        )
        self.note_margin("address moved rudely, ms", now - learned if learned else 0)
        if asked.body:
            self.runs[asked.body] += 1

    def _judge_write(self, asked):
        if asked.body:
            self.runs[asked.body] += 1
            self.say(self.runs[asked.body] == 1, f"write {asked.body} ran twice")
            self.say(asked.body not in self.not_run, f"write {asked.body} ran after not-run")

    def _judge_leaving(self, origin, now):
        address = origin.seat.address
        left = self.leaving.get(address)
        if left is not None and left[1] == origin.seat.incarnation:
            self.note_margin("leaving origin, ms", now - left[0])
            self.say(
                now <= left[0] + GRACE + ROUTE,
                f"{address} got a request {(now - left[0]) / SECOND:.2f} s after it left",
            )

    def _judge_evacuated(self, origin, now):
        emptied = self.emptied.get(origin.zone)
        if emptied is not None:
            self.say(
                now <= emptied + ZONE_GRACE + ROUTE,
                f"emptied zone {origin.zone} got a request after 5 s",
            )

    def _judge_service_rate(self, origin, now):
        pressed = self.pressed.setdefault(origin.service, deque())
        self._window(pressed, now, 5 * SECOND)
        rate = self.world.rates[origin.service]
        self.note_margin(
            f"{origin.service} in 5 s, % of rate", int(100 * len(pressed) / (5 * rate))
        )
        self.say(
            len(pressed) <= 1.1 * rate * 5 + 1,
            f"service {origin.service} got {len(pressed)} in 5 s at rate {rate}",
        )

    def _judge_origin_rate(self, origin, now):
        address = origin.seat.address
        own = self.per_origin.setdefault((address, origin.seat.incarnation), deque())
        self._window(own, now, SECOND)
        part = min(1.0, (now - origin.born_at) / SECOND / self.world.ramp)
        bears = origin.rate * (self.world.cold_part + (1 - self.world.cold_part) * part)
        self.say(
            len(own) <= 1.5 * bears + 1,
            f"cold {address} got {len(own)} in a second, bears {bears:.0f}",
        )

    def _window(self, held, now, span):
        held.append(now)
        while held[0] <= now - span:
            held.popleft()

    def learned_move(self, address, service):
        """Notes that a registry knows which service listens at an address."""
        self.moved = {
            **{key: at for key, at in self.moved.items() if key[0] != address},
            (address, service): self.moved.get((address, service), self.world.time),
        }

    # what callers see

    def asks(self, number, edge, kind, path, user, write):
        """Notes a request that a caller sends."""
        self.count += 1
        self.asked[number] = (self.world.time, edge, kind, path, user, write)

    def at_caller(self, source, answer):
        """Checks a response as it reaches its caller."""
        asked = self.asked.pop(answer.number, None)
        if asked is None:
            return
        began, edge, _kind, path, user, write = asked
        self.outcomes[answer.status] += 1
        if not answer.status:
            self.dropped.append((self.world.time, source, path))
            return
        if answer.status != 200:
            self._judge_failure(answer, write)
            return
        content = json.loads(answer.body)
        rude = any(not self.world.polite.get(address, True) for address in self.world.polite)
        self.say(
            content["path"] == path
            and content["user"] == user
            and content["wrote"] == write
            and (content["service"] == self.world.service_of(path) or rude),
            f"wrong answer for {path}: {content}",
        )
        self.served.append((self.world.time, edge))
        if write or user:
            return
        self._judge_content(content, path, edge, began)

    def _judge_failure(self, answer, write):
        headers = dict(answer.headers)
        if write and headers.get("wp-outcome") == "not-run":
            self.not_run.add(write)
            self.say(not self.runs[write], f"write {write} ran and was called not-run")
        if answer.status >= 500:
            self.refusals.append((self.world.time, answer.status, answer.body.decode()))
            self.say("retry-after" in headers, f"{answer.status} without Retry-After")

    def _judge_content(self, content, path, edge, began):
        """Checks that content is neither purged nor past its keep time."""
        for accepted, version in self.purges:
            if began > accepted + GRACE:
                self.say(
                    content["version"] > version,
                    f"{path} at {edge}: version {content['version']} purged "
                    f"{(began - accepted) / SECOND:.2f} s before was served",
                )
            elif content["version"] <= version and self.world.time > accepted:
                self.note_margin("purged content, ms", self.world.time - accepted)
        replaced = self.replaced.get(content["version"])
        if replaced is not None:
            self.note_margin(
                "past keep time, ms", self.world.time - replaced - self.world.keep * SECOND
            )
            self.say(
                self.world.time <= replaced + self.world.keep * SECOND + GRACE + ROUTE,
                f"{path}: replaced content served past its keep time",
            )

    def note_margin(self, name, value):
        """Keeps the closest that a rule came to its limit."""
        self.margin[name] = max(self.margin[name], value)

    # what operators were told

    def accepted_configuration(self, version):
        """Notes that an operator was told that a configuration is accepted."""
        self.configurations.append((self.world.time, version))

    def replace(self):
        """Changes the origins' content without notice and returns its former version."""
        self.replaced[self.version] = self.world.time
        self.version += 1
        return self.version - 1

    def __call__(self, world, seat, event, plan):
        """Checks a process after each of its steps."""
        self.process_rules(world, seat)

    def _attempts_allowed(self):
        """Returns how many origins a request may be sent to, over edge and shields together."""
        settings = self.world.shape.configuration.get("settings", {})
        return settings.get("tries", DEFAULT_TRIES)

    def _extra_tries(self, ask, now):
        """Counts tries where origins see them: all but the first of each request are extra."""
        extra = ask in self.arrivals_by_ask
        self.arrivals_by_ask[ask] += 1
        allowed = self._attempts_allowed()
        self.say(
            self.arrivals_by_ask[ask] <= allowed,
            f"request {ask} reached {self.arrivals_by_ask[ask]} origins, {allowed} allowed",
        )
        self.presses.append((now, extra))
        self.extras += extra
        while self.presses[0][0] <= now - 10 * SECOND:
            self.extras -= self.presses.popleft()[1]
        firsts = len(self.presses) - self.extras
        self.note_margin(
            "extra tries over a fifth of first, of 60", max(0, int(self.extras - 0.2 * firsts))
        )
        self.say(
            self.extras <= 0.2 * firsts + 60, f"{self.extras} extra tries on {firsts} first in 10 s"
        )
