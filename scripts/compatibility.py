"""Checks that two builds of vanillahatch work together.

    python3 scripts/compatibility.py OLD_BUILD NEW_BUILD

Both build folders hold all programs (`scripts/build`); the stand-ins and the
load tool are taken from NEW_BUILD. Each case runs on loopback:

- data: the processes of one build write their data and stop; those of the
  other start on the same folders and settings and give the same answers. Both
  directions are run, an upgrade and a downgrade.
- mixed: one replica of three, and a part of the entries or the gateway, are of
  one build and the rest of the other, in both directions; jobs go through and
  no message is refused.

Prints one line a case. Exits with 1 if a case fails, after the failure and the
last log lines. VH_KEEP=1 keeps the folders."""

import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path.insert(0, os.path.join(ROOT, "scripts"))
sys.path.insert(0, os.path.join(ROOT, "test", "process"))
import control_test  # noqa: E402
import demo  # noqa: E402
import ledger_test  # noqa: E402
import platform_test  # noqa: E402  takes its build folder from the arguments
from deployment import Deployment, http_get, wait_until  # noqa: E402
from fake_platform import Runner, call  # noqa: E402

JOBS = 2400
TIMEOUT_S = 60
# Events that a message of an unknown form would cause.
REFUSALS = ("event=310", "event=502", "request-malformed", "handler-failed")


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def use_build(node, build):
    node.command[0] = os.path.join(build, os.path.basename(node.command[0]))


def wait_until_serving(deployment):
    for node in deployment.ledgers + deployment.controls:
        wait_until(lambda node=node: http_get(node, "/healthz") == 200,
                   TIMEOUT_S, f"{node.name} answers")
    for entry in deployment.entries:
        wait_until(lambda entry=entry: http_get(entry, "/readyz") == 200,
                   TIMEOUT_S, f"{entry.name} is ready")


def check_no_refusals(paths):
    """Fails if a log holds an event of a refused message."""
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            for line in file:
                check(not any(mark in line for mark in REFUSALS),
                      f"{os.path.basename(path)}: {line.strip()}")


def logs_in(folder):
    return [os.path.join(parent, name)
            for parent, _, names in os.walk(folder) for name in names
            if name.endswith((".log", ".out"))]


def states_of(log):
    return [control_test.call(node, "/v1/state") for node in log.nodes]


def check_stored_data(first, second, folder):
    """Control log and ledger: written by `first`, read by `second`."""
    deployment = Deployment(second, folder)
    nodes = deployment.ledgers + deployment.controls + deployment.entries
    for node in nodes:
        use_build(node, first)
    log = control_test.Log(deployment, 0)
    try:
        deployment.start()
        for _ in range(3):
            log.accept(log.nodes[0])
        log.check_equal()
        issued = ledger_test.unix_ms()
        answer = ledger_test.post_job(deployment.entries[0], "kept-1", issued)
        check(answer is not None and answer[0] == 200, f"first: {answer}")
        state = states_of(log)[0]
        codes = [node.terminate() for node in nodes]
        check(not any(codes), f"planned stops ended with {codes}")

        for node in nodes:
            use_build(node, second)
            node.start()
        wait_until_serving(deployment)
        check(states_of(log)[0][1] == state[1], "the state differs")
        # An upstream announces itself again once the entries are back.
        ledger_test.wait_until(
            lambda: (ledger_test.post_job(deployment.entries[0], "fresh-1",
                                          ledger_test.unix_ms())
                     or [0])[0] == 200, TIMEOUT_S, "a new job is answered")
        again = ledger_test.post_job(deployment.entries[3], "kept-1", issued)
        check(again is not None and again[0] == 200, f"again: {again}")
        check(again[1].get("Vh-From-Record") == "yes", "not from the record")
        check(again[2] == answer[2], "the recorded answer differs")
        check(ledger_test.runs_of(deployment, "kept-1") == 1, "ran twice")
        log.accept(log.nodes[1])
        log.check_equal()
        check_no_refusals(logs_in(folder))
    finally:
        deployment.stop()


def check_mixed_deployment(odd, rest, folder):
    """One control replica, one ledger replica and every other entry of `odd`,
    all others of `rest`; changes and jobs of both kinds go through."""
    deployment = Deployment(rest, folder)
    for node in (deployment.controls[:1] + deployment.ledgers[:1]
                 + deployment.entries[::2]):
        use_build(node, odd)
    log = control_test.Log(deployment, 0)
    try:
        deployment.start()
        time.sleep(2)  # every entry has heard of every runner
        for node in log.nodes:
            log.accept(node)
        log.check_equal()
        calls = os.path.join(folder, "calls.txt")
        caller = subprocess.run(
            [os.path.join(rest, "load_caller"), "--jobs", str(JOBS),
             "--callers", "20", "--pause-ms", "20", "--log", calls,
             "--service", *deployment.services, "--entry-port"]
            + [str(entry.http_port) for entry in deployment.entries],
            timeout=180, check=False)
        check(demo.judge(calls, deployment.run_log(), caller.returncode),
              "a job was lost, doubled or answered falsely")
        codes = [node.terminate() for node in
                 deployment.entries + deployment.controls + deployment.ledgers]
        check(not any(codes), f"planned stops ended with {codes}")
        check_no_refusals(logs_in(folder))
    finally:
        deployment.stop()


class RecordedRunner(Runner):
    """A runner whose starts can be read after the test that made it."""

    made = []

    def __init__(self, *arguments):
        super().__init__(*arguments)
        RecordedRunner.made.append(self)

    @classmethod
    def started_tasks(cls):
        return [start for runner in cls.made for start in runner.started]


def platform_nodes(build_of):
    """Lets platform_test start each node from the build that `build_of` gives
    for its name. Its nodes join the build folder and the program's name, and
    an absolute name is taken as it is."""
    plain = platform_test.PlainNode

    def make(folder, program, name, *rest):
        return plain(folder, os.path.join(build_of(name), program), name, *rest)
    platform_test.Node = make


def check_platform_mixed(odd, rest, folder):
    """One scheduler of three and the gateway of `odd`: the whole path with its
    leader killed, a reload and a planned stop."""
    platform_nodes(lambda name: odd if name in ("core-0", "front-1") else rest)
    nodes = []
    try:
        platform_test.run(folder, nodes)
        check_no_platform_refusals(folder, nodes)
    finally:
        for node in nodes:
            node.stop()


def check_no_platform_refusals(folder, nodes):
    """The test sends messages that cannot be read; those are refused and not
    a sign of differing builds, so only failed handlers count here."""
    for node in nodes:
        path = os.path.join(folder, os.path.basename(node.file)[:-5] + ".log")
        with open(path, encoding="utf-8", errors="replace") as file:
            check("handler-failed" not in file.read(),
                  f"{node.file}: a handler failed")


def check_platform_data(first, second, folder):
    """The schedulers' store: written by `first`, read by `second`."""
    platform_nodes(lambda name: first)
    RecordedRunner.made.clear()
    nodes = []
    alive = [True]
    try:
        platform_test.run(folder, nodes)
        for node in nodes:
            node.stop(signal.SIGTERM)
            node.program = os.path.join(second, os.path.basename(node.program))
        for node in nodes:
            node.start()
        ready = (platform_test.FRONT, platform_test.READY)
        platform_test.until(
            "the gateway is ready",
            lambda: call(ready, "GET", "/api/ready")[0] == 200, TIMEOUT_S)
        for job in ("00000000000000a1", "00000000000000b2"):
            platform_test.until(
                f"job {job} is shown as completed",
                lambda job=job: platform_test.state(job) == "completed")
        leader = (platform_test.leader(), platform_test.CONTROL)
        check(call(leader, "GET", "/api/config/get")[2]
              == platform_test.CONFIG, "the configuration differs")
        runner = RecordedRunner("i-2", "s", platform_test.RUNNERS)

        def report():
            while alive[0]:
                any(runner.report((core, platform_test.CONTROL))
                    for core in platform_test.CORES)
                time.sleep(0.3)
        threading.Thread(target=report, daemon=True).start()
        third = "00000000000000c3"
        accepted = platform_test.client("POST", "/q/" + third, {
            "spec": "", "steps": [{"count": 2, "cpu": 500, "mem_mb": 10,
                                   "estimate_ms": 300}]})[0]
        check(accepted == 200, "a new job is accepted")
        platform_test.until(
            "the new job completes",
            lambda: platform_test.state(third) == "completed", TIMEOUT_S)
        started = [task for task, _ in RecordedRunner.started_tasks()
                   if task.startswith(third)]
        check(len(started) == 2, f"each task once: {started}")
    finally:
        alive[0] = False
        for node in nodes:
            node.stop()


def run_case(name, case, first, second):
    folder = tempfile.mkdtemp(prefix="vanillahatch-compatibility-")
    start = time.monotonic()
    try:
        case(first, second, folder)
        print(f"ok      {name}, {time.monotonic() - start:.1f} s", flush=True)
        return True
    except (AssertionError, OSError, TimeoutError,
            subprocess.TimeoutExpired) as fault:
        print(f"FAILED  {name}: {fault}", flush=True)
        for path in sorted(logs_in(folder)):
            with open(path, encoding="utf-8", errors="replace") as file:
                print("--", os.path.basename(path), *file.readlines()[-8:],
                      sep="\n")
        return False
    finally:
        if os.environ.get("VH_KEEP"):
            print(f"kept {folder}")
        else:
            shutil.rmtree(folder, ignore_errors=True)


def main():
    if len(sys.argv) != 3:
        print(__doc__)
        return 2
    old, new = (os.path.abspath(folder) for folder in sys.argv[1:])
    platform_test.PlainNode = platform_test.Node
    platform_test.Runner = RecordedRunner
    cases = (("stored data of control and ledger", check_stored_data),
             ("stored data of the schedulers", check_platform_data),
             ("mixed deployment", check_mixed_deployment),
             ("mixed schedulers and gateway", check_platform_mixed))
    results = []
    for what, case in cases:
        results.append(run_case(f"{what}: old, then new" if "stored" in what
                                else f"{what}: one old among new",
                                case, old, new))
        results.append(run_case(f"{what}: new, then old" if "stored" in what
                                else f"{what}: one new among old",
                                case, new, old))
    print(f"{sum(results)} passed, {len(results) - sum(results)} failed")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
