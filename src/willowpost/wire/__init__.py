"""The messages between processes, and their form on the wire.

`messages/` has the messages, `codec.py` converts them; `generated.py` is made from
`schema/wire.fbs`.
"""
