"""The sequential specifications of the control registers; see `specification`."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace

from willowpost.history.records import Answer, Call, Operation, Outcome, Request

NO_VERSION = 0  # the version before the first configuration
UNOBSERVED = "-"  # replaces every content that one put sent and nobody read


@dataclass(frozen=True, slots=True)
class ConfigurationState:
    """The configuration in force.

    Attributes:
        version: Its number; 0 before the first one.
        content: Its digest; None before the first one.
        accepted: Every (version, content) ever in force: a repeat may be acknowledged again.
        conditions: Every (condition, content) of a conditional put that took effect.
    """

    version: int = NO_VERSION
    content: str | None = None
    accepted: frozenset[tuple[int | None, str | None]] = frozenset()
    conditions: frozenset[tuple[int | None, str | None]] = frozenset()

    def with_configuration(
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

    - Replace: the highest number is in force; a lower one is acknowledged and changes nothing. The
      number in force is acknowledged again with the same content, and with no other.
    - Put: the next version; with a version, only in place of that version. A conditional put that
      took effect is acknowledged again with its version, and not refused.
    - A refused call changes nothing. Refusal of a numbered replace above the number in force, and
      of a put whose condition is met, is a violation.
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
            return (state,) if self._may_reject(state, request) else ()
        if request.operation is Operation.REPLACE:
            return self._replace(state, request, answer)
        if request.operation is Operation.PUT:
            return self._put(state, request, answer)
        return ()

    def is_obsolete(self, state: ConfigurationState, call: Call) -> bool:
        """Versions only go up: what names a lower one cannot follow any more."""
        request, answer = call.request, call.answer
        if answer.outcome is not Outcome.OK or answer.version is None:
            return False
        if request.operation is Operation.READ:
            return answer.version < state.version
        if request.operation is Operation.PUT:
            is_repeat = (answer.version, request.content) in state.accepted
            return answer.version <= state.version and not is_repeat
        return False

    def simplify(self, calls: Sequence[Call]) -> list[Call]:
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

    def initial_states(
        self, calls: Sequence[Call], before: Sequence[Call]
    ) -> list[ConfigurationState]:
        """States with each version and content that the answers in `calls` could point to."""
        answers = [call.answer for call in calls if call.outcome is Outcome.OK]
        versions_named = [answer.version for answer in answers if answer.version is not None]
        versions_named += [
            call.request.version for call in calls if call.request.version is not None
        ]
        unknown = sum(call.outcome is Outcome.UNKNOWN for call in calls)
        versions = {NO_VERSION, max(versions_named, default=NO_VERSION) + 1}
        versions |= {
            version - distance
            for version in versions_named
            for distance in range(unknown + 2)
            if version >= distance
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

    def _read(self, state: ConfigurationState, answer: Answer) -> tuple[ConfigurationState, ...]:
        observed = (answer.version, answer.content)
        return (state,) if observed == (state.version, state.content) else ()

    def _may_reject(self, state: ConfigurationState, request: Request) -> bool:
        if request.operation is Operation.REPLACE:
            is_repeat = (request.version, request.content) in state.accepted
            return request.require_version() <= state.version and not is_repeat
        if request.version is None:
            return True  # a concurrent put may have replaced the version it was to follow
        is_repeat = (request.version, request.content) in state.conditions
        return request.version != state.version and not is_repeat

    def _replace(
        self, state: ConfigurationState, request: Request, answer: Answer
    ) -> tuple[ConfigurationState, ...]:
        number = request.require_version()
        is_first = state.content is None and number >= state.version
        if is_first or number > state.version:
            after = state.with_configuration(number, request.content)
            return (after,) if self._confirms(answer, after.version) else ()
        if answer.outcome is Outcome.UNKNOWN:
            return ()
        if number == state.version and request.content != state.content:
            return ()
        is_repeat = (number, request.content) in state.accepted
        is_in_force = answer.version in (None, state.version) or (
            is_repeat and answer.version == number
        )
        return (state,) if is_in_force and answer.is_changed is not True else ()

    def _put(
        self, state: ConfigurationState, request: Request, answer: Answer
    ) -> tuple[ConfigurationState, ...]:
        successors = []
        if request.version in (None, state.version):
            after = state.with_configuration(state.version + 1, request.content, request.version)
            if self._confirms(answer, after.version):
                successors.append(after)
        is_repeat = (answer.version, request.content) in state.accepted
        if is_repeat and answer.outcome is Outcome.OK:
            successors.append(state)
        return tuple(successors)

    def _confirms(self, answer: Answer, version: int) -> bool:
        return answer.version in (None, version) and answer.is_changed is not False


class EvacuationRegister:
    """Whether one zone is evacuated: begin, finish, read. A refused order changes nothing."""

    initial = False

    def is_read(self, call: Call) -> bool:
        """Whether the call cannot change the state with the answer that it got."""
        return (
            call.request.operation is Operation.EVACUATION_READ or call.outcome is Outcome.REFUSED
        )

    def is_obsolete(self, state: bool, call: Call) -> bool:
        """A zone may be evacuated again and again: nothing is."""
        return False

    def simplify(self, calls: Sequence[Call]) -> list[Call]:
        """The calls as they are."""
        return list(calls)

    def initial_states(self, calls: Sequence[Call], before: Sequence[Call]) -> list[bool]:
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
                return (state,) if call.answer.is_evacuated == state else ()
        return ()
