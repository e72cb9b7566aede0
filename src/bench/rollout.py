"""Measures a rollout: duration, bytes read from the origin, and concurrent requests.

Settings limit the rates of links, so that the links and not the machine's processors
are the bottleneck.
"""

import json
from argparse import ArgumentParser, Namespace
from collections.abc import Sequence
from pathlib import Path
from shutil import rmtree
from time import monotonic, sleep
from typing import Any

from bench.result import print_result, quantile
from ridgecourse.ctl.publish import make_manifest, write_manifest
from ridgecourse_standins.client import Answer, LoadGenerator, VerifyingClient
from ridgecourse_standins.cluster import FLEET, MODEL_SERVICE, Cluster, Node, Plan
from ridgecourse_standins.models import make_version

MEBIBYTE = 1024 * 1024
FAULTS = ("kill", "stall", "corrupt", "supersede", "origin-down", "cut")
BEFORE_ROLLOUT_SECONDS = 5.0
"""Duration of the request load before the rollout."""
FAULT_TIME_SHARE = 0.4
"""Time from the start of the rollout to the fault, as a share of the time that one
copy of the version takes over a link."""
FAULT_SECONDS = 3.0
"""Duration of a temporary fault."""


def make_parser() -> ArgumentParser:
    """Return the argument parser."""
    parser = ArgumentParser(prog="python -m bench rollout", description=__doc__)
    parser.add_argument("--instances", type=int, default=12)
    parser.add_argument("--domains", type=int, default=3)
    parser.add_argument("--size", type=int, default=16 * MEBIBYTE)
    parser.add_argument("--chunks", type=int, default=100)
    parser.add_argument("--link", type=float, default=2 * MEBIBYTE)
    parser.add_argument(
        "--origin-link", type=float, help="bytes per second; default: --link"
    )
    parser.add_argument("--origin-copies", type=int, default=1)
    parser.add_argument(
        "--requests", type=float, default=0.0, help="requests per second"
    )
    parser.add_argument(
        "--shared",
        type=int,
        default=0,
        help="number of the 4 files that the new version keeps",
    )
    parser.add_argument("--fault", choices=FAULTS)
    parser.add_argument("--baseline", action="store_true")
    parser.add_argument("--keep", type=Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plan", default="{}", help="planner settings as JSON")
    parser.add_argument("--links", default="{}", help="link settings as JSON")
    return parser


class RolloutBench:
    """Runs and measures one rollout.

    Attributes:
        cluster: Deployment to measure.
        arguments: Arguments of the benchmark.
        caller: Client that sends requests and checks the answers.
        one_copy_seconds: Time that one copy of a version takes over a link, in seconds.
        placed_at: Time at which the rollout started.
        killed: Agent that was killed, if any.
    """

    def __init__(self, cluster: Cluster, arguments: Namespace) -> None:
        self.cluster = cluster
        self.arguments = arguments
        self.caller = VerifyingClient([], FLEET, "")
        self.one_copy_seconds = arguments.size / arguments.link
        self.placed_at = 0.0
        self.killed: Node | None = None

    def publish(self, version: str, seed: int, shared: int = 0) -> str:
        """Create and publish a version and return its root digest."""
        directory = self.cluster.models / f"writer-{version}"
        base_seed = self.arguments.seed
        make_version(
            directory, self.arguments.size, base_seed + seed, 4, base_seed + 1, shared
        )
        root = self.write_version_manifest(directory)
        self.cluster.make_change(
            "PublishVersion",
            model="writer",
            version=version,
            root_digest=root,
            origin_path=f"writer-{version}",
            total_bytes=self.arguments.size,
        )
        return root

    def write_version_manifest(self, directory: Path) -> str:
        """Write the manifest of a version and return its root digest."""
        chunk_bytes = max(1024, self.arguments.size // self.arguments.chunks)
        manifest = make_manifest(directory, chunk_bytes, lambda _: None).unwrap()
        write_manifest(directory, manifest)
        return self.caller.add_version(directory)

    def run(self) -> dict[str, Any]:
        """Set up the deployment, run the rollout and return the results."""
        cluster = self.cluster
        cluster.set_up()
        self.caller.key = cluster.create_account("bench")
        self.caller.entries = [node.http for node in cluster.entries]
        before: list[Answer] = []
        load: LoadGenerator | None = None
        if self.arguments.requests or self.arguments.shared:
            initial_root = self.publish("v1", 1)
            cluster.make_change(
                "Place", service=MODEL_SERVICE, model="writer", version="v1"
            )
            cluster.wait_serving(initial_root, 30 + 10 * self.one_copy_seconds)
        if self.arguments.requests:
            load = LoadGenerator(
                self.caller, MODEL_SERVICE, self.arguments.requests, repeatable=True
            )
            load.start()
            sleep(BEFORE_ROLLOUT_SECONDS)
            before = list(self.caller.history)
        status_before = self.agent_status()
        root = self.publish("v2", 2, self.arguments.shared)
        self.placed_at = monotonic()
        cluster.make_change(
            "Place", service=MODEL_SERVICE, model="writer", version="v2"
        )
        root = self.inject_fault(root)
        cluster.wait_serving(root, 60 + 20 * self.one_copy_seconds)
        during = self.caller.history[len(before) :]
        if load is not None:
            load.close()
        return self.summarize(root, status_before, before, during)

    def agent_status(self) -> dict[str, dict[str, Any]]:
        """Return the status of each agent, with its transfer counters, by target."""
        return {
            node.settings["target"]: self.cluster.status(node)
            for node in self.cluster.model_agents()
        }

    def inject_fault(self, root: str) -> str:
        """Inject the fault and return the root digest that targets must then serve."""
        fault = self.arguments.fault
        if fault is None:
            return root
        sleep(FAULT_TIME_SHARE * self.one_copy_seconds)
        cluster = self.cluster
        if fault == "corrupt":
            cluster.set_faults("origin", corrupt=3)
        elif fault == "origin-down":
            cluster.set_faults("origin", down=True)
            sleep(FAULT_SECONDS)
            cluster.set_faults("origin", down=False)
        elif fault == "kill":
            self.killed = self.top_origin_reader()
            self.killed.managed.kill()
            self.killed.managed.start()
        elif fault == "stall":
            stalled = self.top_origin_reader()
            stalled.managed.pause()
            sleep(FAULT_SECONDS)
            stalled.managed.resume()
        elif fault == "supersede":
            root = self.publish("v3", 3)
            cluster.make_change(
                "Place", service=MODEL_SERVICE, model="writer", version="v3"
            )
        elif fault == "cut":
            raise SystemExit("the fault 'cut' needs relays and is not implemented")
        return root

    def top_origin_reader(self) -> Node:
        """Return the agent that has fetched the most bytes from the origin."""
        return max(
            self.cluster.model_agents(),
            key=lambda node: self.cluster.status(node)["from_origin"],
        )

    def serving_times(self, root: str) -> list[float]:
        """Return the seconds from the start of the rollout until each agent served."""
        times = []
        for node in self.cluster.model_agents():
            event = node.managed.wait_event("version-serving", version=root)
            times.append(event["mono"] - self.placed_at)
        return times

    def summarize(
        self,
        root: str,
        status_before: dict[str, dict[str, Any]],
        before: Sequence[Answer],
        during: Sequence[Answer],
    ) -> dict[str, Any]:
        """Return the results of the run.

        Args:
            root: Root digest of the version that all targets serve.
            status_before: Status of each agent before the rollout, by target.
            before: Answers to requests before the rollout.
            during: Answers to requests during the rollout.
        """
        arguments, cluster = self.arguments, self.cluster
        size = arguments.size
        status_after = self.agent_status()
        cross_domain_bytes: dict[str, int] = {}
        uploads = [0]
        for node in cluster.model_agents():
            target = node.settings["target"]
            target_before = status_before[target]
            restarted = (
                target_before["incarnation"] != status_after[target]["incarnation"]
            )
            initial_counters = {} if restarted else target_before
            added_bytes = status_after[target]["across_domains"] - initial_counters.get(
                "across_domains", 0
            )
            cross_domain_bytes[node.domain] = (
                cross_domain_bytes.get(node.domain, 0) + added_bytes
            )
            uploads.append(
                status_after[target]["uploaded"] - initial_counters.get("uploaded", 0)
            )
        origin_counts = cluster.get_json(cluster.addresses["origin"], "/counts")
        versions = ("writer-v2", "writer-v3")
        origin_bytes = sum(
            origin_counts["sent"].get(version, 0) for version in versions
        )
        times = self.serving_times(root)
        slowest = max(times)
        return {
            "instances": arguments.instances,
            "domains": arguments.domains,
            "fault": arguments.fault,
            "seconds_to_all": slowest,
            "seconds_to_half": quantile(times, 0.5),
            "one_copy_seconds": self.one_copy_seconds,
            "ratio": slowest / self.one_copy_seconds,
            "origin_copies": origin_bytes / size,
            "origin_first": min(origin_counts["first_sent"].values()) - self.placed_at,
            "origin_last": max(origin_counts["last_sent"].values()) - self.placed_at,
            "cross_domain_copies": max(cross_domain_bytes.values()) / size,
            "largest_upload_copies": max(uploads) / size,
            "fetched_twice_copies": sum(
                status["fetched_twice"] for status in status_after.values()
            )
            / size,
            "p50_before": quantile([answer.seconds for answer in before], 0.5),
            "p99_before": quantile([answer.seconds for answer in before], 0.99),
            "p50_during": quantile([answer.seconds for answer in during], 0.5),
            "p99_during": quantile([answer.seconds for answer in during], 0.99),
            "requests": len(during),
            "completed": sum(answer.outcome == "completed" for answer in during),
            "not_run": sum(answer.outcome == "not-run" for answer in during),
            "unknown": sum(answer.outcome == "unknown" for answer in during),
            "wrong_bytes": self.count_wrong(root, [*before, *during]),
            "agent_peak_bytes": max(
                status["usage"]["peak_bytes"] for status in status_after.values()
            ),
        }

    def count_wrong(self, root: str, answers: Sequence[Answer]) -> int:
        """Return the number of incorrect answers and of engines with other weights."""
        wrong_count = sum(
            answer.outcome == "completed" and not answer.correct for answer in answers
        )
        for node in self.cluster.model_agents():
            address = node.settings["engine"]["address"]
            wrong_count += not has_correct_weights(self.caller, address, root)
        return wrong_count


def has_correct_weights(caller: VerifyingClient, address: str, root: str) -> bool:
    """Check whether an engine answers as the version's weights require.

    The request goes directly to the engine, not through its agent.
    """
    body = json.dumps({"prompt": f"check {address}", "max_tokens": 8})
    order = {
        "request_id": f"check-{address}",
        "body": body,
        "start_at": 0,
        "expect": root,
        "priority": 0,
    }
    reply = caller.pool.request(
        "POST", f"http://{address}/v1/generate", body=json.dumps(order), timeout=30.0
    )
    events = [json.loads(line) for line in reply.data.splitlines()]
    tokens = [event["token"] for event in events[:-1]]
    return tokens == caller.weights_by_root[root].answer(f"check {address}", 8)


def make_plan(arguments: Namespace) -> Plan:
    """Return the plan of the deployment to measure."""
    domains = tuple(f"domain{number}" for number in range(arguments.domains))
    agent = {
        "link": {
            "upload_bytes_per_s": arguments.link,
            "download_bytes_per_s": arguments.link,
            **json.loads(arguments.links),
        },
        "plan": json.loads(arguments.plan),
        "staging_bytes": 4 * arguments.size + MEBIBYTE,
    }
    return Plan(
        domains=domains,
        targets=arguments.instances // arguments.domains,
        plain=0,
        origin_rate=arguments.origin_link or arguments.link,
        agent=agent,
        engines_per_process=8,
        origin_copies=arguments.origin_copies,
    )


def main(argv: list[str]) -> int:
    """Run the benchmark and return the exit code."""
    arguments = make_parser().parse_args(argv)
    cluster = Cluster(make_plan(arguments), arguments.keep)
    try:
        with cluster:
            print_result(RolloutBench(cluster, arguments).run())
    finally:
        if arguments.keep is None:
            rmtree(cluster.directory, ignore_errors=True)
    return 0
