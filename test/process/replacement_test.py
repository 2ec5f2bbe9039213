"""Machines of three vh-scheduler processes are replaced, and each time another
one loses its disk as soon as the replaced machine no longer counts as lost. The
configuration and the accepted job must be served again within the recovery
time.

    python3 test/process/replacement_test.py BUILD_DIR"""

import os
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(__file__))
import platform_test as platform  # noqa: E402
from fake_platform import call  # noqa: E402

CATCH_UP_S = 4
RECOVERY_S = 12
RESTART_S = 1
STOP_S = 3
JOB = "00000000000000a1"


class Cluster:
    def __init__(self, folder, nodes):
        self.folder = folder
        self.nodes = nodes
        self.cores = nodes[:3]
        self.version = platform.CONFIG["version"]

    def leader_and_followers(self):
        platform.until("a leader is known",
                       lambda: platform.leader() is not None, RECOVERY_S)
        address = platform.leader()
        leader = next(core for core in self.cores if core.ip == address)
        return leader, [core for core in self.cores if core is not leader]

    def add(self, number, seeds):
        """Starts a successor that is told only of `seeds`."""
        core = platform.Node(self.folder, "vh-scheduler", "core-%d" % number,
                             platform.NET + str(number),
                             'control = "%s%d:%d"' % (platform.NET, number,
                                                      platform.CONTROL),
                             self.cores[0].values["cloud"])
        core.values["seeds"] = ",".join(
            '"%s:%d"' % (seed.ip, platform.CONTROL) for seed in seeds)
        self.nodes.append(core)
        core.start()
        return core

    def replace(self, removed, successor):
        self.cores[self.cores.index(removed)] = successor
        platform.CORES[:] = [core.ip for core in self.cores]

    def lose_disk(self, core):
        core.stop()
        shutil.rmtree(core.values["data"])
        os.mkdir(core.values["data"])
        time.sleep(RESTART_S)
        core.start()

    def put_next_version(self):
        self.version += 1
        platform.until("a configuration is accepted", lambda: platform.put_config(
            dict(platform.CONFIG, version=self.version)) == 200, RECOVERY_S)

    def check_serves(self, case):
        def is_served():
            status, _, body = call((platform.leader(), platform.CONTROL), "GET",
                                   "/api/config/get")
            return (status == 200 and body["version"] == self.version and
                    platform.state(JOB) in ("queued", "running"))
        try:
            platform.until(case, lambda: platform.leader() and is_served(),
                           RECOVERY_S)
        finally:
            print("replacement:", case, flush=True)
        self.put_next_version()
        time.sleep(CATCH_UP_S)


def killed_for_good(cluster, number):
    """Guards against a successor that cannot find the leader or takes no place
    of its own before the next loss."""
    _, (removed, wiped) = cluster.leader_and_followers()
    removed.stop()
    time.sleep(RESTART_S)
    cluster.replace(removed, cluster.add(number, [removed, wiped]))
    time.sleep(CATCH_UP_S)
    cluster.lose_disk(wiped)
    cluster.check_serves("a follower is replaced after its end")


def told_to_stop(cluster, number, is_leader):
    """Guards against a planned stop that leaves a member behind."""
    leader, followers = cluster.leader_and_followers()
    removed = leader if is_leader else followers[0]
    successor = cluster.add(number, [leader, followers[1]])
    time.sleep(CATCH_UP_S)
    cluster.replace(removed, successor)
    began_at = time.monotonic()
    removed.stop(signal.SIGTERM)
    platform.check(time.monotonic() - began_at < STOP_S, "a prompt stop")
    cluster.lose_disk(followers[1])
    cluster.check_serves("a %s is replaced before its end" % (
        "leader" if is_leader else "follower"))


def killed_with_successor(cluster, number, is_leader):
    """Guards against a quorum that is lost with the next disk if the end of the
    machine before has not been noticed, though its successor was there."""
    leader, followers = cluster.leader_and_followers()
    removed = leader if is_leader else followers[0]
    successor = cluster.add(number, [leader, followers[1]])
    time.sleep(CATCH_UP_S)
    cluster.replace(removed, successor)
    removed.stop()
    cluster.lose_disk(followers[1])
    cluster.check_serves("a disk is lost right after the end of a %s" % (
        "leader" if is_leader else "follower"))


def two_disks_lost_of_six(cluster, first_number):
    """Guards against a successor that is out of the cluster for good, so that
    the loss of as many disks as are tolerated ends it: all processes are killed
    at the same time and two of them lose their disks."""
    for number in range(first_number, first_number + 3):
        cluster.cores.append(cluster.add(number, cluster.cores[:3]))
    platform.CORES[:] = [core.ip for core in cluster.cores]
    time.sleep(CATCH_UP_S)
    cluster.put_next_version()
    _, followers = cluster.leader_and_followers()
    removed, *seeds = followers[:3]
    removed.stop()
    time.sleep(RESTART_S)
    cluster.replace(removed, cluster.add(first_number + 3, [removed] + seeds))
    time.sleep(CATCH_UP_S)
    cluster.put_next_version()
    for core in cluster.cores:
        core.process.kill()
    for core in cluster.cores:
        core.stop()
    for core in seeds:
        shutil.rmtree(core.values["data"])
        os.mkdir(core.values["data"])
    for core in cluster.cores:
        core.start()
    cluster.check_serves("two of six lose their disks as all are killed")


def run(folder, nodes):
    platform.start(folder, nodes, platform.CONFIG)
    cluster = Cluster(folder, nodes)
    platform.submit("q", JOB)
    killed_with_successor(cluster, 14, is_leader=False)
    killed_with_successor(cluster, 15, is_leader=True)
    killed_for_good(cluster, 16)
    told_to_stop(cluster, 17, is_leader=False)
    told_to_stop(cluster, 18, is_leader=True)
    two_disks_lost_of_six(cluster, 19)


def main():
    nodes = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            run(folder, nodes)
        except AssertionError:
            for node in nodes:
                print("==", node.values["node"])
                with open(node.log.name, encoding="utf-8") as log:
                    print(log.read()[-3000:])
            raise
        finally:
            for node in nodes:
                node.stop()


if __name__ == "__main__":
    main()
