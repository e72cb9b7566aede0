"""Measures the cost of the control plane per process as the system grows.

Three sweeps: the size of the configuration (with targets that exist only in the
configuration), the number of agents linked to one entry, and requests against the
size of the configuration. A line is fitted to the costs of each sweep.
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
from bench.serving import ServingBench
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
CHANGE_COUNT = 100
REQUEST_COUNT = 150


class ResourceUsage(NamedTuple):
    """Resource usage of a process at one point in time.

    Attributes:
        cpu: Processor time used, in seconds.
        memory: Resident set size, in bytes.
        status: Status reported by the process.
        measured_at: Time of the measurement, in seconds of the monotonic clock.
    """

    cpu: float
    memory: int
    status: dict[str, Any]
    measured_at: float


def read_usage(cluster: Cluster, node: Node) -> ResourceUsage:
    """Return the current resource usage of a process."""
    status = cluster.status(node)
    process = psutil.Process(node.managed.started_process.pid)
    cpu_times = process.cpu_times()
    memory = process.memory_info().rss
    return ResourceUsage(cpu_times.user + cpu_times.system, memory, status, monotonic())


def fit_line(x_values: Sequence[float], y_values: Sequence[float]) -> dict[str, float]:
    """Fit a line to points; return it and its largest residual relative to the mean."""
    slope, intercept = np.polyfit(x_values, y_values, 1)
    residual = max(
        abs(intercept + slope * x - y) for x, y in zip(x_values, y_values, strict=True)
    )
    mean = sum(map(abs, y_values)) / len(y_values)
    return {
        "base": float(intercept),
        "slope": float(slope),
        "residual_of_mean": float(residual / mean) if mean else 0.0,
    }


def add_targets(cluster: Cluster, start: int, end: int) -> None:
    """Append targets of a domain without entries directly to the log."""
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
    for batch_start in range(0, len(records), 500):
        cluster.pool.request(
            "POST",
            f"http://{cluster.addresses['log']}/streams/config/records",
            body=cbor2.dumps(records[batch_start : batch_start + 500]),
        )


def wait_for_offset(cluster: Cluster, node: Node, offset: int) -> None:
    """Wait until a process has applied the log up to an offset, for at most 120.0 s."""
    cluster.wait_until(
        f"{node.managed.name} has reached offset {offset}",
        lambda: cluster.status(node)["offset"] >= offset,
        120.0,
    )


def idle_cpu_share(cluster: Cluster, node: Node) -> float:
    """Return the share of a processor core that an idle process uses."""
    before = read_usage(cluster, node)
    sleep(IDLE_SECONDS)
    after = read_usage(cluster, node)
    return (after.cpu - before.cpu) / (after.measured_at - before.measured_at)


def cpu_per_change(cluster: Cluster, nodes: Sequence[Node]) -> list[float]:
    """Return the processor time per change for each process, in seconds."""
    before = [read_usage(cluster, node) for node in nodes]
    offset = before[0].status["offset"]
    for weight in range(1, CHANGE_COUNT + 1):
        cluster.call_admin(
            "SetTraffic", fleet=FLEET, service=MODEL_SERVICE, weights={"a": weight}
        )
    for node in nodes:
        wait_for_offset(cluster, node, offset + CHANGE_COUNT)
    after = [read_usage(cluster, node) for node in nodes]
    return [
        (end.cpu - start.cpu) / CHANGE_COUNT
        for start, end in zip(before, after, strict=True)
    ]


def cpu_per_request(bench: ServingBench, nodes: Sequence[Node]) -> list[float]:
    """Return the processor time per request for each process, in seconds."""
    cluster = bench.cluster
    before = [read_usage(cluster, node) for node in nodes]
    for _ in range(REQUEST_COUNT):
        bench.caller.send(MODEL_SERVICE, '{"prompt": "p", "max_tokens": 1}', 0)
    after = [read_usage(cluster, node) for node in nodes]
    return [
        (end.cpu - start.cpu) / REQUEST_COUNT
        for start, end in zip(before, after, strict=True)
    ]


def sweep_size(arguments: Any) -> dict[str, Any]:
    """Measure one entry and one agent for increasing sizes of the configuration."""
    plan = Plan(domains=("a",), entries=1, targets=1, plain=0)
    cluster = Cluster(plan)
    rows: list[dict[str, float]] = []
    try:
        with cluster:
            bench = ServingBench(cluster, arguments)
            bench.set_up()
            nodes = [cluster.entries[0], cluster.agents[0]]
            target_count = 0
            for size in CONFIG_SIZES:
                offset = cluster.status(nodes[0])["offset"]
                add_targets(cluster, target_count, size)
                for node in nodes:
                    wait_for_offset(cluster, node, offset + size - target_count)
                target_count = size
                rows.append(measure_size(bench, nodes, size))
    finally:
        rmtree(cluster.directory, ignore_errors=True)
    sizes = [row["targets"] for row in rows]
    names = [name for name in rows[0] if name != "targets"]
    fits = {name: fit_line(sizes, [row[name] for row in rows]) for name in names}
    return {"rows": rows, "fits": fits}


def measure_size(
    bench: ServingBench, nodes: Sequence[Node], size: int
) -> dict[str, float]:
    """Return the costs of an entry and an agent at one size of the configuration."""
    changes = cpu_per_change(bench.cluster, nodes)
    requests = cpu_per_request(bench, nodes)
    idle = [idle_cpu_share(bench.cluster, node) for node in nodes]
    memory = [read_usage(bench.cluster, node).memory for node in nodes]
    row: dict[str, float] = {"targets": size}
    for index, role in enumerate(("entry", "agent")):
        row[f"{role}_memory"] = memory[index]
        row[f"{role}_cpu_change"] = changes[index]
        row[f"{role}_cpu_request"] = requests[index]
        row[f"{role}_cpu_idle"] = idle[index]
    return row


def sweep_links() -> dict[str, Any]:
    """Measure one entry for increasing numbers of linked agents."""
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
                cluster.wait_until(
                    "all agents are linked",
                    lambda cluster=cluster, entry=entry, count=count: (  # type: ignore[misc]
                        cluster.status(entry)["links"] == count
                    ),
                )
                sleep(1.0)
                rows.append(measure_links(cluster, entry, count))
        finally:
            rmtree(cluster.directory, ignore_errors=True)
    counts = [row["agents"] for row in rows]
    names = [name for name in rows[0] if name != "agents"]
    fits = {name: fit_line(counts, [row[name] for row in rows]) for name in names}
    return {"rows": rows, "fits": fits}


def measure_links(cluster: Cluster, entry: Node, count: int) -> dict[str, float]:
    """Return the cost of an entry's links while the system is idle."""
    before = read_usage(cluster, entry)
    sleep(IDLE_SECONDS)
    after = read_usage(cluster, entry)
    seconds = after.measured_at - before.measured_at
    byte_counters = ("control_sent", "control_received", "log_moved")
    total = sum(after.status[name] - before.status[name] for name in byte_counters)
    return {
        "agents": count,
        "entry_cpu": (after.cpu - before.cpu) / seconds,
        "entry_bytes_per_s": total / seconds,
        "entry_memory": after.memory,
        "log_exchanges_per_s": (
            after.status["log_exchanges"] - before.status["log_exchanges"]
        )
        / seconds,
    }


def main(argv: list[str]) -> int:
    """Run the benchmark and return the exit code."""
    parser = ArgumentParser(prog="python -m bench control", description=__doc__)
    parser.add_argument("--sweep", choices=["size", "links"], required=True)
    arguments = parser.parse_args(argv)
    if arguments.sweep == "size":
        print_result({"sweep": "size", **sweep_size(arguments)})
    else:
        print_result({"sweep": "links", **sweep_links()})
    return 0
