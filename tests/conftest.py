from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from gateway_site import front
from known_red import read_known_red

from ridgecourse.ctl.publish import make_manifest, write_manifest
from ridgecourse_standins.client import VerifyingClient
from ridgecourse_standins.cluster import FLEET, MODEL_SERVICE, Cluster, Plan
from ridgecourse_standins.models import make_version

SIZE = 256 * 1024
CHUNK = 16 * 1024


class Site:
    """A started cluster with an account, and its caller."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        cluster.set_up()
        self.caller = VerifyingClient([], FLEET, cluster.create_account("shop"))
        self.caller.entries = [node.http for node in cluster.entries]

    def write(self, version: str, seed: int, size: int = SIZE) -> tuple[Path, str]:
        directory = self.cluster.models / f"m-{version}"
        make_version(directory, size, seed)
        return directory, self.rewrite_manifest(directory)

    def rewrite_manifest(self, directory: Path) -> str:
        manifest = make_manifest(directory, CHUNK, lambda _: None).unwrap()
        write_manifest(directory, manifest)
        return self.caller.add_version(directory)

    def write_large(self, version: str) -> str:
        return self.write(version, 9, 8 * SIZE)[1]

    def publish(self, version: str, seed: int) -> str:
        _, root = self.write(version, seed)
        self.publish_root(version, root)
        return root

    def publish_root(self, version: str, root: str) -> None:
        self.cluster.make_change(
            "PublishVersion",
            model="m",
            version=version,
            root_digest=root,
            origin_path=f"m-{version}",
            total_bytes=SIZE,
        )

    def place(self, version: str) -> None:
        self.cluster.make_change(
            "Place", service=MODEL_SERVICE, model="m", version=version
        )

    def roll_out(self, version: str, seed: int) -> str:
        root = self.publish(version, seed)
        self.place(version)
        self.cluster.wait_serving(root)
        self.cluster.wait_ready()
        for entry in range(len(self.cluster.entries)):
            self.wait_seen(entry)
        return root

    def wait_seen(self, entry: int) -> None:
        """Wait until an entry sees all model targets ready."""
        self.cluster.wait_until(
            f"entry {entry} sees all ready",
            lambda: all(t.get("ready") for t in self.targets(entry)),
        )

    def targets(self, entry: int) -> list[dict[str, Any]]:
        reply = self.cluster.call_admin(
            "ShowRollout", entry, fleet=FLEET, service=MODEL_SERVICE
        )
        return reply["targets"]

    def calls(self) -> dict[str, int]:
        """How often each call was carried out, over all plain services."""
        total: dict[str, int] = {}
        for node in self.cluster.agents:
            if node.settings["engine"]["kind"] == "plain":
                address = node.settings["engine"]["address"]
                for body, times in self.cluster.get_json(address, "/calls").items():
                    total[body] = total.get(body, 0) + times
        return total

    def claims(self) -> int:
        counts = self.cluster.get_json(self.cluster.addresses["log"], "/counts")
        return counts["streams"].get("claims", 0)

    def rollout_errors(self) -> list[str]:
        return [target.get("error", "") for target in self.targets(0)]


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Callable[[Plan], Site]]:
    """Starts sites; ends them, and shows the time line of a failed test."""
    started: list[Cluster] = []

    def start(plan: Plan) -> Site:
        cluster = Cluster(plan, tmp_path / str(len(started)))
        started.append(cluster)
        cluster.start()
        return Site(cluster)

    yield start
    for cluster in started:
        cluster.close()


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let the listed tests fail, and no others."""
    known = {entry.test: entry for entry in read_known_red()}
    for item in items:
        entry = known.get(item.nodeid)
        if entry is not None:
            reason = f"{entry.cause} ({entry.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=entry.always_fails))


def pytest_terminal_summary(terminalreporter) -> None:  # type: ignore[no-untyped-def]
    for entry in read_known_red():
        terminalreporter.write_line(f"KNOWN-RED: {', '.join(entry)}")


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):  # type: ignore[no-untyped-def]
    report = yield
    if report.failed and "tmp_path" in getattr(item, "funcargs", {}):
        from ridgecourse.timeline.merge import merge_streams
        from ridgecourse.timeline.render import text_line

        streams = sorted(item.funcargs["tmp_path"].rglob("*.events"))
        events = merge_streams(streams).events[-150:]
        lines = [text_line(event, events[0].wall).plain for event in events]
        report.sections.append(("time line", "\n".join(lines)))
    return report


__all__ = ["front"]
