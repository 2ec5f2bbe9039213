"""One runner of ten is unhealthy and refuses starts while the others are full."""

import os
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(CASE))
import standins  # noqa: E402

RUNNERS = 10
UNHEALTHY_S = 6.5
VISIBLE_S = 3
LONG_S = 20
WAITING_JOBS = 8


class Runner(standins.RecordedRunner):
    """Refuses starts with 503 until `unhealthy_until`, and does nothing then."""

    unhealthy_until = 0

    def execute(self, path, body):
        if path == "/api/run-start" and time.monotonic() < self.unhealthy_until:
            self.deployment.record.write(self.name, "start", body["task"],
                                         "run", body["run"], "-> 503")
            return 503, {}
        return super().execute(path, body)


def scenario(deployment, trouble):
    standins.RecordedRunner = Runner
    deployment.start(standins.config(3, [standins.route("r", "/q/", "s")],
                                     ["s"]))
    for i in range(RUNNERS):
        deployment.add_runner("i-%d" % i, "s", "m-%d" % i,
                              run_s=lambda task: LONG_S if task.startswith("a")
                              else 1.0)
    deployment.until("all runners are in contact", lambda: all(
        runner.fence > 0 for runner in deployment.runners))
    # One long task fills each runner but one.
    for i in range(RUNNERS - 1):
        if deployment.client("POST", "/q/a%015x" % i, standins.job(
                1, LONG_S * 1000, cpu=16000))[0] != 200:
            raise standins.CannotRun("a job was not accepted")
    deployment.until("nine runners are full", lambda: sum(
        len(runner.runs) for runner in deployment.runners) == RUNNERS - 1)
    free = next(runner for runner in deployment.runners if not runner.runs)
    if trouble:
        free.unhealthy_until = time.monotonic() + UNHEALTHY_S
        deployment.record.write(free.name, "is unhealthy for", UNHEALTHY_S, "s")
    jobs = ["b%015x" % i for i in range(WAITING_JOBS)]
    for job in jobs:
        if deployment.client("POST", "/q/" + job,
                             standins.job(1, 1000, cpu=2000))[0] != 200:
            raise standins.CannotRun("a job was not accepted")
    time.sleep(VISIBLE_S + 2.3)
    with free.lock:
        begun = {run.task.split(".")[0] for runner in deployment.runners
                 for run in runner.history}
    not_begun = [job for job in jobs if job not in begun]
    status, reply = deployment.client("GET", "/q/")
    if status != 200:
        raise standins.CannotRun("the count was not answered")
    states = {job: deployment.state("/q/" + job) for job in not_begun}
    deployment.record.write("%d jobs haven't begun; waiting: %s" % (
        len(not_begun), reply["waiting"]))
    if reply["waiting"] < len(not_begun) / 2:
        return "MIXED: %d given as waiting; %d jobs were accepted over %d s " \
            "before and haven't begun; their states: %s" % (
                reply["waiting"], len(not_begun), VISIBLE_S + 2,
                sorted(set(map(str, states.values()))))
    return None


standins.main(CASE, scenario)
