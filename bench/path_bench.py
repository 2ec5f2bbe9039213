"""Measures the overhead of sending a job through an entry instead of directly
to the runner: latency of one job at a time on persistent connections, and
processor time of the entry per 1,000 jobs. Runs real processes on loopback and
alternates between the routes within one run.

    python3 bench/path_bench.py BUILD_DIR [--rounds 20] [--jobs 100]"""

import argparse
import http.client
import os
import shutil
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../scripts"))
from deployment import Deployment

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
ADDED_P50_BOUND_MS = 0.3
BODY = b"x" * 1000


def cpu_seconds(node):
    with open(f"/proc/{node.process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


class Route:
    """Sends jobs to one port and path over a connection of its own."""

    def __init__(self, name, port, path, headers):
        self.name, self.path, self.headers = name, path, headers
        self.connection = http.client.HTTPConnection("127.0.0.1", port,
                                                     timeout=20)
        self.number = 0
        self.latencies_ms = []

    def send(self):
        self.number += 1
        headers = {name: value() if callable(value) else value
                   for name, value in self.headers.items()}
        start = time.perf_counter()
        self.connection.request("POST", self.path, BODY, headers)
        answer = self.connection.getresponse()
        body = answer.read()
        self.latencies_ms.append((time.perf_counter() - start) * 1000)
        if answer.status != 200 or body != BODY:
            raise AssertionError(f"{self.name}: {answer.status} {body[:200]}")

    def quantile(self, fraction):
        ordered = sorted(self.latencies_ms)
        return ordered[int(fraction * (len(ordered) - 1))]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build", type=os.path.abspath)
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=100)
    arguments = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="vanillahatch-path-")
    deployment = Deployment(arguments.build, folder, services=("loops",),
                            runners_per_service=3, run_ms=0)
    try:
        deployment.start()
        time.sleep(3)
        entry = deployment.entries[0]
        runner_port = int(deployment.runners[0].command[
            deployment.runners[0].command.index("--port") + 1])
        jobs = "/v1/services/loops/jobs"
        counter = iter(range(10 ** 9))
        routes = [
            Route("direct", runner_port, "/jobs", {}),
            Route("entry, repeatable", entry.http_port, jobs,
                {"Vh-Member": "m"}),
            Route("entry, at most once", entry.http_port, jobs,
                {"Vh-Member": "m", "Vh-Repeatable": "no",
                 "Idempotency-Key": lambda: f"k{next(counter)}",
                 "Vh-Issued-At": lambda: str(int(time.time() * 1000))}),
        ]
        entry_cpu_seconds = {route.name: 0.0 for route in routes}
        for _ in range(arguments.rounds):
            for route in routes:
                before = cpu_seconds(entry)
                for _ in range(arguments.jobs):
                    route.send()
                entry_cpu_seconds[route.name] += cpu_seconds(entry) - before
        print(f"{'way':22}{'p50 ms':>9}{'p99 ms':>9}{'added p50':>11}"
              f"{'entry CPU ms per 1,000 jobs':>30}")
        direct = routes[0].quantile(0.5)
        total = arguments.rounds * arguments.jobs
        for route in routes:
            print(f"{route.name:22}{route.quantile(0.5):9.3f}"
                  f"{route.quantile(0.99):9.3f}"
                  f"{route.quantile(0.5) - direct:11.3f}"
                  f"{entry_cpu_seconds[route.name] / total * 1e6:30.0f}")
        added = routes[1].quantile(0.5) - direct
        met = added <= ADDED_P50_BOUND_MS
        print(f"added p50 of a repeatable job: {added:.3f} ms, bound "
              f"{ADDED_P50_BOUND_MS} ms: {'met' if met else 'MISSED'}")
        return 0 if met else 1
    finally:
        deployment.stop()
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
