#!/usr/bin/env bash
# Checks what the cases of the third review need: their stand-ins are Python programs without dependencies.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit("Python 3.11 or later is needed" if sys.version_info < (3, 11) else 0)'
python3 - review/lib-3/*.py review/1[1-5]/*.py scripts/lib/edgeworld.py <<'PYTHON'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
