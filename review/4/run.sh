#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out.
set -euo pipefail
cd "$(dirname "$0")/../.."
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review"
exec python3 review/4/case.py
