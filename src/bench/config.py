"""Measures how long an accepted change takes to be in force at every process."""

from argparse import ArgumentParser
from shutil import rmtree
from time import monotonic, sleep
from typing import Any

from bench.result import print_result, quantile
from ridgecourse_standins.cluster import FLEET, MODEL_SERVICE, Cluster, Plan

CHANGES = 40
SETTLE_SECONDS = 3.0


def make_changes(cluster: Cluster) -> list[tuple[int, float]]:
    """Make changes; return each one's offset and when it was accepted."""
    accepted = []
    for weight in range(1, CHANGES + 1):
        reply = cluster.admin(
            "SetTraffic",
            weight % len(cluster.entries),
            fleet=FLEET,
            service=MODEL_SERVICE,
            weights={"domain0": weight},
        )
        accepted.append((int(reply["offset"]), monotonic()))
        sleep(0.05)
    return accepted


def spread(cluster: Cluster, accepted: list[tuple[int, float]]) -> list[float]:
    """Return each change's seconds from acceptance to the last process."""
    folds = []
    for node in [*cluster.entries, *cluster.agents]:
        events = [
            (event["offset"] + (event["kind"] == "change-decided"), event["mono"])
            for event in node.managed.events()
            if event["kind"] in ("change-decided", "config-folded")
        ]
        folds.append(events)
    return [
        max(min(m for o, m in events if o > offset) for events in folds) - at
        for offset, at in accepted
    ]


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    parser = ArgumentParser(prog="python -m bench config", description=__doc__)
    parser.add_argument("--entries", type=int, default=1, help="in each domain")
    parser.add_argument("--targets", type=int, default=1, help="in each domain")
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
            times = spread(cluster, settle(cluster))
            print_result(figures(cluster, times))
    finally:
        rmtree(cluster.directory, ignore_errors=True)
    return 0


def settle(cluster: Cluster) -> list[tuple[int, float]]:
    """Make the changes and wait until the last is in force."""
    accepted = make_changes(cluster)
    last = accepted[-1][0] + 1
    for node in [*cluster.entries, *cluster.agents]:
        cluster.wait(
            f"{node.managed.name} is at {last}",
            lambda node=node: cluster.status(node)["offset"] >= last,  # type: ignore[misc]
        )
    return accepted


def figures(cluster: Cluster, times: list[float]) -> dict[str, Any]:
    """Return the figures of the run."""
    return {
        "processes": len(cluster.entries) + len(cluster.agents),
        "changes": len(times),
        "seconds_p50": quantile(times, 0.5),
        "seconds_max": max(times),
        "before_acceptance": sum(time < 0 for time in times),
    }
