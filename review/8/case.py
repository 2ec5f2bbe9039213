"""A runner starts again under its id and executes an order that was meant for
its former life. Then the leader is killed, and the runner answers orders with
errors for a while."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins_2 import (TROUBLE, Runner, config, route, run_case,  # noqa: E402
                        service, until)

ID = "5c0e7a21d94b36f8"
JOB = "/puxa400/" + ID
TASK = ID + ".0.0.0"
RUNNERS = 12  # one of them is a share of 0.083
GREY_S = 6.5
LEADER_DOWN_S = 3.5
RUN_S = 30


class Restarted(Runner):
    """Can start again, and can answer orders with errors for a while."""

    down_until = 0
    errors_until = 0

    def start_again(self, down_s):
        self.record("%s ends; it is back under its id in %.1f s" % (
            self.name, down_s))
        self.down_until = time.monotonic() + down_s
        time.sleep(down_s)
        with self.lock:
            self.born = int(time.time() * 1000)
            self.clock_zero = time.monotonic()
            self.deadline = self.fence = self.sequence = self.number = 0
            self.runs, self.refused_below, self.ended = {}, {}, []

    def answer(self, method, path, headers, body):
        if time.monotonic() < self.down_until:
            raise ConnectionAbortedError
        if time.monotonic() < self.errors_until:
            return 500, {}
        return super().answer(method, path, headers, body)


def play(deployment):
    record = deployment.record
    deployment.start(config(7, [route("r-anu6wsj", "/puxa400/", "huvo11a")],
                            [service("huvo11a")]))
    runners = [Restarted(deployment, "i-%d" % i, "huvo11a", "m-%d" % i,
                         rack="r%d" % i, run_s=RUN_S)
               for i in range(1, RUNNERS + 1)]
    until("the runners are in contact",
          lambda: all(runner.fence > 0 for runner in runners), 10)
    first = runners[0]
    leader = deployment.leader()
    reported = first.sequence
    until("it has just reported", lambda: first.sequence > reported, 5)
    if TROUBLE:
        first.start_again(0.3)
        time.sleep(0.1)
    job = {"spec": "text", "steps": [
        {"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": RUN_S * 1000,
         "data_rack": "r1"}]}
    if deployment.client("POST", JOB, job)[0] != 200:
        raise RuntimeError("the job was not accepted")
    until("its task runs", lambda: first.is_running(ID), 5)
    if TROUBLE:
        until("the new life has reported", lambda: first.sequence >= 1, 5)
        time.sleep(0.3)
        record("the leader %s is killed" % leader)
        token = first.fence
        deployment.node_at(leader).kill()
        threading.Timer(LEADER_DOWN_S, deployment.node_at(leader).start).start()
        until("the next leader lists the runner", lambda: first.fence > token,
              10)
        first.errors_until = time.monotonic() + GREY_S
        record("%s answers orders with 500 for %.1f s" % (first.name, GREY_S))
    ends_at = time.monotonic() + 14
    broken = ""
    while time.monotonic() < ends_at:
        on = [runner.name for runner in runners if runner.is_running(ID)]
        if len(on) > 1 and not broken:
            broken = "TWICE: %s runs on %s at the same time" % (
                TASK, " and ".join(on))
            record(broken)
        time.sleep(0.02)
    return broken


sys.exit(run_case(FOLDER, play))
