"""Services whose answers to a scheduler have no end: instances and the machine
API, in each part of an answer.

    python3 test/process/hostile_answer_test.py BUILD_DIR"""

import os
import socketserver
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(__file__))
import fake_platform  # noqa: E402
import hostile  # noqa: E402
import platform_test as platform  # noqa: E402

MEMORY_MB = (96, 128)  # gateway, scheduler
RUNNERS = 8
MB = 48
START = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"


def lines():
    for i in range(MB * 1024):
        yield hostile.LINE % i


def headers():
    yield START
    yield from lines()


def trailers():
    yield CHUNKED + b"2\r\n{}\r\n0\r\n"
    yield from lines()


def body():
    yield CHUNKED
    for _ in range(MB * 16):
        yield b"10000\r\n" + b" " * 65536 + b"\r\n"


class EndlessService(socketserver.ThreadingTCPServer):
    """Answers each connection with pieces, then holds it open."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, address, pieces):
        class Handler(socketserver.BaseRequestHandler):
            def handle(self):
                try:
                    self.request.recv(65536)
                    for piece in pieces():
                        self.request.sendall(piece)
                    time.sleep(10)
                except OSError:
                    pass

        super().__init__((address, 0), Handler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        pass


def instances(pieces):
    def attack(nodes):
        heartbeats = hostile.report_for_one_case()
        for i in range(RUNNERS):
            runner = fake_platform.Runner("i-%d" % i, "s", platform.RUNNERS)
            service = EndlessService(platform.RUNNERS, pieces)
            runner.address = service.server_address
            heartbeats.add(runner)
        time.sleep(6)
        return []
    return attack


def machine_api(pieces):
    """The machine API from the start of the processes on."""
    def serve(address, _):
        return EndlessService(address[0], pieces)

    def attack(nodes):
        time.sleep(6)
        return []
    return serve, attack


def main():
    cases = [{"name": "%s without end, instances" % pieces.__name__,
              "attack": instances(pieces), "memory_mb": MEMORY_MB}
             for pieces in (headers, trailers, body)]
    failed = [what for case in cases for what in hostile.run_case(**case)]
    for pieces in (headers, trailers, body):
        ordinary = platform.serve
        platform.serve, attack = machine_api(pieces)
        failed += hostile.run_case(
            "%s without end, machine API" % pieces.__name__, attack, MEMORY_MB)
        platform.serve = ordinary
    for what in failed:
        print("FAILED", what)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
