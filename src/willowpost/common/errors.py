"""The base of all errors that willowpost raises for a reason of its own."""


class WillowpostError(Exception):
    """Something went wrong that the caller may handle; the subclass and its text say what."""
