"""Measures how long an accepted change takes to be applied by every process."""

from argparse import ArgumentParser
from shutil import rmtree
from time import monotonic, sleep
from typing import Any

from bench.result import print_result, quantile
from ridgecourse_standins.cluster import FLEET, MODEL_SERVICE, Cluster, Plan

CHANGE_COUNT = 40
SETTLE_SECONDS = 3.0


def submit_changes(cluster: Cluster) -> list[tuple[int, float]]:
    """Submit changes; return the offset and time of acceptance of each change."""
    accepted = []
    for weight in range(1, CHANGE_COUNT + 1):
        reply = cluster.call_admin(
            "SetTraffic",
            weight % len(cluster.entries),
            fleet=FLEET,
            service=MODEL_SERVICE,
            weights={"domain0": weight},
        )
        accepted.append((int(reply["offset"]), monotonic()))
        sleep(0.05)
    return accepted


def propagation_times(
    cluster: Cluster, accepted: list[tuple[int, float]]
) -> list[float]:
    """Return, for each change, the seconds until all processes applied it."""
    events_by_process = []
    for node in [*cluster.entries, *cluster.agents]:
        events = [
            (event["offset"] + (event["kind"] == "change-decided"), event["mono"])
            for event in node.managed.events()
            if event["kind"] in ("change-decided", "config-folded")
        ]
        events_by_process.append(events)
    return [
        max(
            min(time for next_offset, time in events if next_offset > offset)
            for events in events_by_process
        )
        - accepted_at
        for offset, accepted_at in accepted
    ]


def main(argv: list[str]) -> int:
    """Run the benchmark and return the exit code."""
    parser = ArgumentParser(prog="python -m bench config", description=__doc__)
    parser.add_argument("--entries", type=int, default=1, help="entries in each domain")
    parser.add_argument("--targets", type=int, default=1, help="targets in each domain")
    arguments = parser.parse_args(argv)
    plan = Plan(
        domains=("domain0", "domain1", "domain2"),
        entries=arguments.entries,
        targets=arguments.targets,
        plain=0,
        engines_per_process=16,
    )
    cluster = Cluster(plan)
    try:
        with cluster:
            cluster.set_up()
            sleep(SETTLE_SECONDS)
            times = propagation_times(cluster, submit_and_wait(cluster))
            print_result(summarize(cluster, times))
    finally:
        rmtree(cluster.directory, ignore_errors=True)
    return 0


def submit_and_wait(cluster: Cluster) -> list[tuple[int, float]]:
    """Submit the changes and wait until every process has applied them."""
    accepted = submit_changes(cluster)
    end_offset = accepted[-1][0] + 1
    for node in [*cluster.entries, *cluster.agents]:
        cluster.wait_until(
            f"{node.managed.name} has reached offset {end_offset}",
            lambda node=node: cluster.status(node)["offset"] >= end_offset,  # type: ignore[misc]
        )
    return accepted


def summarize(cluster: Cluster, times: list[float]) -> dict[str, Any]:
    """Return the results of the run; times are in seconds."""
    return {
        "processes": len(cluster.entries) + len(cluster.agents),
        "changes": len(times),
        "seconds_p50": quantile(times, 0.5),
        "seconds_max": max(times),
        "before_acceptance": sum(time < 0 for time in times),
    }
