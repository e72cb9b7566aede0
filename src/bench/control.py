"""Measures what control costs a process as the system grows, with fitted slopes.

Three sweeps: the size of the configuration (targets that exist only there), the
number of agents linked to one entry, and requests against the size of the
configuration.
"""

from argparse import ArgumentParser
from collections.abc import Sequence
from shutil import rmtree
from time import monotonic, sleep
from typing import Any, NamedTuple

import cbor2
import numpy as np
import psutil

from bench.result import print_result
from bench.serving import Bench
from ridgecourse.core.change import ChangeRecord, JoinTarget
from ridgecourse.core.ids import (
    ChangeId,
    DomainName,
    FleetName,
    ServiceName,
    TargetName,
)
from ridgecourse.wire.codec import encode_message
from ridgecourse_standins.cluster import FLEET, MODEL_SERVICE, Cluster, Node, Plan

CONFIG_SIZES = (100, 1000, 3000, 7000)
LINKED_AGENTS = (2, 8, 16, 32)
IDLE_SECONDS = 6.0
CHANGES = 100
REQUESTS = 150


class Reading(NamedTuple):
    """What a process had used at a moment."""

    cpu: float
    memory: int
    status: dict[str, Any]
    at: float


def read(cluster: Cluster, node: Node) -> Reading:
    """Return what a process has used so far."""
    status = cluster.status(node)
    process = psutil.Process(node.managed.running.pid)
    used = process.cpu_times()
    memory = process.memory_info().rss
    return Reading(used.user + used.system, memory, status, monotonic())


def fit(xs: Sequence[float], ys: Sequence[float]) -> dict[str, float]:
    """Return the line through points, and its largest residual over its mean."""
    slope, base = np.polyfit(xs, ys, 1)
    residual = max(abs(base + slope * x - y) for x, y in zip(xs, ys, strict=True))
    mean = sum(map(abs, ys)) / len(ys)
    return {
        "base": float(base),
        "slope": float(slope),
        "residual_of_mean": float(residual / mean) if mean else 0.0,
    }


def add_targets(cluster: Cluster, start: int, end: int) -> None:
    """Append targets of a domain without entries to the log, straight."""
    records = []
    for number in range(start, end):
        change = JoinTarget(
            FleetName(FLEET),
            ServiceName(MODEL_SERVICE),
            TargetName(f"far-{number:05}"),
            DomainName("far"),
            "127.0.0.1:9",
            "127.0.0.1:9",
        )
        record = ChangeRecord(ChangeId(f"far-{number}"), "bench", change)
        records.append(encode_message(record))
    for first in range(0, len(records), 500):
        cluster.pool.request(
            "POST",
            f"http://{cluster.addresses['log']}/streams/config/records",
            body=cbor2.dumps(records[first : first + 500]),
        )


def wait_offset(cluster: Cluster, node: Node, offset: int) -> None:
    """Wait until a process has folded an offset."""
    cluster.wait(
        f"{node.managed.name} at {offset}",
        lambda: cluster.status(node)["offset"] >= offset,
        120.0,
    )


def idle_cost(cluster: Cluster, node: Node) -> float:
    """Return the share of a core that a process uses when nothing happens."""
    first = read(cluster, node)
    sleep(IDLE_SECONDS)
    last = read(cluster, node)
    return (last.cpu - first.cpu) / (last.at - first.at)


def change_cost(cluster: Cluster, nodes: Sequence[Node]) -> list[float]:
    """Return the processor seconds that one change costs each process."""
    before = [read(cluster, node) for node in nodes]
    offset = before[0].status["offset"]
    for weight in range(1, CHANGES + 1):
        cluster.admin(
            "SetTraffic", fleet=FLEET, service=MODEL_SERVICE, weights={"a": weight}
        )
    for node in nodes:
        wait_offset(cluster, node, offset + CHANGES)
    after = [read(cluster, node) for node in nodes]
    return [(b.cpu - a.cpu) / CHANGES for a, b in zip(before, after, strict=True)]


def request_cost(bench: Bench, nodes: Sequence[Node]) -> list[float]:
    """Return the processor seconds that one request costs each process."""
    cluster = bench.cluster
    before = [read(cluster, node) for node in nodes]
    for _ in range(REQUESTS):
        bench.caller.send(MODEL_SERVICE, '{"prompt": "p", "max_tokens": 1}', 0)
    after = [read(cluster, node) for node in nodes]
    return [(b.cpu - a.cpu) / REQUESTS for a, b in zip(before, after, strict=True)]


def sweep_size(arguments: Any) -> dict[str, Any]:
    """Measure one entry and one agent as the configuration grows."""
    plan = Plan(domains=("a",), entries=1, targets=1, plain=0)
    cluster = Cluster(plan)
    rows: list[dict[str, float]] = []
    try:
        with cluster:
            bench = Bench(cluster, arguments)
            bench.set_up()
            nodes = [cluster.entries[0], cluster.agents[0]]
            known = 0
            for size in CONFIG_SIZES:
                offset = cluster.status(nodes[0])["offset"]
                add_targets(cluster, known, size)
                for node in nodes:
                    wait_offset(cluster, node, offset + size - known)
                known = size
                rows.append(measure_size(bench, nodes, size))
    finally:
        rmtree(cluster.directory, ignore_errors=True)
    sizes = [row["targets"] for row in rows]
    names = [name for name in rows[0] if name != "targets"]
    fits = {name: fit(sizes, [row[name] for row in rows]) for name in names}
    return {"rows": rows, "fits": fits}


def measure_size(bench: Bench, nodes: Sequence[Node], size: int) -> dict[str, float]:
    """Return the costs at one size of the configuration."""
    changes = change_cost(bench.cluster, nodes)
    requests = request_cost(bench, nodes)
    idle = [idle_cost(bench.cluster, node) for node in nodes]
    memory = [read(bench.cluster, node).memory for node in nodes]
    row: dict[str, float] = {"targets": size}
    for index, role in enumerate(("entry", "agent")):
        row[f"{role}_memory"] = memory[index]
        row[f"{role}_cpu_change"] = changes[index]
        row[f"{role}_cpu_request"] = requests[index]
        row[f"{role}_cpu_idle"] = idle[index]
    return row


def sweep_links() -> dict[str, Any]:
    """Measure one entry as the number of linked agents grows."""
    rows = []
    for count in LINKED_AGENTS:
        plan = Plan(
            domains=("a",), entries=1, targets=count, plain=0, engines_per_process=16
        )
        cluster = Cluster(plan)
        try:
            with cluster:
                cluster.set_up()
                entry = cluster.entries[0]
                cluster.wait(
                    "all are linked",
                    lambda c=cluster, e=entry, n=count: c.status(e)["links"] == n,  # type: ignore[misc]
                )
                sleep(1.0)
                rows.append(measure_links(cluster, entry, count))
        finally:
            rmtree(cluster.directory, ignore_errors=True)
    counts = [row["agents"] for row in rows]
    names = [name for name in rows[0] if name != "agents"]
    fits = {name: fit(counts, [row[name] for row in rows]) for name in names}
    return {"rows": rows, "fits": fits}


def measure_links(cluster: Cluster, entry: Node, count: int) -> dict[str, float]:
    """Return what the entry spends on its links when nothing happens."""
    first = read(cluster, entry)
    sleep(IDLE_SECONDS)
    last = read(cluster, entry)
    seconds = last.at - first.at
    moved = ("control_sent", "control_received", "log_moved")
    total = sum(last.status[name] - first.status[name] for name in moved)
    return {
        "agents": count,
        "entry_cpu": (last.cpu - first.cpu) / seconds,
        "entry_bytes_per_s": total / seconds,
        "entry_memory": last.memory,
        "log_exchanges_per_s": (
            last.status["log_exchanges"] - first.status["log_exchanges"]
        )
        / seconds,
    }


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    parser = ArgumentParser(prog="python -m bench control", description=__doc__)
    parser.add_argument("--sweep", choices=["size", "links"], required=True)
    arguments = parser.parse_args(argv)
    if arguments.sweep == "size":
        print_result({"sweep": "size", **sweep_size(arguments)})
    else:
        print_result({"sweep": "links", **sweep_links()})
    return 0
