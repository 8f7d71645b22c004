#!/usr/bin/env bash
# FLOW: a flow's later packets go to another target after all nodes were restarted in turn. See claim.txt.
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 exec python3 run.py
