"""What is left of an older version is not drawn where that only delays the newer one.

What happened: version 2 was named at 18.0 s, version 3 at 20.0 s, and the origin went
away from 20.5 to 26.5 s. Hubs drew both, half of version 2 first. Requests could begin
on version 1 until 31.4 s and on version 2 until 33.4 s; engines had version 2 nowhere
by then, and version 3 from 36.6 s on.

Why: which of two versions goes first followed from the share of the older one that was
missing, whatever the time there was. See ``core.draw_order`` for what decides now.
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

VALID_MS = 13_400
DRAW_SECONDS = 4.3
"""That the origin takes for a version, by the rate that the configuration names."""
DRAWN = 4
"""Chunks of the second version that the origin sends before it holds back."""
UNDER_WAY = 3
"""Chunks that a hub asks the origin for at a time."""


class SlowOriginSite(HubSite):
    """A site with an origin behind a narrow link and time to change weights."""

    def __init__(self, directory: Path) -> None:
        super().__init__(directory)
        for path in directory.glob("*.json"):
            settings = decode(path.read_bytes())
            settings["bounds"]["version_ms"] = VALID_MS
            path.write_bytes(encode(settings))

    def config(self) -> dict[str, Any]:
        config = super().config()
        rate = CHUNKS * CHUNK_BYTES * 8 / DRAW_SECONDS / 1e6
        config["services"][3]["bandwidth_mbps"] = rate
        return config

    def drawn(self, version: int) -> int:
        """Return how many chunks of a version the origin was asked for."""
        pieces = [target for _, target in self.origin.calls if "/piece/" in target]
        queries = [parse_qs(urlsplit(target).query) for target in pieces]
        return sum(query["version"] == [str(version)] for query in queries)


@pytest.fixture
def slow_origin(tmp_path: Path) -> Iterator[SlowOriginSite]:
    site = SlowOriginSite(tmp_path)
    yield site
    site.close()


def hold_second_version(site: SlowOriginSite) -> None:
    """Have the origin send a third of the second version, and then nothing."""
    limit = site.origin.send_limit = site.origin.sent + DRAWN
    site.store.put_version(MODEL, 2)
    site.origin.wait_until(lambda: site.origin.sent == limit)


def test_with_time_enough_the_newer_version_alone_is_drawn(slow_origin) -> None:
    slow_origin.start()
    hold_second_version(slow_origin)
    slow_origin.store.put_version(MODEL, 3)
    hub = slow_origin.places[slow_origin.ranked()[0]]
    hub.wait_event("rollout-dropped", version="2")
    slow_origin.origin.release()
    slow_origin.wait_serving(3)
    assert slow_origin.drawn(2) <= DRAWN + UNDER_WAY
    assert 2 not in slow_origin.engine.staged_at_start
