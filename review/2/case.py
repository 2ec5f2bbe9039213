"""The leader is killed. Some clients leave before their time limit and cancel
what they had sent, at another gateway."""

import os
import signal
import sys
import threading
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(CASE))
import standins  # noqa: E402

CANCEL_S = 3
STOP_TIMEOUT_S = 0.4
CONTACT_S = 3
LEAVE_AFTER_S = 0.3  # half of the objective of the queue, 600 ms
DOWN_S = 3.5
TASK_S = 30
STAYING_PER_LEAVING = 3  # a quarter of the clients leaves


def scenario(deployment, trouble):
    deployment.start(standins.config(3, [standins.route("r", "/q/", "s")],
                                     ["s"]))
    other = deployment.add_front("front-lekki-1", 22, "lekki")
    for i in range(2):
        deployment.add_runner("i-%d" % i, "s", "m-%d" % i,
                              run_s=lambda task: 0.3 if task.startswith("b")
                              else TASK_S)
    deployment.until("all runners are in contact", lambda: all(
        runner.fence > 0 for runner in deployment.runners))
    deployment.until("the other gateway is ready", lambda: standins.call(
        (other.ip, deployment.ports[2]), "GET", "/api/ready")[0] == 200)
    cancelled = {}  # job: when the cancelling was acknowledged
    threads = []

    def in_background(function, *arguments):
        threads.append(threading.Thread(target=function, args=arguments))
        threads[-1].start()

    def leave(job, front, other_front):
        path = "/q/" + job
        deployment.client("POST", path,
                          standins.job(1, TASK_S * 1000, cpu=100), front,
                          LEAVE_AFTER_S if trouble else 4)
        for _ in range(10):
            status, _ = deployment.client("DELETE", path, front=other_front)
            if status in (200, 410):
                cancelled[job] = time.monotonic(), status
                return
            time.sleep(0.1)

    def stay(job, front):
        for _ in range(4):
            status, _ = deployment.client(
                "POST", "/q/" + job, standins.job(1, 300, cpu=100), front)
            if status == 200:
                return
            time.sleep(1)

    leader = deployment.leader()
    if trouble:
        leader.send(signal.SIGKILL)
        leader.process.wait()
    killed_at = time.monotonic()
    number = 0
    for _ in range(10):
        time.sleep(0.09)
        for front, another in ((deployment.front, other),
                               (other, deployment.front)):
            number += 1
            in_background(leave, "a%015x" % number, front, another)
            for i in range(STAYING_PER_LEAVING):
                in_background(stay, "b%015x" % (number * 16 + i), front)
    time.sleep(max(0.0, killed_at + DOWN_S - time.monotonic()))
    if trouble:
        leader.start()
    for thread in threads:
        thread.join()
    # Until all are steady again, and cancelled work has to be gone.
    steady_at = max([at for at, _ in cancelled.values()] +
                    [killed_at + DOWN_S + CONTACT_S])
    time.sleep(max(0.0, steady_at + CANCEL_S + STOP_TIMEOUT_S + 1 -
                   time.monotonic()))
    now = time.monotonic()
    broken = []
    for runner in deployment.runners:
        with runner.lock:
            runner.end_due_runs()
            for run in runner.runs.values():
                job = run.task.split(".")[0]
                if job in cancelled:
                    at, status = cancelled[job]
                    broken.append("%s runs %.1f s after its cancelling was "
                                  "acknowledged with %d" % (
                                      run.task, now - at, status))
    for job in sorted(cancelled):
        deployment.client("GET", "/q/" + job)
    if len(cancelled) < number / 2:
        raise standins.CannotRun("too few cancels were acknowledged")
    deployment.record.write("%d cancels acknowledged, %d of them with 410" % (
        len(cancelled), sum(s == 410 for _, s in cancelled.values())))
    return "UNASKED: " + "; ".join(broken) if broken else None


standins.main(CASE, scenario)
