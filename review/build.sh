#!/bin/sh
# Builds what the scripts start besides the program itself: the stand-ins are Python files of the standard
# library, so they are only checked for syntax here.
set -e
cd "$(dirname "$0")"
python3 -B -c 'import ast, sys; [ast.parse(open(path).read(), path) for path in sys.argv[1:]]' kit.py */case.py
