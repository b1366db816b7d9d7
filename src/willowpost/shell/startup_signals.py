"""Imported first by every daemon's entry: a SIGHUP must not end a process that is still starting.

By default that signal ends a process. Until `serving.serve` handles it, it may be ignored: the
settings are read after this, so a process that starts reads the changed ones in any case.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
