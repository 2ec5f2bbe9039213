"""A fake of the users' platform: runners that take orders over HTTP, an HTTP
server and client for its APIs, and the settings of the processes."""

import http.client
import http.server
import json
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

    def report(self, control):
        """Sends one heartbeat; True if it was acknowledged."""
        self.sequence += 1
        body = {"service": self.service, "state": "ready", "seq": self.sequence,
                "address": "%s:%d" % self.address, "zone": "z", "version": "v",
                "slots": 8, "born": self.born, "machine": "m-" + self.name,
                "capacity": {"cpu": 16000, "mem_mb": 64000, "gpu": 0},
                "labels": ["a", "r1"], "clock_ms": self.clock()}
        return self.post(control, "heartbeat", body) == 200

    def leave(self, control):
        """Says once that it leaves. Returns the status, 0 without a response."""
        return self.post(control, "leave", {"born": self.born})

    def post(self, control, what, body):
        path = "/api/instances/%s/%s" % (self.name, what)
        try:
            for _ in range(3):
                status, headers, _ = call(control, "POST", path, body)
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
[cloud]
address = "{cloud}"
rate_per_s = 64.0
duty_per_s = 64.0
"""
