"""Requests with a part that has no end, at each server of a gateway and of a
scheduler: trailers, chunk extensions, headers.

    python3 test/process/hostile_message_test.py BUILD_DIR"""

import os
import sys

sys.path.insert(0, os.path.dirname(__file__))
import hostile  # noqa: E402
import platform_test as platform  # noqa: E402

CROWD = 8
MB = 24
MEMORY_MB = (96, 128)  # gateway, scheduler
METRICS = 9464

PARTS = {"trailers": hostile.endless_trailers,
         "chunk extension": hostile.endless_chunk_extension,
         "headers": hostile.endless_headers}
SERVERS = {
    "clients": lambda nodes: (platform.FRONT, platform.CLIENTS),
    "readiness": lambda nodes: (platform.FRONT, platform.READY),
    "gateway metrics": lambda nodes: (platform.FRONT, METRICS),
    "control": lambda nodes: (hostile.leader_node(nodes).ip, platform.CONTROL),
    "scheduler metrics": lambda nodes: (hostile.leader_node(nodes).ip,
                                        METRICS)}


def attack(part, server):
    return lambda nodes: [hostile.Crowd(SERVERS[server](nodes), CROWD,
                                        PARTS[part](MB))]


def main():
    hostile.run_cases([
        {"name": "%s without end, %s" % (part, server),
         "attack": attack(part, server), "memory_mb": MEMORY_MB}
        for part, servers in (("trailers", SERVERS),
                              ("chunk extension", ("clients", "control")),
                              ("headers", ("clients", "control")))
        for server in servers])


if __name__ == "__main__":
    main()
