"""vh-scheduler and vh-gateway as processes, on a fake of the users' platform: a
job from its POST to completion, a leader killed while tasks run, malformed
messages, a reload of the settings and a graceful stop."""

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


def state(job):
    return client("GET", "/q/" + job)[2].get("state")


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


def run(folder, nodes):
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
    until("the configuration is accepted", lambda: put_config(CONFIG) == 200)
    until("the gateway is ready",
          lambda: call((FRONT, READY), "GET", "/api/ready")[0] == 200)
    runner = Runner("i-1", "s", RUNNERS)
    alive = [True]

    def beat():
        while alive[0]:
            for core in CORES:
                if runner.report((core, CONTROL)):
                    break
            time.sleep(0.3)

    threading.Thread(target=beat, daemon=True).start()

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
    alive[0] = False


def main():
    nodes = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            run(folder, nodes)
            print("platform: whole path, leader killed, reload, stop: ok")
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


if __name__ == "__main__":
    main()
