"""Admission control: how many requests may be sent to a service and to an origin.

- `quota.py`, `quota_admission.py`, `sliding_window.py`: a proxy's part of a service's rate.
- `quota_share_client.py`, `quota_share_owner.py`: shares that the service's owner grants.
- `admission_tokens.py`: single permissions, where shares would be too small.
- `slow_start.py`: origins that warm up. `retry_budget.py`: the bound on retries.
"""
