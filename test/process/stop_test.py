"""Graceful stops of entries and runners under load lose no request. Callers use
a fake of the platform's load balancer, which polls each entry's /readyz and
tries another entry only if a connection was refused.

    python3 test/process/stop_test.py BUILD_DIR [STOPS]
"""

import http.client
import itertools
import os
import shutil
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..",
                                "scripts"))
from deployment import Deployment, http_get, wait_until  # noqa: E402

STOPS_IN_CI = 6
CALLERS = 8
READY_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 20


class Balancer:
    """Balances requests over the entries that were ready at the last poll."""

    def __init__(self, entries):
        self.entries = entries
        self.ready = []
        self.ended = False
        self.next_index = itertools.count()
        self.thread = threading.Thread(target=self._watch)
        self.thread.start()

    def _watch(self):
        while not self.ended:
            self.ready = [entry for entry in self.entries
                          if http_get(entry, "/readyz") == 200]
            time.sleep(READY_INTERVAL_S)

    def close(self):
        self.ended = True
        self.thread.join()

    def post(self, path, body, headers):
        """The HTTP status, or a text that describes the failure."""
        for _ in range(2 * len(self.entries)):
            ready = self.ready
            if not ready:
                time.sleep(READY_INTERVAL_S)
                continue
            entry = ready[next(self.next_index) % len(ready)]
            connection = http.client.HTTPConnection(
                "127.0.0.1", entry.http_port, timeout=CALL_TIMEOUT_S)
            try:
                connection.connect()
            except OSError:
                continue
            try:
                connection.request("POST", path, body, headers)
                answer = connection.getresponse()
                content = answer.read()
                if answer.status == 200 and content != body.encode():
                    return "a body of another request"
                return answer.status
            except (OSError, http.client.HTTPException) as error:
                return f"{type(error).__name__} at {entry.name}"
            finally:
                connection.close()
        return "no entry is ready"


class Callers:
    """Threads that each send one request after another until close()."""

    def __init__(self, balancer, services):
        self.balancer = balancer
        self.services = services
        self.ended = False
        self.calls = 0
        self.lost = []
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self._call, args=(number,))
                        for number in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def _call(self, caller):
        for number in itertools.count():
            if self.ended:
                return
            key = f"stop-{caller}-{number}"
            headers = {"Vh-Member": f"member-{caller}",
                       "Vh-Deadline-Ms": "10000", "Idempotency-Key": key,
                       "Vh-Issued-At": str(int(time.time() * 1000)),
                       "Vh-Repeatable": "no" if number % 2 else "yes"}
            service = self.services[number % len(self.services)]
            result = self.balancer.post(
                f"/v1/services/{service}/jobs", f"body of {key}", headers)
            with self.lock:
                self.calls += 1
                if result != 200:
                    self.lost.append((key, result))
            time.sleep(0.01)

    def close(self):
        self.ended = True
        for thread in self.threads:
            thread.join()


def stop_one(deployment, node):
    code = node.terminate()
    if code != 0:
        raise AssertionError(f"{node.name} ended with {code}, expected 0")
    node.start()
    if node in deployment.entries:
        wait_until(lambda: http_get(node, "/readyz") == 200, 60,
                   f"{node.name} is ready again")
    time.sleep(1)  # until every entry knows the restarted node


def run(deployment, stops):
    deployment.start()
    time.sleep(2)
    balancer = Balancer(deployment.entries)
    callers = Callers(balancer, deployment.services)
    targets = itertools.cycle(
        node for pair in itertools.zip_longest(
            deployment.entries, deployment.runners)
        for node in pair if node is not None)
    done = 0
    try:
        for node in itertools.islice(targets, stops):
            stop_one(deployment, node)
            done += 1
            print(f"{done} {node.name} stopped; {callers.calls} calls, "
                  f"{len(callers.lost)} lost", flush=True)
    finally:
        callers.close()
        balancer.close()
    print(f"{callers.calls} calls in {done} stops, lost {len(callers.lost)}: "
          f"{callers.lost[:10]}")
    return 0 if not callers.lost and callers.calls > 50 * stops else 1


def main():
    build = os.path.abspath(sys.argv[1])
    stops = int(sys.argv[2]) if len(sys.argv) > 2 else STOPS_IN_CI
    folder = tempfile.mkdtemp(prefix="vanillahatch-stop-")
    deployment = Deployment(build, folder, run_ms=30)
    try:
        return run(deployment, stops)
    finally:
        deployment.stop()
        if os.environ.get("VH_KEEP"):
            print(f"kept {folder}")
        else:
            shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
