#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They are Python scripts on the
# standard library, so there is nothing to compile: this checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import sys; sys.path.insert(0, "review"); import standins'
for case in review/[1-5]/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$case"
done
