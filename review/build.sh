#!/usr/bin/env bash
# Builds what the cases start besides the product: stand-ins in Python, which only need to compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path("review").glob("**/*.py")):
    compile(path.read_text(), str(path), "exec")
CHECK
