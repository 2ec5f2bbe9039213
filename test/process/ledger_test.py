"""The ledger: non-repeatable jobs run at most once while ledger replicas are
killed, lose their data folders one after another, and the entries that claimed
jobs are killed. Runs are counted in the runners' own logs.

Run as: ledger_test.py BUILD_DIR"""

import http.server
import json
import os
import shutil
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from collections import Counter

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../scripts"))
# pylint: disable=wrong-import-position
import demo  # noqa: E402
from deployment import (DATA_CENTRES, UPSTREAM_TOKEN,  # noqa: E402
                        Deployment, http_get, wait_until)

JOBS = 4000
CALLERS = 16
TIMEOUT_S = 60


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def post_job(entry, key, issued_ms, deadline_ms=8000, timeout=30,
             service="billing"):
    """(status, headers, body) of one non-repeatable job, or None if the
    connection broke. `issued_ms` is Unix time, `timeout` is in s."""
    request = urllib.request.Request(
        f"http://127.0.0.1:{entry.http_port}/v1/services/{service}/jobs",
        data=f"body of {key}".encode(), method="POST",
        headers={"Vh-Member": "member-1", "Vh-Repeatable": "no",
                 "Idempotency-Key": key, "Vh-Issued-At": str(issued_ms),
                 "Vh-Deadline-Ms": str(deadline_ms)})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.headers, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read().decode()
    except OSError:
        return None


def unix_ms():
    return int(time.time() * 1000)


def runs_of(deployment, key):
    return Counter(line[1] for line in deployment.run_log()
                   if len(line) > 1)[key]


def lose_disk(deployment, replica):
    """Deletes the replica's data folder and waits until it votes again."""
    replica.kill()
    shutil.rmtree(os.path.join(deployment.folder, "data", replica.name))
    replica.start()
    wait_until(lambda: http_get(replica, "/readyz") == 200, TIMEOUT_S,
               f"{replica.name} has caught up")


def resend_gets_the_recorded_answer(deployment):
    issued = unix_ms()
    first = post_job(deployment.entries[0], "resend-1", issued)
    check(first is not None and first[0] == 200, f"first answer: {first}")
    again = post_job(deployment.entries[3], "resend-1", issued)
    check(again is not None and again[0] == 200, f"second answer: {again}")
    check(again[2] == first[2], "the recorded body differs")
    check(again[1].get("Vh-From-Record") == "yes", "not from the record")
    check(runs_of(deployment, "resend-1") == 1, "ran not exactly once")


class OddUpstream(http.server.BaseHTTPRequestHandler):
    """Answers with a content type that is not UTF-8."""

    runs = Counter()

    def do_POST(self):  # pylint: disable=invalid-name
        key = self.headers["Idempotency-Key"]
        OddUpstream.runs[key] += 1
        self.rfile.read(int(self.headers["Content-Length"]))
        self.send_response(200)
        self.send_header("Content-Type", "text/plain; name=\xff")
        self.send_header("Content-Length", str(len(key)))
        self.end_headers()
        self.wfile.write(key.encode())

    def log_message(self, *_):
        pass


def announce(deployment, service, port):
    body = {"instance": service + "-1", "service": service,
            "address": "127.0.0.1", "port": port, "slots": 4,
            "connections": 4, "data_centre": DATA_CENTRES[0], "rack": "r",
            "worker": "w", "generation": unix_ms(), "sequence": 1,
            "lease_ms": 60_000}
    request = urllib.request.Request(
        f"http://127.0.0.1:{deployment.entries[0].http_port}/v1/announce",
        data=json.dumps(body).encode(),
        headers={"Authorization": "Bearer " + UPSTREAM_TOKEN})
    urllib.request.urlopen(request, timeout=10).close()


def answer_with_an_odd_content_type_is_recorded(deployment):
    upstream = http.server.ThreadingHTTPServer(("127.0.0.1", 0), OddUpstream)
    threading.Thread(target=upstream.serve_forever, daemon=True).start()
    try:
        announce(deployment, "odd", upstream.server_port)
        issued = unix_ms()
        wait_until(lambda: (post_job(deployment.entries[0], "odd-1", issued,
                                     service="odd") or (0,))[0] == 200,
                   TIMEOUT_S, "the odd upstream answers")
        time.sleep(1)  # the outcome is recorded in the background
        again = post_job(deployment.entries[3], "odd-1", issued,
                         deadline_ms=3000, service="odd")
        check(again is not None and again[0] == 200 and again[2] == "odd-1"
              and again[1].get("Vh-From-Record") == "yes", f"answer: {again}")
        check(OddUpstream.runs["odd-1"] == 1, "ran not exactly once")
    finally:
        upstream.shutdown()


def missing_issue_time_is_refused(deployment):
    entry = deployment.entries[0]
    request = urllib.request.Request(
        f"http://127.0.0.1:{entry.http_port}/v1/services/billing/jobs",
        data=b"x", method="POST",
        headers={"Vh-Member": "member-1", "Vh-Repeatable": "no",
                 "Idempotency-Key": "no-time"})
    try:
        urllib.request.urlopen(request, timeout=10)
        raise AssertionError("accepted without Vh-Issued-At")
    except urllib.error.HTTPError as error:
        text = error.read().decode()
        check(error.code == 400 and "Vh-Issued-At" in text, text)


def load_with_faults(deployment):
    log = os.path.join(deployment.folder, "calls.txt")
    caller = subprocess.Popen(
        [os.path.join(deployment.build, "load_caller"), "--jobs", str(JOBS),
         "--callers", str(CALLERS), "--pause-ms", "40", "--log", log,
         "--service", *deployment.services, "--entry-port"]
        + [str(entry.http_port) for entry in deployment.entries])
    try:
        time.sleep(1)
        killed = deployment.ledgers[0]
        killed.kill()
        time.sleep(0.5)
        deployment.entries[4].kill()
        killed.start()
        wait_until(lambda: http_get(killed, "/readyz") == 200, TIMEOUT_S,
                   "the killed replica has caught up and votes")
        lose_disk(deployment, deployment.ledgers[1])
        lose_disk(deployment, deployment.ledgers[2])
        check(caller.poll() is None, "the load ended before the faults")
        code = caller.wait(240)
    finally:
        if caller.poll() is None:
            caller.kill()
    check(demo.judge(log, deployment.run_log(), code),
          "a guarantee was violated")


def lost_disks_lose_no_record(deployment, issued):
    for replica in deployment.ledgers:
        lose_disk(deployment, replica)
    again = post_job(deployment.entries[2], "before-the-faults", issued)
    check(again is not None and again[0] == 200
          and again[1].get("Vh-From-Record") == "yes", f"answer: {again}")
    check(runs_of(deployment, "before-the-faults") == 1, "ran twice")


def ledger_outage_ends_without_a_stuck_key(deployment):
    issued = unix_ms()
    for replica in deployment.ledgers[:2]:
        replica.kill()
    refused = post_job(deployment.entries[0], "outage", issued)
    check(refused is not None and refused[0] == 503, f"answer: {refused}")
    check(json.loads(refused[2])["ran"] == "unknown", refused[2])
    for replica in deployment.ledgers[:2]:
        replica.start()
    wait_until(lambda: (post_job(deployment.entries[1], "outage", issued)
                        or (0,))[0] == 200,
               TIMEOUT_S, "the resend is answered")
    check(runs_of(deployment, "outage") == 1, "ran not exactly once")


def claimant_killed_after_dispatch(deployment):
    issued = unix_ms()
    entry = deployment.entries[0]
    sender = threading.Thread(target=post_job, args=(entry, "orphan", issued))
    sender.start()
    wait_until(lambda: runs_of(deployment, "orphan") == 1, TIMEOUT_S,
               "the job began")
    entry.kill()
    sender.join()
    resend = post_job(deployment.entries[1], "orphan", issued,
                      deadline_ms=3000)
    check(resend is not None and resend[0] == 409, f"answer: {resend}")
    check(json.loads(resend[2])["ran"] == "unknown", resend[2])
    check(runs_of(deployment, "orphan") == 1, "ran not exactly once")


def with_deployment(build, run_ms, test):
    folder = tempfile.mkdtemp(prefix="vanillahatch-ledger-")
    deployment = Deployment(build, folder, run_ms=run_ms)
    try:
        deployment.start()
        time.sleep(2)  # until every entry knows every runner
        test(deployment)
    finally:
        deployment.stop()
        shutil.rmtree(folder, ignore_errors=True)


def faults(deployment):
    resend_gets_the_recorded_answer(deployment)
    answer_with_an_odd_content_type_is_recorded(deployment)
    missing_issue_time_is_refused(deployment)
    issued = unix_ms()
    first = post_job(deployment.entries[0], "before-the-faults", issued)
    check(first is not None and first[0] == 200, f"first answer: {first}")
    load_with_faults(deployment)
    lost_disks_lose_no_record(deployment, issued)
    ledger_outage_ends_without_a_stuck_key(deployment)


def main():
    build = os.path.abspath(sys.argv[1])
    with_deployment(build, 5, faults)
    with_deployment(build, 4000, claimant_killed_after_dispatch)
    print("ledger_test: every check held")
    return 0


if __name__ == "__main__":
    sys.exit(main())
