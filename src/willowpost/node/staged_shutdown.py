"""What the planned ends of all daemons share: stages, and the transitions between them."""

from collections.abc import Mapping
from enum import Enum
from typing import Generic, TypeVar

from willowpost.common.errors import WillowpostError

StageT = TypeVar("StageT", bound=Enum)


class InvalidTransitionError(WillowpostError, ValueError):
    """A stage was to follow another that it cannot follow."""


class StagedShutdown(Generic[StageT]):
    """Keeps the stage of a planned end; a subclass decides when the next one is due.

    A subclass sets `transitions`, and enters stages by `_enter_stage` alone.

    Attributes:
        transitions: the stages that may follow each stage; none follows the last one.
        stage: the current one.
    """

    transitions: Mapping[StageT, frozenset[StageT]]

    def __init__(self, first_stage: StageT) -> None:
        self.stage = first_stage

    @property
    def is_stopped(self) -> bool:
        """Whether the last stage is reached, so that the process may end."""
        return not self.transitions[self.stage]

    def _enter_stage(self, stage: StageT) -> None:
        """Enter the next stage.

        Raises:
            InvalidTransitionError: the stage cannot follow the current one.
        """
        if stage not in self.transitions[self.stage]:
            raise InvalidTransitionError(f"{stage.value} cannot follow {self.stage.value}")
        self.stage = stage
