"""No task has two runs at once, and none starts again after a confirmed end:
vh-scheduler and vh-gateway as processes, on a fake of the users' platform.

    python3 test/process/two_runs_test.py BUILD_DIR [CASE [SEED [SECONDS]]]

CASE is one of CASES; without it all of IN_CI are played.
VH_KEEP names a folder that keeps the logs.
"""

import functools
import os
import random
import shutil
import signal
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.dirname(__file__))
import platform_test as deployment  # noqa: E402
from fake_platform import (Cloud, LeasedRunner, call,  # noqa: E402
                           runs_at_once)

RUNNER_CLOCK_RATES = (1.0, 0.98)


class Fleet:
    """Schedulers, a gateway, and runners on machines that send heartbeats."""

    def __init__(self, folder, services, spare=None, cores=3, run_s=0.6,
                 heartbeat_s=0.5):
        self.run_s = run_s
        self.heartbeat_s = heartbeat_s
        self.runners = []
        self.stopped = False
        self.lock = threading.Lock()
        self.cloud = Cloud(deployment.RUNNERS, self.start_runner, (spare,))
        self.nodes = []
        net = deployment.NET
        deployment.CORES[:] = [net + str(11 + i) for i in range(cores)]
        for i, core in enumerate(deployment.CORES):
            self.nodes.append(deployment.Node(
                folder, "vh-scheduler", "core-%d" % i, core,
                'control = "%s:%d"' % (core, deployment.CONTROL),
                self.cloud.address()))
        self.schedulers = list(self.nodes)
        self.nodes.append(deployment.Node(
            folder, "vh-gateway", "front-1", deployment.FRONT,
            'front = "%s:%d"\nready = "%s:%d"' % (
                deployment.FRONT, deployment.CLIENTS, deployment.FRONT,
                deployment.READY), self.cloud.address()))
        for node in self.nodes:
            node.start(first=True)
        config = deployment.config_of(services)
        if spare:
            config["services"].append(
                dict(config["services"][0], name=spare, spare=True))
        deployment.until("the configuration is accepted",
                         lambda: deployment.put_config(config) == 200)
        deployment.until(
            "the gateway is ready",
            lambda: call((deployment.FRONT, deployment.READY), "GET",
                         "/api/ready")[0] == 200)

    def start_runner(self, machine, service):
        with self.lock:
            number = len(self.runners)
            runner = LeasedRunner(
                "i-%d" % number, service, deployment.RUNNERS, machine,
                self.run_s, RUNNER_CLOCK_RATES[number % 2])
            self.runners.append(runner)
        threading.Thread(target=self.send_heartbeats, args=(runner,),
                         daemon=True).start()
        return runner

    def add_machine(self, machine, pool, has_runner=True):
        runner = self.start_runner(machine, pool) if has_runner else None
        self.cloud.add(machine, pool, runner)
        return runner

    def send_heartbeats(self, runner):
        first = random.randrange(len(deployment.CORES))
        while runner.is_up and not self.stopped:
            for _ in deployment.CORES:
                core = deployment.CORES[first % len(deployment.CORES)]
                if runner.report((core, deployment.CONTROL), timeout=1):
                    break
                first += 1
            time.sleep(self.heartbeat_s)

    def wait_for_contact(self):
        deployment.until("all runners are in contact", lambda: all(
            runner.fence > 0 for runner in self.runners))

    def leader(self):
        address = deployment.leader()
        return next((node for node in self.schedulers if node.ip == address),
                    None)

    def check_runs(self):
        found = runs_at_once(self.runners)
        deployment.check(not found, "\n".join(
            "two runs: %s\n     and: %s" % pair for pair in found[:10]))

    def wait_for_jobs(self, jobs, within=60):
        """`jobs`: of queue and job."""
        left = dict.fromkeys(jobs)

        def are_completed():
            for queue, job in list(left):
                left[queue, job] = state(job, queue)
                if left[queue, job] == "completed":
                    del left[queue, job]
            return not left

        try:
            deployment.until("the jobs complete", are_completed, within)
        except AssertionError as error:
            self.check_runs()
            raise AssertionError("%s: %s" % (error, left)) from error
        self.check_runs()

    def stop(self):
        self.stopped = True
        for node in self.nodes:
            if node.process:
                node.process.send_signal(signal.SIGCONT)
            node.stop()
        stopping = [threading.Thread(target=runner.shut_down)
                    for runner in self.runners if runner.is_up]
        for thread in stopping:
            thread.start()
        for thread in stopping:
            thread.join()
        self.cloud.server.shutdown()
        self.cloud.server.server_close()


def submit(queue, job, count=1, cpu=500, estimate_ms=600):
    try:
        return deployment.client("POST", "/%s/%s" % (queue, job), {
            "spec": "", "steps": [{"count": count, "cpu": cpu, "mem_mb": 10,
                                   "estimate_ms": estimate_ms}]})[0]
    except OSError:
        return 0


def state(job, queue):
    try:
        return deployment.state(job, queue)
    except OSError:
        return None


# The platform carries moves out without a reply. An order that is sent again is
# answered once the machine's next runner has tasks.
def repeated_move(fleet, _seed, _seconds):
    for i in range(2):
        fleet.add_machine("m-%d" % i, "s")
    for i in range(2, 10):
        fleet.add_machine("m-%d" % i, "rest", has_runner=False)
    fleet.cloud.lost_replies = 2
    fleet.wait_for_contact()
    jobs = ["%016x" % (0xa00 + i) for i in range(10)]
    for job in jobs:
        deployment.check(submit("s", job, 4, 4000, 3000) == 200, "accepted")
    fleet.wait_for_jobs([("s", job) for job in jobs])
    repeated = [call for call in fleet.cloud.calls if call[3] == "again"]
    deployment.check(repeated, "no repeated order was answered")
    return "%d machine orders, %d answered again" % (
        len(fleet.cloud.calls), len(repeated))


# Runners of one service start again while starts are sent to them.
def crashes(fleet, seed, seconds):
    rng = random.Random(seed)
    ends_at = time.monotonic() + seconds
    for i in range(6):
        fleet.add_machine("m-%d" % i, "s")
    fleet.wait_for_contact()
    jobs = []
    while time.monotonic() < ends_at:
        jobs.append("%016x" % (0xb00 + len(jobs)))
        crashing = rng.sample(fleet.runners, 2)
        submitting = threading.Thread(target=submit,
                                      args=("s", jobs[-1], 12, 4000))
        submitting.start()
        time.sleep(rng.uniform(0, 0.02))
        for runner in crashing:
            runner.start_again()
        submitting.join()
        time.sleep(rng.uniform(1, 1.5))
    fleet.wait_for_jobs([("s", job) for job in jobs])
    return "%d crashes" % (2 * len(jobs))


# A leader that stood still goes on sending orders; two runners are out of reach
# of its successor.
def thawed_leader(fleet, seed, _seconds):
    rng = random.Random(seed)
    for i in range(4):
        fleet.add_machine("m-%d" % i, "s")
    fleet.wait_for_contact()
    turns = 3
    for turn in range(turns):
        job = "%016x" % (0xc00 + turn)
        deployment.check(submit("s", job, 8, 6000, 9000) == 200, "accepted")
        deployment.until("all tasks run", lambda: sum(
            len(runner.runs) for runner in fleet.runners) == 8)
        time.sleep(0.5)
        cut = fleet.runners[:2]
        leader = fleet.leader()
        for runner in cut:
            runner.highest_token = runner.fence
        leader.process.send_signal(signal.SIGSTOP)
        time.sleep(rng.uniform(0.9, 2.5))
        leader.process.send_signal(signal.SIGCONT)
        time.sleep(8)
        for runner in cut:
            runner.highest_token = None
        deployment.until("the job completes",
                         lambda: state(job, "s") == "completed", 40)
    fleet.check_runs()
    return "%d leaders stopped for a while" % turns


def operate(path, body):
    """An operator's call; tries one node after another."""
    for core in deployment.CORES:
        try:
            control = (core, deployment.CONTROL)
            status, headers, _ = call(control, "POST", path, body, timeout=1)
            if status == 307:
                host = headers["Location"].split("/")[2].split(":")
                status, _, _ = call((host[0], int(host[1])), "POST", path,
                                    body, timeout=1)
            if status == 200:
                return True
        except OSError:
            continue
    return False


class Disturbances:
    """Disturbs schedulers, runners and the platform at random."""

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.down = set()  # schedulers that are stopped or frozen
        self.counts = {}
        self.wave = 0
        self.lock = threading.Lock()
        self.threads = []
        self.ended = False

    def disturb(self):
        action = self.rng.choice((
            self.freeze, self.freeze_leader, self.kill, self.terminate,
            self.silence, self.silence, self.silence, self.crash, self.crash,
            self.leave, self.upkeep, self.slow_platform, self.cut_successor))
        self.counts[action.__name__] = self.counts.get(action.__name__, 0) + 1
        action()

    def in_background(self, function, *arguments):
        thread = threading.Thread(target=function, args=arguments,
                                  daemon=True)
        thread.start()
        self.threads.append(thread)

    def take_scheduler(self, leads=False):
        """A scheduler to disturb; None if a majority would not be left."""
        leader = self.fleet.leader() if leads or self.rng.random() < 0.5 \
            else None
        node = leader or self.rng.choice(self.fleet.schedulers)
        with self.lock:
            most = (len(self.fleet.schedulers) - 1) // 2
            if node in self.down or len(self.down) >= most:
                return None
            self.down.add(node)
        return node

    def give_back(self, node):
        with self.lock:
            self.down.discard(node)

    def freeze(self, leads=False):
        node = self.take_scheduler(leads)
        if node:
            self.in_background(self.stand_still, node,
                               self.rng.uniform(0.1, 3))

    def freeze_leader(self):
        self.freeze(leads=True)

    def stand_still(self, node, seconds):
        node.process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        node.process.send_signal(signal.SIGCONT)
        time.sleep(1)
        self.give_back(node)

    def kill(self, sign=signal.SIGKILL):
        node = self.take_scheduler()
        if node:
            self.in_background(self.restart, node, sign,
                               self.rng.uniform(0.1, 2))

    def terminate(self):
        self.kill(signal.SIGTERM)

    def restart(self, node, sign, seconds):
        node.stop(sign)
        time.sleep(seconds)
        node.start()
        time.sleep(1)
        self.give_back(node)

    def any_runner(self):
        up = [runner for runner in self.fleet.runners if runner.is_up]
        return self.rng.choice(up)

    def silence(self):
        self.any_runner().silent_until = \
            time.monotonic() + self.rng.uniform(0.3, 8)

    def crash(self):
        self.any_runner().start_again()

    # Some runners are reached by the present leader alone, which stands still.
    def cut_successor(self):
        cut = [self.any_runner() for _ in range(3)]
        for runner in cut:
            runner.highest_token = runner.fence
        self.freeze_leader()
        self.in_background(self.join, cut, self.rng.uniform(1, 9))

    def join(self, cut, seconds):
        time.sleep(seconds)
        for runner in cut:
            runner.highest_token = None

    def leave(self):
        runner = self.any_runner()
        machine = self.fleet.cloud.machines[runner.machine]
        if machine["state"] == "up" and machine["runner"] is runner:
            self.in_background(self.leave_and_join, runner, machine)

    def leave_and_join(self, runner, machine):
        for _ in range(4):
            core = self.rng.choice(deployment.CORES)
            if runner.leave((core, deployment.CONTROL)) == 200:
                break
            time.sleep(0.5)
        with self.fleet.cloud.lock:
            if machine["runner"] is not runner:
                return
            machine["state"] = "down"
            machine["runner"] = None
        runner.shut_down()
        time.sleep(1)
        if not self.ended:
            self.fleet.cloud.join(runner.machine)

    def upkeep(self):
        self.wave += 1
        machines = self.rng.sample(sorted(self.fleet.cloud.machines), 4)
        self.in_background(operate, "/api/wave-start", {
            "wave": self.wave, "machines": machines, "duration_s": 10,
            "cap": 2})

    def slow_platform(self):
        self.fleet.cloud.list_delay_s = self.rng.choice((0, 0.5, 1.5))
        self.fleet.cloud.lost_share = self.rng.choice((0, 0.3, 0.7))

    def end(self):
        self.ended = True
        for thread in self.threads:
            thread.join()
        self.fleet.cloud.list_delay_s = 0
        self.fleet.cloud.lost_share = 0
        for runner in self.fleet.runners:
            runner.silent_until = 0
            runner.highest_token = None


class Clients:
    """Submit jobs, cancel some and ask for their states."""

    def __init__(self, queues, seed, threads=4, pause_s=0.1):
        self.queues = queues
        self.pause_s = pause_s
        self.ended = False
        self.accepted = []  # queue and job, not cancelled
        self.threads = [
            threading.Thread(target=self.work, daemon=True, args=(
                random.Random("%s %s" % (seed, i)), i))
            for i in range(threads)]
        for thread in self.threads:
            thread.start()

    def work(self, rng, client):
        number = 0
        while not self.ended:
            number += 1
            job = "%08x%08x" % (client + 1, number)
            queue = rng.choice(self.queues)
            cpu = rng.choice((500, 2000, 6000))
            if submit(queue, job, rng.randint(1, 6), cpu) == 200:
                time.sleep(rng.uniform(0, 2 * self.pause_s))
                if rng.random() < 0.1:
                    self.cancel(queue, job)
                else:
                    self.accepted.append((queue, job))
                    state(job, queue)
            time.sleep(rng.uniform(0, 2 * self.pause_s))

    @staticmethod
    def cancel(queue, job):
        try:
            deployment.client("DELETE", "/%s/%s" % (queue, job))
        except OSError:
            pass

    def end(self):
        self.ended = True
        for thread in self.threads:
            thread.join()


# Lists of machines arrive after the reports of runners that joined since they
# were read.
def slow_list(fleet, seed, seconds):
    rng = random.Random(seed)
    fleet.add_machine("m-0", "s")
    for i in range(1, 10):
        fleet.add_machine("m-%d" % i, "rest", has_runner=False)
    fleet.wait_for_contact()
    fleet.cloud.move_s = 1.3
    fleet.cloud.list_delay_s = 1.9
    jobs = []
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        for _ in range(rng.randint(4, 10)):
            jobs.append("%016x" % (0xe00 + len(jobs)))
            deployment.check(submit("s", jobs[-1], 8, 4000, 2000) == 200,
                             "accepted")
        time.sleep(rng.uniform(1, 5))
    fleet.wait_for_jobs([("s", job) for job in jobs])
    repeated = [call for call in fleet.cloud.calls if call[3] == "again"]
    return "%d machine orders, %d of them done before" % (
        len(fleet.cloud.calls), len(repeated))


# Reports name a time far ahead of the runner's clock. It then falls silent.
def clock_ahead(fleet, _seed, _seconds):
    runner = fleet.add_machine("m-0", "s")
    fleet.wait_for_contact()
    job = "%016x" % 0xf00
    deployment.check(submit("s", job, 1, 4000, 9000) == 200, "accepted")
    deployment.until("its task runs", lambda: runner.runs)
    fleet.add_machine("m-1", "s")
    runner.reported_ahead_ms = 60000
    for core in deployment.CORES:
        runner.report((core, deployment.CONTROL))
    time.sleep(2)  # until its lease is renewed
    runner.silent_until = time.monotonic() + 10
    time.sleep(8)
    fleet.check_runs()
    fleet.wait_for_jobs([("s", job)])
    return "one runner"


def short_run_length(task):
    return random.Random(task).uniform(0.3, 1.5)


def run_length(task):
    """0.2 to 1 s for most tasks, up to 8 s for some."""
    rng = random.Random(task)
    return rng.uniform(0.2, 1) if rng.random() < 0.7 else rng.uniform(2, 8)


def disturbed(fleet, seed, seconds, machines=20,
              pools=("s", "t", "s", "t", "rest")):
    rng = random.Random(seed)
    for i in range(machines):
        pool = pools[i % len(pools)]
        fleet.add_machine("m-%d" % i, pool, has_runner=pool != "rest")
    fleet.wait_for_contact()
    clients = Clients(("s", "t"), seed)
    disturbances = Disturbances(fleet, rng)
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        disturbances.disturb()
        time.sleep(rng.uniform(0.1, 0.9))
        fleet.check_runs()
    clients.end()
    disturbances.end()
    fleet.wait_for_jobs(clients.accepted)
    return "%d jobs, %d machine orders, %s" % (
        len(clients.accepted), len(fleet.cloud.calls),
        ", ".join("%d %s" % (count, name) for name, count
                  in sorted(disturbances.counts.items())))


DISTURBED = dict(services=("s", "t"), spare="rest", run_s=run_length)
CASES = {
    "repeated-move": (repeated_move,
                      dict(services=("s",), spare="rest", run_s=3)),
    "slow-list": (slow_list,
                  dict(services=("s",), spare="rest", run_s=2)),
    "clock-ahead": (clock_ahead, dict(services=("s",), run_s=11)),
    "crashes": (crashes,
                dict(services=("s",), run_s=short_run_length, heartbeat_s=1.5)),
    "thawed-leader": (thawed_leader, dict(services=("s",), run_s=9)),
    "random": (disturbed, DISTURBED),
    "random-5": (disturbed, dict(DISTURBED, cores=5)),
    # Orders go through the other schedulers from 100 runners on.
    "random-relays": (functools.partial(disturbed, machines=120,
                                        pools=("s", "t")),
                      dict(DISTURBED, spare=None, cores=5, heartbeat_s=2)),
}
IN_CI = ("repeated-move", "slow-list", "clock-ahead", "crashes",
         "random")


def play(build_case, seed, seconds):
    scenario, options = CASES[build_case]
    folder = tempfile.mkdtemp(prefix="vanillahatch-two-runs-")
    fleet = None
    try:
        fleet = Fleet(folder, **options)
        what = scenario(fleet, seed, seconds)
        runs = sum(len(runner.history) for runner in fleet.runners)
        print("two runs: %s: ok, %d runs, %s" % (build_case, runs, what),
              flush=True)
    finally:
        if fleet:
            fleet.stop()
        keep = os.environ.get("VH_KEEP")
        if keep:
            for name in os.listdir(folder):
                if name.endswith(".log"):
                    shutil.copy(os.path.join(folder, name), keep)
            with open(os.path.join(keep, "runs.txt"), "w",
                      encoding="utf-8") as file:
                for runner in fleet.runners if fleet else []:
                    file.writelines("%s\n" % run for run in runner.history)
                file.writelines("cloud %.3f %s token %d: %s\n" % each
                                for each in fleet.cloud.calls)
        shutil.rmtree(folder, ignore_errors=True)


def main():
    cases = sys.argv[2:3] or IN_CI
    seed = int(sys.argv[3]) if len(sys.argv) > 3 else 1
    seconds = float(sys.argv[4]) if len(sys.argv) > 4 else 10
    for case in cases:
        play(case, seed, seconds)


if __name__ == "__main__":
    main()
