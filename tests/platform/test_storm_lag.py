"""Decisions are in force in time at all processes of a domain, in a storm with kills.

What happened: configurations of 440 KB followed each other in 1.8 s for ten seconds and
more; loaders were stopped at its begin, and half of the gateways were killed 2 s later.
Two gateways of a domain outside the store's region, neither of which had started again,
answered by a version 6.06 s and 5.00 s after a newer one had been acknowledged.

Why: whoever lost the process that it read from, and whoever started, read the store by
itself. With 20 answers of 390 KB at once on one link none came in time, and who waited
for a parent turned to the store as well.

What settled it: in this test all processes of the domain had the fourth configuration
5.0 s after it was written, each having read it from the store. With few readers it was
0.9 to 1.1 s, and one to four had read it.
"""

from collections.abc import Iterator
from pathlib import Path
from threading import Thread
from time import sleep, time

import pytest
from gateway_site import make_large_config
from test_border_reads import BorderSite

GATEWAYS = tuple(f"127.0.0.{number}" for number in range(1, 14))
LOADERS = tuple(f"127.0.0.{number}" for number in range(31, 41))
LINK_BYTES_PER_S = 10e6 / 8
"""Half of what a link between two regions carries: weights and requests take the
other."""
VERSIONS = 8
PAUSE_SECONDS = 1.75
KILLED = 7
STOPPED = 3
STOP_PAUSE_SECONDS = 0.5
KILL_AFTER_SECONDS = 1.9
CONTACT_SECONDS = 3.0
"""After a start, for which a process may be behind."""
CONFIG_SECONDS = 2.0
"""In which a configuration must be in force, as the processes' settings have it."""


class StormSite(BorderSite):
    """A domain in a storm of configurations.

    Attributes:
        put_at: When each version was written.
        started_at: When processes that were killed were started again.
    """

    def __init__(self, directory: Path) -> None:
        super().__init__(directory, GATEWAYS, LOADERS)
        self.put_at: dict[int, float] = {}
        self.started_at: dict[str, float] = {}

    def begin_storm(self) -> Thread:
        """Start all, then a storm over one link to the store; return who writes it."""
        self.start(make_large_config(1))
        self.settle()
        self.version = 100
        self.store.bytes_per_s = LINK_BYTES_PER_S
        writer = Thread(target=self.storm)
        writer.start()
        return writer

    def storm(self) -> None:
        """Publish one large configuration after the other."""
        config = make_large_config(0)
        for version in range(self.version + 1, self.version + 1 + VERSIONS):
            self.put_at[version] = time()
            self.store.put_config({**config, "version": version})
            self.version = version
            if self.ended.wait(PAUSE_SECONDS):
                return

    def stop_loaders(self) -> None:
        """Stop loaders in turn, for good."""
        for host in LOADERS[:STOPPED]:
            self.processes.pop(host).started_process.terminate()
            sleep(STOP_PAUSE_SECONDS)

    def kill_gateways(self) -> None:
        """Kill gateways at the same moment and start them again."""
        for host in GATEWAYS[:KILLED]:
            self.processes[host].kill()
        for host in GATEWAYS[:KILLED]:
            self.processes[host].start()
            self.started_at[host] = time()

    def lags(self) -> Iterator[tuple[float, str, int]]:
        """Yield how late each version, or a newer one, was in force at each process.

        A process that has just started need not have a version in time.
        """
        for version, put_at in self.put_at.items():
            for seconds, host in self.folded_after(version, put_at):
                since = self.started_at.get(host, -CONTACT_SECONDS) + CONTACT_SECONDS
                if put_at > since:
                    yield seconds, host, version

    def folded_after(self, version: int, moment: float) -> Iterator[tuple[float, str]]:
        """Yield the seconds from a moment until a version was in force, by process."""
        for host, process in self.processes.items():
            walls = [
                event["wall"]
                for event in process.events()
                if event["kind"] == "config-folded" and int(event["version"]) >= version
            ]
            yield min(walls) - moment, host


@pytest.fixture
def site(tmp_path: Path) -> Iterator[StormSite]:
    site = StormSite(tmp_path)
    yield site
    site.ended.set()
    site.close()


def test_decisions_are_in_force_in_time_through_kills_in_a_storm(site) -> None:
    storm = site.begin_storm()
    stops = Thread(target=site.stop_loaders)
    stops.start()
    sleep(KILL_AFTER_SECONDS)
    site.kill_gateways()
    stops.join()
    storm.join()
    site.wait_folded(site.version)
    latest = sorted(site.lags(), reverse=True)
    assert latest[0][0] < CONFIG_SECONDS, latest[:10]
