#!/usr/bin/env bash
# FLOW: later packets of flows that were idle for 22 s of 30 s go to another target. See claim.txt.
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 exec python3 run.py
