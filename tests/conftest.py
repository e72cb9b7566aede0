"""Fixtures, the list of known failures, and the timeline of a failed test."""

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from delay_probe import DelayProbe
from gateway_site import engine, front
from known_failures import read_known_failures

from ridgecourse.ctl.publish import make_manifest, write_manifest
from ridgecourse_standins.client import VerifyingClient
from ridgecourse_standins.cluster import FLEET, MODEL_SERVICE, Cluster, Plan
from ridgecourse_standins.models import make_version

PROBE = DelayProbe()
VERSION_BYTES = 256 * 1024
CHUNK_BYTES = 16 * 1024


class ClusterSite:
    """A started cluster with an account and a client.

    Attributes:
        cluster: The cluster.
        client: Client of the account "shop"; it sends to all entries in turn and checks
            the answers.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        cluster.set_up()
        self.client = VerifyingClient([], FLEET, cluster.create_account("shop"))
        self.client.entries = [node.http for node in cluster.entries]

    def write_version(
        self, version: str, seed: int, size: int = VERSION_BYTES
    ) -> tuple[Path, str]:
        """Write a version and its manifest.

        Returns:
            The directory of the version and its root digest.
        """
        directory = self.cluster.models / f"m-{version}"
        make_version(directory, size, seed)
        return directory, self.rewrite_manifest(directory)

    def rewrite_manifest(self, directory: Path) -> str:
        """Write the manifest of a directory and return the root digest."""
        manifest = make_manifest(directory, CHUNK_BYTES, lambda _: None).unwrap()
        write_manifest(directory, manifest)
        return self.client.add_version(directory)

    def write_large(self, version: str) -> str:
        """Write a version of 8 times the usual size and return its root digest."""
        return self.write_version(version, 9, 8 * VERSION_BYTES)[1]

    def publish(self, version: str, seed: int) -> str:
        """Write and publish a version and return its root digest."""
        _, root = self.write_version(version, seed)
        self.publish_root(version, root)
        return root

    def publish_root(self, version: str, root: str) -> None:
        """Publish a version under a root digest, which need not be its own."""
        self.cluster.make_change(
            "PublishVersion",
            model="m",
            version=version,
            root_digest=root,
            origin_path=f"m-{version}",
            total_bytes=VERSION_BYTES,
        )

    def place_version(self, version: str) -> None:
        """Place a version on the model service, which starts its rollout."""
        self.cluster.make_change(
            "Place", service=MODEL_SERVICE, model="m", version=version
        )

    def roll_out(self, version: str, seed: int) -> str:
        """Publish and place a version; wait until all targets serve the version."""
        root = self.publish(version, seed)
        self.place_version(version)
        self.cluster.wait_serving(root)
        self.cluster.wait_ready()
        for entry in range(len(self.cluster.entries)):
            self.wait_targets_ready(entry)
        return root

    def wait_targets_ready(self, entry: int) -> None:
        """Wait until an entry reports all model targets as ready."""
        self.cluster.wait_until(
            f"entry {entry} sees all ready",
            lambda: all(target.get("ready") for target in self.target_states(entry)),
        )

    def target_states(self, entry: int) -> list[dict[str, Any]]:
        """Return the states of the model targets as an entry reports them."""
        reply = self.cluster.call_admin(
            "ShowRollout", entry, fleet=FLEET, service=MODEL_SERVICE
        )
        return reply["targets"]

    def call_counts(self) -> dict[str, int]:
        """Return how often each call was executed, summed over all plain services."""
        counts: dict[str, int] = {}
        for node in self.cluster.agents:
            if node.settings["engine"]["kind"] == "plain":
                address = node.settings["engine"]["address"]
                for body, count in self.cluster.get_json(address, "/calls").items():
                    counts[body] = counts.get(body, 0) + count
        return counts

    def claim_count(self) -> int:
        """Return the number of claims in the log."""
        counts = self.cluster.get_json(self.cluster.addresses["log"], "/counts")
        return counts["streams"].get("claims", 0)

    def rollout_errors(self) -> list[str]:
        """Return the rollout error of each target, as the first entry reports it."""
        return [target.get("error", "") for target in self.target_states(0)]


@pytest.fixture
def start_site(tmp_path: Path) -> Iterator[Callable[[Plan], ClusterSite]]:
    """Return a function that starts a site; close all started sites after the test."""
    clusters: list[Cluster] = []

    def start(plan: Plan) -> ClusterSite:
        cluster = Cluster(plan, tmp_path / str(len(clusters)))
        clusters.append(cluster)
        cluster.start()
        return ClusterSite(cluster)

    yield start
    for cluster in clusters:
        cluster.close()


def pytest_sessionstart(session: pytest.Session) -> None:
    """Start to record delays, which the report of a failed test lists."""
    PROBE.start()


def pytest_sessionfinish(session: pytest.Session) -> None:
    """Stop recording delays."""
    PROBE.close()


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests that KNOWN-RED.txt lists as expected failures."""
    known_failures = {entry.test: entry for entry in read_known_failures()}
    for item in items:
        entry = known_failures.get(item.nodeid)
        if entry is not None:
            reason = f"{entry.cause} ({entry.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=entry.always_fails))


def pytest_terminal_summary(terminalreporter) -> None:  # type: ignore[no-untyped-def]
    """Print the list of known failures."""
    for entry in read_known_failures():
        terminalreporter.write_line(f"KNOWN-RED: {', '.join(entry)}")


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):  # type: ignore[no-untyped-def]
    """Add the last 150 events of all processes to the report of a failed test."""
    report = yield
    if report.failed and "tmp_path" in getattr(item, "funcargs", {}):
        from ridgecourse.timeline.merge import merge_streams
        from ridgecourse.timeline.render import text_line

        streams = sorted(item.funcargs["tmp_path"].rglob("*.events"))
        events = merge_streams(streams).events[-150:]
        lines = [text_line(event, events[0].wall).plain for event in events]
        report.sections.append(("time line", "\n".join(lines)))
        if events:
            delays = PROBE.lines(events[0].wall, events[0].wall)
            report.sections.append(("delays", "\n".join(delays)))
    if report.failed and "hub_site" in getattr(item, "funcargs", {}):
        exchanges = map(str, item.funcargs["hub_site"].origin.exchanges)
        report.sections.append(("calls to the origin", "\n".join(exchanges)))
    return report


__all__ = ["engine", "front"]
