#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs that need only the
# standard library, so this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile client.py rig.py server.py
