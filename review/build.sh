#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python files (review/lib and scripts/lib/edgeworld.py) and need no build;
# this only checks that the interpreter can compile them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import glob
for path in glob.glob("review/lib/*.py") + glob.glob("review/*/case.py") + ["scripts/lib/edgeworld.py"]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
