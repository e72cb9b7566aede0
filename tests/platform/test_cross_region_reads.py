"""Reads of the store over the link between two regions during a configuration storm.

Guards against an overload of that link: "log-lost" 5 to 12 times per second in each
domain, loaders included. Most reads timed out for 10 s and after the storm, so that no
weights and no requests passed between the two regions. Configurations with 1,280 more
routes arrived every 0.06 s while two thirds of the gateways were killed and restarted.
Each process that started, or that lost its parent, read the store itself, and so did
the loaders downstream. One answer alone takes 0.2 s of the link. With 30 concurrent
answers none completes within its timeout, and each is requested again.
"""

from collections.abc import Iterator, Sequence
from itertools import count
from pathlib import Path
from threading import Event, Thread
from time import monotonic

import pytest
from gateway_site import make_large_config
from test_domain_reads import DomainSite

from ridgecourse.platform.names import CONFIG_KEY, DECISIONS_TOPIC

GATEWAYS = tuple(f"127.0.0.{number}" for number in range(1, 13))
LOADERS = tuple(f"127.0.0.{number}" for number in range(31, 37))
LINK_BYTES_PER_S = 13.5e6 / 8
STORM_SECONDS = 4.0
STORM_PAUSE_SECONDS = 0.06
KILLED_COUNT = 8
MAX_SETTLING_SECONDS = 4.0
"""Longest time from the last configuration until all processes have it. The killed
processes are still starting then. A copy takes 0.3 s of the link."""
MAX_CONCURRENT_ANSWERS = 8
"""Maximum number of concurrent answers of the store on the link, small ones included.
These are the answers to the root of the read tree as each part of the domain knows it,
to the process next in line, and to the 2 seeds. With the fault, every running process
read the store: 14 of 18 within 0.1 s of the kill, and 19 answers were concurrent."""


class CrossRegionSite(DomainSite):
    """A domain whose processes all read the store over one link.

    Attributes:
        version: Version of the newest configuration.
        stop_storm: Set to stop the storm.
    """

    def __init__(
        self,
        directory: Path,
        gateways: Sequence[str] = GATEWAYS,
        loaders: Sequence[str] = LOADERS,
    ) -> None:
        super().__init__(directory, gateways, loaders)
        seeds = [f"{host}:1" for host in gateways[:2]]
        for host in self.processes:
            if host != GATEWAYS[0]:
                self.change_settings(host, seed_nodes=seeds)
        self.version = 1
        self.stop_storm = Event()

    def storm(self) -> None:
        """Publish large configurations one after the other."""
        config = make_large_config(0)
        end = monotonic() + STORM_SECONDS
        for version in count(self.version + 1):
            self.store.put_config({**config, "version": version})
            self.version = version
            if self.stop_storm.wait(STORM_PAUSE_SECONDS) or monotonic() > end:
                return

    def loaders_that_read_store(self) -> set[str]:
        """Return the loaders that received a configuration from the store."""
        return {
            host
            for host in LOADERS
            for topic, key, _ in list(self.store.delivered.get(host, ()))
            if (topic, key) == (DECISIONS_TOPIC, CONFIG_KEY)
        }


@pytest.fixture
def border(tmp_path: Path) -> Iterator[CrossRegionSite]:
    site = CrossRegionSite(tmp_path)
    yield site
    site.stop_storm.set()
    site.close()


def test_few_processes_read_the_store_in_a_storm_while_gateways_restart(border) -> None:
    border.start(make_large_config(1))
    border.publish_until_single_reader()
    border.version = 100
    border.store.delivered.clear()
    border.store.bytes_per_s = LINK_BYTES_PER_S
    storm = Thread(target=border.storm)
    storm.start()
    for host in GATEWAYS[:KILLED_COUNT]:
        border.processes[host].kill()
    for host in GATEWAYS[:KILLED_COUNT]:
        border.processes[host].start()
    storm.join()
    storm_ended_at = monotonic()
    border.wait_applied(border.version)
    assert monotonic() - storm_ended_at < MAX_SETTLING_SECONDS
    assert border.store.max_sending_count <= MAX_CONCURRENT_ANSWERS
    assert not border.loaders_that_read_store()
