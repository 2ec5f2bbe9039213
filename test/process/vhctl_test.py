"""vhctl against a whole deployment: exit codes, resends, conflicts, and the
assignment of announced upstreams to the first pool of their service."""

import http.server
import json
import os
import subprocess
import sys
import tempfile
import threading

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../scripts"))
from deployment import Deployment, wait_until  # noqa: E402

OK, REFUSED, USAGE, UNREACHABLE, CONFLICT = 0, 1, 2, 4, 5
SETTING = "member.max_in_flight"


def answer_always(port, status, body):
    """An HTTP server that gives every request the same answer."""
    class Handler(http.server.BaseHTTPRequestHandler):
        def do_POST(self):  # pylint: disable=invalid-name
            self.rfile.read(int(self.headers["Content-Length"]))
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_):
            pass
    server = http.server.ThreadingHTTPServer(("127.0.0.1", port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def refusal_after_an_unknown_outcome_is_unknown(build):
    unknown = (503, b'{"status":"CHANGE_UNAVAILABLE"}')
    wrong_token = (401, b'{"status":401,"code":"unauthorized","ran":"no"}')
    failed = (500, b'{"status":500,"code":"fault","ran":"unknown"}')
    for answers, expected in (([wrong_token] * 3, REFUSED),
                              ([failed] * 3, UNREACHABLE),
                              ([unknown, wrong_token, wrong_token],
                               UNREACHABLE)):
        with tempfile.TemporaryDirectory(prefix="vh-ctl-") as folder:
            deployment = Deployment(build, folder)
            servers = [answer_always(node.http_port, *answer)
                       for node, answer in zip(deployment.controls, answers)]
            done = subprocess.run(
                [os.path.join(build, "vhctl"), "--config", deployment.config,
                 "default", "set", SETTING, "12"],
                capture_output=True, text=True, timeout=60, check=False)
            for server in servers:
                server.shutdown()
                server.server_close()
            assert done.returncode == expected, (
                f"{answers}: expected exit {expected}, "
                f"got {done.returncode}: {done.stderr}")


def main():
    build = os.path.abspath(sys.argv[1])
    refusal_after_an_unknown_outcome_is_unknown(build)
    with tempfile.TemporaryDirectory(prefix="vh-ctl-") as folder:
        deployment = Deployment(build, folder)

        def run(*words):
            return subprocess.run(
                [os.path.join(build, "vhctl"), "--config", deployment.config,
                 *words], capture_output=True, text=True, timeout=120,
                check=False)

        def expect(code, *words):
            done = run(*words)
            assert done.returncode == code, (
                f"{words}: expected exit {code}, got {done.returncode}: "
                f"{done.stdout}{done.stderr}")
            return done.stdout

        try:
            deployment.start()
            # The replicas need a moment to elect their first leader.
            wait_until(lambda: run("default", "set", SETTING, "12",
                                   "--change-id", "a1").returncode == OK,
                       60, "a change is accepted")
            first = expect(OK, "default", "set", SETTING, "12",
                           "--change-id", "a1")
            assert first == "accepted as revision 1\n", first
            expect(REFUSED, "default", "set", SETTING, "0")
            expect(CONFLICT, "default", "set", SETTING, "13", "--expect", "0")
            expect(USAGE, "default", "set", SETTING, "13", "--expect", "-1")
            options = ["--until", "+2h", "--scope", "member:m1", "--setting",
                       SETTING, "--value", "99"]
            expect(REFUSED, "exception", "add", "x", *options)
            expect(OK, "exception", "add", "x", "--reason", "harvest",
                   *options)
            expect(REFUSED, "default", "set", SETTING, b"\xff")
            expect(REFUSED, "maintenance", "start", "m", "--scope", "pool:p",
                   "--reason", b"odd \xff", "--until", "+1h")
            assert json.loads(expect(OK, "default", "show", SETTING,
                                     "--json"))[0]["value"] == "12"
            expect(USAGE, "exception", "remove")
            expect(OK, "pool", "create", "p", "--service", "loops",
                   "--ceiling", "12")
            wait_until(lambda: json.loads(expect(
                OK, "pool", "list", "--json"))[0]["instances"] == "3",
                60, "every instance of the service is in the pool")
        finally:
            deployment.stop()


if __name__ == "__main__":
    main()
