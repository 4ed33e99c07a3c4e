#!/bin/sh
# The stand-ins are plain Python without dependencies: building them is compiling them.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q review
