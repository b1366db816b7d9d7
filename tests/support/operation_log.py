"""The replicated log without consensus: operations are applied to the tables one by one."""

import json

from willowpost.state.apply import StateMachine, recorded_results
from willowpost.state.codec import encode_operation
from willowpost.state.operations import Operation
from willowpost.state.results import Result
from willowpost.state.tables import Tables
from willowpost.wire.messages import Command, Decision


class Log:
    """Operations into the tables, one slot each, in their stored form."""

    def __init__(self):
        self.tables = Tables(epoch=1)

    def put(self, operation: Operation) -> Result:
        """Apply one operation and return its result."""
        body = json.dumps([encode_operation(operation)])
        command = Command("d", 1, self.tables.slot + 1, 0, body)
        decision = Decision(self.tables.slot, command.key, command)
        self.tables = StateMachine().apply(self.tables, decision)
        (result,) = recorded_results(self.tables, command).results
        return result
