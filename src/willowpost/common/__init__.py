"""What all packages use: events, plans, the controllers' interface, clocks, hashing and errors.

Nothing here does input or output, except that `clock.py` reads the machine's clocks.
"""
