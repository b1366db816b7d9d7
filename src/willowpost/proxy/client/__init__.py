"""The connections of clients: requests are read here, and responses written.

`lifetime.py` tracks whether anybody still waits for a request.
"""
