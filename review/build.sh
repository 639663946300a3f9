#!/usr/bin/env bash
# Checks what the scripts need: python3 (3.9 or later, its standard library only) and stand-ins that
# parse. Nothing is compiled, and nothing of the network is used.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, pathlib, sys
assert sys.version_info >= (3, 9), sys.version
for path in sorted(pathlib.Path(".").glob("**/*.py")):
    ast.parse(path.read_text(), str(path))
    print("parses:", path)
PY
