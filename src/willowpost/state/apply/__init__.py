"""The replicated state machine: what each operation of the log makes of the tables."""

from willowpost.state.apply.command_history import is_decided, recorded_results
from willowpost.state.apply.state_machine import StateMachine, apply_operation

__all__ = ["StateMachine", "apply_operation", "is_decided", "recorded_results"]
