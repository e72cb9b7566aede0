"""Few processes of a domain read each decision from the store, all receive it in time.

Guards against decisions that arrive up to 15 s late outside the region of the store
during bursts of configurations: gateways used old routes and refused requests for new
ones. Each process read each configuration from the store itself. A configuration had
54 KB, a region had 21 processes, and 1 link connected 2 regions. So a version took
0.75 s of the link, while a version was published every 0.24 to 0.33 s. The reads queued
up. A process that was behind then requested all versions in between, up to 1 MB in one
answer, which kept the link full for about 14 s after the burst. In the region of the
store each version was in force after at most 0.12 s, in the others after 0.9 s for an
isolated change and 15 s in a burst. The delays were the same with and without a slow
store, and regions with smaller configurations were not late.
"""

from collections.abc import Collection, Iterator, Sequence
from pathlib import Path
from time import monotonic, sleep
from typing import Any

import pytest
from gateway_site import (
    LAYERS,
    MODEL,
    GatewaySite,
    make_config,
    make_engine_entry,
    make_route,
    make_settings,
)
from msgspec.json import decode, encode

from ridgecourse.platform.names import DECISIONS_TOPIC
from ridgecourse_standins.managed_process import ManagedProcess
from ridgecourse_standins.platform.weights import StagingEngine
from ridgecourse_standins.ports import LAST_PORT, free_address, free_port

GATEWAYS = tuple(f"127.0.0.{number}" for number in range(1, 7))
LOADER = "127.0.0.9"
LISTENER_NAMES = ("frontend", "readiness")
VERSION_COUNT = 40
QUIET_SECONDS = 3.0
MAX_UNCONFIRMED_SECONDS = 1.5
"""Longest time for which a process may have no confirmation from an idle store. The
time at which a version was named is too early by at most this."""
CONFIG_SECONDS = 2.0
"""Time within which a configuration must be in force."""


class DomainSite(GatewaySite):
    """Gateways and loaders of one failure domain.

    By default there are 6 gateways, which form a read tree of 2 levels, and 1 loader.

    Attributes:
        gateways: Hosts of the gateways.
        engines_by_host: The engine of each loader, by host.
        paths: Path of the settings of each process, by host.
        processes: All processes, by host.
    """

    def __init__(
        self,
        directory: Path,
        gateways: Sequence[str] = GATEWAYS,
        loaders: Sequence[str] = (LOADER,),
    ) -> None:
        super().__init__(directory)
        self.gateways = gateways
        self.engines_by_host = {host: StagingEngine(LAYERS, host) for host in loaders}
        for engine in self.engines_by_host.values():
            engine.version = 1
            engine.start()
        extra_settings: dict[str, dict[str, Any]] = {
            host: {
                "listen": {name: free_address(host) for name in LISTENER_NAMES},
            }
            for host in gateways[1:]
        }
        for host, engine in self.engines_by_host.items():
            extra_settings[host] = {
                "listen": {},
                "app": engine.address,
                "service": "llm",
            }
        # Choose this port after all others, since the next port is used as well.
        self.settings["internal_port_range"] = [free_port(), LAST_PORT]
        self.path.write_bytes(encode(self.settings))
        self.paths: dict[str, Path] = {}
        self.processes = {
            host: self.make_process(directory, host, settings)
            for host, settings in extra_settings.items()
        }
        self.processes[GATEWAYS[0]] = self.gateway

    def make_process(
        self, directory: Path, host: str, extra_settings: dict[str, Any]
    ) -> ManagedProcess:
        ports = self.settings["internal_port_range"]
        settings = make_settings(
            self.store.address,
            **{
                "node_name": host,
                "ip": host,
                "internal_port_range": ports,
                **extra_settings,
            },
        )
        path = directory / f"{host}.json"
        path.write_bytes(encode(settings))
        self.paths[host] = path
        is_loader = host in self.engines_by_host
        program = "loader_main" if is_loader else "gateway_main"
        command = ["-m", f"ridgecourse.platform.{program}", str(path)]
        return ManagedProcess(host, command, directory)

    def change_settings(self, host: str, **extra_settings: Any) -> None:
        """Change the settings of a process."""
        path = self.paths[host]
        path.write_bytes(encode({**decode(path.read_bytes()), **extra_settings}))

    def start(self, config=None) -> None:
        for host, engine in self.engines_by_host.items():
            name = "i-llm" if host == LOADER else f"i-{host}"
            self.store.put_target(name, make_engine_entry(engine.address, "a"))
        for process in self.processes.values():
            if process is not self.gateway:
                process.start()
        super().start(config)
        for host in self.engines_by_host:
            self.processes[host].wait_event(
                "gateways-known", after=len(self.gateways) - 1
            )

    def hosts_that_read(self, version: int) -> set[str]:
        """Return the hosts that received a configuration from the store."""
        return {
            host
            for host, records in list(self.store.delivered.items())
            for topic, key, value in list(records)
            if topic == DECISIONS_TOPIC and decode(value).get("version") == version
        }

    def wait_applied(self, version: int, hosts: Collection[str] | None = None) -> None:
        """Wait until processes have applied a configuration.

        Args:
            version: Version of the configuration.
            hosts: Hosts of the processes; None for all processes.
        """
        for host, process in self.processes.items():
            if hosts is None or host in hosts:
                process.wait_event("config-folded", version=str(version))

    def count_avoided_parents(self) -> int:
        """Return how often a process avoided its parent."""
        return sum(
            event.get("kind") == "parent-avoided"
            for process in self.processes.values()
            for event in process.events()
        )

    def publish_until_single_reader(
        self, first: int = 2, hosts: Collection[str] | None = None
    ) -> int:
        """Publish configurations until one process reads for all.

        Args:
            first: Version of the first configuration.
            hosts: Hosts that must apply each configuration; None for all processes.

        Returns:
            Version of the last configuration.

        Raises:
            AssertionError: Several processes still read the last configuration.
        """
        for version in range(first, first + VERSION_COUNT):
            self.store.put_config(make_config(version))
            self.wait_applied(version, hosts)
            if len(self.hosts_that_read(version)) == 1:
                return version
        raise AssertionError("each process reads each configuration itself")

    def close(self) -> None:
        for process in self.processes.values():
            process.close()
        for engine in self.engines_by_host.values():
            engine.close()
        super().close()


@pytest.fixture
def domain(tmp_path: Path) -> Iterator[DomainSite]:
    site = DomainSite(tmp_path)
    yield site
    site.close()


def test_one_process_of_a_domain_reads_configurations_for_all(domain) -> None:
    domain.start()
    domain.publish_until_single_reader()


def test_one_process_reads_for_all_when_changes_are_rare(domain) -> None:
    """Guards against records that processes downstream wrongly regard as stale.

    Each level of the read tree added the duration of its long poll to the age of the
    records. Without changes, the second level and loaders therefore read the store.
    """
    domain.start()
    version = domain.publish_until_single_reader()
    avoided = domain.count_avoided_parents()
    for number in range(version + 1, version + 4):
        # No event marks the time without changes, so the test waits for that time.
        sleep(QUIET_SECONDS)
        domain.store.put_config(make_config(number))
        domain.wait_applied(number)
        assert len(domain.hosts_that_read(number)) == 1
    assert domain.count_avoided_parents() == avoided


def test_other_processes_get_a_configuration_while_their_reader_is_frozen(
    domain,
) -> None:
    domain.start()
    version = domain.publish_until_single_reader() + 1
    reader = domain.hosts_that_read(version - 1).pop()
    others = set(GATEWAYS) - {reader}
    domain.processes[reader].pause()
    published_at = monotonic()
    domain.store.put_config(make_config(version))
    domain.wait_applied(version, others)
    assert monotonic() - published_at < CONFIG_SECONDS
    # Another process must read for the rest.
    domain.publish_until_single_reader(version + 1, others)
    domain.processes[reader].resume()
    domain.wait_applied(version, {reader})


def test_other_processes_get_a_configuration_after_their_reader_is_killed(
    domain,
) -> None:
    domain.start()
    version = domain.publish_until_single_reader() + 1
    reader = domain.hosts_that_read(version - 1).pop()
    others = set(GATEWAYS) - {reader}
    domain.processes[reader].kill()
    published_at = monotonic()
    domain.store.put_config(make_config(version))
    domain.wait_applied(version, others)
    assert monotonic() - published_at < CONFIG_SECONDS


def test_a_starting_process_reads_from_a_seed_before_the_store(domain) -> None:
    domain.start()
    restarted = domain.processes[GATEWAYS[1]]
    restarted.kill()
    domain.change_settings(GATEWAYS[1], seed_nodes=[f"{GATEWAYS[0]}:1"])
    read_count = len(domain.store.newest_reads)
    restarted.start()
    restarted.wait_event("config-folded", after=1)
    hosts = domain.store.newest_reads[read_count:]
    assert (GATEWAYS[1], DECISIONS_TOPIC) not in hosts


def test_a_starting_gateway_learns_when_a_version_was_named(domain) -> None:
    domain.start()
    gateway = domain.processes[GATEWAYS[1]]
    domain.store.put_version(MODEL, 2)
    named = domain.processes[LOADER].wait_event("version-named", version="2")
    gateway.kill()
    gateway.start()
    dated = gateway.wait_event("version-dated", version="2")
    expected_age = named["detail"]["age"] + dated["wall"] - named["wall"]
    assert dated["detail"]["age"] == pytest.approx(expected_age, abs=0.3)
    assert named["detail"]["age"] <= MAX_UNCONFIRMED_SECONDS


def test_a_process_that_is_behind_skips_superseded_configurations(front) -> None:
    front.add_engine("app")
    front.start()
    front.gateway.pause()
    routes = [make_route(f"/idle-{n}/", "safe", "app") for n in range(200)]
    for version in range(2, VERSION_COUNT):
        config = make_config(version)
        config["routes"].extend(routes)
        front.store.put_config(config)
    front.gateway.resume()
    front.gateway.wait_event("config-folded", version=str(VERSION_COUNT - 1))
    received_bytes = sum(
        len(value) for _, _, value in front.store.delivered["127.0.0.1"]
    )
    assert received_bytes < 5 * len(encode(config))
