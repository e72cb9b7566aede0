"""Shared deployment of the routing, fairness and overload benchmarks."""

from argparse import ArgumentParser, Namespace
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from shutil import rmtree
from time import monotonic, sleep
from typing import Any

from bench.result import quantile
from ridgecourse.ctl.publish import make_manifest, write_manifest
from ridgecourse_standins.client import Answer, LoadGenerator, VerifyingClient
from ridgecourse_standins.cluster import FLEET, MODEL_SERVICE, Cluster, Plan
from ridgecourse_standins.models import make_version

VERSION_BYTES = 256 * 1024
"""Size of the model version, in bytes."""
STEP_SECONDS = 0.0095
SETTLE_SECONDS = 3.0
"""Time from the start of the load until answers are counted."""
BASELINE = {
    "entry_module": "bench.baseline_entry",
    "agent_module": "bench.baseline_agent",
}
"""Plan options that run the baseline entry and agent."""


def make_parser(name: str, description: str | None) -> ArgumentParser:
    """Return the argument parser of a serving benchmark."""
    parser = ArgumentParser(prog=f"python -m bench {name}", description=description)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--tokens", type=int, default=40)
    parser.add_argument("--seconds", type=float, default=12.0)
    return parser


def capacity(arguments: Namespace) -> float:
    """Return the estimated capacity of the engines, in requests per second."""
    batch_slowdown = 1 + 0.01 * (arguments.slots - 1)
    seconds = (arguments.tokens + 2) * STEP_SECONDS * batch_slowdown
    return arguments.engines * arguments.slots / seconds


class ServingBench:
    """Deployment that serves a model, with a client.

    Attributes:
        cluster: The deployment.
        arguments: Arguments of the benchmark.
        caller: Client that sends single requests and provides the entries.
    """

    def __init__(self, cluster: Cluster, arguments: Namespace) -> None:
        self.cluster = cluster
        self.arguments = arguments
        self.caller = VerifyingClient([], FLEET, "")

    def set_up(self) -> None:
        """Publish a small version and wait until all targets serve the version."""
        cluster = self.cluster
        cluster.set_up()
        self.caller.key = cluster.create_account("bench")
        self.caller.entries = [node.http for node in cluster.entries]
        directory = cluster.models / "m-v1"
        make_version(directory, VERSION_BYTES, 1)
        manifest = make_manifest(directory, 64 * 1024, lambda _: None).unwrap()
        write_manifest(directory, manifest)
        root = self.caller.add_version(directory)
        cluster.make_change(
            "PublishVersion",
            model="m",
            version="v1",
            root_digest=root,
            origin_path="m-v1",
            total_bytes=VERSION_BYTES,
        )
        cluster.make_change("Place", service=MODEL_SERVICE, model="m", version="v1")
        cluster.wait_serving(root)
        cluster.wait_ready()

    def measure(
        self, rates: dict[str, float], **options: Any
    ) -> dict[str, list[Answer]]:
        """Send requests for each account and return the answers by account.

        Requests sent in the first ``SETTLE_SECONDS`` are not counted.

        Args:
            rates: Request rate of each account, in requests per second.
            options: Further options of the load generators.
        """
        loads = {}
        for account, rate in rates.items():
            caller = VerifyingClient(self.caller.entries, FLEET, f"key-of-{account}")
            caller.weights_by_root = self.caller.weights_by_root
            loads[account] = LoadGenerator(
                caller,
                MODEL_SERVICE,
                rate,
                workers=min(200, int(20 + 4 * rate)),
                tokens=self.arguments.tokens,
                **options,
            )
        for load in loads.values():
            load.start()
        counted_from = monotonic() + SETTLE_SECONDS
        sleep(SETTLE_SECONDS + self.arguments.seconds)
        counted_until = monotonic()
        for load in loads.values():
            load.close()
        return {
            account: [
                answer
                for answer in load.client.history
                if counted_from <= answer.sent_at < counted_until
            ]
            for account, load in loads.items()
        }


@contextmanager
def serving_deployment(arguments: Namespace, **plan: Any) -> Iterator[ServingBench]:
    """Run a deployment that serves a model; ``plan`` overrides options of the plan."""
    cluster = Cluster(
        Plan(
            domains=("a",),
            entries=2,
            targets=arguments.engines,
            plain=0,
            slots=arguments.slots,
            step_seconds=STEP_SECONDS,
            **plan,
        )
    )
    try:
        with cluster:
            bench = ServingBench(cluster, arguments)
            bench.set_up()
            yield bench
    finally:
        rmtree(cluster.directory, ignore_errors=True)


def p99(answers: Sequence[Answer]) -> float:
    """Return the 99th percentile of the latency of completed answers, in seconds."""
    return quantile(
        [answer.seconds for answer in answers if answer.outcome == "completed"], 0.99
    )


def count_outcomes(answers: Sequence[Answer]) -> dict[str, int]:
    """Return the number of answers by outcome and reason, and of incorrect answers."""
    counts = {"completed": 0, "not-run": 0, "unknown": 0}
    for answer in answers:
        counts[answer.outcome] += 1
    for answer in answers:
        if answer.outcome != "completed" and answer.reason:
            counts[answer.reason] = counts.get(answer.reason, 0) + 1
    counts["wrong"] = sum(
        answer.outcome == "completed" and not answer.correct for answer in answers
    )
    return counts
