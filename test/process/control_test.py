"""The control log while its processes are killed or suspended and their data
folders deleted.

    python3 test/process/control_test.py BUILD_DIR [--long]

--long suspends the leader for 30 s, as on a hung machine; otherwise for 6 s,
which exceeds every timeout of the log."""

import json
import os
import shutil
import signal
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../scripts"))
from deployment import OPERATOR_TOKEN, Deployment, wait_until

TIMEOUT_S = 60
LEADER_LOSS_S = 20  # allows for a busy machine


def call(node, path, body=None, timeout=10):
    """(HTTP status, decoded body), or (None, None) without a response."""
    request = urllib.request.Request(
        f"http://127.0.0.1:{node.http_port}{path}",
        data=json.dumps(body).encode() if body is not None else None,
        headers={"Authorization": "Bearer " + OPERATOR_TOKEN})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, json.load(answer)
    except urllib.error.HTTPError as error:
        return error.code, json.load(error)
    except OSError:
        return None, None


def change(number, revision=None):
    body = {"change_id": f"change-{number}", "author": "test",
            "put_pool": {"name": f"pool-{number}", "service": "loops",
                         "floor": 1, "ceiling": 5, "max_unavailable": 1}}
    if revision is not None:
        body["expected_revision"] = str(revision)
    return body


def status(node):
    return call(node, "/v1/replica")[1] or {}


class Log:
    """The three control replicas of a deployment, and the accepted changes.

    `frozen_s`: for how many seconds the leader is suspended."""

    def __init__(self, deployment, frozen_s):
        self.frozen_s = frozen_s
        self.nodes = deployment.controls
        self.folder = deployment.folder
        self.accepted = {}
        self.number = 0

    def leader(self):
        leading = [node for node in self.nodes
                   if status(node).get("role") == "leader"]
        return max(leading, key=lambda node: int(status(node).get("term", 0)),
                   default=None)

    def wait_for_leader(self):
        wait_until(self.leader, TIMEOUT_S, "a replica leads")
        return self.leader()

    def accept(self, node):
        """Resends one change until it is accepted, as an operator does."""
        self.number += 1
        body, deadline = change(self.number), time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            code, answer = call(node, "/v1/changes", body)
            if code == 200:
                self.accepted[self.number] = int(answer["revision"])
                return body, answer
            if code not in (None, 503):
                raise AssertionError(f"{code} {answer}")
            time.sleep(0.05)
        raise TimeoutError("no change was accepted")

    def others(self, node):
        return [other for other in self.nodes if other is not node]

    def check_equal(self):
        """All replicas are in the same state, with every accepted change."""
        expected = {f"pool-{number}" for number in self.accepted}

        def are_equal():
            states = [call(node, "/v1/state")[1] for node in self.nodes]
            if None in states or any(s != states[0] for s in states):
                return False
            return expected <= {pool["name"] for pool in states[0]["pools"]}
        wait_until(are_equal, TIMEOUT_S, "equal states with every change")


def check_leader_killed(log):
    log.accept(log.nodes[0])
    leader = log.wait_for_leader()
    leader.kill()
    start = time.monotonic()
    log.accept(log.others(leader)[0])
    pause = time.monotonic() - start
    print(f"changes paused {pause:.2f} s after the leader was killed")
    if pause > LEADER_LOSS_S:
        raise AssertionError(f"paused {pause:.1f} s")
    leader.start()
    log.check_equal()


def check_resend_elsewhere(log):
    body, first = log.accept(log.nodes[0])
    for node in log.nodes[1:]:
        _, again = call(node, "/v1/changes", body)
        if again != first:
            raise AssertionError(f"a resend got {again}, first {first}")


def check_race(log):
    """Two operators change the same revision at two replicas: one wins."""
    revision = call(log.nodes[0], "/v1/state")[1]["revision"]
    answers = []

    def propose(node, number):
        code, _ = call(node, "/v1/changes", change(number, revision))
        answers.append(code)
        if code == 200:
            log.accepted[number] = 0
    threads = [threading.Thread(target=propose, args=(node, 10_000 + index))
               for index, node in enumerate(log.nodes[:2])]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if sorted(answers) != [200, 409]:
        raise AssertionError(f"two racing operators got {answers}")


def check_frozen_leader(log):
    leader = log.wait_for_leader()
    leader.signal(signal.SIGSTOP)
    start = time.monotonic()
    log.accept(log.others(leader)[0])
    time.sleep(max(0, log.frozen_s - (time.monotonic() - start)))
    leader.signal(signal.SIGCONT)
    log.accept(leader)
    log.check_equal()


def check_lost_disks(log):
    """Deletes the data folder of each replica in turn, each right after the
    previous one was added to the configuration again."""
    victims = list(log.nodes[1:]) + [log.nodes[0]]
    for victim in victims:
        before = status(victim)["incarnation"]
        victim.kill()
        shutil.rmtree(os.path.join(log.folder, "data", victim.name))
        log.accept(log.others(victim)[0])
        victim.start()

        def repaired(victim=victim, before=before):
            current = status(victim)
            name = f"{victim.name}/{current.get('incarnation')}"
            return (current.get("incarnation") not in (None, before)
                    and current["role"] != "joining"
                    and all(name in status(node).get("members", [])
                            for node in log.nodes))
        wait_until(repaired, TIMEOUT_S,
                   f"{victim.name} is added to the configuration again")
    log.accept(log.nodes[0])
    log.check_equal()


def check_all_killed(log):
    for node in log.nodes:
        node.kill()
    for node in log.nodes:
        node.start()
    log.accept(log.nodes[0])
    log.check_equal()


def check_no_quorum_accepts_nothing(log):
    log.wait_for_leader()
    for node in log.nodes[1:]:
        node.kill()
    time.sleep(2)
    code, answer = call(log.nodes[0], "/v1/changes", change(20_000),
                        timeout=30)
    if code != 503 or answer["status"] != "CHANGE_UNAVAILABLE":
        raise AssertionError(f"without a quorum: {code} {answer}")
    for node in log.nodes[1:]:
        node.start()
    log.accept(log.nodes[0])
    log.check_equal()


def main():
    build = os.path.abspath(sys.argv[1])
    frozen_s = 30 if "--long" in sys.argv else 6
    folder = tempfile.mkdtemp(prefix="vanillahatch-control-")
    deployment = Deployment(build, folder)
    log = Log(deployment, frozen_s)
    try:
        for node in log.nodes:
            node.start()
        for check in (check_leader_killed, check_resend_elsewhere, check_race,
                      check_frozen_leader,
                      check_lost_disks, check_all_killed,
                      check_no_quorum_accepts_nothing):
            start = time.monotonic()
            check(log)
            print(f"{check.__name__} held, {time.monotonic() - start:.1f} s",
                  flush=True)
        codes = [node.terminate() for node in log.nodes]
        if codes != [0, 0, 0]:
            raise AssertionError(f"planned stops ended with {codes}")
    finally:
        for node in log.nodes:
            if node.running():
                node.signal(signal.SIGCONT)
                node.kill()
        if os.environ.get("VH_KEEP"):
            print(f"kept {folder}")
        else:
            shutil.rmtree(folder, ignore_errors=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
