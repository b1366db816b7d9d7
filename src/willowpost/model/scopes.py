"""The scopes that ship with willowpost, by name."""

from willowpost.model.searched_scopes import (
    ISOLATED_DECISION,
    ONE_COMMAND,
    PREVIOUS_INCARNATION,
    RACE,
    READ_OVER_CHANGE,
    READER_READS,
    READS,
    REPLACED,
    REPLACED_LATE,
    RESTARTED,
    SPLIT_PROPOSALS,
    STORE_READ_OVER_CHANGE,
    TWO_COMMANDS,
    WIPED,
)
from willowpost.model.walked_scopes import FIVE_VOTERS, GROWTH, REPLACEMENT, THREE_VOTERS

SCOPES = {
    scope.name: scope
    for scope in (
        ONE_COMMAND,
        TWO_COMMANDS,
        RESTARTED,
        SPLIT_PROPOSALS,
        RACE,
        WIPED,
        READS,
        READER_READS,
        REPLACED,
        REPLACED_LATE,
        ISOLATED_DECISION,
        READ_OVER_CHANGE,
        STORE_READ_OVER_CHANGE,
        PREVIOUS_INCARNATION,
        THREE_VOTERS,
        FIVE_VOTERS,
        GROWTH,
        REPLACEMENT,
    )
}
