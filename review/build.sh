#!/usr/bin/env bash
# Checks the stand-ins that the scripts start; they are Python files and need no build. The instances are built by the
# command of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - standins/*.py [0-9]/*.py <<'PY'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PY
PY_VERSION=$(python3 -c 'import sys; print("%d.%d" % sys.version_info[:2])')
echo "stand-ins checked with Python $PY_VERSION"
