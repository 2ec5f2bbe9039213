"""A core machine that is removed for good after its successor has joined, and
another one that then loses its disk. See claim.txt."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins_3 as standins  # noqa: E402

SUCCESSOR_S = 10.0  # it has been there; `catch_up_s` is 4
AFTER_REMOVAL_S = float(os.environ.get("AFTER_REMOVAL_S", "1"))
BACK_S = 1.0
RECOVERY_S = 12
FINISH_S = 14
JOB = "/s/00000000000000a0"
STEP = {"count": 1, "cpu": 500, "mem_mb": 10, "estimate_ms": 300}


def play(record):
    deployment = standins.Deployment(record)
    runners = standins.Runners(deployment)
    try:
        config = standins.config_of(["s"])
        deployment.start(config)
        runners.add("m-1", "s", run_s=0.3)
        runners.wait_for_contact()
        if deployment.submit(JOB, [STEP]) != 200:
            raise standins.CannotRun("the job was not accepted")
        standins.wait_until("the job completes", lambda:
                            deployment.state(JOB) == "completed")
        if standins.TROUBLE:
            successor = deployment.add_scheduler()
            record.write("%s is added, at a new address, with an empty disk",
                         successor.name)
            time.sleep(SUCCESSOR_S)
            leader = deployment.leader()
            if leader is None:
                raise standins.CannotRun("no scheduler leads")
            removed, wiped = [each for each in deployment.schedulers
                              if each not in (leader, successor)]
            removed.kill()
            record.write("%s is removed permanently, without SIGTERM; %s has "
                         "been there for %d s", removed.name, successor.name,
                         SUCCESSOR_S)
            time.sleep(AFTER_REMOVAL_S)
            wiped.kill()
            record.write("%s loses its disk, %.1f s later", wiped.name,
                         AFTER_REMOVAL_S)
            time.sleep(BACK_S)
            wiped.lose_disk()
            record.write("%s is back, empty, at its old address", wiped.name)
            time.sleep(RECOVERY_S)
        ends_at = time.monotonic() + FINISH_S
        state, version = None, None
        while time.monotonic() < ends_at and None in (state, version):
            state = state or deployment.state(JOB)
            version = version or deployment.call_control(
                "GET", "/api/config/get")[1].get("version")
            time.sleep(0.5)
        record.write("in %d s: client: GET %s -> %s; operator: config/get -> "
                     "version %s", FINISH_S, JOB, state, version)
        for each in deployment.schedulers:
            record.write("%s: %s", each.name,
                         "runs" if each.is_up() else "is not there")
        return state != "completed" or version != config["version"]
    finally:
        runners.stop()
        deployment.stop()


standins.main(HERE, play)
