"""The program `wpstore`: one replica of the log on this machine's disk.

- `main.py`, `daemon.py`: the command, and the process with its disk and identity.
- `node.py`: the controllers of a store; those of the log are in `consensus/replica/`.
- `voter_repair.py`, `graceful_shutdown.py`: how a learner becomes a voter, and a store's end.
"""
