"""vh-scheduler and vh-gateway as processes, on a fake of the users' platform: a
job from its POST to completion, a leader killed while tasks run, malformed
messages, a reload of the settings and a graceful stop; tasks of runners that
leave or start again, which must not run twice."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.dirname(__file__))
from fake_platform import SETTINGS, Runner, call, serve  # noqa: E402

BUILD = os.path.abspath(sys.argv[1])
# Loopback addresses that depend on the process id, so that parallel runs do not
# collide.
NET = "127.%d.%d." % (64 + os.getpid() % 100, os.getpid() // 100 % 250)
CORES = [NET + str(i) for i in (11, 12, 13)]
FRONT = NET + "21"
RUNNERS = NET + "31"
CONFIG = {
    "version": 3,
    "routes": [{"name": "r", "host": "h.example", "path_prefix": "/q/",
                "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0,
                "service": "s", "max_attempts": 3, "stretch": 1.6}],
    "services": [{"name": "s", "enforces_capacity": True, "spare": False}],
    "limits": {}}


def config_of(names):
    """A queue and a service of its own for each name."""
    return dict(
        CONFIG,
        routes=[dict(CONFIG["routes"][0], name=name, service=name,
                     path_prefix="/%s/" % name) for name in names],
        services=[dict(CONFIG["services"][0], name=name) for name in names])


def free_port():
    with socket.socket() as probe:
        probe.bind((CORES[0], 0))
        return probe.getsockname()[1]


INTERNAL, CONTROL, CLIENTS, READY = (free_port() for _ in range(4))


def until(what, holds, within=15):
    deadline = time.monotonic() + within
    while time.monotonic() < deadline:
        try:
            if holds():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise AssertionError("not within %s s: %s" % (within, what))


class Node:
    def __init__(self, folder, program, name, ip, listen, cloud):
        self.program = program
        self.ip = ip
        self.file = os.path.join(folder, name + ".toml")
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        self.values = {
            "node": name, "ip": ip, "internal": INTERNAL,
            "internal_end": INTERNAL + 1, "listen": listen, "cloud": cloud,
            "seeds": ",".join('"%s:%d"' % (core, CONTROL) for core in CORES),
            "data": os.path.join(folder, name) if "core" in name else ""}
        self.process = None

    def start(self, first=False):
        self.write("true" if first else "false")
        environment = dict(os.environ, VANILLAHATCH_BOOT=self.file)
        self.process = subprocess.Popen(
            [os.path.join(BUILD, self.program)], stdout=self.log,
            stderr=subprocess.STDOUT, env=environment)

    def write(self, bootstrap):
        with open(self.file, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(bootstrap=bootstrap, **self.values))

    def stop(self, sign=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.process.send_signal(sign)
            self.process.wait(timeout=10)


def client(method, path, body=None):
    return call((FRONT, CLIENTS), method, path, body,
                {"Host": "h.example", "X-Deadline-Ms": "3000"}, timeout=5)


def state(job, queue="q"):
    return client("GET", "/%s/%s" % (queue, job))[2].get("state")


def put_config(body):
    """Puts the configuration as an operator does: tries one node after another
    and follows one redirect. Returns the status, 0 without a response."""
    for core in CORES:
        try:
            status, headers, _ = call((core, CONTROL), "POST",
                                      "/api/config/put", body)
            if status == 307:
                host = headers["Location"].split("/")[2].split(":")
                status, _, _ = call((host[0], int(host[1])), "POST",
                                    "/api/config/put", body)
            if status != 503:
                return status
        except OSError:
            continue
    return 0


def leader():
    """The leader's address as reported by the first node that responds."""
    for core in CORES:
        try:
            status, headers, _ = call((core, CONTROL), "GET", "/api/config/get")
        except OSError:
            continue
        if status == 200:
            return core
        if status == 307:
            return headers["Location"].split("/")[2].split(":")[0]
    return None


def check(condition, what):
    if not condition:
        raise AssertionError(what)


class Heartbeats:
    """Reports each of its runners every 0.3 s."""

    def __init__(self):
        self.lock = threading.Lock()
        self.runners = []
        self.stopped = False
        threading.Thread(target=self.send, daemon=True).start()

    def send(self):
        while not self.stopped:
            with self.lock:
                for runner in self.runners:
                    any(runner.report((core, CONTROL)) for core in CORES)
            time.sleep(0.3)

    def add(self, runner):
        with self.lock:
            self.runners.append(runner)

    def remove(self, runner):
        """No report of the runner is in flight afterwards."""
        with self.lock:
            self.runners.remove(runner)

    def stop(self):
        with self.lock:
            self.stopped = True


def start(folder, nodes, config):
    """Starts three schedulers and a gateway. Returns the gateway."""
    cloud = serve((RUNNERS, 0),
                  lambda *_: (200, {"machines": [], "next_token": None}))
    cloud_text = "%s:%d" % cloud.server_address
    for i, core in enumerate(CORES):
        nodes.append(Node(folder, "vh-scheduler", "core-%d" % i, core,
                          'control = "%s:%d"' % (core, CONTROL), cloud_text))
    front = Node(folder, "vh-gateway", "front-1", FRONT,
                 'front = "%s:%d"\nready = "%s:%d"'
                 % (FRONT, CLIENTS, FRONT, READY), cloud_text)
    nodes.append(front)
    for node in nodes:
        node.start(first=True)
    until("the configuration is accepted", lambda: put_config(config) == 200)
    until("the gateway is ready",
          lambda: call((FRONT, READY), "GET", "/api/ready")[0] == 200)
    return front


def run(folder, nodes):
    front = start(folder, nodes, CONFIG)
    runner = Runner("i-1", "s", RUNNERS)
    heartbeats = Heartbeats()
    heartbeats.add(runner)

    # A job of two steps, from its POST to completed.
    job = {"spec": "text", "steps": [
        {"count": 3, "cpu": 500, "mem_mb": 10, "estimate_ms": 300},
        {"count": 1, "cpu": 500, "mem_mb": 10, "estimate_ms": 300,
         "after": [0]}]}
    first = "00000000000000a1"
    check(client("POST", "/q/" + first, job)[0] == 200, "accepted")
    check(client("POST", "/q/" + first, job)[0] == 200, "the same job again")
    until("the first job completes", lambda: state(first) == "completed")
    check(len(runner.started) == 4, "each task once: %s" % runner.started)

    # Unknown jobs and queues, malformed bodies.
    check(client("GET", "/q/00000000000000ff")[0] == 410, "no such job")
    check(client("GET", "/none/1")[0] == 404, "no such queue")
    check(client("GET", "/q/")[2] == {"waiting": 0}, "count")
    check(client("POST", "/q/x", "{")[0] == 400, "unreadable job")
    check(put_config("{") == 400,
          "unreadable configuration")
    bad = dict(CONFIG, version=9, services=[])
    check(put_config(bad) == 400, "configuration without its service")
    check(put_config(dict(CONFIG, version=2)) == 200, "older configuration")
    control = (leader(), CONTROL)
    check(call(control, "POST", "/api/instances/i-9/heartbeat", "[]")[0] == 400,
          "unreadable report")
    check(call(control, "GET", "/api/config/get")[2] == CONFIG, "read back")

    # The leader is killed while tasks run: no task is lost or runs twice.
    runner.run_s = 4
    second = "00000000000000b2"
    check(client("POST", "/q/" + second, {"spec": "", "steps": [
        {"count": 2, "cpu": 500, "mem_mb": 10, "estimate_ms": 4000}]})[0] == 200,
          "second job accepted")
    until("its tasks run", lambda: len(runner.started) == 6)
    old = leader()
    dead = next(node for node in nodes if node.ip == old)
    dead.stop()
    until("the second job completes", lambda: state(second) == "completed", 20)
    check(len(runner.started) == 6, "no task again: %s" % runner.started)
    dead.start()
    check(call((leader(), CONTROL), "GET", "/api/config/get")[2] == CONFIG,
          "the configuration outlives its leader")

    # A reload and a graceful stop.
    front.process.send_signal(signal.SIGHUP)
    time.sleep(0.3)
    check(front.process.poll() is None, "a reload ends no process")
    check(state(first) == "completed", "it still answers")
    front.process.send_signal(signal.SIGTERM)
    time.sleep(0.2)
    check(call((FRONT, READY), "GET", "/api/ready")[0] == 503, "not ready")
    check(state(first) == "completed", "it serves while it drains")
    check(front.process.wait(timeout=6) == 0, "it stops within its grace")
    heartbeats.stop()


def submit(queue, job):
    """A job of one task."""
    status = client("POST", "/%s/%s" % (queue, job), {"spec": "", "steps": [
        {"count": 1, "cpu": 500, "mem_mb": 10, "estimate_ms": 3000}]})[0]
    check(status == 200, "job accepted: %s" % status)


def add_runner(heartbeats, name, service, run_s=0.3):
    """Adds a runner. Returns it once the leader has sent it an order."""
    runner = Runner(name, service, RUNNERS, run_s)
    heartbeats.add(runner)
    until(name + " is in contact", lambda: runner.fence > 0)
    return runner


def leave(runner):
    """The status of the reply, and after how many seconds it came."""
    control = (leader(), CONTROL)
    asked_at = time.monotonic()
    status = runner.leave(control)
    return status, time.monotonic() - asked_at


def check_leave_is_not_acknowledged_while_its_task_runs(heartbeats):
    job = "00000000000000a1"
    leaving = add_runner(heartbeats, "i-1", "leave", run_s=60)
    leaving.stop_s = 0.4
    submit("leave", job)
    until("its task runs", lambda: leaving.started)
    other = add_runner(heartbeats, "i-2", "leave")
    heartbeats.remove(leaving)
    until("the leave is acknowledged", lambda: leave(leaving)[0] == 200)
    check(not leaving.running, "acknowledged while the task runs")
    until("the job completes", lambda: state(job, "leave") == "completed")
    check(len(leaving.started) == 1, "one start there: %s" % leaving.started)
    check(len(other.started) == 1, "one start elsewhere: %s" % other.started)
    check(other.began_at[other.started[0]]
          >= leaving.ended_at[leaving.started[0]],
          "started elsewhere while it runs")


def check_start_under_way_is_not_sent_to_a_leaving_runner(heartbeats):
    control = (leader(), CONTROL)
    for i in range(40):
        job = "%016x" % (0xd0 << 8 | i)
        runner = add_runner(heartbeats, "i-d%d" % i, "race", run_s=60)
        heartbeats.remove(runner)
        submitting = threading.Thread(target=submit, args=("race", job))
        submitting.start()
        time.sleep(i * 0.0003)  # the leave meets each step of the start
        until("the leave is acknowledged",
              lambda: runner.leave(control) == 200)
        submitting.join()
        time.sleep(0.05)  # until a start that was sent has arrived
        check(not runner.running, "acknowledged while the task runs, %d" % i)
        check(client("DELETE", "/race/" + job)[0] == 200, "cancelled")


def check_leave_of_an_unreachable_runner_frees_no_task_under_its_lease(
        heartbeats):
    job = "00000000000000b1"
    silent = add_runner(heartbeats, "i-3", "silent", run_s=60)
    submit("silent", job)
    until("its task runs", lambda: silent.started)
    other = add_runner(heartbeats, "i-4", "silent")
    heartbeats.remove(silent)
    silent.reachable = False
    status, seconds = leave(silent)
    check(status == 503, "not acknowledged: %s" % status)
    check(seconds < 1, "replied before a caller gives up: %.2f s" % seconds)
    until("the leave is acknowledged", lambda: leave(silent)[0] == 200)
    check(time.monotonic() >= silent.lease_expires_at(),
          "acknowledged under its lease")
    until("the job completes", lambda: state(job, "silent") == "completed")
    check(len(silent.started) == 1, "one start there: %s" % silent.started)
    check(len(other.started) == 1, "one start elsewhere: %s" % other.started)
    check(other.began_at[other.started[0]] >= silent.lease_expires_at(),
          "started elsewhere under its lease")


def check_task_started_on_the_next_incarnation_is_not_started_elsewhere(
        heartbeats):
    job = "00000000000000c1"
    again = add_runner(heartbeats, "i-5", "again", run_s=5)
    heartbeats.remove(again)
    again.start_again()
    submit("again", job)
    until("the next incarnation runs the task", lambda: again.started)
    other = add_runner(heartbeats, "i-6", "again")
    until("it is listed before its report", lambda: again.listings > 0)
    time.sleep(0.5)
    check(not other.started, "started elsewhere before the report")
    heartbeats.add(again)
    until("the job completes", lambda: state(job, "again") == "completed")
    check(len(again.started) == 1 and not other.started,
          "one start: %s %s" % (again.started, other.started))


def run_once(folder, nodes):
    start(folder, nodes, config_of(("leave", "race", "silent", "again")))
    heartbeats = Heartbeats()
    check_leave_is_not_acknowledged_while_its_task_runs(heartbeats)
    check_start_under_way_is_not_sent_to_a_leaving_runner(heartbeats)
    check_leave_of_an_unreachable_runner_frees_no_task_under_its_lease(
        heartbeats)
    check_task_started_on_the_next_incarnation_is_not_started_elsewhere(
        heartbeats)
    heartbeats.stop()


def run_in_deployment(scenario, what):
    nodes = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            scenario(folder, nodes)
            print("platform: %s: ok" % what)
        except BaseException:
            for name in sorted(os.listdir(folder)):
                if name.endswith(".log"):
                    with open(os.path.join(folder, name), encoding="utf-8",
                              errors="replace") as file:
                        print("--", name, *file.readlines()[-15:], sep="\n")
            raise
        finally:
            for node in nodes:
                node.stop()


def main():
    run_in_deployment(run, "whole path, leader killed, reload, stop")
    run_in_deployment(run_once, "no task twice as runners leave or start again")


if __name__ == "__main__":
    main()
