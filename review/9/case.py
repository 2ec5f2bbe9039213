"""A configuration replaces a route by one of another name for the same host,
path prefix and service, while a job of that queue is accepted and runs."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins_2 import (CANCEL_S, CONFIG_APPLY_S, STOP_TIMEOUT_S,  # noqa: E402
                        TROUBLE, VISIBLE_S, Runner, config, route, run_case,
                        service, until)

JOB = "/puxa400/5c0e7a21d94b36f8"
SERVICES = [service("huvo11a")]


def play(deployment):
    record = deployment.record
    deployment.start(config(7, [route("r-anu6wsj", "/puxa400/", "huvo11a")],
                            SERVICES))
    runner = Runner(deployment, "i-7f3a91c2", "huvo11a", "m-0a3f1",
                    lasting="5c0e")
    until("the runner is in contact", lambda: runner.fence > 0, 10)
    job = {"spec": "text", "steps": [
        {"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 500,
         "long_running": True}]}
    if deployment.client("POST", JOB, job)[0] != 200:
        raise RuntimeError("the job was not accepted")
    until("its tasks run", lambda: len(runner.is_running("5c0e")) == 2, 10)
    time.sleep(VISIBLE_S + 0.5)
    if deployment.client("GET", JOB)[0] != 200:
        raise RuntimeError("the job is not known before the change")

    # The same change of a time-out; without trouble the name stays.
    name = "r-wdk3m8q" if TROUBLE else "r-anu6wsj"
    changed = config(9, [route(name, "/puxa400/", "huvo11a", timeout_ms=2500)],
                     SERVICES)
    until("version 9 is confirmed",
          lambda: deployment.put_config(changed) == 200, 5)
    time.sleep(CONFIG_APPLY_S + 0.5)
    broken = []
    answers = [deployment.client("GET", JOB)[0] for _ in range(3)]
    if 410 in answers:
        broken.append("LOST: GET of the accepted job is answered %s" % answers)
    cancel = deployment.client("DELETE", JOB)[0]
    time.sleep(CANCEL_S + STOP_TIMEOUT_S + 0.5)
    running = runner.is_running("5c0e")
    record("tasks that run %.1f s after the cancel: %s" % (
        CANCEL_S + STOP_TIMEOUT_S + 0.5, running))
    if cancel in (200, 410) and running:
        broken.append("UNASKED: DELETE is answered %d and %d tasks run on"
                      % (cancel, len(running)))
    return "; ".join(broken)


sys.exit(run_case(FOLDER, play))
