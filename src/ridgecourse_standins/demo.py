"""The main job on the stand-ins: two versions rolled out under live requests."""

import json
import subprocess
import sys
from argparse import ArgumentParser
from collections import Counter
from pathlib import Path
from shutil import rmtree
from time import monotonic, sleep
from typing import Any

from ridgecourse_standins.caller import Answer, Caller, Load
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
    """Runs the demo on a started cluster."""

    def __init__(self, cluster: Cluster, size: int) -> None:
        self.cluster = cluster
        self.size = size
        self.caller = Caller([], FLEET, "")

    def ctl(self, *arguments: str) -> dict[str, Any]:
        """Run ``ridgecourse-ctl`` and return what it prints."""
        entry = self.cluster.entries[0].http
        command = [sys.executable, "-W", "ignore", "-m", "ridgecourse.ctl.main"]
        options = ["--json", "--entry", entry, "--token", OPERATOR_TOKEN]
        done = subprocess.run(
            [*command, *options, *arguments], capture_output=True, text=True
        )
        print(f"$ ridgecourse-ctl {' '.join(arguments)}")
        if done.returncode:
            raise SystemExit(f"exit code {done.returncode}: {done.stderr}")
        return json.loads(done.stdout.splitlines()[-1])

    def publish(self, version: str, seed: int) -> str:
        """Make and publish a version; return its root digest."""
        directory = self.cluster.models / f"writer-{version}"
        make_version(directory, self.size, seed)
        self.ctl(
            *("model", "publish", FLEET, "writer", version),
            *("--directory", str(directory)),
            *("--chunk-bytes", str(max(1024, self.size // 64))),
        )
        return self.caller.know(directory)

    def roll_out(self, version: str) -> float:
        """Place a version and wait until all targets serve it."""
        begun = monotonic()
        self.ctl("service", "place", FLEET, MODEL_SERVICE, "writer", version)
        self.ctl("service", "watch", FLEET, MODEL_SERVICE)
        return monotonic() - begun

    def set_up(self) -> None:
        """Create fleet, services, targets and an account."""
        self.ctl("fleet", "create", FLEET)
        self.ctl("service", "create", FLEET, MODEL_SERVICE, "--kind", "model")
        self.ctl("service", "create", FLEET, PLAIN_SERVICE, "--kind", "plain")
        for node in self.cluster.agents:
            self.cluster.join(node)
        self.caller.key = self.cluster.account("shop")
        self.caller.entries = [node.http for node in self.cluster.entries]

    def run(self) -> dict[str, Any]:
        """Run all of it and return the summary."""
        self.set_up()
        self.publish("v1", seed=1)
        print(f"version 1 served by all after {self.roll_out('v1'):.2f} s")
        second = self.publish("v2", seed=2)
        loads = [
            Load(self.caller, MODEL_SERVICE, 40, repeatable=True),
            Load(self.caller, PLAIN_SERVICE, 10, workers=8),
        ]
        for load in loads:
            load.start()
        sleep(SETTLE_SECONDS)
        seconds = self.roll_out("v2")
        print(f"version 2 served by all after {seconds:.2f} s, under requests")
        sleep(SETTLE_SECONDS)
        for load in loads:
            load.close()
        return self.summary(second, seconds)

    def summary(self, root: str, seconds: float) -> dict[str, Any]:
        """Return what the run showed."""
        history = self.caller.history
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
            "mixed_versions": count_wrong(history),
            "executed_twice": self.count_twice(),
        }

    def count_twice(self) -> int:
        """Return calls of the plain services that were carried out twice."""
        calls: Counter[str] = Counter()
        for node in self.cluster.agents:
            if node.settings["engine"]["kind"] == "plain":
                address = node.settings["engine"]["address"]
                calls.update(self.cluster.get_json(address, "/calls"))
        return sum(times > 1 for times in calls.values())


def count_wrong(history: list[Answer]) -> int:
    """Return completed answers that are not wholly of one version's weights."""
    return sum(a.outcome == "completed" and not a.whole for a in history)


def main() -> int:
    """Run the demo; exit non-zero if a promise broke."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--size", type=int, default=16 * MEBIBYTE, help="bytes")
    parser.add_argument("--keep", type=Path, help="keep settings and events there")
    arguments = parser.parse_args()
    cluster = Cluster(Plan(), arguments.keep)
    try:
        with cluster:
            summary = Demo(cluster, arguments.size).run()
    finally:
        if arguments.keep is None:
            rmtree(cluster.directory, ignore_errors=True)
    print(json.dumps(summary))
    broken = summary["mixed_versions"] or summary["executed_twice"]
    unanswered = summary["completed"] == 0
    return 1 if broken or unanswered else 0


if __name__ == "__main__":
    sys.exit(main())
