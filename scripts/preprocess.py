"""Prints a preprocessed source without line markers, from which scripts/lint
computes its cache key: preprocess.py COMPILE_COMMANDS SOURCE"""

import json
import os
import shlex
import subprocess
import sys


def main():
    database, source = sys.argv[1], os.path.abspath(sys.argv[2])
    with open(database, encoding="utf-8") as file:
        commands = json.load(file)
    for command in commands:
        if command["file"] == source:
            words = shlex.split(command["command"])
            if words[0].endswith("ccache"):
                words = words[1:]
            output = words.index("-o")
            del words[output:output + 2]
            words[words.index("-c")] = "-E"
            # Comments are kept: NOLINT and argument comments affect the linter.
            subprocess.run(words + ["-C", "-P", "-w"], check=True,
                           cwd=command["directory"])
            return 0
    print(f"{source} is not in {database}", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(main())
