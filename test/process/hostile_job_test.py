"""Jobs whose small bodies become large in memory: steps of many tasks, long
lists of earlier steps, long names, deeply nested JSON.

    python3 test/process/hostile_job_test.py BUILD_DIR"""

import json
import os
import sys

sys.path.insert(0, os.path.dirname(__file__))
import hostile  # noqa: E402
import platform_test as platform  # noqa: E402

MEMORY_MB = (96, 128)  # gateway, scheduler
STEP = {"count": 1, "cpu": 500, "mem_mb": 10, "estimate_ms": 300}


def submit(first, count, body):
    text = body if isinstance(body, str) else json.dumps(body)
    for number in range(first, first + count):
        try:
            platform.client("POST", "/q/%016x" % number, text)
        except OSError:
            pass  # A refusal may close the connection.


def with_runner(count, body):
    """Submits the body `count` times while a runner takes tasks."""
    def attack(nodes):
        heartbeats = hostile.report_for_one_case()
        platform.add_runner(heartbeats, "i-1", "s")
        submit(0xe000, count, body)
        return []
    return attack


def main():
    wide = dict(STEP, count=10000)
    hostile.run_cases([
        {"name": "4 jobs of 256 steps of 10,000 tasks",
         "attack": with_runner(4, {"spec": "", "steps": [wide] * 256}),
         "memory_mb": MEMORY_MB},
        {"name": "repeated jobs of 256 steps of 10,000 tasks",
         "attack": with_runner(4, {
             "spec": "", "steps": [wide] * 256, "repeat_count": 4000000000,
             "start_offset_ms": 1, "interval_ms": 1}),
         "memory_mb": MEMORY_MB},
        {"name": "300 jobs with 120,000 numbers in `after`",
         "attack": with_runner(300, {
             "spec": "", "steps": [STEP, dict(STEP, after=[0] * 120000)]}
         ), "memory_mb": MEMORY_MB},
        {"name": "600 jobs with a name of 250,000 bytes",
         "attack": with_runner(600, {
             "spec": "", "steps": [dict(STEP, image="i" * 250000)]}),
         "memory_mb": MEMORY_MB},
        {"name": "nested and wide JSON of 256 KiB",
         "attack": with_runner(20, '{"steps":' + "[" * 260000),
         "memory_mb": MEMORY_MB},
        {"name": "wide JSON of 256 KiB",
         "attack": with_runner(20, '{"steps":[' + "[0]," * 65000 + "0]}"),
         "memory_mb": MEMORY_MB}])


if __name__ == "__main__":
    main()
