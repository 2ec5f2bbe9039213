"""Announcements: every entry routes to a new upstream within 2 s, whichever
entry received the announcement; no entry sends a job to an upstream later than
2 s after it announced its departure, or later than lease plus 2 s after it
became unresponsive."""

import http.client
import os
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../scripts"))
from deployment import (DATA_CENTRES, UPSTREAM_TOKEN, Deployment, Node,
                        free_ports, wait_until)

ROUTED_EVERYWHERE_S = 2.0
DEPARTED_EVERYWHERE_S = 2.0
LEASE_S = 2.0
UNRESPONSIVE_S = LEASE_S + 2.0


def send_job(entry, service):
    """The HTTP status of one job, or None without a response."""
    connection = http.client.HTTPConnection("127.0.0.1", entry.http_port,
                                            timeout=10)
    try:
        connection.request("POST", f"/v1/services/{service}/jobs", b"x",
                           {"Vh-Member": "m", "Vh-Deadline-Ms": "300"})
        return connection.getresponse().status
    except OSError:
        return None
    finally:
        connection.close()


def make_runner(deployment, name, service, centre):
    port = free_ports(1)[0]
    return Node(name, [
        os.path.join(deployment.build, "fake_runner"), "--instance", name,
        "--service", service, "--data-centre", centre, "--port", str(port),
        "--token", UPSTREAM_TOKEN, "--run-ms", "1",
        "--log", os.path.join(deployment.folder, name + ".ran"),
        "--entry-port", str(deployment.entries[0].http_port)],
        deployment.folder)


def count_runs(deployment, name):
    path = os.path.join(deployment.folder, name + ".ran")
    if not os.path.exists(path):
        return 0
    with open(path, encoding="utf-8") as file:
        return len(file.readlines())


def check_routed_everywhere(deployment, runner):
    """Only the first entry receives the announcement; all must route to it."""
    runner.start()
    wait_until(lambda: send_job(deployment.entries[0], "paint") == 200, 30,
               "the entry that took the announcement routes")
    start = time.monotonic()
    not_routing = list(deployment.entries)
    while not_routing:
        not_routing = [entry for entry in not_routing
                   if send_job(entry, "paint") != 200]
        elapsed = time.monotonic() - start
        if not_routing and elapsed > ROUTED_EVERYWHERE_S:
            raise AssertionError(
                f"expected every entry to route within {ROUTED_EVERYWHERE_S} "
                f"s, actual: {[e.name for e in not_routing]} do not")
    print(f"known everywhere after {time.monotonic() - start:.2f} s")


def check_not_used(deployment, runner, bound, what):
    """After `bound` seconds no entry sends the runner another job."""
    time.sleep(bound)
    before = count_runs(deployment, runner.name)
    for _ in range(3):
        for entry in deployment.entries:
            send_job(entry, "paint")
    after = count_runs(deployment, runner.name)
    if after != before:
        raise AssertionError(f"{what}: expected no new job after {bound} s, "
                             f"actual {after - before}")
    print(f"{what}: no new job after {bound} s")


def check_unresponsive(deployment, runner):
    """Jobs sent to the suspended runner would run once it is resumed."""
    before = count_runs(deployment, runner.name)
    runner.signal(signal.SIGSTOP)
    time.sleep(UNRESPONSIVE_S)
    for entry in deployment.entries:
        send_job(entry, "paint")
    for entry in deployment.entries:
        entry.signal(signal.SIGSTOP)  # no new job reaches the resumed runner
    runner.signal(signal.SIGCONT)
    time.sleep(1)
    after = count_runs(deployment, runner.name)
    for entry in deployment.entries:
        entry.signal(signal.SIGCONT)
    if after != before:
        raise AssertionError(f"expected no job after {UNRESPONSIVE_S} s of "
                             f"silence, actual {after - before}")
    print(f"silent: no new job after {UNRESPONSIVE_S} s")


def main():
    build = os.path.abspath(sys.argv[1])
    folder = tempfile.mkdtemp(prefix="vanillahatch-announce-")
    deployment = Deployment(build, folder, runners_per_service=1)
    try:
        deployment.start()
        leaving = make_runner(deployment, "paint-1", "paint", DATA_CENTRES[0])
        deployment.runners.append(leaving)
        check_routed_everywhere(deployment, leaving)
        leaving.signal(signal.SIGTERM)
        check_not_used(deployment, leaving, DEPARTED_EVERYWHERE_S,
                       "departed by its own word")
        leaving.process.wait(30)

        suspended = make_runner(deployment, "paint-2", "paint",
                                DATA_CENTRES[0])
        deployment.runners.append(suspended)
        check_routed_everywhere(deployment, suspended)
        check_unresponsive(deployment, suspended)
    finally:
        deployment.stop()
        shutil.rmtree(folder, ignore_errors=True)
    print("announce: ok")


if __name__ == "__main__":
    main()
