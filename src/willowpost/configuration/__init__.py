"""The operator's configuration.

- `model.py` and `checker.py`: its form, and the issues of an invalid one.
- `routes.py`: the routes that follow from it, and which of them serves a request.
- `delta.py`: the difference between two configurations.
"""
