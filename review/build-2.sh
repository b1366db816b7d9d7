#!/bin/sh
# Builds every stand-in that the scripts of the cases 4 to 8 start: they need only Python's library.
set -e
cd "$(dirname "$0")"
python3 -c '
import py_compile, sys, tempfile, os
with tempfile.TemporaryDirectory() as folder:
    for number, name in enumerate(sys.argv[1:]):
        py_compile.compile(name, os.path.join(folder, f"{number}.pyc"), doraise=True)
' lib2/fleet.py ./[4-8]/case.py
