#!/bin/sh
# The stand-ins of the third review, the project's own among them, are Python
# programs: this checks that each of them compiles. It writes nothing.
set -e
cd "$(dirname "$0")/.."
exec python3 - review/standins_3.py test/process/fake_platform.py \
  review/1[1-5]/case.py <<'CHECK'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
print("the stand-ins of", len(sys.argv) - 1, "files compile")
CHECK
