"""Many connections that each stay within the limits of one: unfinished bodies,
answers that are not read, and more connections than descriptors.

    python3 test/process/hostile_crowd_test.py BUILD_DIR"""

import os
import sys

sys.path.insert(0, os.path.dirname(__file__))
import hostile  # noqa: E402
import platform_test as platform  # noqa: E402

MEMORY_MB = (96, 128)  # gateway, scheduler
MAX_BODY = 262144
MAX_REPORT = 4 << 20
MAX_FDS = 400
# A configuration of hundreds of routes.
LARGE_CONFIG = platform.config_of(["queue-%03d-%s" % (i, "n" * 80)
                                   for i in range(400)] + ["q"])


def front(count, pieces):
    return lambda nodes: [hostile.Crowd((platform.FRONT, platform.CLIENTS),
                                        count, pieces)]


def control(count, pieces):
    return lambda nodes: [hostile.Crowd(
        (hostile.leader_node(nodes).ip, platform.CONTROL), count, pieces)]


def everywhere(count):
    def attack(nodes):
        leader = hostile.leader_node(nodes).ip
        return [hostile.Crowd(address, count, hostile.nothing) for address in (
            (platform.FRONT, platform.CLIENTS), (leader, platform.CONTROL))]
    return attack


def main():
    hostile.run_cases([
        {"name": "600 unfinished bodies of 256 KiB, clients",
         "attack": front(600, hostile.unfinished_body(MAX_BODY)),
         "memory_mb": MEMORY_MB},
        {"name": "32 unfinished bodies of 8 MiB, clients",
         "attack": front(32, hostile.unfinished_body(8 << 20)),
         "memory_mb": MEMORY_MB},
        {"name": "40 unfinished reports of 4 MiB, control",
         "attack": control(40, hostile.unfinished_body(
             MAX_REPORT, b"/api/instances/i-9/heartbeat")),
         "memory_mb": MEMORY_MB},
        {"name": "1,000 connections that read no answer, control",
         "attack": control(1000, hostile.unread_answers(
             b"/api/config/get", 60)),
         "memory_mb": MEMORY_MB, "config": LARGE_CONFIG},
        {"name": "600 connections, 400 descriptors",
         "attack": everywhere(600), "memory_mb": MEMORY_MB,
         "max_fds": MAX_FDS}])


if __name__ == "__main__":
    main()
