"""A hub skips the rest of an older version whose fetch only delays the newer one.

The tests guard against this failure: the hub chooses the version to fetch first by the
missing share of the older one, regardless of the remaining time. In the failing run
version 2 was named at 18.0 s, version 3 at 20.0 s, and the origin failed from 20.5 to
26.5 s. Hubs fetched both, half of version 2 first. Requests could start on version 1
until 31.4 s and on version 2 until 33.4 s. No engine had version 2 by then, and version
3 was available only from 36.6 s on. ``core.fetch_order`` defines the order.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest
from gateway_site import MODEL
from msgspec.json import decode, encode
from test_hubs import HubSite
from test_loader import CHUNK_BYTES, CHUNKS

REQUIRED_MS = 13_400
FETCH_SECONDS = 4.3
"""Time that the origin takes to send a version at the configured rate."""
FETCHED_CHUNKS = 4
"""Chunks of version 2 that the origin sends before it holds back further ones."""
IN_FLIGHT_CHUNKS = 3
"""Chunks that a hub requests from the origin concurrently."""


class SlowOriginSite(HubSite):
    """A site with an origin on a narrow link and enough time to switch weights."""

    def __init__(self, directory: Path) -> None:
        super().__init__(directory)
        for path in directory.glob("*.json"):
            settings = decode(path.read_bytes())
            settings["bounds"]["version_ms"] = REQUIRED_MS
            path.write_bytes(encode(settings))

    def config(self) -> dict[str, Any]:
        config = super().config()
        rate = CHUNKS * CHUNK_BYTES * 8 / FETCH_SECONDS / 1e6
        config["services"][3]["bandwidth_mbps"] = rate
        return config

    def requested_chunks(self, version: int) -> int:
        """Return how many chunks of a version were requested from the origin."""
        pieces = [target for _, target in self.origin.calls if "/piece/" in target]
        queries = [parse_qs(urlsplit(target).query) for target in pieces]
        return sum(query["version"] == [str(version)] for query in queries)


@pytest.fixture
def slow_origin(tmp_path: Path) -> Iterator[SlowOriginSite]:
    site = SlowOriginSite(tmp_path)
    yield site
    site.close()


def hold_back_second_version(site: SlowOriginSite) -> None:
    """Let the origin send a third of version 2 and hold back the rest."""
    limit = site.origin.send_limit = site.origin.sent + FETCHED_CHUNKS
    site.store.put_version(MODEL, 2)
    site.origin.wait_until(lambda: site.origin.sent == limit)


def test_only_the_newer_version_is_fetched_if_time_suffices(slow_origin) -> None:
    slow_origin.start()
    hold_back_second_version(slow_origin)
    slow_origin.store.put_version(MODEL, 3)
    hub = slow_origin.gateways[slow_origin.hosts_hub_first()[0]]
    hub.wait_event("rollout-dropped", version="2")
    slow_origin.origin.release()
    slow_origin.wait_serving(3)
    assert slow_origin.requested_chunks(2) <= FETCHED_CHUNKS + IN_FLIGHT_CHUNKS
    assert 2 not in slow_origin.engine.staged_at_start
