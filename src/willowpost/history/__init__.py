"""Histories of calls to the control API, and the linearizability check that judges them."""
