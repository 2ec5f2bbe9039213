"""Each program: command line, exit codes, and rejection of invalid settings and
token files; an entry keeps serving after malformed input."""

import http.client
import os
import shutil
import socket
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../scripts"))
from deployment import Deployment, UPSTREAM_TOKEN, http_get, wait_until

PROGRAMS = ("vh-entry", "vh-control", "vh-ledger")
EXIT_USAGE, EXIT_SETTINGS = 2, 3


def expect(actual, expected, what):
    if actual != expected:
        raise AssertionError(f"{what}: expected {expected}, actual {actual}")


def run(build, program, *arguments):
    return subprocess.run([os.path.join(build, program), *arguments],
                          capture_output=True, text=True, timeout=60,
                          check=False)


def check_command_lines(build, deployment):
    for program in PROGRAMS:
        expect(run(build, program, "--help").returncode, 0, program)
        expect(run(build, program, "--version").returncode, 0, program)
        expect(run(build, program).returncode, EXIT_USAGE, program)
        expect(run(build, program, "--bogus").returncode, EXIT_USAGE, program)
        expect(run(build, program, "--config", deployment.config,
                   "--check").returncode, 0, program + " --check")
        missing = run(build, program, "--config", "no/such.toml", "--check")
        expect(missing.returncode, EXIT_SETTINGS, program + " missing file")
        wrong = run(build, program, "--config", deployment.config, "--node",
                    "nobody")
        expect(wrong.returncode, EXIT_SETTINGS, program + " unknown node")


def check_bad_settings(build, folder):
    path = os.path.join(folder, "bad.toml")
    with open(path, "w", encoding="utf-8") as file:
        file.write('deployment = 1\nobjective = "x"\ncolour = 2\n')
    done = run(build, "vh-entry", "--config", path, "--check")
    expect(done.returncode, EXIT_SETTINGS, "bad settings")
    for part in ("bad.toml:1: deployment", "bad.toml:2: objective",
                 "bad.toml:3: colour", "[[entry]]"):
        if part not in done.stderr:
            raise AssertionError(f"{part!r} is not in:\n{done.stderr}")


def check_token_file_mode(build, deployment):
    token = os.path.join(deployment.folder, "upstream.token")
    os.chmod(token, 0o644)
    done = run(build, "vh-entry", "--config", deployment.config, "--node",
               deployment.entries[0].name)
    os.chmod(token, 0o600)
    expect(done.returncode, EXIT_SETTINGS, "token readable by others")
    if UPSTREAM_TOKEN in done.stderr + done.stdout:
        raise AssertionError("the token was printed")


def request(entry, method, path, body=b"", headers=None):
    connection = http.client.HTTPConnection("127.0.0.1", entry.http_port,
                                            timeout=20)
    try:
        connection.request(method, path, body, headers or {})
        return connection.getresponse().status
    finally:
        connection.close()


def send_raw(entry, data):
    """The status line of the entry's response to raw bytes, or b''."""
    with socket.create_connection(("127.0.0.1", entry.http_port),
                                  timeout=20) as connection:
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        try:
            return connection.recv(4096).split(b"\r\n")[0]
        except ConnectionResetError:
            return b""


def check_bad_input(entry):
    token = {"Authorization": "Bearer " + UPSTREAM_TOKEN}
    member = {"Vh-Member": "m"}
    jobs = "/v1/services/loops/jobs"
    cases = [
        (request(entry, "POST", "/v1/announce", b"{}"), 401, "no token"),
        (request(entry, "POST", "/v1/announce", b"{}",
                 {"Authorization": "Bearer wrong-token-000000"}), 401,
         "wrong token"),
        (request(entry, "POST", "/v1/announce", b"{}", token), 400,
         "empty announcement"),
        (request(entry, "POST", "/v1/announce", b"[" * 5000, token), 400,
         "deep JSON"),
        (request(entry, "POST", jobs, b"x"), 400, "no member"),
        (request(entry, "POST", jobs, b"x",
                 {**member, "Vh-Deadline-Ms": "-1"}), 400, "deadline"),
        (request(entry, "POST", "/v1/services/none/jobs", b"x", member), 404,
         "unknown service"),
        (request(entry, "POST", jobs, b"x" * (9 << 20), member), 413,
         "body too large"),
        (request(entry, "POST", jobs, b"x", {**member, "X": "y" * 40000}),
         431, "header too large"),
        (request(entry, "GET", "/nowhere"), 404, "unknown path"),
    ]
    for actual, expected, what in cases:
        expect(actual, expected, what)
    expect(send_raw(entry, b"NONSENSE\r\n\r\n").split(b" ")[1:2], [b"400"],
           "malformed HTTP")
    send_raw(entry, b"\x00\xff" * 100)
    send_raw(entry, b"POST /v1/announce HTTP/1.1\r\nContent-Length: 10\r\n\r\nab")
    expect(http_get(entry, "/healthz"), 200, "the entry keeps serving")


def main():
    build = os.path.abspath(sys.argv[1])
    folder = tempfile.mkdtemp(prefix="vanillahatch-programs-")
    deployment = Deployment(build, folder)
    try:
        check_command_lines(build, deployment)
        check_bad_settings(build, folder)
        check_token_file_mode(build, deployment)
        deployment.start()
        check_bad_input(deployment.entries[0])
        for node in (deployment.entries + deployment.controls
                     + deployment.ledgers):
            for path in ("/healthz", "/metrics"):
                expect(http_get(node, path), 200, node.name + path)
            wait_until(lambda node=node: http_get(node, "/readyz") == 200, 30,
                       node.name + " is ready")
        for node in deployment.nodes():
            expect(node.terminate(), 0, f"planned stop of {node.name}")
    finally:
        deployment.stop()
        shutil.rmtree(folder, ignore_errors=True)
    print("programs: ok")


if __name__ == "__main__":
    main()
