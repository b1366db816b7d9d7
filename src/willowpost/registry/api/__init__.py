"""The calls of the control API; `routes.py` lists them.

`log_client.py` submits operations and runs quorum reads for all of them. `configurations.py`,
`origins.py`, `purges.py`, `zones.py` and `monitoring.py` have a group of calls each; the other
modules read requests and make responses.
"""
