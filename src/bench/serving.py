"""What the benchmarks of routing, fairness and overload share."""

from argparse import ArgumentParser, Namespace
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from shutil import rmtree
from time import monotonic, sleep
from typing import Any

from bench.result import quantile
from ridgecourse.ctl.publish import make_manifest, write_manifest
from ridgecourse_standins.caller import Answer, Caller, Load
from ridgecourse_standins.cluster import FLEET, MODEL_SERVICE, Cluster, Plan
from ridgecourse_standins.models import make_version

SIZE = 256 * 1024
STEP_SECONDS = 0.0095
SETTLE_SECONDS = 3.0
BASELINE = {
    "entry_module": "bench.baseline_entry",
    "agent_module": "bench.baseline_agent",
}


def make_parser(name: str, description: str | None) -> ArgumentParser:
    """Return the parser of a serving benchmark's arguments."""
    parser = ArgumentParser(prog=f"python -m bench {name}", description=description)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--tokens", type=int, default=40)
    parser.add_argument("--seconds", type=float, default=12.0)
    return parser


def capacity(arguments: Namespace) -> float:
    """Return the requests a second that the engines can serve."""
    growth = 1 + 0.01 * (arguments.slots - 1)
    seconds = (arguments.tokens + 2) * STEP_SECONDS * growth
    return arguments.engines * arguments.slots / seconds


class Bench:
    """A served model and its callers."""

    def __init__(self, cluster: Cluster, arguments: Namespace) -> None:
        self.cluster = cluster
        self.arguments = arguments
        self.caller = Caller([], FLEET, "")

    def set_up(self) -> None:
        """Serve a small model."""
        cluster = self.cluster
        cluster.set_up()
        self.caller.key = cluster.account("bench")
        self.caller.entries = [node.http for node in cluster.entries]
        directory = cluster.models / "m-v1"
        make_version(directory, SIZE, 1)
        manifest = make_manifest(directory, 64 * 1024, lambda _: None).unwrap()
        write_manifest(directory, manifest)
        root = self.caller.know(directory)
        cluster.change(
            "PublishVersion",
            model="m",
            version="v1",
            root_digest=root,
            origin_path="m-v1",
            total_bytes=SIZE,
        )
        cluster.change("Place", service=MODEL_SERVICE, model="m", version="v1")
        cluster.wait_serving(root)
        cluster.wait_ready()

    def measure(
        self, rates: dict[str, float], **options: Any
    ) -> dict[str, list[Answer]]:
        """Send each account's requests at its rate; return answers by account.

        Answers to what was sent before the system settled are left out.
        """
        loads = {}
        for account, rate in rates.items():
            caller = Caller(self.caller.entries, FLEET, f"key-of-{account}")
            caller.known = self.caller.known
            loads[account] = Load(
                caller,
                MODEL_SERVICE,
                rate,
                workers=min(200, int(20 + 4 * rate)),
                tokens=self.arguments.tokens,
                **options,
            )
        for load in loads.values():
            load.start()
        began = monotonic() + SETTLE_SECONDS
        sleep(SETTLE_SECONDS + self.arguments.seconds)
        ended = monotonic()
        for load in loads.values():
            load.close()
        return {
            account: [a for a in load.caller.history if began <= a.sent < ended]
            for account, load in loads.items()
        }


@contextmanager
def serving(arguments: Namespace, **plan: Any) -> Iterator[Bench]:
    """Run a deployment with a served model."""
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
            bench = Bench(cluster, arguments)
            bench.set_up()
            yield bench
    finally:
        rmtree(cluster.directory, ignore_errors=True)


def p99(answers: Sequence[Answer]) -> float:
    """Return the 99th percentile of the completed answers' times, in seconds."""
    return quantile([a.seconds for a in answers if a.outcome == "completed"], 0.99)


def outcomes(answers: Sequence[Answer]) -> dict[str, int]:
    """Return how many answers had each outcome, and how many were wrong."""
    counts = {"completed": 0, "not-run": 0, "unknown": 0}
    for answer in answers:
        counts[answer.outcome] += 1
    for answer in answers:
        if answer.outcome != "completed" and answer.reason:
            counts[answer.reason] = counts.get(answer.reason, 0) + 1
    counts["wrong"] = sum(a.outcome == "completed" and not a.whole for a in answers)
    return counts
