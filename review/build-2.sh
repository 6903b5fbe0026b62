#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10: they are Python files that need only
# the standard library, so this checks that the interpreter can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - stand_ins/*.py [0-9]*/case.py <<'CHECK'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, "exec")
CHECK
