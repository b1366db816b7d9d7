"""Rabia: the replicated log without a leader (docs/design/rabia.md).

- `weakmvc.py`, `stages.py`, `thresholds.py`, `coin.py`: how one slot is decided, as pure functions.
- `replica/`: the controllers of a store, which decide slot after slot, and the state they share.
- `pending_queue.py`, `pending_reads.py`, `log_size.py`: what these and the followers use.
"""
