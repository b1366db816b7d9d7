"""How a request is routed, from its plan to its outcome.

- `snapshot.py`, `snapshot_maker.py`, `snapshot_updater.py`, `parsed_configuration.py`: what the
  tables mean for requests.
- `planner.py` makes the plan (`request.py`), `plan_executor.py` carries it out (`outcome.py`).
- `collapsed_fetches.py`, `repeatable_fetch.py`, `at_most_once.py`: the attempts for a request.
- `attempts.py`, `origin_attempts.py`, `origin_admission.py`, `shield_attempts.py`, `sending.py`: a
  single attempt.
- `response_check.py`, `response_processing.py`: what becomes of the response.
"""
