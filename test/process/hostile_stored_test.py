"""More accepted jobs than the memory of a scheduler holds.

    python3 test/process/hostile_stored_test.py BUILD_DIR"""

import collections
import os
import sys
import threading

sys.path.insert(0, os.path.dirname(__file__))
import hostile  # noqa: E402
import platform_test as platform  # noqa: E402

MEMORY_MB = (96, 128)  # gateway, scheduler
SENDERS = 8
ATTEMPTS = 5
JOBS = 20000
JOB = {"spec": "x" * 4000, "steps": [{"count": 1, "cpu": 500, "mem_mb": 10,
                                      "estimate_ms": 300}]}


def submit(sender, statuses):
    for number in range(sender, JOBS, SENDERS):
        for _ in range(ATTEMPTS):
            try:
                status = platform.client(
                    "POST", "/q/%016x" % (number | 1 << 32), JOB)[0]
            except OSError:
                continue  # The connection may be closed.
            if status in (200, 503):
                statuses.append(status)
                break


def attack(_):
    statuses = []
    threads = [threading.Thread(target=submit, args=(sender, statuses))
               for sender in range(SENDERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    counts = collections.Counter(statuses)
    print("  answers:", dict(counts), flush=True)
    assert len(statuses) == JOBS, counts
    assert counts[200] > 0, counts
    return []


def check_client(_):
    """A new job may be refused; those that were accepted can be read."""
    platform.until("an ordinary client is answered",
                   lambda: platform.state("%016x" % (1 << 32)) == "queued")


def main():
    hostile.run_cases([{"name": "20,000 jobs of 4,000 bytes without a runner",
                        "attack": attack, "memory_mb": MEMORY_MB,
                        "check_client": check_client}])


if __name__ == "__main__":
    main()
