"""A queue is dropped from the configuration and restored while a task of an
accepted job fails and is tried again."""

import os
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(CASE))
import standins  # noqa: E402

MAX_ATTEMPTS = 4  # as for half of the queues of the deployment
FEW_ATTEMPTS = 2
RUN_S = 1.0
CONFIG_APPLY_S = 2
PATIENT, STRICT = "00000000000000a1", "00000000000000b1"


def outcome(task, run):
    """The task of PATIENT succeeds at the last attempt, that of STRICT never
    does. Both have their own runners."""
    if task.startswith(PATIENT) and run >= MAX_ATTEMPTS:
        return "done"
    return "failed"


def runs(deployment, job):
    return [run for runner in deployment.runners for run in runner.history
            if run.task.startswith(job)]


def failed(deployment, job):
    return [run for run in runs(deployment, job) if run.how == "failed"]


def scenario(deployment, trouble):
    kept = standins.route("r-kept", "/kept/", "s")
    dropped = [
        standins.route("r-patient", "/q/", "s", max_attempts=MAX_ATTEMPTS),
        standins.route("r-strict", "/p/", "t", max_attempts=FEW_ATTEMPTS)]
    kept_t = standins.route("r-kept-t", "/kept-t/", "t")
    whole = [kept, kept_t] + dropped
    services = ["s", "t"]
    deployment.start(standins.config(3, whole, services))
    for i, service in enumerate(("s", "s", "t", "t")):
        deployment.add_runner("i-%d" % i, service, "m-%d" % i, run_s=RUN_S,
                              outcome=outcome)
    deployment.until("all runners are in contact", lambda: all(
        runner.fence > 0 for runner in deployment.runners))
    for path in ("/q/" + PATIENT, "/p/" + STRICT):
        if deployment.client("POST", path, standins.job())[0] != 200:
            raise standins.CannotRun("a job was not accepted")
    deployment.until("both tasks run", lambda: all(
        runs(deployment, job) for job in (PATIENT, STRICT)))
    if deployment.put_config(standins.config(
            7, [kept, kept_t] if trouble else whole, services)) != 200:
        raise standins.CannotRun("version 7 was not acknowledged")
    deployment.until("the first task has failed three times",
                     lambda: len(failed(deployment, PATIENT)) >= 3, 30)
    # A fourth run would start and end in this time.
    time.sleep(RUN_S + 2)
    if deployment.put_config(standins.config(9, whole, services)) != 200:
        raise standins.CannotRun("version 9 was not acknowledged")
    time.sleep(CONFIG_APPLY_S + 0.5)

    deadline = time.monotonic() + 20
    state = None
    while time.monotonic() < deadline and state not in ("completed", "failed"):
        state = deployment.state("/q/" + PATIENT)
        time.sleep(0.5)
    broken = []
    attempts = len(failed(deployment, PATIENT))
    if state == "failed" and attempts < MAX_ATTEMPTS:
        broken.append(
            "LOST: the job is shown as failed after %d runs of its task ended "
            "failed; max_attempts is %d in each version that has its queue" % (
                attempts, MAX_ATTEMPTS))
    starts = runs(deployment, STRICT)
    if len(starts) > FEW_ATTEMPTS and all(
            run.noted for run in starts[:FEW_ATTEMPTS]):
        broken.append("BUDGET: %d starts of a task whose first %d runs had "
                      "ended failed; max_attempts is %d" % (
                          len(starts), FEW_ATTEMPTS, FEW_ATTEMPTS))
    if not broken and state != "completed":
        raise standins.CannotRun("the job is %s" % state)
    return "; ".join(broken)


standins.main(CASE, scenario)
