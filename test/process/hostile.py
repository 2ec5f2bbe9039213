"""Shared by the tests of clients and services that keep to no limit: a
deployment whose processes have lowered limits, crowds of raw connections, and
checks that each process lives, stays within its limits and still answers."""

import concurrent.futures
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(__file__))
import platform_test as platform  # noqa: E402
from fake_platform import call  # noqa: E402

SENDERS = 32
GUARD_MB = 1024
SEND_TIMEOUT_S = 3
LINE = b"X-Filler-%06d: " + b"y" * 1000 + b"\r\n"
OrdinaryNode = platform.Node
REPORTING = []  # heartbeats of the present case
REQUEST = b"%s %s HTTP/1.1\r\nHost: h.example\r\n"


def limited_node(memory_mb, max_fds):
    """The class of nodes whose settings state these limits; each by program."""

    class LimitedNode(OrdinaryNode):
        memory_mb = 0
        max_fds = 0

        def write(self, bootstrap):
            super().write(bootstrap)
            self.memory_mb = memory_mb[self.program]
            self.max_fds = max_fds[self.program]
            with open(self.file, "a", encoding="utf-8") as file:
                file.write("[limits]\nmemory_mb = %d\nmax_fds = %d\n"
                           % (self.memory_mb, self.max_fds))

        def status(self, key):
            path = "/proc/%d/status" % self.process.pid
            with open(path, encoding="utf-8") as file:
                return next(int(line.split()[1]) for line in file
                            if line.startswith(key + ":"))

        def peak_mb(self):
            return self.status("VmHWM") / 1024

        def descriptors(self):
            return len(os.listdir("/proc/%d/fd" % self.process.pid))

    return LimitedNode


def report_for_one_case():
    """Heartbeats that end with the case."""
    heartbeats = platform.Heartbeats()
    REPORTING.append(heartbeats)
    return heartbeats


class Crowd:
    """Connections that stay open until the crowd is closed. Each sends its
    pieces as far as the server takes them and reads nothing."""

    def __init__(self, address, count, pieces):
        self.address = address
        self.pieces = pieces
        self.sockets = []
        with concurrent.futures.ThreadPoolExecutor(SENDERS) as pool:
            self.sockets = list(pool.map(self.send, range(count)))

    def send(self, _):
        sock = socket.socket()
        sock.settimeout(SEND_TIMEOUT_S)
        try:
            sock.connect(self.address)
            for piece in self.pieces():
                sock.sendall(piece)
        except OSError:
            pass  # The server may refuse, wait or close.
        return sock

    def close(self):
        for sock in self.sockets:
            sock.close()


def endless_trailers(mb, target=b"/q/00000000000000e1", method=b"POST"):
    """A chunked request whose trailers have no end, up to `mb`."""
    def pieces():
        yield REQUEST % (method, target)
        yield b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"
        for i in range(mb * 1024):
            yield LINE % i
    return pieces


def endless_chunk_extension(mb, target=b"/q/00000000000000e2"):
    def pieces():
        yield REQUEST % (b"POST", target)
        yield b"Transfer-Encoding: chunked\r\n\r\n2"
        for _ in range(mb * 16):
            yield b";" + b"e" * 65535
    return pieces


def endless_headers(mb, target=b"/q/00000000000000e3"):
    def pieces():
        yield REQUEST % (b"POST", target)
        for i in range(mb * 1024):
            yield LINE % i
    return pieces


def unfinished_body(length, target=b"/q/00000000000000e4"):
    """A request whose body lacks its last byte."""
    def pieces():
        yield REQUEST % (b"POST", target)
        yield b"Content-Length: %d\r\n\r\n" % length
        for at in range(0, length - 1, 65536):
            yield b" " * min(65536, length - 1 - at)
    return pieces


def unread_answers(target, count):
    def pieces():
        yield (REQUEST % (b"GET", target) + b"\r\n") * count
    return pieces


def nothing():
    return ()


def leader_node(nodes):
    """The leader's node, None while no node says who leads."""
    leader = platform.leader()
    return next((node for node in nodes if node.ip == leader), None)


def check_client_is_served(job):
    """A small job is accepted and its state can be read."""
    def served():
        status = platform.client("POST", "/q/" + job, {"spec": "", "steps": [
            {"count": 1, "cpu": 500, "mem_mb": 10, "estimate_ms": 300}]})[0]
        return status == 200 and platform.state(job) is not None
    platform.until("an ordinary client is served", served)


def check_operator_is_served(nodes):
    def served():
        node = leader_node(nodes)
        return node is not None and call(
            (node.ip, platform.CONTROL), "GET", "/api/config/get")[0] == 200
    platform.until("an ordinary operator is served", served)


def check_within_limits(nodes, failed):
    for node in nodes:
        name = os.path.basename(node.file)
        if node.process.poll() is not None:
            failed.append("%s ended: %s" % (name, node.process.poll()))
            continue
        for value, bound, what in (
                (node.peak_mb(), node.memory_mb, "MB at the peak"),
                (node.descriptors(), node.max_fds, "descriptors")):
            print("  %s: %d %s, bound %d" % (name, value, what, bound))
            if value > bound:
                failed.append("%s: %d %s, over %d"
                              % (name, value, what, bound))


class Guard(threading.Thread):
    """Kills a process that grows far beyond its limit, for the sake of the
    machine that the test runs on."""

    def __init__(self, nodes, failed):
        super().__init__(daemon=True)
        self.nodes = nodes
        self.failed = failed
        self.stopped = False

    def run(self):
        while not self.stopped:
            for node in self.nodes:
                try:
                    rss_mb = node.status("VmRSS") / 1024
                except (OSError, StopIteration):
                    continue  # It has ended.
                if rss_mb > GUARD_MB:
                    node.process.kill()
                    self.failed.append("%s killed at %d MB"
                                       % (os.path.basename(node.file), rss_mb))
            time.sleep(0.05)


def run_case(name, attack, memory_mb, max_fds=4096, config=platform.CONFIG,
             check_client=check_client_is_served):
    """Plays `attack(nodes)`, which returns open crowds, in a deployment of its
    own, with ordinary requests while they are open and after they are closed.
    Returns what failed."""
    failed = []
    guards = []

    def scenario(folder, nodes):
        platform.start(folder, nodes, config)
        guard = Guard(nodes, failed)
        guard.start()
        guards.append(guard)
        crowds = attack(nodes)
        time.sleep(0.5)  # until what was sent has been read
        check_within_limits(nodes, failed)
        checks = [lambda: check_client("00000000000000a1"),
                  lambda: check_operator_is_served(nodes)]
        for check in checks:
            try:
                check()
            except AssertionError as error:
                failed.append("crowd open: %s" % error)
        for crowd in crowds:
            crowd.close()
        try:
            check_client("00000000000000a2")
            check_operator_is_served(nodes)
        except AssertionError as error:
            failed.append("crowd closed: %s" % error)
        check_within_limits(nodes, failed)

    print(name, flush=True)
    platform.Node = limited_node(
        {"vh-gateway": memory_mb[0], "vh-scheduler": memory_mb[1]},
        {"vh-gateway": max_fds, "vh-scheduler": max_fds})
    try:
        platform.run_in_deployment(scenario, name)
    except AssertionError as error:
        failed.append(str(error))
    finally:
        for guard in guards:
            guard.stopped = True
        for heartbeats in REPORTING:
            heartbeats.stop()
        REPORTING.clear()
    return ["%s: %s" % (name, what) for what in failed]


def run_cases(cases):
    failed = [what for case in cases for what in run_case(**case)]
    for what in failed:
        print("FAILED", what)
    sys.exit(1 if failed else 0)
