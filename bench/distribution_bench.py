"""Measures the time until a configuration change is in force on every entry:
without faults, and when the leader of the control log is killed just before.

    python3 bench/distribution_bench.py BUILD_DIR [--entries 9] [--changes 100]
        [--kills 5]

A change is in force on an entry once its /readyz reports the revision. Two
times are printed: from the control replica's answer, and from the caller's
first try, which includes the cost of a killed leader."""

import argparse
import http.client
import json
import os
import shutil
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../scripts"))
from deployment import (DATA_CENTRES, OPERATOR_TOKEN, Deployment, http_get,
                        wait_until)

QUIET_P99_BOUND_MS = 1000
LEADER_KILLED_BOUND_MS = 3000
TRY_TIMEOUT_S = 5
AUTHORIZATION = {"Authorization": "Bearer " + OPERATOR_TOKEN}


def send_request(node, method, path, body=None, headers=None,
                 timeout=TRY_TIMEOUT_S):
    """Sends one request; returns (status, JSON)."""
    connection = http.client.HTTPConnection("127.0.0.1", node.http_port,
                                            timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, json.load(answer)
    finally:
        connection.close()


def make_change(controls, number):
    """Makes one change at the first replica that accepts it; returns its
    revision. Raises TimeoutError after 30 s."""
    body = json.dumps({
        "change_id": f"distribution-{number}", "author": "bench",
        "proposed_at_unix_ms": str(int(time.time() * 1000)),
        "set_default": {"setting": "member.max_queued",
                        "value": str(number % 90 + 1)}})
    deadline = time.monotonic() + 30
    while time.monotonic() < deadline:
        for control in controls:
            if not control.running():
                continue
            try:
                status, reply = send_request(control, "POST", "/v1/changes",
                                             body, AUTHORIZATION)
            except OSError:
                continue
            if status == 200:
                return int(reply["revision"])
        time.sleep(0.02)
    raise TimeoutError("no control replica took the change within 30 s")


def wait_in_force(entries, revision):
    waiting = list(entries)
    while waiting:
        waiting = [entry for entry in waiting
                   if send_request(entry, "GET", "/readyz")[1]["revision"]
                   < revision]


def find_leader(controls):
    for control in controls:
        status, replica = send_request(control, "GET", "/v1/replica", None,
                              AUTHORIZATION)
        if status == 200 and replica.get("role") == "leader":
            return control
    return None


def time_change(deployment, number):
    """Returns (ms from the first try, ms from the answer) until in force."""
    start = time.monotonic()
    revision = make_change(deployment.controls, number)
    answered = time.monotonic()
    wait_in_force(deployment.entries, revision)
    end = time.monotonic()
    return (end - start) * 1000, (end - answered) * 1000


def time_change_after_kill(deployment, number):
    leader = find_leader(deployment.controls)
    leader.kill()
    times = time_change(deployment, number)
    leader.start()
    wait_until(lambda: all(
        http_get(control, "/readyz") == 200
        for control in deployment.controls), 30, "all replicas are ready")
    time.sleep(3)
    return times


def report(what, times, bound_ms):
    for label, column in (("first try", 0), ("answer", 1)):
        ordered = sorted(row[column] for row in times)
        quantiles = [ordered[int(share * (len(ordered) - 1))]
                     for share in (0.5, 0.99)]
        print(f"{what:15}{label:11}{len(ordered):6}{quantiles[0]:10.0f}"
              f"{quantiles[1]:10.0f}{ordered[-1]:10.0f}{bound_ms:10}")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build", type=os.path.abspath)
    parser.add_argument("--entries", type=int, default=9)
    parser.add_argument("--changes", type=int, default=100)
    parser.add_argument("--kills", type=int, default=5)
    arguments = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="vanillahatch-distribution-")
    deployment = Deployment(
        arguments.build, folder,
        entries_per_centre=arguments.entries // len(DATA_CENTRES))
    try:
        deployment.start()
        wait_until(lambda: find_leader(deployment.controls) is not None, 30,
                   "a leader")
        quiet = [time_change(deployment, number)
                 for number in range(arguments.changes)]
        killed = [time_change_after_kill(deployment, 1_000_000 + number)
                  for number in range(arguments.kills)]
    finally:
        deployment.stop()
        shutil.rmtree(folder, ignore_errors=True)
    print(f"{len(deployment.entries)} entries, times in ms")
    print(f"{'row':15}{'from':11}{'count':>6}{'p50':>10}{'p99':>10}{'most':>10}"
          f"{'bound':>10}")
    report("quiet", quiet, QUIET_P99_BOUND_MS)
    report("leader killed", killed, LEADER_KILLED_BOUND_MS)


if __name__ == "__main__":
    main()
