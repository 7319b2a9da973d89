#!/usr/bin/env bash
# Checks the stand-ins and callers of review 3, which need nothing but Python's standard library.
set -eu
cd "$(dirname "$0")"
python3 -B - rig3.py 1[1-5]/*.py <<'CHECK'
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
    print("ok", path)
CHECK
