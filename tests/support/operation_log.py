"""The replicated log without consensus: operations are applied to the tables one by one."""

import json

from willowpost.state.apply import StateMachine
from willowpost.state.tables import Tables
from willowpost.wire.messages import Command, Decision


class Log:
    """Ops into the tables, one slot each."""

    def __init__(self):
        self.tables = Tables(epoch=1)

    def put(self, **op):
        command = Command("d", 1, self.tables.slot + 1, 0, json.dumps([op]))
        self.tables = StateMachine().apply(self.tables, Decision(self.tables.slot, command.key, command))
        return self.tables.seen["d"]["answers"][str(command.counter)][1][0]
