"""Sequential specifications: what one call after the other may answer.

A specification has an `initial` state (hashable) and these methods:

- `apply(state, call)`: the states that the call may leave behind with the answer it got; none if
  that answer is impossible in this state. For a call with an unknown outcome it gives the states in
  which the call took effect.
- `is_read(call)`: whether the call cannot change the state with the answer that it got.
- `overtaken(state, call)`: whether the call's answer is impossible from this state on for ever.
- `initial_states(calls, before)`: every state that the calls `before` may have left, as far as
  `calls` can tell them apart.
- `simplified(calls)`: calls with the same linearizations among which more are alike.
"""

from collections import Counter
from dataclasses import dataclass, field, replace

from willowpost.history.records import Answer, Call, Operation, Outcome, Request

NOTHING_HELD = 0  # the version before the first configuration
UNOBSERVED = "-"  # stands for every content that one put sent and nobody read


@dataclass(frozen=True, slots=True)
class ConfigurationState:
    """The configuration in force.

    Attributes:
        version: Its number; 0 before the first one.
        content: Its digest; None before the first one.
        accepted: Every (version, content) ever in force: a repeat may be acknowledged again.
        conditions: Every (condition, content) of a conditional put that took effect.
    """

    version: int = NOTHING_HELD
    content: str | None = None
    accepted: frozenset = field(default_factory=frozenset)
    conditions: frozenset = field(default_factory=frozenset)

    def holding(
        self, version: int, content: str | None, condition: int | None = None
    ) -> "ConfigurationState":
        """The state after a configuration took effect."""
        if content == UNOBSERVED:
            return replace(self, version=version, content=content)
        conditions = self.conditions
        if condition is not None:
            conditions = conditions | {(condition, content)}
        accepted = self.accepted | {(version, content)}
        return ConfigurationState(version, content, accepted, conditions)


class ConfigurationRegister:
    """The control register: numbered replace, conditional and unconditional put, read.

    - Replace: the highest number holds; a lower one is acknowledged and changes nothing. A number
      that is held is acknowledged again with the same content, and with no other.
    - Put: the next version; with a version, only in place of that version. A conditional put that
      took effect is acknowledged again with its version, and not refused.
    - A refused call changes nothing. Refusal of a numbered replace above the held number, and of a
      put whose condition holds, has no explanation.
    """

    initial = ConfigurationState()

    def is_read(self, call: Call) -> bool:
        """Whether the call cannot change the state with the answer that it got."""
        return call.request.operation is Operation.READ or call.outcome is Outcome.REFUSED

    def apply(self, state: ConfigurationState, call: Call) -> tuple[ConfigurationState, ...]:
        """The states that the call may leave behind; none if its answer is impossible."""
        request, answer = call.request, call.answer
        if request.operation is Operation.READ:
            return self._read(state, answer)
        if answer.outcome is Outcome.REFUSED:
            return (state,) if self._may_refuse(state, request) else ()
        if request.operation is Operation.REPLACE:
            return self._replace(state, request, answer)
        if request.operation is Operation.PUT:
            return self._put(state, request, answer)
        return ()

    def overtaken(self, state: ConfigurationState, call: Call) -> bool:
        """Versions only go up: what names a lower one cannot follow any more."""
        request, answer = call.request, call.answer
        if answer.outcome is not Outcome.OK or answer.version is None:
            return False
        if request.operation is Operation.READ:
            return answer.version < state.version
        if request.operation is Operation.PUT:
            repeat = (answer.version, request.content) in state.accepted
            return answer.version <= state.version and not repeat
        return False

    def simplified(self, calls) -> list[Call]:
        """The content of a put that was sent once and never read makes no difference."""
        read = {call.answer.content for call in calls}
        sent = Counter(call.request.content for call in calls)
        return [
            replace(call, request=replace(call.request, content=UNOBSERVED))
            if call.request.operation is Operation.PUT
            and call.request.content not in read
            and sent[call.request.content] == 1
            else call
            for call in calls
        ]

    def initial_states(self, calls, before) -> list[ConfigurationState]:
        """States with each version and content that the answers in `calls` could point to."""
        answers = [call.answer for call in calls if call.outcome is Outcome.OK]
        named = [answer.version for answer in answers if answer.version is not None]
        named += [call.request.version for call in calls if call.request.version is not None]
        unknown = sum(call.outcome is Outcome.UNKNOWN for call in calls)
        versions = {NOTHING_HELD, max(named, default=NOTHING_HELD) + 1}
        versions |= {
            version - back for version in named for back in range(unknown + 2) if version >= back
        }
        contents = {UNOBSERVED, *(answer.content for answer in answers)}
        contents |= {call.request.content for call in calls}
        accepted = frozenset(
            (call.answer.version, call.request.content)
            for call in before
            if call.outcome is Outcome.OK and call.answer.version is not None
        )
        conditions = frozenset(
            (call.request.version, call.request.content)
            for call in before
            if call.outcome is Outcome.OK and call.request.operation is Operation.PUT
        )
        return [
            ConfigurationState(version, content, accepted, conditions)
            for version in sorted(versions)
            for content in sorted(contents, key=str)
        ]

    def _read(self, state, answer):
        seen = (answer.version, answer.content)
        return (state,) if seen == (state.version, state.content) else ()

    def _may_refuse(self, state, request: Request) -> bool:
        if request.operation is Operation.REPLACE:
            same = (request.version, request.content) in state.accepted
            return request.version <= state.version and not same
        if request.version is None:
            return True  # whoever takes an unconditional put may find it overtaken
        repeat = (request.version, request.content) in state.conditions
        return request.version != state.version and not repeat

    def _replace(self, state, request: Request, answer: Answer):
        first = state.content is None and request.version >= state.version
        if first or request.version > state.version:
            after = state.holding(request.version, request.content)
            return (after,) if self._names(answer, after.version) else ()
        if answer.outcome is Outcome.UNKNOWN:
            return ()
        if request.version == state.version and request.content != state.content:
            return ()
        repeat = (request.version, request.content) in state.accepted
        is_in_force = answer.version in (None, state.version) or (
            repeat and answer.version == request.version
        )
        return (state,) if is_in_force and answer.changed is not True else ()

    def _put(self, state, request: Request, answer: Answer):
        found = []
        if request.version in (None, state.version):
            after = state.holding(state.version + 1, request.content, request.version)
            if self._names(answer, after.version):
                found.append(after)
        known = (answer.version, request.content) in state.accepted
        if known and answer.outcome is Outcome.OK:
            found.append(state)
        return tuple(found)

    def _names(self, answer: Answer, version: int) -> bool:
        return answer.version in (None, version) and answer.changed is not False


class EvacuationRegister:
    """Whether one zone is evacuated: begin, finish, read. A refused order changes nothing."""

    initial = False

    def is_read(self, call: Call) -> bool:
        """Whether the call cannot change the state with the answer that it got."""
        return (
            call.request.operation is Operation.EVACUATION_READ or call.outcome is Outcome.REFUSED
        )

    def overtaken(self, state: bool, call: Call) -> bool:
        """A zone may be evacuated again and again: nothing is."""
        return False

    def simplified(self, calls) -> list[Call]:
        """The calls as they are."""
        return list(calls)

    def initial_states(self, calls, before) -> list[bool]:
        """Evacuated or not."""
        return [False, True]

    def apply(self, state: bool, call: Call) -> tuple[bool, ...]:
        """The states that the call may leave behind; none if its answer is impossible."""
        if call.outcome is Outcome.REFUSED:
            return (state,)
        match call.request.operation:
            case Operation.EVACUATION_BEGIN:
                return (True,)
            case Operation.EVACUATION_FINISH:
                return (False,)
            case Operation.EVACUATION_READ:
                return (state,) if call.answer.evacuated == state else ()
        return ()
