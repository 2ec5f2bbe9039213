"""Starts a whole deployment on loopback ports for the demo and the process
tests, and signals only the processes that it started."""

import os
import signal
import socket
import subprocess
import time
import urllib.request

DATA_CENTRES = ("north", "middle", "south")
OPERATOR_TOKEN = "operator-token-for-tests"
UPSTREAM_TOKEN = "upstream-token-for-tests"


def free_ports(count):
    """Distinct ports that were free during this call; another process may take
    one before it is used."""
    sockets = [socket.socket() for _ in range(count)]
    for probe in sockets:
        probe.bind(("127.0.0.1", 0))
    ports = [probe.getsockname()[1] for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports


class Node:
    """A process of the deployment or a fake runner, with its start command."""

    def __init__(self, name, command, folder, http_port=None):
        self.name = name
        self.command = command
        self.output = os.path.join(folder, name + ".out")
        self.http_port = http_port
        self.process = None

    def start(self):
        with open(self.output, "ab") as output:
            self.process = subprocess.Popen(
                self.command, stdout=output, stderr=output)

    def signal(self, number):
        os.kill(self.process.pid, number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def terminate(self, timeout=40):
        """Stops the process by SIGTERM; returns its exit code."""
        self.signal(signal.SIGTERM)
        return self.process.wait(timeout)

    def running(self):
        return self.process is not None and self.process.poll() is None


class Deployment:
    """Three data centres, each with `entries_per_centre` entries, a control
    replica and a ledger replica, and fake runners for each service."""

    def __init__(self, build, folder, services=("loops", "billing"),
                 runners_per_service=3, run_ms=5, objective="idle-capacity",
                 entries_per_centre=2):
        self.build = build
        self.entries_per_centre = entries_per_centre
        self.folder = folder
        self.services = services
        os.makedirs(folder, exist_ok=True)
        nodes = len(DATA_CENTRES) * (entries_per_centre + 2)
        ports = free_ports(nodes * 2 + len(services) * runners_per_service)
        self._ports = iter(ports)
        self.config = os.path.join(folder, "deployment.toml")
        self.entries, self.controls, self.ledgers = [], [], []
        self.runners = []
        self._write_tokens()
        self._write_settings(objective)
        self._make_runners(runners_per_service, run_ms)

    def _write_tokens(self):
        for name, text in (("operator", OPERATOR_TOKEN),
                           ("upstream", UPSTREAM_TOKEN)):
            path = os.path.join(self.folder, name + ".token")
            descriptor = os.open(path, os.O_WRONLY | os.O_CREAT, 0o600)
            with os.fdopen(descriptor, "w") as file:
                file.write(text + "\n")

    def _write_settings(self, objective):
        lines = [
            'deployment = "loopback"',
            f'objective = "{objective}"',
            f'operator_token_file = "{self.folder}/operator.token"',
            f'upstream_token_file = "{self.folder}/upstream.token"',
            f'log_folder = "{self.folder}/logs"',
            "[limits]",
            "stop_grace_ms = 20000",
        ]
        for centre in DATA_CENTRES:
            for number in range(self.entries_per_centre):
                self._add_node(lines, "entry",
                               f"{centre}-entry-{number + 1}", centre,
                               self.entries)
            self._add_node(lines, "control", f"{centre}-control", centre,
                           self.controls)
            self._add_node(lines, "ledger", f"{centre}-ledger", centre,
                           self.ledgers)
        with open(self.config, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")

    def _add_node(self, lines, kind, name, centre, nodes):
        http, rpc = next(self._ports), next(self._ports)
        lines += [f"[[{kind}]]", f'name = "{name}"',
                  f'data_centre = "{centre}"',
                  f'http = "127.0.0.1:{http}"', f'rpc = "127.0.0.1:{rpc}"']
        if kind != "entry":
            lines.append(f'data_folder = "{self.folder}/data/{name}"')
        if kind == "ledger":
            # Marks the cluster as new, as an operator does; see docs/LEDGER.md.
            data = os.path.join(self.folder, "data", name)
            os.makedirs(data)
            with open(os.path.join(data, "bootstrap"), "w",
                      encoding="utf-8"):
                pass
        command = [os.path.join(self.build, "vh-" + kind), "--config",
                   self.config, "--node", name]
        nodes.append(Node(name, command, self.folder, http))

    def _make_runners(self, per_service, run_ms):
        for service in self.services:
            for number in range(per_service):
                name = f"{service}-{number + 1}"
                command = [
                    os.path.join(self.build, "fake_runner"),
                    "--instance", name, "--service", service,
                    "--data-centre", DATA_CENTRES[number % 3],
                    "--rack", f"rack-{number}",
                    "--port", str(next(self._ports)),
                    "--token", UPSTREAM_TOKEN,
                    "--log", os.path.join(self.folder, name + ".ran"),
                    "--run-ms", str(run_ms), "--entry-port",
                ] + [str(entry.http_port) for entry in self.entries]
                self.runners.append(Node(name, command, self.folder))

    def nodes(self):
        return self.ledgers + self.controls + self.entries + self.runners

    def start(self, timeout=30):
        for node in self.ledgers + self.controls + self.entries:
            node.start()
        for node in self.ledgers + self.controls + self.entries:
            wait_until(lambda node=node: http_get(node, "/healthz") == 200,
                       timeout, f"{node.name} answers")
        for node in self.runners:
            node.start()
        for entry in self.entries:
            wait_until(lambda entry=entry: http_get(entry, "/readyz") == 200,
                       timeout, f"{entry.name} is ready")

    def stop(self):
        for node in self.nodes():
            if node.running():
                node.kill()

    def run_log(self):
        """The words (job id, key) of each log line: one for each job started."""
        lines = []
        for runner in self.runners:
            path = os.path.join(self.folder, runner.name + ".ran")
            if os.path.exists(path):
                with open(path, encoding="utf-8") as file:
                    lines += [line.split() for line in file if line.strip()]
        return lines


def http_get(node, path):
    """The status of a GET request, or None without a response."""
    url = f"http://127.0.0.1:{node.http_port}{path}"
    try:
        with urllib.request.urlopen(url, timeout=2) as response:
            return response.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return None


def wait_until(condition, timeout, what):
    """Polls until the condition holds; TimeoutError after `timeout` s."""
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"not within {timeout} s: {what}")
        time.sleep(0.05)
