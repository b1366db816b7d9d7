"""Input and output of the programs: sockets, disk, HTTP, settings, logs and signals.

`program.py` is the command line, `serving.py` handles the signals, `runner.py` steps the node and
carries out its plans. Messages go through `mesh.py`, records through `disk.py`, HTTP calls through
`web_server.py` and `router.py`.
"""
