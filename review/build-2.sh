#!/usr/bin/env bash
# Builds what the scripts of the second review start, after the build of the deploy file (target/bin/pimentofold-edge). Their
# stand-ins are the project's own in scripts/lib and those in review/lib-2. They are Python and need no build, so this checks that
# they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/bin/pimentofold-edge ]; then
    echo "target/bin/pimentofold-edge is missing: run the build of the deploy file first"
    exit 1
fi
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import glob
import sys

sys.path[:0] = ["scripts/lib", "review/lib-2"]
import world2  # noqa: E402, F401

for path in glob.glob("review/[0-9]*/run.py"):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
