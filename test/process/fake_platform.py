"""A fake of the users' platform: runners that take orders over HTTP, machines
that move between pools, an HTTP server and client for its APIs, and the
settings of the processes."""

import http.client
import http.server
import json
import random
import socketserver
import threading
import time


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass  # Clients may close their connection at any time.


def serve(address, answer):
    """Starts an HTTP server in a thread of its own.

    `answer(method, path, headers, body)` returns a status and a JSON value."""

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def reply(self):
            length = int(self.headers.get("Content-Length") or 0)
            text = self.rfile.read(length)
            body = json.loads(text) if text else {}
            status, out = answer(self.command, self.path, self.headers, body)
            data = json.dumps(out).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_POST = do_DELETE = reply

        def log_message(self, *arguments):
            pass

    server = Server(address, Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def call(address, method, path, body=None, headers=None, timeout=3):
    """Returns status, headers and parsed body; does not follow redirects."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        text = body if isinstance(body, (str, type(None))) else json.dumps(body)
        connection.request(method, path, text, headers or {})
        response = connection.getresponse()
        data = response.read()
        try:
            parsed = json.loads(data) if data else {}
        except ValueError:
            parsed = data.decode(errors="replace")
        return response.status, response.headers, parsed
    finally:
        connection.close()


class Runner:
    """An instance whose tasks run for `run_s` seconds and end `stop_s` seconds
    after a stop. Records each start, and when runs began and ended.

    It does not end runs whose lease has expired."""

    def __init__(self, name, service, address, run_s=0.3):
        self.name = name
        self.service = service
        self.run_s = run_s
        self.stop_s = 0
        self.reachable = True
        self.lock = threading.Condition()
        self.started = []
        self.began_at = {}
        self.ended_at = {}
        self.start_again()
        self.server = serve((address, 0), self.answer)
        self.address = self.server.server_address

    def start_again(self):
        """Begins the next incarnation, which knows nothing of the last one."""
        with self.lock:
            self.born = int(time.time() * 1000)
            self.clock_zero = time.monotonic() - 5
            self.deadline = 0
            self.running = {}
            self.ended = []
            self.fence = 0
            self.sequence = 0
            self.number = 0
            self.listings = 0

    def clock(self):
        """The runner's own clock in ms; differs from the test's."""
        return int((time.monotonic() - self.clock_zero) * 1000)

    def lease_expires_at(self):
        """On the test's clock."""
        return self.clock_zero + self.deadline / 1000

    def report(self, control, timeout=3):
        """Sends one heartbeat; True if it was acknowledged."""
        self.sequence += 1
        body = {"service": self.service, "state": "ready", "seq": self.sequence,
                "address": "%s:%d" % self.address, "zone": "z", "version": "v",
                "slots": 8, "born": self.born, "machine": "m-" + self.name,
                "capacity": {"cpu": 16000, "mem_mb": 64000, "gpu": 0},
                "labels": ["a", "r1"], "clock_ms": self.clock()}
        return self.post(control, "heartbeat", body, timeout) == 200

    def leave(self, control):
        """Says once that it leaves. Returns the status, 0 without a response."""
        return self.post(control, "leave", {"born": self.born})

    def post(self, control, what, body, timeout=3):
        path = "/api/instances/%s/%s" % (self.name, what)
        try:
            for _ in range(3):
                status, headers, _ = call(control, "POST", path, body,
                                          timeout=timeout)
                if status != 307:
                    return status
                host = headers["Location"].split("/")[2].split(":")
                control = (host[0], int(host[1]))
        except OSError:
            pass
        return 0

    def end_due_runs(self):
        now = time.monotonic()
        for task, (run, end, how) in list(self.running.items()):
            if now >= end:
                self.end(task, run, how)

    def end(self, task, run, how):
        del self.running[task]
        self.ended_at[(task, run)] = time.monotonic()
        self.number += 1
        self.ended.append([self.number, task, run, how, ""])
        self.lock.notify_all()

    def answer(self, method, path, headers, body):
        self.drop_if_unreachable()
        reply = self.execute(path, body)
        self.drop_if_unreachable()
        return reply

    def drop_if_unreachable(self):
        if not self.reachable:
            raise ConnectionAbortedError

    def execute(self, path, body):
        with self.lock:
            token = body.get("fencing_token", 0)
            if token < self.fence:
                return 409, {"clock_ms": self.clock(), "reason": "fence"}
            self.fence = token
            self.deadline = max(self.deadline, body.get("deadline_ms", 0))
            now = time.monotonic()
            if path == "/api/run-start":
                key = (body["task"], body["run"])
                self.started.append(key)
                self.began_at[key] = now
                self.running[body["task"]] = (body["run"], now + self.run_s,
                                              "done")
            elif path == "/api/run-stop":
                run = self.running.get(body["task"])
                if run and run[0] == body["run"]:
                    end = min(run[1], now + self.stop_s)
                    self.running[body["task"]] = (run[0], end, "stopped")
                    self.end_due_runs()
            elif path == "/api/hold":
                self.ended = [row for row in self.ended
                              if row[0] > body["ack_cursor"]]
                until = time.monotonic() + body.get("wait_ms", 0) / 1000
                self.end_due_runs()
                while not self.ended and time.monotonic() < until:
                    self.lock.wait(0.02)
                    self.end_due_runs()
                self.listings += 1
                rows = [[task, run, "", 100]
                        for task, (run, *_) in self.running.items()]
                return 200, {"clock_ms": self.clock(), "born": self.born,
                             "running": rows, "ended": self.ended}
            return 200, {"clock_ms": self.clock()}


class Run:
    """One run of a task on a runner; times are on the test's clock."""

    def __init__(self, runner, task, run, began_at):
        self.runner = runner
        self.task = task
        self.run = run
        self.began_at = began_at
        self.ended_at = None
        self.how = None
        self.noted = False  # its end was confirmed before the lease lapsed
        self.token = runner.fence
        self.born = runner.born
        self.number = 0  # of its end
        length = runner.run_s
        self.lasts_s = length(task) if callable(length) else length

    def __str__(self):
        ended = "%.3f" % self.ended_at if self.ended_at else "running"
        return "%s run %d on %s (born %d, token %d), %.3f to %s, %s%s" % (
            self.task, self.run, self.runner.name, self.born, self.token,
            self.began_at, ended, self.how, ", noted" if self.noted else "")


class LeasedRunner(Runner):
    """A runner that ends its runs when their lease expires on its own clock,
    and refuses orders as the protocol says. `history` has the runs of all its
    incarnations.

    `run_s`: how long runs take, or a function of the task's name.
    `clock_rate`: speed of its clock. `silent_until`: it neither replies nor
    reports before that time, but its tasks run. `highest_token`: it is out of
    reach of leaders with a higher one and sends no reports."""

    def __init__(self, name, service, address, machine, run_s=0.3,
                 clock_rate=1.0, max_hold_ms=10000):
        self.machine = machine
        self.clock_rate = clock_rate
        self.max_hold_ms = max_hold_ms
        self.history = []
        self.silent_until = 0
        self.highest_token = None
        self.reported_ahead_ms = 0  # how far `clock_ms` of reports is ahead
        self.is_up = True
        super().__init__(name, service, address, run_s)

    def start_again(self):
        with self.lock:
            if hasattr(self, "born"):
                self.end_due_runs()
                self.kill_runs(time.monotonic())
            self.runs = {}
            self.refused_below = {}
            self.lapsed_at = 0
            super().start_again()

    def clock(self):
        elapsed = time.monotonic() - self.clock_zero
        return int(elapsed * 1000 * self.clock_rate)

    def lease_expires_at(self):
        return self.clock_zero + self.deadline / 1000 / self.clock_rate

    def shut_down(self):
        """The runner and all that runs on it end at once."""
        with self.lock:
            self.end_due_runs()
            self.kill_runs(time.monotonic())
            self.is_up = False
            self.lock.notify_all()
        self.server.shutdown()
        self.server.server_close()

    def is_silent(self):
        return not self.is_up or time.monotonic() < self.silent_until

    def drop_if_unreachable(self):
        if self.is_silent():
            raise ConnectionAbortedError

    def post(self, control, what, body, timeout=3):
        body["machine"] = self.machine
        if "clock_ms" in body:
            body["clock_ms"] += self.reported_ahead_ms
        if self.is_silent() or self.highest_token is not None:
            return 0
        return super().post(control, what, body, timeout)

    def kill_runs(self, at):
        for run in self.runs.values():
            run.ended_at = at
            run.how = "killed"
        self.runs = {}

    def finish(self, run, at, how):
        del self.runs[run.task]
        run.ended_at = at
        run.how = how
        self.refused_below[run.task] = run.run
        self.number += 1
        self.ended.append([self.number, run.task, run.run, how, ""])
        run.number = self.number
        self.lock.notify_all()

    def end_due_runs(self):
        now = time.monotonic()
        expires_at = self.lease_expires_at()
        for run in list(self.runs.values()):
            ends_at = run.began_at + run.lasts_s
            if min(ends_at, expires_at) <= now:
                how = "done" if ends_at <= expires_at else "lapsed"
                self.finish(run, min(ends_at, expires_at), how)

    def answer(self, method, path, headers, body):
        self.drop_if_unreachable()
        if headers.get("X-Expect-Instance", self.name) != self.name:
            return 421, {}
        highest = self.highest_token
        if highest is not None and body.get("fencing_token", 0) > highest:
            raise ConnectionAbortedError
        reply = self.execute(path, body)
        self.drop_if_unreachable()
        return reply

    def extend_lease(self, deadline):
        deadline = min(deadline, self.clock() + self.max_hold_ms)
        self.deadline = max(self.deadline, deadline)

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason}

    def execute(self, path, body):
        with self.lock:
            self.drop_if_unreachable()
            self.end_due_runs()
            if self.lease_expires_at() <= time.monotonic():
                self.lapsed_at = self.lease_expires_at()
            token = body.get("fencing_token", 0)
            if token < self.fence:
                return self.refuse("fence")
            self.fence = token
            if path == "/api/run-start":
                return self.begin(body)
            if "deadline_ms" in body:
                self.extend_lease(body["deadline_ms"])
            if path == "/api/run-stop":
                self.stop(body)
            elif path == "/api/hold":
                return self.hold(body)
            return 200, {"clock_ms": self.clock()}

    def begin(self, body):
        task, number = body["task"], body["run"]
        if body["deadline_ms"] < self.clock():
            return self.refuse("late")
        self.extend_lease(body["deadline_ms"])
        known = self.runs.get(task)
        if known and known.run == number:
            return 200, {"clock_ms": self.clock()}
        if known or number <= self.refused_below.get(task, 0):
            return self.refuse("old")
        run = Run(self, task, number, time.monotonic())
        self.runs[task] = run
        self.history.append(run)
        self.lock.notify_all()
        return 200, {"clock_ms": self.clock()}

    def stop(self, body):
        task, number = body["task"], body["run"]
        known = self.runs.get(task)
        if known and known.run == number:
            self.finish(known, time.monotonic(), "stopped")
        self.refused_below[task] = max(number, self.refused_below.get(task, 0))

    def hold(self, body):
        cursor = body["ack_cursor"]
        for run in self.history:
            if run.born == self.born and 0 < run.number <= cursor and \
                    run.ended_at > self.lapsed_at:
                run.noted = True
        self.ended = [row for row in self.ended if row[0] > cursor]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        self.end_due_runs()
        while not self.ended and self.is_up and time.monotonic() < until:
            ends = [run.began_at + run.lasts_s for run in self.runs.values()]
            due = min([until, self.lease_expires_at(), *ends])
            self.lock.wait(max(due - time.monotonic(), 0.001))
            self.end_due_runs()
        self.listings += 1
        rows = [[run.task, run.run, "", 100] for run in self.runs.values()]
        return 200, {"clock_ms": self.clock(), "born": self.born,
                     "running": rows, "ended": self.ended[:500]}


class Cloud:
    """The platform's API for machines.

    A move or an upkeep ends the runner of the machine at once; after `move_s`
    `start_runner(machine, pool)` gives the next one; machines of `spare_pools`
    have none. `lost_replies`: that many
    orders for each machine are carried out without a reply, and `lost_share` of
    the others. `list_delay_s`: how long a list takes to arrive once it was
    read."""

    def __init__(self, address, start_runner, spare_pools=(), move_s=1.5):
        self.start_runner = start_runner
        self.spare_pools = spare_pools
        self.move_s = move_s
        self.lost_replies = 0
        self.lost_share = 0
        self.list_delay_s = 0
        self.lock = threading.Lock()
        self.machines = {}
        self.calls = []  # time, machine, token, outcome
        self.fence_faults = []
        self.server = serve((address, 0), self.answer)

    def address(self):
        return "%s:%d" % self.server.server_address

    def add(self, machine, pool, runner=None):
        with self.lock:
            self.machines[machine] = {
                "pool": pool, "state": "up", "runner": runner, "token": 0,
                "lost": 0, "waves": set()}

    def answer(self, method, path, headers, body):
        if path.startswith("/api/machines"):
            reply = {"machines": self.rows(), "next_token": None}
            time.sleep(self.list_delay_s)
            return 200, reply
        with self.lock:
            status, reply, loses = self.operate(path, headers, body)
        if loses:
            time.sleep(1.2)
            raise ConnectionAbortedError
        return status, reply

    def rows(self):
        with self.lock:
            return [{"machine": name, "pool": each["pool"],
                     "state": each["state"], "zone": "z", "labels": ["a", "r1"],
                     "capacity": {"cpu": 16000, "mem_mb": 64000, "gpu": 0},
                     "id": each["runner"].name if each["runner"] else ""}
                    for name, each in self.machines.items()]

    def operate(self, path, headers, body):
        name = body["machine"]
        token = int(headers.get("X-Fencing-Token", 0))
        machine = self.machines.get(name)
        if machine is None:
            return 400, {}, False
        if token < machine["token"]:
            self.fence_faults.append((name, token, machine["token"]))
        machine["token"] = max(token, machine["token"])
        if path == "/api/machine-move":
            is_done = machine["pool"] == body["pool"]
        else:
            is_done = body["wave"] in machine["waves"]
        if not is_done and machine["state"] != "up":
            self.calls.append((time.monotonic(), name, token, "busy"))
            return 409, {"reason": "busy"}, False
        loses = machine["lost"] < self.lost_replies or \
            random.random() < self.lost_share
        machine["lost"] += 1
        outcome = "again" if is_done else "done"
        self.calls.append((time.monotonic(), name, token,
                           outcome + (", no reply" if loses else "")))
        if not is_done:
            machine["pool"] = body.get("pool", machine["pool"])
            machine["waves"].add(body.get("wave"))
            machine["state"] = "moving" if "pool" in body else "upkeep"
            former, machine["runner"] = machine["runner"], None
            if former:
                threading.Thread(target=former.shut_down, daemon=True).start()
            timer = threading.Timer(self.move_s, self.join, [name])
            timer.daemon = True
            timer.start()
        return 200, {}, loses

    def join(self, name):
        with self.lock:
            machine = self.machines[name]
            machine["state"] = "up"
            is_off = machine["pool"] in self.spare_pools
            machine["runner"] = None if is_off else \
                self.start_runner(name, machine["pool"])


def runs_at_once(runners):
    """Pairs of runs of one task that overlap, and starts after a noted end."""
    by_task = {}
    for runner in runners:
        with runner.lock:
            if runner.is_up:
                runner.end_due_runs()
            for run in runner.history:
                by_task.setdefault(run.task, []).append(run)
    found = []
    for runs in by_task.values():
        runs.sort(key=lambda run: run.began_at)
        for i, former in enumerate(runs):
            for later in runs[i + 1:]:
                overlaps = former.ended_at is None or \
                    later.began_at < former.ended_at
                repeats = former.how == "done" and former.noted
                if overlaps or repeats:
                    found.append((former, later))
    return found


SETTINGS = """
node = "{node}"
ip = "{ip}"
zone = "z"
internal_ports = [{internal},{internal_end}]
seeds = [{seeds}]
bootstrap = {bootstrap}
data_dir = "{data}"
[listen]
{listen}
[bounds]
grace_s = 6
max_hold_ms = 10000
move_s = 1.5
maintenance_s = 2
status_s = 300
[cloud]
address = "{cloud}"
rate_per_s = 64.0
duty_per_s = 64.0
"""
