"""The demo: runs a whole deployment on loopback with repeatable and
non-repeatable jobs, kills three processes under load, and compares the results
that the callers received with the runners' own logs."""

import os
import shutil
import subprocess
import sys
import tempfile
import time
from collections import Counter

from deployment import Deployment

JOBS = 2400
CALLERS = 20


def run(build, folder):
    deployment = Deployment(build, folder)
    try:
        deployment.start()
        time.sleep(2)  # until every entry knows every runner
        log = os.path.join(folder, "calls.txt")
        caller = subprocess.Popen(
            [os.path.join(build, "load_caller"), "--jobs", str(JOBS),
             "--callers", str(CALLERS), "--pause-ms", "50", "--log", log,
             "--service", *deployment.services, "--entry-port"]
            + [str(entry.http_port) for entry in deployment.entries])
        try:
            for victim in (deployment.runners[0], deployment.entries[1],
                           deployment.controls[0]):
                time.sleep(1.5)
                load = "under load" if caller.poll() is None else "idle"
                print(f"killing {victim.name} ({load})", flush=True)
                victim.kill()
            code = caller.wait(180)
        finally:
            if caller.poll() is None:
                caller.kill()
        return judge(log, deployment.run_log(), code)
    finally:
        deployment.stop()


def judge(log, ran, caller_code):
    """Compares the callers' results with the runs; True if all checks pass.

    `log` is the load caller's log, `ran` the rows of Deployment.run_log()."""
    with open(log, encoding="utf-8") as file:
        calls = [line.split() for line in file]
    runs = Counter(line[1] for line in ran if len(line) > 1)
    once = {key for key, kind, _ in calls if kind == "once"}
    doubled = [key for key in once if runs[key] > 1]
    false_refusals = [key for key, _, result in calls
                      if result == "not-run" and runs[key] > 0]
    phantom = [key for key, _, result in calls
               if result == "answered" and runs[key] == 0]
    answered = sum(1 for call in calls if call[2] == "answered")
    print(f"jobs {len(calls)}  began on runners {sum(runs.values())}")
    print(f"non-repeatable jobs that ran twice: {len(doubled)} {doubled[:5]}")
    print(f"refused as not run but ran: {len(false_refusals)} "
          f"{false_refusals[:5]}")
    print(f"answered but never ran: {len(phantom)} {phantom[:5]}")
    holds = not doubled and not false_refusals and not phantom
    enough = len(calls) >= 2000 and answered >= len(calls) // 2
    if not enough:
        print(f"too few jobs were answered: {answered} of {len(calls)}")
    return holds and enough and caller_code == 0


def main():
    build = os.path.abspath(sys.argv[1])
    folder = tempfile.mkdtemp(prefix="vanillahatch-demo-")
    try:
        held = run(build, folder)
    finally:
        if os.environ.get("VH_KEEP"):
            print(f"kept {folder}")
        else:
            shutil.rmtree(folder, ignore_errors=True)
    print("every promise held" if held else "A PROMISE WAS BROKEN")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
