#!/bin/sh
# The stand-ins are Python programs without dependencies: this checks that they can be compiled.
cd "$(dirname "$0")" && exec python3 -B -c '
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
'
