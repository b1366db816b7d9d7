"""Exchanges with origins and shields over HTTP/1.1, and the selection of an origin.

- `exchange.py`, `response_reader.py`, `framing.py`: one exchange.
- `instance_check.py`, `content_digest.py`: whether the response is the right one.
- `connection_pool.py`, `connections.py`: connections.
- `selection.py`, `measurements.py`, `load_reports.py`: which origin is best.
"""
