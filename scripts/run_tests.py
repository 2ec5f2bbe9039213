"""Runs every unit test program, the models, the process tests and the demo,
and prints one line of counts at the end. A test listed in KNOWN-RED.txt is run
and printed; its failure does not fail the suite, but its success does, so that
the list stays correct."""

import concurrent.futures
import glob
import os
import subprocess
import sys

UNIT_TIMEOUT_S = 600
SERIAL_TIMEOUT_S = 1200


def known_red():
    """Names of the tests that KNOWN-RED.txt lists, one `test: NAME` a line."""
    if not os.path.exists("KNOWN-RED.txt"):
        return set()
    with open("KNOWN-RED.txt", encoding="utf-8") as file:
        return {line.split(":", 1)[1].strip() for line in file
                if line.startswith("test:")}


def run(name, command, timeout):
    try:
        done = subprocess.run(command, stdout=subprocess.PIPE, text=True,
                              stderr=subprocess.STDOUT, timeout=timeout,
                              check=False)
        return name, done.returncode == 0, done.stdout
    except subprocess.TimeoutExpired as error:
        output = error.stdout or b""
        return name, False, output.decode(errors="replace") + "\ntimed out"


def collect(build):
    """(unit tests, which run in parallel; tests that run one at a time).

    Process tests run one at a time because they share the machine's
    processors."""
    unit = [(os.path.basename(path), [path]) for path in
            sorted(glob.glob(os.path.join(build, "*_test")))]
    serial = []
    if os.path.exists("scripts/model"):
        serial.append(("model", ["scripts/model"]))
    for path in sorted(glob.glob("test/process/*_test.py")):
        serial.append((os.path.basename(path)[:-3],
                       [sys.executable, path, build]))
    serial.append(("demo", [sys.executable, "scripts/demo.py", build]))
    return unit, serial


def main():
    build = os.path.abspath(sys.argv[1])
    red = known_red()
    unit, serial = collect(build)
    results = []
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        results += pool.map(lambda test: run(*test, UNIT_TIMEOUT_S), unit)
    for name, passed, output in results:
        report(name, passed, output, red)
    for name, command in serial:
        result = run(name, command, SERIAL_TIMEOUT_S)
        results.append(result)
        report(*result, red)
    failed = [name for name, passed, _ in results if passed == (name in red)]
    skipped = [name for name, passed, _ in results
               if not passed and name in red]
    for name in failed:
        print("FAILED", name)
    print(f"{len(results) - len(failed) - len(skipped)} passed, "
          f"{len(failed)} failed, {len(skipped)} skipped")
    return 1 if failed else 0


def report(name, passed, output, red):
    state = "ok" if passed else "KNOWN RED" if name in red else "FAILED"
    if passed and name in red:
        state = "passes although KNOWN-RED.txt lists it"
    print(f"{state:9} {name}", flush=True)
    if not passed:
        print(output[-8000:], flush=True)


if __name__ == "__main__":
    sys.exit(main())
