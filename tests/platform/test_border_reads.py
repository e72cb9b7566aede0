"""The link between two regions bears a storm of large configurations.

What happened: configurations with 1,280 routes more came each 0.06 s while two thirds
of the gateways were killed and started again. From then on, for ten seconds and after
all was over, most reads of the store by two regions timed out; no weights and no
requests passed between them. "log-lost" 5 to 12 times a second in each domain, in
loaders too.

Why: whoever started, or lost the process that it read from, read the store itself, and
so did the loaders below. An answer takes 0.2 s of the link, alone; with thirty at once
none comes within its time, and each is begun again.
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
KILLED = 8
SETTLED_SECONDS = 4.0
"""From the last configuration until all processes have it; those that were killed are
starting then. A copy takes 0.3 s of the link."""
MOST_AT_ONCE = 8
"""Answers of the store on the link at once, small ones included: the first of the tree
as each part of the domain knows it, who follows it, the two seeds. With the fault it
was every process that lived: 14 of 18 within 0.1 s of the kill, 19 at once."""


class BorderSite(DomainSite):
    """A domain that the store is told to over one link.

    Attributes:
        version: Of the newest configuration.
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
                self.rewrite(host, seed_nodes=seeds)
        self.version = 1
        self.ended = Event()

    def storm(self) -> None:
        """Publish one large configuration after the other."""
        config = make_large_config(0)
        limit = monotonic() + STORM_SECONDS
        for version in count(self.version + 1):
            self.store.put_config({**config, "version": version})
            self.version = version
            if self.ended.wait(STORM_PAUSE_SECONDS) or monotonic() > limit:
                return

    def loaders_told(self) -> set[str]:
        """Return the loaders that the store told a configuration of the storm."""
        return {
            host
            for host in LOADERS
            for topic, key, _ in list(self.store.delivered.get(host, ()))
            if (topic, key) == (DECISIONS_TOPIC, CONFIG_KEY)
        }


@pytest.fixture
def border(tmp_path: Path) -> Iterator[BorderSite]:
    site = BorderSite(tmp_path)
    yield site
    site.ended.set()
    site.close()


def test_a_storm_is_borne_while_most_gateways_start_again(border) -> None:
    border.start(make_large_config(1))
    border.settle()
    border.version = 100
    border.store.delivered.clear()
    border.store.bytes_per_s = LINK_BYTES_PER_S
    storm = Thread(target=border.storm)
    storm.start()
    for host in GATEWAYS[:KILLED]:
        border.processes[host].kill()
    for host in GATEWAYS[:KILLED]:
        border.processes[host].start()
    storm.join()
    begun = monotonic()
    border.wait_folded(border.version)
    assert monotonic() - begun < SETTLED_SECONDS
    assert border.store.max_sending_count <= MOST_AT_ONCE
    assert not border.loaders_told()
