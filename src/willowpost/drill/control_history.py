"""Records the calls that a drill's operator makes, as a history for the linearizability check."""

import json
import re
from collections.abc import Mapping
from typing import Any

from willowpost.common.clock import Clock
from willowpost.configuration.checker import ConfigurationChecker
from willowpost.drill.rules import Findings
from willowpost.history.checker import HistoryChecker
from willowpost.history.codec import write_history
from willowpost.history.content import content_of
from willowpost.history.recorder import HistoryRecorder
from willowpost.history.records import (
    CONFIGURATION_KEY,
    PURGE_KEY,
    ZONE_PREFIX,
    Answer,
    Call,
    Operation,
    Outcome,
    Request,
)
from willowpost.history.search import Linearizability
from willowpost.stand_ins.http_call import Reply

ACCEPTED = 200
REFUSED = (409, 412)  # the order was sound, and has not taken effect
UNSURE = 500  # from here on, and where nobody answers, the outcome is not known
ZONE_PATH = re.compile(r"/v1/zones/([^/]+)/(empty|restore)$")


class ControlHistory:
    """One history of all calls to all registries; a call that turns to the next one is another.

    Invariant: an order that a registry called unfit is no part of it. Digests are made when the
    history is asked for: the drill's callers run in the same process and must not wait for them.
    """

    def __init__(self, clock: Clock) -> None:
        self.recorder = HistoryRecorder(clock.now)
        self._sent: dict[int, str] = {}  # call -> the configuration's text as it was sent
        self._read: dict[int, Any] = {}  # call -> the configuration's tree as it was read
        self._digests: dict[str, str | None] = {}

    def sent(
        self,
        address: str,
        method: str,
        path: str,
        value: Any,
        headers: Mapping[str, str] | None,
    ) -> int | None:
        """Record a call that is about to be made; None if it concerns no register."""
        request = self._request(method, path, value, headers or {})
        if request is None:
            return None
        number = self.recorder.invoke(f"operator at {address}", request)
        if request.operation in (Operation.PUT, Operation.REPLACE):
            numbered = request.operation is Operation.REPLACE
            self._sent[number] = json.dumps(value["configuration"] if numbered else value)
        return number

    def answered(self, number: int, reply: Reply | None) -> None:
        """Record what `ask` gave: (code, headers, value), or None when nobody answered."""
        if reply is None or reply[0] >= UNSURE:
            self.recorder.record_answer(number, Answer(Outcome.UNKNOWN))
        elif reply[0] in REFUSED:
            self.recorder.record_answer(number, Answer(Outcome.REFUSED))
        elif reply[0] == ACCEPTED:
            self._accepted(number, reply[2] or {})
        else:
            self.recorder.discard(number)

    def calls(self) -> tuple[Call, ...]:
        """All calls so far, with the digests of their configurations."""
        for number, text in self._sent.items():
            self.recorder.set_sent_content(number, self._digest(text))
        for number, tree in self._read.items():
            self.recorder.set_read_content(number, content_of(tree))
        return self.recorder.calls()

    def judge(self, findings: Findings) -> None:
        """Add a row: whether every register's calls have an explanation."""
        verdicts = HistoryChecker().check(self.calls())
        bad = [
            verdict for verdict in verdicts if verdict.result is not Linearizability.LINEARIZABLE
        ]
        seen = f"{sum(verdict.calls for verdict in verdicts)} calls"
        for verdict in bad:
            lines = "; ".join(call.describe() for call in verdict.window)
            seen += f", {verdict.key} {verdict.result.value}: {lines}"
        findings.add("the operators' calls are linearizable", seen, not bad)

    def write(self, path: str) -> None:
        """Write the history for `wpdrill check history`."""
        write_history(path, self.calls())

    def _accepted(self, number: int, value: dict[str, Any]) -> None:
        if "configuration" in value:
            self._read[number] = value["configuration"]
        self.recorder.record_answer(
            number, Answer(Outcome.OK, value.get("version"), is_changed=value.get("changed"))
        )

    def _request(
        self, method: str, path: str, value: Any, headers: Mapping[str, str]
    ) -> Request | None:
        zone = ZONE_PATH.match(path)
        if zone:
            begin = zone[2] == "empty"
            operation = Operation.EVACUATION_BEGIN if begin else Operation.EVACUATION_FINISH
            return Request(operation, ZONE_PREFIX + zone[1])
        match method, path:
            case "GET", "/v1/configuration":
                return Request(Operation.READ, CONFIGURATION_KEY)
            case "PUT", "/v1/configuration" if isinstance(value, dict):
                return Request(Operation.PUT, CONFIGURATION_KEY, _version_of(headers))
            case "POST", "/v1/configurations" if isinstance(value, dict):
                return Request(Operation.REPLACE, CONFIGURATION_KEY, value["version"])
            case "POST", "/v1/purges":
                return Request(Operation.PURGE, PURGE_KEY)
        return None

    def _digest(self, text: str) -> str | None:
        if text not in self._digests:
            checked = ConfigurationChecker().check_value(json.loads(text))
            self._digests[text] = None if checked.is_err() else content_of(checked.unwrap())
        return self._digests[text]


def _version_of(headers: Mapping[str, str]) -> int | None:
    version = headers.get("If-Match", "*").strip('"')
    return None if version == "*" else int(version)
