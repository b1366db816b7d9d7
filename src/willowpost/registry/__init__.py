"""The program `wpregistry`: the control API for operators and origins.

- `main.py`, `daemon.py`, `node.py`: the command, the process, and its controllers.
- `api/`: the calls.
- `origin_health.py`, `origin_records.py`, `health_checker.py`: heartbeats and health checks.
- `origin_lookup.py`: which registration a call refers to.
- `status.py`, `removal.py`: the status page.
"""
