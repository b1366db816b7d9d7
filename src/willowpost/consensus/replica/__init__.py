"""One store's replica of the log.

`replica_state.py` has the state; each controller takes events and changes it:

- `voting.py` decides slots, `ballot_exchange.py` exchanges the ballot states for it.
- `acceptance.py` answers submitters, `quorum_reads.py` proves freshness and feeds followers.
- `catchup.py` and `epoch_discovery.py` fetch what is missing, `compaction.py` drops what is not.
- `bootstrap.py` forms the first epoch, `previous_voter.py` helps to open the next ones.

`barrier.py` answers what is safe on a quorum of disks. `records.py`, `record_types.py` and
`restoration.py` write and read the disk.
"""
