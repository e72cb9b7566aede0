"""Gateways drew weights that nobody could use any more, or that others drew too.

An origin that had been away came back at 26.5 s. Three gateways of its domain drew
the same chunks of version 2 from it at once, two of which had been told to stop 4.1
and 2.5 s before, and had left their part to others. A gateway that had started again
at 28.3 s drew version 2 anew: whole at 33.1 s, 2.1 s after version 3 was required,
and all the time beside version 3, which engines were waiting for.

What settled it: `transfer-progress` of the three names version 2, their origin and 9
missing chunks until 26.1 s, 2 to 6 at 27.6 s; `version-complete` of version 2 follows
at 33.13, 33.16 and 33.78 s.
"""

from collections.abc import Iterator
from pathlib import Path
from time import monotonic
from unittest.mock import Mock

import pytest
from gateway_site import MODEL
from test_hubs import HubSite, end_work, make_hub
from test_loader import CHUNKS, chunk_calls

from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import (
    ChunkDigest,
    DomainName,
    ModelName,
    RootDigest,
    Seconds,
    TargetName,
    WeightsVersion,
)
from ridgecourse.core.manifest import FileEntry, Manifest
from ridgecourse.core.routes import Service
from ridgecourse.exchange.catalogue import VersionKey
from ridgecourse.exchange.holding import Holding
from ridgecourse.gateway.hub import Hub
from ridgecourse.gateway.hub_context import ORIGIN_FETCHES
from ridgecourse.gateway.prefetch import Prefetch

SECOND = (ModelName(MODEL), WeightsVersion(2))


@pytest.fixture
def hub_site(tmp_path: Path) -> Iterator[HubSite]:
    site = HubSite(tmp_path)
    yield site
    site.close()


def test_a_gateway_that_stops_draws_no_second_copy(hub_site) -> None:
    hub_site.start()
    hub, successor = hub_site.ranked()
    origin = hub_site.origin
    drawn = chunk_calls(hub_site)
    limit = origin.send_limit = origin.sent + 2
    hub_site.store.put_version(MODEL, 2)
    origin.wait_until(lambda: origin.sent == limit)
    hub_site.places[hub].running.terminate()
    hub_site.loader.wait_event("gateways-known", detail={"gateways": [successor]})
    origin.release()
    hub_site.wait_serving(2)
    hub_site.places[successor].wait_event("version-complete", version="2")
    assert hub_site.places[hub].running.wait(10) == 0
    assert chunk_calls(hub_site) <= drawn + CHUNKS + ORIGIN_FETCHES


def test_a_gateway_that_stops_leaves_the_work_to_others() -> None:
    hub = make_hub()
    hub.request_version(SECOND)
    assert list(hub.fetching) == [SECOND]
    hub.withdraw()
    hub.request_version(SECOND)
    assert not hub.fetching


class InterruptedWarmUp(Prefetch):
    """A warm-up whose version gets a successor before its loaders send anything."""

    def _copy_staged(self, key: VersionKey, service: Service) -> None:
        now = Seconds(monotonic())
        self.hub.view.history(key[0]).record_version(SECOND[1], now, now)


def test_a_warm_up_leaves_a_version_that_is_not_the_newest_any_more() -> None:
    """It drew a copy of it from the origin, which no engine asked for.

    A copy too many was drawn where a gateway stopped. What settled it: version 2 named
    at 1.52 s and whole at 2.60 s, and `version-complete` of version 1 at 3.71 s, `took`
    0.03 s, by a gateway that had waited 2 s for a loader to send it.
    """
    hub = make_hub()
    hub.fetch = Mock()  # type: ignore[method-assign]
    first = (SECOND[0], WeightsVersion(1))
    hub.fetching[first] = Mock()
    InterruptedWarmUp(hub)._fetch_staged(first, Mock())
    hub.fetch.assert_not_called()
    assert first not in hub.fetching


def make_late_hub(newer_ago: float, held: int) -> Hub:
    """Return a hub that holds some chunks of a version; a newer one is named.

    Args:
        newer_ago: Seconds since the newer one was named; its bound is 8 s.
        held: Chunks of the older one that are held, of four; the origin sends two a
            second.
    """
    place = Peer(TargetName("127.0.0.9"), DomainName("a"), "127.0.0.9:1", "x:2")
    hub = make_hub(place)
    origin = hub.view.config = type("Config", (), {})()
    origin.origin = type("Place", (), {"bytes_per_s": 16.0})()
    now = Seconds(monotonic())
    history = hub.view.history(SECOND[0])
    history.record_version(SECOND[1], now, Seconds(now - newer_ago - 3.0))
    history.record_version(WeightsVersion(3), now, Seconds(now - newer_ago))
    digests = tuple(ChunkDigest(f"{n:064x}") for n in range(4))
    manifest = Manifest(8, (FileEntry("weights", 32, digests),))
    holding = Holding(RootDigest("root"), manifest, b"")
    for digest in digests[:held]:
        holding.add_held(digest)
    hub.catalogue.holdings[SECOND] = holding
    return hub


@pytest.mark.parametrize(
    ("newer_ago", "held", "needed"),
    [(2.0, 0, True), (6.0, 0, False), (6.0, 3, True), (8.1, 3, False)],
)
def test_a_hub_draws_what_can_be_here_before_a_newer_version_is_required(
    newer_ago: float, held: int, needed: bool
) -> None:
    hub = make_late_hub(newer_ago, held)
    assert hub.is_needed(SECOND) is needed


def test_a_hub_begins_no_version_whose_successor_is_required() -> None:
    hub = make_late_hub(8.1, 3)
    hub.request_version(SECOND)
    assert not hub.fetching
    end_work(hub)


def test_a_hub_that_cannot_date_the_newer_version_draws_the_older_one() -> None:
    hub = make_hub()
    now = Seconds(monotonic())
    hub.view.history(SECOND[0]).record_version(WeightsVersion(3), now, None)
    assert hub.is_needed(SECOND)
