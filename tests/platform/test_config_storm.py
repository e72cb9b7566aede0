"""All processes of a domain apply decisions in time in a storm, despite kills.

The test guards against a failure in which configurations of 440 KB followed each other
every 1.8 s for 10 s and more; loaders were stopped at the start of the storm, and half
of the gateways were killed 2 s later. 2 gateways of a domain outside the store's
region, neither of which had been restarted, answered requests by an outdated version
6.06 s and 5.00 s after a newer version had been acknowledged.

A process whose parent in the read tree had failed, and a process that had just started,
read the store directly. With 20 responses of 390 KB at once on one link none arrived in
time, and processes that waited for a parent turned to the store as well.

With this fault, all processes of the domain in this test applied the fourth
configuration 5.0 s after it was written, and each had read it from the store. With few
readers the delay was 0.9 to 1.1 s, and 1 to 4 processes had read the store.
"""

from collections.abc import Iterator
from pathlib import Path
from threading import Thread
from time import sleep, time

import pytest
from gateway_site import make_large_config
from test_cross_region_reads import CrossRegionSite

GATEWAYS = tuple(f"127.0.0.{number}" for number in range(1, 14))
LOADERS = tuple(f"127.0.0.{number}" for number in range(31, 41))
LINK_BYTES_PER_S = 10e6 / 8
"""Half of the capacity of a link between two regions: weights and requests use the
other half."""
VERSIONS = 8
CONFIG_INTERVAL_SECONDS = 1.75
KILLED_GATEWAYS = 7
STOPPED_LOADERS = 3
STOP_INTERVAL_SECONDS = 0.5
KILL_DELAY_SECONDS = 1.9
STARTUP_GRACE_SECONDS = 3.0
"""Time after its start for which a process may be behind."""
CONFIG_DEADLINE_SECONDS = 2.0
"""Time in which a configuration must be in force, as set in the processes' settings."""


class StormSite(CrossRegionSite):
    """A domain in a storm of configurations.

    Attributes:
        written_at: Wall time in seconds at which each version was written.
        restarted_at: Wall time in seconds at which killed processes were restarted.
    """

    def __init__(self, directory: Path) -> None:
        super().__init__(directory, GATEWAYS, LOADERS)
        self.written_at: dict[int, float] = {}
        self.restarted_at: dict[str, float] = {}

    def start_storm(self) -> Thread:
        """Start all processes and the storm; return the thread that writes the storm.

        All reads of the store share one link of ``LINK_BYTES_PER_S``.
        """
        self.start(make_large_config(1))
        self.publish_until_single_reader()
        self.version = 100
        self.store.bytes_per_s = LINK_BYTES_PER_S
        writer = Thread(target=self.storm)
        writer.start()
        return writer

    def storm(self) -> None:
        """Publish large configurations one after the other."""
        config = make_large_config(0)
        for version in range(self.version + 1, self.version + 1 + VERSIONS):
            self.written_at[version] = time()
            self.store.put_config({**config, "version": version})
            self.version = version
            if self.stop_storm.wait(CONFIG_INTERVAL_SECONDS):
                return

    def stop_loaders(self) -> None:
        """Stop loaders one after the other, without a restart."""
        for host in LOADERS[:STOPPED_LOADERS]:
            self.processes.pop(host).started_process.terminate()
            sleep(STOP_INTERVAL_SECONDS)

    def kill_gateways(self) -> None:
        """Kill gateways at the same time and restart them."""
        for host in GATEWAYS[:KILLED_GATEWAYS]:
            self.processes[host].kill()
        for host in GATEWAYS[:KILLED_GATEWAYS]:
            self.processes[host].start()
            self.restarted_at[host] = time()

    def process_delays(self) -> Iterator[tuple[float, str, int]]:
        """Yield the delay in seconds, the host and the version, for each version.

        The delay is the time until a process applied this version or a newer one. A
        process that was restarted less than ``STARTUP_GRACE_SECONDS`` before the
        version was written is skipped, since it need not apply the version in time.
        """
        for version, written in self.written_at.items():
            for seconds, host in self.config_delays(version, written):
                bound_from = (
                    self.restarted_at.get(host, -STARTUP_GRACE_SECONDS)
                    + STARTUP_GRACE_SECONDS
                )
                if written > bound_from:
                    yield seconds, host, version

    def config_delays(self, version: int, start: float) -> Iterator[tuple[float, str]]:
        """Yield the seconds from a time until a version was in force, and the host."""
        for host, process in self.processes.items():
            applied_at = [
                event["wall"]
                for event in process.events()
                if event["kind"] == "config-folded" and int(event["version"]) >= version
            ]
            yield min(applied_at) - start, host


@pytest.fixture
def site(tmp_path: Path) -> Iterator[StormSite]:
    site = StormSite(tmp_path)
    yield site
    site.stop_storm.set()
    site.close()


def test_decisions_are_in_force_in_time_despite_kills_in_a_storm(site) -> None:
    storm_writer = site.start_storm()
    stops = Thread(target=site.stop_loaders)
    stops.start()
    sleep(KILL_DELAY_SECONDS)
    site.kill_gateways()
    stops.join()
    storm_writer.join()
    site.wait_applied(site.version)
    delays = sorted(site.process_delays(), reverse=True)
    assert delays[0][0] < CONFIG_DEADLINE_SECONDS, delays[:10]
