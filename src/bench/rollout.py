"""Measures a rollout: time until all serve, origin bytes, requests meanwhile.

Links are limited by settings so that they, not this machine's processors, are
the bound.
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
from ridgecourse_standins.caller import Answer, Caller, Load
from ridgecourse_standins.cluster import FLEET, MODEL_SERVICE, Cluster, Node, Plan
from ridgecourse_standins.models import make_version

MEBIBYTE = 1024 * 1024
FAULTS = ("kill", "stall", "corrupt", "supersede", "origin-down", "cut")
BEFORE_SECONDS = 5.0
FAULT_AT = 0.4
"""Share of the one-copy time after which a fault strikes."""
FAULT_SECONDS = 3.0


def make_parser() -> ArgumentParser:
    """Return the parser of the arguments."""
    parser = ArgumentParser(prog="python -m bench rollout", description=__doc__)
    parser.add_argument("--instances", type=int, default=12)
    parser.add_argument("--domains", type=int, default=3)
    parser.add_argument("--size", type=int, default=16 * MEBIBYTE)
    parser.add_argument("--chunks", type=int, default=100)
    parser.add_argument("--link", type=float, default=2 * MEBIBYTE)
    parser.add_argument("--origin-link", type=float, help="default: as --link")
    parser.add_argument("--origin-copies", type=int, default=1)
    parser.add_argument("--requests", type=float, default=0.0, help="a second")
    parser.add_argument("--shared", type=int, default=0, help="files of 4 kept")
    parser.add_argument("--fault", choices=FAULTS)
    parser.add_argument("--baseline", action="store_true")
    parser.add_argument("--keep", type=Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plan", default="{}", help="planner settings as JSON")
    parser.add_argument("--links", default="{}", help="link settings as JSON")
    return parser


class RolloutBench:
    """One measured rollout."""

    def __init__(self, cluster: Cluster, arguments: Namespace) -> None:
        self.cluster = cluster
        self.arguments = arguments
        self.caller = Caller([], FLEET, "")
        self.one_copy = arguments.size / arguments.link
        self.placed_at = 0.0
        self.killed: Node | None = None

    def publish(self, version: str, seed: int, shared: int = 0) -> str:
        """Make and publish a version; return its root digest."""
        directory = self.cluster.models / f"writer-{version}"
        base = self.arguments.seed
        make_version(directory, self.arguments.size, base + seed, 4, base + 1, shared)
        root = self.write_manifest_of(directory)
        self.cluster.change(
            "PublishVersion",
            model="writer",
            version=version,
            root_digest=root,
            origin_path=f"writer-{version}",
            total_bytes=self.arguments.size,
        )
        return root

    def write_manifest_of(self, directory: Path) -> str:
        """Write the manifest of a version; return its root digest."""
        chunk = max(1024, self.arguments.size // self.arguments.chunks)
        manifest = make_manifest(directory, chunk, lambda _: None).unwrap()
        write_manifest(directory, manifest)
        return self.caller.know(directory)

    def run(self) -> dict[str, Any]:
        """Set up, measure, and return the figures."""
        cluster = self.cluster
        cluster.set_up()
        self.caller.key = cluster.account("bench")
        self.caller.entries = [node.http for node in cluster.entries]
        before: list[Answer] = []
        load: Load | None = None
        if self.arguments.requests or self.arguments.shared:
            first = self.publish("v1", 1)
            cluster.change("Place", service=MODEL_SERVICE, model="writer", version="v1")
            cluster.wait_serving(first, 30 + 10 * self.one_copy)
        if self.arguments.requests:
            load = Load(
                self.caller, MODEL_SERVICE, self.arguments.requests, repeatable=True
            )
            load.start()
            sleep(BEFORE_SECONDS)
            before = list(self.caller.history)
        counts = self.moved()
        root = self.publish("v2", 2, self.arguments.shared)
        self.placed_at = monotonic()
        cluster.change("Place", service=MODEL_SERVICE, model="writer", version="v2")
        root = self.strike(root)
        cluster.wait_serving(root, 60 + 20 * self.one_copy)
        during = self.caller.history[len(before) :]
        if load is not None:
            load.close()
        return self.figures(root, counts, before, during)

    def moved(self) -> dict[str, dict[str, Any]]:
        """Return what each agent says it has moved."""
        return {
            node.settings["target"]: self.cluster.status(node)
            for node in self.cluster.model_agents()
        }

    def strike(self, root: str) -> str:
        """Bring the fault about; return the version that must be served."""
        fault = self.arguments.fault
        if fault is None:
            return root
        sleep(FAULT_AT * self.one_copy)
        cluster = self.cluster
        if fault == "corrupt":
            cluster.fault("origin", corrupt=3)
        elif fault == "origin-down":
            cluster.fault("origin", down=True)
            sleep(FAULT_SECONDS)
            cluster.fault("origin", down=False)
        elif fault == "kill":
            self.killed = self.busiest()
            self.killed.managed.kill()
            self.killed.managed.start()
        elif fault == "stall":
            stalled = self.busiest()
            stalled.managed.freeze()
            sleep(FAULT_SECONDS)
            stalled.managed.wake()
        elif fault == "supersede":
            root = self.publish("v3", 3)
            cluster.change("Place", service=MODEL_SERVICE, model="writer", version="v3")
        elif fault == "cut":
            raise SystemExit("the fault cut needs relays and is not built yet")
        return root

    def busiest(self) -> Node:
        """Return the agent that has drawn most from the origin."""
        return max(
            self.cluster.model_agents(),
            key=lambda node: self.cluster.status(node)["from_origin"],
        )

    def serving_times(self, root: str) -> list[float]:
        """Return when each agent began to serve a version, in seconds from placing."""
        times = []
        for node in self.cluster.model_agents():
            event = node.managed.wait_event("version-serving", version=root)
            times.append(event["mono"] - self.placed_at)
        return times

    def figures(
        self,
        root: str,
        before_moved: dict[str, dict[str, Any]],
        before: Sequence[Answer],
        during: Sequence[Answer],
    ) -> dict[str, Any]:
        """Return the figures of the run."""
        arguments, cluster = self.arguments, self.cluster
        size = arguments.size
        moved = self.moved()
        across: dict[str, int] = {}
        uploads = [0]
        for node in cluster.model_agents():
            target = node.settings["target"]
            was = before_moved[target]
            restarted = was["incarnation"] != moved[target]["incarnation"]
            base = {} if restarted else was
            gained = moved[target]["across_domains"] - base.get("across_domains", 0)
            across[node.domain] = across.get(node.domain, 0) + gained
            uploads.append(moved[target]["uploaded"] - base.get("uploaded", 0))
        origin = cluster.get_json(cluster.addresses["origin"], "/counts")
        versions = ("writer-v2", "writer-v3")
        drawn = sum(origin["sent"].get(version, 0) for version in versions)
        times = self.serving_times(root)
        latest = max(times)
        return {
            "instances": arguments.instances,
            "domains": arguments.domains,
            "fault": arguments.fault,
            "seconds_to_all": latest,
            "seconds_to_half": quantile(times, 0.5),
            "one_copy_seconds": self.one_copy,
            "ratio": latest / self.one_copy,
            "origin_copies": drawn / size,
            "origin_first": min(origin["first_sent"].values()) - self.placed_at,
            "origin_last": max(origin["last_sent"].values()) - self.placed_at,
            "cross_domain_copies": max(across.values()) / size,
            "largest_upload_copies": max(uploads) / size,
            "fetched_twice_copies": sum(m["fetched_twice"] for m in moved.values())
            / size,
            "p50_before": quantile([a.seconds for a in before], 0.5),
            "p99_before": quantile([a.seconds for a in before], 0.99),
            "p50_during": quantile([a.seconds for a in during], 0.5),
            "p99_during": quantile([a.seconds for a in during], 0.99),
            "requests": len(during),
            "completed": sum(a.outcome == "completed" for a in during),
            "not_run": sum(a.outcome == "not-run" for a in during),
            "unknown": sum(a.outcome == "unknown" for a in during),
            "wrong_bytes": self.wrong(root, [*before, *during]),
            "agent_peak_bytes": max(m["usage"]["peak_bytes"] for m in moved.values()),
        }

    def wrong(self, root: str, answers: Sequence[Answer]) -> int:
        """Return answers, and engines asked now, that are not of their version."""
        wrong = sum(a.outcome == "completed" and not a.whole for a in answers)
        for node in self.cluster.model_agents():
            address = node.settings["engine"]["address"]
            wrong += not engine_is_right(self.caller, address, root)
        return wrong


def engine_is_right(caller: Caller, address: str, root: str) -> bool:
    """Ask an engine past its agent and check the answer against the weights."""
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
    return tokens == caller.known[root].answer(f"check {address}", 8)


def make_plan(arguments: Namespace) -> Plan:
    """Return the deployment to measure."""
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
    """Run the benchmark."""
    arguments = make_parser().parse_args(argv)
    cluster = Cluster(make_plan(arguments), arguments.keep)
    try:
        with cluster:
            print_result(RolloutBench(cluster, arguments).run())
    finally:
        if arguments.keep is None:
            rmtree(cluster.directory, ignore_errors=True)
    return 0
