"""Measures resident memory, processor use and bytes per second of each
vanillahatch program at several sizes of a load driver, fits a straight line and
extrapolates it to a larger fleet.

    python3 bench/footprint_bench.py BUILD_DIR [--driver upstreams]
        [--sizes 50 200 800] [--seconds 15] [--target 3700] [--period-ms 500]

The driver is the number of upstreams, of configuration changes per day, or of
jobs per second.

Bytes are counted in both directions over every TCP connection of a process, as
reported by the kernel (`ss -ti`); memory and processor time are from /proc."""

import argparse
import os
import re
import shutil
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../scripts"))
from deployment import (DATA_CENTRES, UPSTREAM_TOKEN, Deployment, Node,
                        free_ports)

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
SETTLE_SECONDS = 6
INSTANCES_PER_POOL = 29  # 3,700 in 129 pools


class Footprint:
    """Processor time, resident memory and threads of a process."""

    def __init__(self, pid):
        with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        self.cpu_seconds = (int(fields[11]) + int(fields[12])) \
            / TICKS_PER_SECOND
        with open(f"/proc/{pid}/status", encoding="utf-8") as file:
            status = file.read()
        self.rss_mb = int(re.search(r"VmRSS:\s+(\d+)", status)[1]) / 1024
        self.threads = int(re.search(r"Threads:\s+(\d+)", status)[1])


def bytes_by_connection():
    """Returns the bytes sent and received on every TCP connection, by (pid,
    local address, remote address)."""
    text = subprocess.run(["ss", "-tinpH"], capture_output=True, text=True,
                          check=True).stdout
    counts, key = {}, None
    for line in text.splitlines():
        head = re.match(r"\S+\s+\d+\s+\d+\s+(\S+)\s+(\S+).*?pid=(\d+)", line)
        if head:
            key = (int(head[3]), head[1], head[2])
        elif key and line.startswith("\t"):
            sent = re.search(r"bytes_sent:(\d+)", line)
            received = re.search(r"bytes_received:(\d+)", line)
            counts[key] = (int(sent[1]) if sent else 0) \
                + (int(received[1]) if received else 0)
    return counts


def measure(nodes, seconds):
    """Returns per node: resident memory in MB, percent of a core, KB/s over
    HTTP, KB/s between vanillahatch processes, number of threads."""
    http_ports = {node.http_port for node in nodes}
    before = {node.name: Footprint(node.process.pid) for node in nodes}
    bytes_before, start = bytes_by_connection(), time.monotonic()
    time.sleep(seconds)
    bytes_after, elapsed = bytes_by_connection(), time.monotonic() - start
    rows = {}
    for node in nodes:
        pid = node.process.pid
        after = Footprint(pid)
        http_bytes, internal_bytes = 0, 0
        for key, count in bytes_after.items():
            if key[0] != pid:
                continue
            transferred = count - bytes_before.get(key, 0)
            if int(key[1].rsplit(":", 1)[1]) in http_ports:
                http_bytes += transferred
            else:
                internal_bytes += transferred
        rows[node.name] = (
            after.rss_mb,
            100 * (after.cpu_seconds - before[node.name].cpu_seconds)
            / elapsed,
            http_bytes / elapsed / 1000, internal_bytes / elapsed / 1000,
            after.threads)
    return rows


def make_announcers(deployment, size, period_ms, ports):
    """Returns one fake runner per data centre, which together announce `size`
    upstreams, in pools as large as those of the target fleet."""
    nodes = []
    for centre, port in zip(DATA_CENTRES, ports):
        name = "bulk-" + centre
        nodes.append(Node(name, [
            os.path.join(deployment.build, "fake_runner"), "--instance", name,
            "--service", "bulk", "--data-centre", centre,
            "--port", str(port), "--token", UPSTREAM_TOKEN,
            "--log", os.path.join(deployment.folder, name + ".ran"),
            "--instances", str(size // len(DATA_CENTRES)),
            "--services", str(max(1, size // INSTANCES_PER_POOL)),
            "--announce-period-ms", str(period_ms), "--entry-port"]
            + [str(entry.http_port) for entry in deployment.entries],
            deployment.folder))
    return nodes


def change_defaults(deployment, per_day, stop):
    """Changes a configuration default at a steady rate until `stop` is set."""
    pause, number = 86400 / per_day, 0
    while not stop.wait(pause):
        number += 1
        subprocess.run(
            [os.path.join(deployment.build, "vhctl"), "--config",
             deployment.config, "default", "set", "service.max_attempts",
             str(2 + number % 2)], stdout=subprocess.DEVNULL,
            check=True)


def call_jobs(deployment, per_second, stop):
    """Sends jobs, half of them at-most-once, at about `per_second` until `stop`
    is set."""
    callers = max(1, per_second // 10)
    caller = subprocess.Popen(
        [os.path.join(deployment.build, "load_caller"),
         "--jobs", "100000000", "--callers", str(callers),
         "--pause-ms", str(1000 * callers // per_second),
         "--log", "/dev/null", "--service", *deployment.services,
         "--entry-port"] + [str(entry.http_port)
                            for entry in deployment.entries],
        stdout=subprocess.DEVNULL)
    stop.wait()
    caller.kill()
    caller.wait()


def run_size(arguments, size):
    """Runs a deployment with the driver at `size`; returns the rows of
    `measure`."""
    folder = tempfile.mkdtemp(prefix="vanillahatch-footprint-")
    by_upstreams = arguments.driver == "upstreams"
    deployment = Deployment(
        arguments.build, folder, services=() if by_upstreams
        else ("loops", "billing"), runners_per_service=6)
    if by_upstreams:
        deployment.runners = make_announcers(
            deployment, size, arguments.period_ms,
            free_ports(len(DATA_CENTRES)))
    stop = threading.Event()
    drivers = {"changes": change_defaults, "jobs": call_jobs}
    thread = None
    try:
        deployment.start()
        if size and arguments.driver in drivers:
            thread = threading.Thread(target=drivers[arguments.driver],
                                      args=(deployment, size, stop))
            thread.start()
        time.sleep(SETTLE_SECONDS)
        return measure(deployment.entries + deployment.controls
                       + deployment.ledgers, arguments.seconds)
    finally:
        stop.set()
        if thread:
            thread.join()
        deployment.stop()
        shutil.rmtree(folder, ignore_errors=True)


def fit(points):
    """Returns the least-squares (intercept, slope) of [(x, y)]."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread \
        if spread else 0.0
    return mean_y - slope * mean_x, slope


UNITS = ("MB", "% core", "KB/s http", "KB/s own", "threads")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build", type=os.path.abspath)
    parser.add_argument("--driver", default="upstreams",
                        choices=("upstreams", "changes", "jobs"),
                        help="upstreams; changes a day; jobs a second")
    parser.add_argument("--sizes", type=int, nargs="+",
                        default=[50, 200, 800])
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--target", type=int, default=3700)
    parser.add_argument("--period-ms", type=int, default=500)
    arguments = parser.parse_args()
    print("command: bench/footprint_bench.py", *sys.argv[2:])
    roles = ("entry", "control", "ledger")
    points = {}
    print(f"{arguments.driver:>9} {'role':8}"
          + "".join(f"{unit:>11}" for unit in UNITS)
          + "   (the worst node of the role)")
    for size in arguments.sizes:
        rows = run_size(arguments, size)
        for role in roles:
            values = [row for name, row in rows.items() if role in name]
            worst = [max(column) for column in zip(*values)]
            points.setdefault(role, []).append((size, worst))
            print(f"{size:9} {role:8}"
                  + "".join(f"{value:11.2f}" for value in worst), flush=True)
    print(f"\nfit y = a + b * {arguments.driver}, and y at "
          f"{arguments.target}")
    for role in roles:
        for column, unit in enumerate(UNITS[:4]):
            a, b = fit([(size, worst[column])
                        for size, worst in points[role]])
            print(f"{role:8} {unit:10} a = {a:9.4f}  b = {b:12.8f}  "
                  f"at {arguments.target}: {a + b * arguments.target:9.2f}")


if __name__ == "__main__":
    main()
