#!/bin/sh
# The stand-ins are Python and need no libraries: compiling them is all there is to build.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q review
