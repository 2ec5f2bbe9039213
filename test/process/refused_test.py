"""Jobs that were refused while processes stop, die or are suspended never run.

Clients submit each job once. Those whose response promises that the job never
runs are looked for among the starts that the runner has seen, and in the state
that the gateway shows.

Usage: refused_test.py BUILD_FOLDER [SEED [FOLDER_FOR_LOGS]]"""

import itertools
import os
import random
import shutil
import signal
import socketserver
import sys
import threading
import time

from platform_test import (CONFIG, CORES, FRONT, READY, RUNNERS, Heartbeats,
                           Runner, call, check, client, leader,
                           run_in_deployment, start, until)

SEED = int(sys.argv[2]) if len(sys.argv) > 2 else 1
LOGS = sys.argv[3] if len(sys.argv) > 3 else None
CLIENTS = 8
PAUSE_S = 0.02  # between two submissions of one client
NO_RESPONSE = 0
NEVER_RUNS = (400, 404, 410, 413, 429, 431, 503)
NO_RESPONSE_PAUSE_S = 0.3

# Nagle's algorithm would delay each response of the runner by 40 ms.
socketserver.StreamRequestHandler.disable_nagle_algorithm = True


class Submitter:
    """Submits jobs from several threads, and keeps the status of each."""

    def __init__(self):
        self.statuses = {}
        self.numbers = itertools.count(1)
        self.stopped = False
        self.threads = [threading.Thread(target=self.submit, daemon=True)
                        for _ in range(CLIENTS)]
        for thread in self.threads:
            thread.start()

    def submit(self):
        while not self.stopped:
            job = "%016x" % next(self.numbers)
            try:
                status = client("POST", "/q/" + job, {"spec": "", "steps": [
                    {"count": 1, "cpu": 5, "mem_mb": 1,
                     "estimate_ms": 10}]})[0]
            except OSError:
                status = NO_RESPONSE
                time.sleep(NO_RESPONSE_PAUSE_S)
            self.statuses[job] = status
            time.sleep(PAUSE_S)

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join()

    def count(self, status):
        return list(self.statuses.values()).count(status)

    def accepted(self):
        return {job for job, status in self.statuses.items() if status == 200}

    def refused(self):
        return [job for job, status in self.statuses.items()
                if status in NEVER_RUNS]


class Disturbances:
    def __init__(self, nodes, randomness):
        self.nodes = nodes
        self.randomness = randomness

    def all(self):
        """In random order."""
        disturbances = [self.restart_leader,
                        self.kill_leader, self.suspend_leader,
                        self.suspend_gateway, self.restart_gateway]
        disturbances += [self.restart_leader_with_slow_followers] * 5
        self.randomness.shuffle(disturbances)
        return disturbances

    def leader(self):
        found = []

        def is_known():
            address = leader()
            found[:] = [node for node in self.nodes if node.ip == address]
            return found

        until("a leader is known", is_known)
        return found[0]

    def others(self, core):
        return [node for node in self.nodes
                if node.ip in CORES and node is not core]

    def gateway(self):
        return self.nodes[-1]

    def pause(self, least_s, most_s):
        time.sleep(self.randomness.uniform(least_s, most_s))

    def restart_leader(self):
        restart(self.leader(), signal.SIGTERM)

    def kill_leader(self):
        restart(self.leader(), signal.SIGKILL)

    def suspend_leader(self):
        with Suspended([self.leader()]):
            self.pause(0.5, 1.5)

    def restart_leader_with_slow_followers(self):
        """The leader stops while what it has sent is acknowledged."""
        old = self.leader()
        with Suspended(self.others(old)):
            self.pause(0.02, 0.1)
        self.pause(0, 0.003)
        old.process.send_signal(signal.SIGTERM)
        old.process.wait(timeout=10)
        old.start()

    def suspend_gateway(self):
        with Suspended([self.gateway()]):
            self.pause(0.5, 1.5)

    def restart_gateway(self):
        restart(self.gateway(), signal.SIGTERM)


def restart(node, sign):
    node.stop(sign)
    node.start()


class Suspended:
    """The processes do not run within the block."""

    def __init__(self, nodes):
        self.nodes = nodes

    def __enter__(self):
        for node in self.nodes:
            node.process.send_signal(signal.SIGSTOP)

    def __exit__(self, *_):
        for node in self.nodes:
            node.process.send_signal(signal.SIGCONT)


def is_ready():
    return call((FRONT, READY), "GET", "/api/ready")[0] == 200


def run(folder, nodes):
    randomness = random.Random(SEED)
    start(folder, nodes, CONFIG)
    disturbances = Disturbances(nodes, randomness)
    runner = Runner("i-1", "s", RUNNERS, run_s=0.01)
    heartbeats = Heartbeats()
    heartbeats.add(runner)
    until("the runner is in contact", lambda: runner.fence > 0)
    submitter = Submitter()
    try:
        for disturb in disturbances.all():
            until("the gateway is ready", is_ready)
            disturbances.pause(0.2, 0.7)
            print("%.3f" % time.time(), disturb.__name__, flush=True)
            disturb()
        until("the gateway is ready", is_ready)
        submitter.stop()
        until("no job waits",
              lambda: client("GET", "/q/")[2] == {"waiting": 0})
        until("the accepted jobs run",
              lambda: submitter.accepted() <= jobs_started(runner))
        check_refused_jobs(submitter, runner)
    finally:
        submitter.stopped = True
        heartbeats.stop()
        keep_logs(folder)


def jobs_started(runner):
    return {task.split(".")[0] for task, _ in list(runner.started)}


def check_refused_jobs(submitter, runner):
    refused = submitter.refused()
    print("seed %d: accepted %d, refused %d, unknown %d, no response %d" % (
        SEED, len(submitter.accepted()), len(refused), submitter.count(504),
        submitter.count(NO_RESPONSE)))
    check(submitter.accepted(), "jobs are accepted")
    started = jobs_started(runner)
    ran = [(job, submitter.statuses[job]) for job in refused if job in started]
    check(not ran, "%d refused jobs ran: %s" % (len(ran), ran[:5]))
    kept = [(job, submitter.statuses[job]) for job in refused
            if client("GET", "/q/" + job)[0] != 410]
    check(not kept, "%d refused jobs are stored: %s" % (len(kept), kept[:5]))


def keep_logs(folder):
    if LOGS:
        os.makedirs(LOGS, exist_ok=True)
        for name in os.listdir(folder):
            if name.endswith(".log"):
                shutil.copy(os.path.join(folder, name), LOGS)


if __name__ == "__main__":
    run_in_deployment(run, "refused jobs do not run")
