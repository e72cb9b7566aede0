"""Demo on the stand-ins: rolls out two versions, the second under live requests.

The summary shows how long the second rollout took, how many copies of the version the
origin sent, and whether any answer mixed versions or any plain call ran twice.
"""

import json
import subprocess
import sys
from argparse import ArgumentParser
from collections import Counter
from pathlib import Path
from shutil import rmtree
from time import monotonic, sleep
from typing import Any

from ridgecourse_standins.client import Answer, LoadGenerator, VerifyingClient
from ridgecourse_standins.cluster import (
    FLEET,
    MODEL_SERVICE,
    OPERATOR_TOKEN,
    PLAIN_SERVICE,
    Cluster,
    Plan,
)
from ridgecourse_standins.models import make_version

MEBIBYTE = 1024 * 1024
SETTLE_SECONDS = 1.0


class Demo:
    """Runs the demo on a started deployment.

    Attributes:
        cluster: The deployment.
        size: Size of each version in bytes.
        client: Client that sends the requests and checks the answers.
    """

    def __init__(self, cluster: Cluster, size: int) -> None:
        self.cluster = cluster
        self.size = size
        self.client = VerifyingClient([], FLEET, "")

    def run_ctl(self, *arguments: str) -> dict[str, Any]:
        """Run ``ridgecourse-ctl`` and return the JSON of its last line of output.

        Raises:
            SystemExit: The command failed.
        """
        entry = self.cluster.entries[0].http
        command = [sys.executable, "-W", "ignore", "-m", "ridgecourse.ctl.main"]
        options = ["--json", "--entry", entry, "--token", OPERATOR_TOKEN]
        completed = subprocess.run(
            [*command, *options, *arguments], capture_output=True, text=True
        )
        print(f"$ ridgecourse-ctl {' '.join(arguments)}")
        if completed.returncode:
            raise SystemExit(
                f"ridgecourse-ctl: exit code {completed.returncode}: {completed.stderr}"
            )
        return json.loads(completed.stdout.splitlines()[-1])

    def publish(self, version: str, seed: int) -> str:
        """Create and publish a version; return its root digest."""
        directory = self.cluster.models / f"writer-{version}"
        make_version(directory, self.size, seed)
        self.run_ctl(
            *("model", "publish", FLEET, "writer", version),
            *("--directory", str(directory)),
            *("--chunk-bytes", str(max(1024, self.size // 64))),
        )
        return self.client.add_version(directory)

    def roll_out(self, version: str) -> float:
        """Place a version, wait until all targets serve it, and return the seconds."""
        started_at = monotonic()
        self.run_ctl("service", "place", FLEET, MODEL_SERVICE, "writer", version)
        self.run_ctl("service", "watch", FLEET, MODEL_SERVICE)
        return monotonic() - started_at

    def set_up(self) -> None:
        """Create the fleet, the services and an account, and join the targets."""
        self.run_ctl("fleet", "create", FLEET)
        self.run_ctl("service", "create", FLEET, MODEL_SERVICE, "--kind", "model")
        self.run_ctl("service", "create", FLEET, PLAIN_SERVICE, "--kind", "plain")
        for node in self.cluster.agents:
            self.cluster.join_target(node)
        self.client.key = self.cluster.create_account("shop")
        self.client.entries = [node.http for node in self.cluster.entries]

    def run(self) -> dict[str, Any]:
        """Run the complete demo and return the summary."""
        self.set_up()
        self.publish("v1", seed=1)
        print(f"version 1 served by all after {self.roll_out('v1'):.2f} s")
        second_root = self.publish("v2", seed=2)
        loads = [
            LoadGenerator(self.client, MODEL_SERVICE, 40, repeatable=True),
            LoadGenerator(self.client, PLAIN_SERVICE, 10, workers=8),
        ]
        for load in loads:
            load.start()
        sleep(SETTLE_SECONDS)
        seconds = self.roll_out("v2")
        print(f"version 2 served by all after {seconds:.2f} s, under requests")
        sleep(SETTLE_SECONDS)
        for load in loads:
            load.close()
        return self.summarize(second_root, seconds)

    def summarize(self, root: str, seconds: float) -> dict[str, Any]:
        """Return the results of the run.

        Args:
            root: Root digest of the second version.
            seconds: Duration of the second rollout.
        """
        history = self.client.history
        outcomes = Counter(answer.outcome for answer in history)
        origin = self.cluster.get_json(self.cluster.addresses["origin"], "/counts")
        sent = origin["sent"].get("writer-v2", 0)
        size = sum(
            path.stat().st_size
            for path in (self.cluster.models / "writer-v2").glob("*.safetensors")
        )
        return {
            "instances": len(self.cluster.model_agents()),
            "seconds_to_all": round(seconds, 3),
            "origin_copies": round(sent / size, 3),
            "requests": len(history),
            "completed": outcomes["completed"],
            "not_run": outcomes["not-run"],
            "unknown": outcomes["unknown"],
            "mixed_versions": count_incorrect(history),
            "executed_twice": self.count_repeated_calls(),
        }

    def count_repeated_calls(self) -> int:
        """Return how many calls of the plain service ran more than once."""
        calls: Counter[str] = Counter()
        for node in self.cluster.agents:
            if node.settings["engine"]["kind"] == "plain":
                address = node.settings["engine"]["address"]
                calls.update(self.cluster.get_json(address, "/calls"))
        return sum(times > 1 for times in calls.values())


def count_incorrect(history: list[Answer]) -> int:
    """Return how many completed answers do not match the weights of one version."""
    return sum(
        answer.outcome == "completed" and not answer.correct for answer in history
    )


def main() -> int:
    """Run the demo; return a non-zero exit code if a guarantee was violated.

    Guarantees: no answer mixes versions, no plain call runs twice, and requests
    complete.
    """
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--size", type=int, default=16 * MEBIBYTE, help="bytes")
    parser.add_argument(
        "--keep", type=Path, help="directory to keep settings and events in"
    )
    arguments = parser.parse_args()
    cluster = Cluster(Plan(), arguments.keep)
    try:
        with cluster:
            summary = Demo(cluster, arguments.size).run()
    finally:
        if arguments.keep is None:
            rmtree(cluster.directory, ignore_errors=True)
    print(json.dumps(summary))
    violated = summary["mixed_versions"] or summary["executed_twice"]
    unanswered = summary["completed"] == 0
    return 1 if violated or unanswered else 0


if __name__ == "__main__":
    sys.exit(main())
