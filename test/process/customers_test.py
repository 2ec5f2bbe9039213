"""Customers and their keys on three vh-scheduler and two vh-gateway processes:
a revoked key must not be served by any gateway after the confirmation of the
configuration that removed it, also when the leader is killed or stands still.

    python3 test/process/customers_test.py BUILD_DIR"""

import http.client
import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(__file__))
import platform_test as platform  # noqa: E402
from fake_platform import call  # noqa: E402

FRONTS = [platform.FRONT, platform.NET + "22"]
JOB = "00000000000000a1"
STEPS = {"spec": "", "steps": [
    {"count": 1, "cpu": 500, "mem_mb": 10, "estimate_ms": 3000}]}
# Long enough for an election and for a gateway to find the new leader.
WATCH_S = 4


def key(number):
    return "secret-%d-of-kiosks" % number


OTHER_KEY = "secret-of-transit"


def config(version, keys, **tenant):
    anonymous = dict(platform.CONFIG["routes"][0], name="open",
                     path_prefix="/open/", allow_anonymous=True)
    return dict(
        platform.CONFIG, version=version,
        routes=platform.CONFIG["routes"] + [anonymous],
        tenants=[dict({"name": "kiosks", "api_keys": keys, "weight": 2,
                       "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}, **tenant),
                 {"name": "transit", "api_keys": [OTHER_KEY], "weight": 1}])


def put(body):
    platform.until("version %d is confirmed" % body["version"],
                   lambda: platform.put_config(body) == 200)


def ask(front, method, path, *credentials, body=None):
    """The status and state of a call with these Authorization headers."""
    connection = http.client.HTTPConnection(front, platform.CLIENTS, timeout=5)
    try:
        connection.putrequest(method, path, skip_host=True)
        text = json.dumps(body).encode() if body else b""
        for name, value in [("Host", "h.example"), ("X-Deadline-Ms", "3000"),
                            ("Content-Length", str(len(text)))]:
            connection.putheader(name, value)
        for credential in credentials:
            connection.putheader("Authorization", credential)
        connection.endheaders(text)
        response = connection.getresponse()
        parsed = json.loads(response.read() or b"{}")
        return response.status, parsed.get("state")
    finally:
        connection.close()


def bearer(text):
    return "Bearer " + text


def status_of(front, text):
    return ask(front, "GET", "/q/" + JOB, bearer(text))[0]


def check_bad_credentials_are_refused():
    for front in FRONTS:
        for credentials in [
                (), ("Bearer",), ("Basic " + key(1),), (bearer("unknown"),),
                (bearer("k" * 4000),), (bearer(key(1)), bearer(OTHER_KEY)),
                (bearer(key(1)), bearer(key(1)))]:
            for method in ("GET", "POST", "DELETE"):
                status, _ = ask(front, method, "/q/" + JOB, *credentials,
                                body=STEPS if method == "POST" else None)
                platform.check(status == 401, "%s with %.40s: %s" % (
                    method, credentials, status))
        platform.check(ask(front, "GET", "/open/" + JOB)[0] == 410,
                       "an anonymous call")
        platform.check(ask(front, "GET", "/open/" + JOB, bearer("unknown"))[0]
                       == 401, "an unknown key where none is needed")
        platform.check(status_of(front, OTHER_KEY) == 403, "another's job")
        platform.check(
            ask(front, "DELETE", "/q/" + JOB, bearer(OTHER_KEY))[0] == 403,
            "cancelling another's job")
        platform.check(ask(front, "GET", "/q/" + JOB, bearer(key(1)))
                       == (200, "queued"), "its own job")


def check_invalid_tenants_change_nothing(version):
    valid = config(version, [key(1)])
    for tenant in [
            {"name": ""}, {"name": "transit"}, {"weight": -1},
            {"weight": 1e300}, {"cap": {"cpu": -1}}, {"api_keys": [""]},
            {"api_keys": ["k" * 4000]}, {"api_keys": [OTHER_KEY]}]:
        body = config(version + 1, [key(1)])
        body["tenants"][0].update(tenant)
        status = platform.put_config(body)
        platform.check(400 <= status < 500, "%.60s: %s" % (tenant, status))
    read = call((platform.leader(), platform.CONTROL), "GET", "/api/config/get")
    platform.check(read[2] == valid, "the configuration in force")
    for front in FRONTS:
        platform.check(status_of(front, key(1)) == 200, "still served")


def check_revoked(revoked, valid, what):
    """No gateway serves the key from now on; each one refuses it in the end."""
    ends_at = time.monotonic() + WATCH_S
    while time.monotonic() < ends_at:
        for front in FRONTS:
            try:
                status = status_of(front, revoked)
            except OSError:
                continue
            platform.check(status in (401, 503, 504), "%s: %s" % (what, status))
        time.sleep(0.05)
    for front in FRONTS:
        platform.until("%s: the new key is served" % what,
                       lambda front=front: status_of(front, valid) == 200)
        platform.check(status_of(front, revoked) == 401,
                       "%s: not refused for its key" % what)
    print("customers: %s: ok" % what, flush=True)


def check_logs_contain_no_key(nodes):
    for node in nodes:
        with open(node.log.name, encoding="utf-8", errors="replace") as log:
            text = log.read()
        platform.check("secret-" not in text, "a key in the log of " + node.ip)


def run(folder, nodes):
    front = platform.start(folder, nodes, config(4, [key(1)]))
    second = platform.Node(
        folder, "vh-gateway", "front-2", FRONTS[1],
        'front = "%s:%d"\nready = "%s:%d"' % (
            FRONTS[1], platform.CLIENTS, FRONTS[1], platform.READY),
        front.values["cloud"])
    nodes.append(second)
    second.start()
    platform.until("the second gateway is ready", lambda: call(
        (FRONTS[1], platform.READY), "GET", "/api/ready")[0] == 200)
    platform.check(ask(FRONTS[0], "POST", "/q/" + JOB, bearer(key(1)),
                       body=STEPS)[0] == 200, "accepted")
    check_bad_credentials_are_refused()
    check_invalid_tenants_change_nothing(4)

    put(config(5, [key(2)]))
    check_revoked(key(1), key(2), "revoked")

    put(config(6, [key(3)]))
    killed = next(node for node in nodes if node.ip == platform.leader())
    killed.stop()
    check_revoked(key(2), key(3), "revoked as the leader is killed")
    killed.start()
    platform.until("all replicas follow", lambda: all(
        call((core, platform.CONTROL), "GET", "/api/config/get")[0]
        in (200, 307) for core in platform.CORES))

    frozen = next(node for node in nodes if node.ip == platform.leader())
    frozen.process.send_signal(signal.SIGSTOP)
    try:
        put(config(7, [key(4)]))
    finally:
        frozen.process.send_signal(signal.SIGCONT)
    check_revoked(key(3), key(4), "revoked while the leader stood still")
    check_logs_contain_no_key(nodes)


def main():
    platform.run_in_deployment(run, "customers and their keys")


if __name__ == "__main__":
    main()
