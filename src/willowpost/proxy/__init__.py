"""The program `wpproxy`: a caching reverse proxy, as an edge or a shield.

- `main.py`, `daemon.py`: the command and the process.
- `node.py`, `proxy_state.py`: its controllers, and the state that they share with requests.
- `handler.py`, `frontend.py`, `request_parser.py`, `client/`: the clients' side.
- `routing/`: plans requests and carries the plans out.
- `cache/`: stored responses. `admission/`: quotas, slow start and the retry budget.
- `origin/`: exchanges with origins and shields.
- `outgoing.py`, `metrics.py`, `status_page.py`: invariants, metrics and status.
"""
