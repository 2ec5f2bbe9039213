"""An upkeep wave for two of five machines, two at once. They are all machines
of their service, and a lasting step of a job runs on them. Then another job is
accepted."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins_2 import (TROUBLE, Runner, config, route, run_case,  # noqa: E402
                        service, until)

LASTING = "5c0e7a21d94b36f8"
QUICK = "5c0e7a21d94b36f9"
OTHER = "91d07be3c55a4f20"
PREFIX = "/puxa400/"
OTHER_PREFIX = "/tije37/"
TASKS = 4
# The rule: from 6 s after its last run a task that lasts may not stand for 3 s.
AFTER_LAST_RUN_S = 6
STANDS_S = 3
WATCH_S = 25
MILLI_CPUS, TASK_MILLI_CPUS, QUICK_MILLI_CPUS = 16000, 5000, 500


def play(deployment):
    record, cloud = deployment.record, deployment.cloud
    deployment.start(config(
        7, [route("r-anu6wsj", PREFIX, "huvo11a"),
            route("r-8nbkxxm", OTHER_PREFIX, "lovo22d")],
        [service("huvo11a"), service("lovo22d")]))
    lives = iter(range(1, 100))
    runners = []

    def start_runner(pool, machine):
        runners.append(Runner(deployment, "i-%d" % next(lives), pool, machine,
                              lasting=(LASTING, OTHER)))
        return runners[-1]

    for machine, pool in (("m-0a3f1", "huvo11a"), ("m-141e8", "huvo11a"),
                          ("m-2c07a", "lovo22d"), ("m-3d9b4", "lovo22d"),
                          ("m-4e115", "lovo22d")):
        cloud.add(machine, pool,
                  lambda pool, machine=machine: start_runner(pool, machine))
    until("the runners are in contact",
          lambda: all(runner.fence > 0 for runner in runners), 10)
    # Its tasks keep the machines of the other service in use.
    other = {"spec": "text", "steps": [
        {"count": 3, "cpu": 500, "mem_mb": 256, "estimate_ms": 500,
         "long_running": True, "may_miss": 1, "anti_affinity": 1}]}
    if deployment.client("POST", OTHER_PREFIX + OTHER, other)[0] != 200:
        raise RuntimeError("the job of the other service was not accepted")
    # One machine has room for three tasks, so while the other one is down for
    # its upkeep only one task is away.
    lasting = {"spec": "text", "steps": [
        {"count": TASKS, "cpu": TASK_MILLI_CPUS, "mem_mb": 256,
         "estimate_ms": 500, "long_running": True, "may_miss": 1}]}
    if deployment.client("POST", PREFIX + LASTING, lasting)[0] != 200:
        raise RuntimeError("the lasting job was not accepted")

    def running():
        return {task for runner in runners
                for task in runner.is_running(LASTING)}

    until("its tasks run", lambda: len(running()) == TASKS, 10)
    time.sleep(3)
    if TROUBLE:
        status, _ = deployment.control_call("POST", "/api/wave-start", {
            "wave": 1, "machines": ["m-0a3f1", "m-141e8"], "duration_s": 26,
            "cap": 2})
        record("operator: wave-start of 2 of 5 machines, 2 at once: %d" % status)
        if status != 200:
            raise RuntimeError("the wave was not accepted")
    time.sleep(1)
    quick = {"spec": "text", "steps": [
        {"count": 1, "cpu": QUICK_MILLI_CPUS, "mem_mb": 256,
         "estimate_ms": 500}]}
    if deployment.client("POST", PREFIX + QUICK, quick)[0] != 200:
        raise RuntimeError("the second job was not accepted")

    away_since = {}
    worst, worst_task = 0, None
    ends_at = time.monotonic() + WATCH_S
    while time.monotonic() < ends_at:
        up = [each["runner"] for each in list(cloud.machines.values())
              if each["pool"] == "huvo11a" and each["state"] == "up"
              and each["runner"]]
        works = running()
        for index in range(TASKS):
            task = "%s.0.0.%d" % (LASTING, index)
            # Room for it twice over, on one of the runners.
            has_room = any(
                MILLI_CPUS - TASK_MILLI_CPUS * len(runner.runs)
                >= 2 * TASK_MILLI_CPUS for runner in up)
            if task in works or not has_room:
                away_since.pop(task, None)
                continue
            since = away_since.setdefault(task, time.monotonic())
            if time.monotonic() - since > worst:
                worst, worst_task = time.monotonic() - since, task
        time.sleep(0.1)
    state = deployment.client("GET", PREFIX + QUICK)[1].get("state")
    record("longest time without a run beside free room: %s %.1f s; state of "
           "the second job: %s; wave: %s" % (
               worst_task, worst, state, deployment.control_call(
                   "GET", "/api/wave-get/1")[1]))
    broken = []
    if worst > AFTER_LAST_RUN_S + STANDS_S:
        broken.append("LOST: %s lasts and had no run for %.1f s beside free "
                      "room" % (worst_task, worst))
    up = [each["runner"] for each in list(cloud.machines.values())
          if each["pool"] == "huvo11a" and each["state"] == "up"
          and each["runner"]]
    used = TASK_MILLI_CPUS * sum(len(runner.is_running(LASTING))
                                 for runner in up)
    free = max((MILLI_CPUS - TASK_MILLI_CPUS * len(runner.is_running(LASTING))
                for runner in up), default=0)
    has_capacity = free >= 2 * QUICK_MILLI_CPUS \
        and 2 * used < MILLI_CPUS * len(up)
    record("in use %d of %d, most free on one %d" % (
        used, MILLI_CPUS * len(up), free))
    if state != "completed" and has_capacity:
        broken.append("LOST: %s, accepted %d s ago, is %s beside free room"
                      % (QUICK, WATCH_S, state))
    return "; ".join(broken)


sys.exit(run_case(FOLDER, play))
