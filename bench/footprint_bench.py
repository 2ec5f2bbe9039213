"""What each of our programs costs: resident memory, processor share and bytes
a second, at several numbers of upstreams, with a straight line fitted and
worked out for a larger fleet.

    python3 bench/footprint_bench.py BUILD_DIR [--sizes 50 200 800]
        [--seconds 15] [--changes-per-day 0] [--target 3700] [--period-ms 500]

Bytes are those of every connection of a process, both ways, as the kernel
counts them (`ss -ti`); memory and processor time are from /proc."""

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
from deployment import DATA_CENTRES, UPSTREAM_TOKEN, Deployment, Node

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
SETTLE_SECONDS = 6


class Footprint:
    """Totals of one process at one moment."""

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
    """Bytes both ways of every TCP connection, by (pid, local, remote)."""
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
    """Per node: rss in MB, percent of a core, KB/s, threads."""
    before = {node.name: Footprint(node.process.pid) for node in nodes}
    bytes_before, start = bytes_by_connection(), time.monotonic()
    time.sleep(seconds)
    bytes_after, span = bytes_by_connection(), time.monotonic() - start
    rows = {}
    for node in nodes:
        pid = node.process.pid
        after = Footprint(pid)
        moved = sum(count - bytes_before.get(key, 0)
                    for key, count in bytes_after.items() if key[0] == pid)
        rows[node.name] = (
            after.rss_mb,
            100 * (after.cpu_seconds - before[node.name].cpu_seconds) / span,
            moved / span / 1000, after.threads)
    return rows


def announcers(deployment, size, period_ms, ports):
    """Stand-ins that announce `size` upstreams between them."""
    nodes = []
    services = 5
    for number in range(services):
        name = f"bulk{number}"
        nodes.append(Node(name, [
            os.path.join(deployment.build, "fake_runner"), "--instance", name,
            "--service", name, "--data-centre", DATA_CENTRES[number % 3],
            "--port", str(ports[number]), "--token", UPSTREAM_TOKEN,
            "--log", os.path.join(deployment.folder, name + ".ran"),
            "--instances", str(size // services),
            "--announce-period-ms", str(period_ms), "--entry-port"]
            + [str(entry.http_port) for entry in deployment.entries],
            deployment.folder))
    return nodes


def change_defaults(deployment, per_day, stop):
    """Makes changes of configuration at a steady rate until told to stop."""
    pause, number = 86400 / per_day, 0
    while not stop.wait(pause):
        number += 1
        subprocess.run(
            [os.path.join(deployment.build, "vhctl"), "--config",
             deployment.config, "default", "set", "job.max-attempts",
             str(2 + number % 2)], stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL, check=False)


def run_size(arguments, size):
    from deployment import free_ports
    folder = tempfile.mkdtemp(prefix="vanillahatch-footprint-")
    deployment = Deployment(arguments.build, folder, services=(),
                            runners_per_service=0)
    deployment.runners = announcers(deployment, size, arguments.period_ms,
                                    free_ports(5))
    stop = threading.Event()
    try:
        deployment.start()
        if arguments.changes_per_day:
            threading.Thread(target=change_defaults, daemon=True, args=(
                deployment, arguments.changes_per_day, stop)).start()
        time.sleep(SETTLE_SECONDS)
        return measure(deployment.entries + deployment.controls
                       + deployment.ledgers, arguments.seconds)
    finally:
        stop.set()
        deployment.stop()
        shutil.rmtree(folder, ignore_errors=True)


def fit(points):
    """Least squares: (intercept, slope) of [(x, y)]."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread \
        if spread else 0.0
    return mean_y - slope * mean_x, slope


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build", type=os.path.abspath)
    parser.add_argument("--sizes", type=int, nargs="+",
                        default=[50, 200, 800])
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--changes-per-day", type=int, default=0)
    parser.add_argument("--target", type=int, default=3700)
    parser.add_argument("--period-ms", type=int, default=500)
    arguments = parser.parse_args()
    print("command: bench/footprint_bench.py", *sys.argv[2:])
    roles = ("entry", "control", "ledger")
    points = {}
    print(f"{'upstreams':>9} {'role':8} {'MB':>7} {'% core':>7} {'KB/s':>8} "
          f"{'threads':>7}   (the worst node of the role)")
    for size in arguments.sizes:
        rows = run_size(arguments, size)
        for role in roles:
            values = [row for name, row in rows.items() if role in name]
            worst = [max(column) for column in zip(*values)]
            points.setdefault(role, []).append((size, worst))
            print(f"{size:9} {role:8} {worst[0]:7.1f} {worst[1]:7.2f} "
                  f"{worst[2]:8.2f} {worst[3]:7.0f}", flush=True)
    print(f"\nfit y = a + b * upstreams, and y at {arguments.target}")
    for role in roles:
        for column, unit in enumerate(("MB", "% core", "KB/s")):
            a, b = fit([(size, worst[column])
                        for size, worst in points[role]])
            print(f"{role:8} {unit:7} a = {a:8.3f}  b = {b:10.6f}  "
                  f"at {arguments.target}: {a + b * arguments.target:9.2f}")


if __name__ == "__main__":
    main()
