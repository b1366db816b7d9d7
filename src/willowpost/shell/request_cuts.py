"""Counts the requests that a process has read and not answered completely."""

from collections import Counter
from collections.abc import Callable
from enum import Enum, StrEnum

from willowpost.shell.metrics import LabelledCounter


class CutCause(StrEnum):
    """Why a request that was read has no complete answer.

    What its client ended is not counted.
    """

    NOT_STARTED = "not_started"  # its connection ends with the answer to a request before it
    RESPONSE_ABORTED = "response_aborted"  # whoever sent the response broke off
    PROCESS_ENDED = "process_ended"  # it was under way when a planned end had no time left


class RequestCuts:
    """Counts them by cause, and by the stage of the planned end in which it happened.

    Args:
        role: Of the process: edge, shield or core.
        stage: Returns the stage of its planned end.
        log: Logs a line: component, event and fields; None for no log.

    Attributes:
        counts: How many requests were cut, by cause and stage.
    """

    def __init__(
        self,
        role: str,
        stage: Callable[[], Enum],
        log: Callable[..., None] | None = None,
    ) -> None:
        self._role, self._stage, self._log = role, stage, log
        self.counts: Counter[tuple[CutCause, str]] = Counter()

    def record(self, cause: CutCause, requests: int = 1) -> None:
        """Counts and logs requests that were cut just now; none is no event."""
        if not requests:
            return
        stage = str(self._stage().value)
        self.counts[cause, stage] += requests
        if self._log is not None:
            self._log(
                "shutdown",
                "requests cut",
                level="warning",
                cause=cause.value,
                stage=stage,
                requests=requests,
            )

    def metric(self) -> LabelledCounter:
        """Returns the counts for the metrics page; a cause that never came is shown as 0."""
        present = {cause for cause, _ in self.counts}
        missing = [(cause, str(self._stage().value)) for cause in CutCause if cause not in present]
        return LabelledCounter(
            "requests_cut",
            "Requests that were read and not answered completely.",
            ("cause", "stage", "role"),
            {
                (cause.value, stage, self._role): float(self.counts[cause, stage])
                for cause, stage in (*self.counts, *missing)
            },
        )
