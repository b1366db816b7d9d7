"""What the nodes of several programs share.

- `node_state.py`: the state of a follower, with its leases.
- `follower.py`, `source_selection.py`, `poll_responses.py`, `quorum_read.py`: follow the log.
- `command_client.py`, `pending_commands.py`: submit operations to the log.
- `join.py`, `failure_detector.py`: keep the own entry, and watch other daemons.
- `staged_shutdown.py`, `graceful_shutdown.py`: the planned end.
"""
