"""A core machine is replaced as planned; later another one loses its disk."""

import os
import signal
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(CASE))
import standins  # noqa: E402

# The successor has had catch_up_s when the old machine is removed, and
# catch_up_s pass once more until the next loss.
AFTER_START_S = standins.CATCH_UP_S + 1
AFTER_REMOVAL_S = float(os.environ.get("AFTER_REMOVAL_S",
                                       standins.CATCH_UP_S + 0.5))
RECOVERY_S = 12
READ_FOR_S = 40
ACCEPTED = "/q/00000000000000a1"


def scenario(deployment, trouble):
    routes = [standins.route("r", "/q/", "s")]
    deployment.start(standins.config(3, routes, ["s"]))
    deployment.add_runner("i-1", "s", "m-1")
    if deployment.client("POST", ACCEPTED, standins.job())[0] != 200:
        raise standins.CannotRun("the job was not accepted")
    deployment.until("the job is completed",
                     lambda: deployment.state(ACCEPTED) == "completed")
    leader = deployment.leader()
    removed, wiped = [node for node in deployment.cores if node != leader]
    deployment.record.write("leader", leader.name, "to be removed",
                            removed.name, "to lose its disk", wiped.name)

    if trouble:
        successor = deployment.add_core("core-%s-2" % removed.zone, 14,
                                        removed.zone)
        time.sleep(AFTER_START_S)
        deployment.listed = [successor if node is removed else node
                             for node in deployment.listed]
        removed_at = time.monotonic()
        removed.send(signal.SIGTERM)
    else:
        time.sleep(AFTER_START_S)
        removed_at = time.monotonic()
    if deployment.put_config(standins.config(7, routes, ["s"])) != 200:
        raise standins.CannotRun("version 7 was not acknowledged")
    time.sleep(max(0.0, removed_at + AFTER_REMOVAL_S - time.monotonic()))
    if trouble:
        wiped.kill()
        wiped.lose_disk()
        time.sleep(1)
        wiped.start(bootstrap=False)
    back_at = time.monotonic()

    version = None
    while time.monotonic() < back_at + READ_FOR_S and version != 7:
        if trouble and time.monotonic() > removed_at + standins.GRACE_S:
            removed.kill()  # unless it has ended by itself
        status, read = deployment.get_config()
        version = read if status == 200 else None
        time.sleep(0.5)
    state = deployment.state(ACCEPTED)
    if version == 7 and state == "completed":
        return None
    return ("%d s after all machines were back, the configuration is read as "
            "%s and the accepted job as %s; recovery_s is %d" % (
                time.monotonic() - back_at, version, state, RECOVERY_S))


standins.main(CASE, scenario)
