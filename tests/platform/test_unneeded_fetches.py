"""Tests that gateways fetch no weights that are outdated or that others fetch too.

Two faults are covered. When an origin returned after an outage at 26.5 s, three
gateways of its domain fetched the same chunks of version 2 at the same time, although
two of them had been told to stop 4.1 and 2.5 s before and had left their part to
others. A gateway that had restarted at 28.3 s fetched version 2 again, complete at
33.1 s, 2.1 s after version 3 was required, and competed with the fetch of version 3,
for which engines waited. The three gateways reported 9 missing chunks until 26.1 s and
2 to 6 at 27.6 s, and completed version 2 at 33.13, 33.16 and 33.78 s.
"""

from collections.abc import Iterator
from pathlib import Path
from time import monotonic
from unittest.mock import Mock

import pytest
from gateway_site import MODEL
from test_hubs import HubSite, make_hub, stop_fetches
from test_loader import CHUNKS, count_chunk_requests

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

SECOND_VERSION = (ModelName(MODEL), WeightsVersion(2))


@pytest.fixture
def hub_site(tmp_path: Path) -> Iterator[HubSite]:
    site = HubSite(tmp_path)
    yield site
    site.close()


def test_a_gateway_that_stops_draws_no_second_copy(hub_site) -> None:
    hub_site.start()
    hub, successor = hub_site.hosts_hub_first()
    origin = hub_site.origin
    fetched_before = count_chunk_requests(hub_site)
    limit = origin.send_limit = origin.sent + 2
    hub_site.store.put_version(MODEL, 2)
    origin.wait_until(lambda: origin.sent == limit)
    hub_site.gateways[hub].started_process.terminate()
    hub_site.loader.wait_event("gateways-known", detail={"gateways": [successor]})
    origin.release()
    hub_site.wait_serving(2)
    hub_site.gateways[successor].wait_event("version-complete", version="2")
    assert hub_site.gateways[hub].started_process.wait(10) == 0
    assert count_chunk_requests(hub_site) <= fetched_before + CHUNKS + ORIGIN_FETCHES


def test_successor_copies_what_the_stopping_gateway_holds(hub_site) -> None:
    # A successor that had not copied the chunks of a stopping hub yet asked the origin
    # for all of them again.
    hub_site.start()
    hub, successor = hub_site.hosts_hub_first()
    origin = hub_site.origin
    fetched_before = count_chunk_requests(hub_site)
    limit = origin.send_limit = origin.sent + 6
    hub_site.gateways[successor].pause()
    hub_site.store.put_version(MODEL, 2)
    origin.wait_until(lambda: origin.sent == limit)
    hub_site.wait_for_version_chunks(hub, 2, 6)
    alone = {"gateways": [successor]}
    before = [
        event
        for event in hub_site.loader.events()
        if event["kind"] == "gateways-known" and event["detail"] == alone
    ]
    hub_site.gateways[hub].started_process.terminate()
    hub_site.loader.wait_event("gateways-known", after=len(before), detail=alone)
    origin.release()
    hub_site.gateways[successor].resume()
    hub_site.gateways[successor].wait_event("version-complete", version="2")
    assert count_chunk_requests(hub_site) <= fetched_before + CHUNKS + ORIGIN_FETCHES


def test_stopping_gateway_starts_no_fetch() -> None:
    hub = make_hub()
    hub.request_version(SECOND_VERSION)
    assert list(hub.fetching) == [SECOND_VERSION]
    hub.withdraw()
    hub.request_version(SECOND_VERSION)
    assert not hub.fetching


class SupersededPrefetch(Prefetch):
    """A prefetch whose version gets a successor before its loaders send anything."""

    def _copy_staged(self, key: VersionKey, service: Service) -> None:
        now = Seconds(monotonic())
        self.hub.view.history(key[0]).record_version(SECOND_VERSION[1], now, now)


def test_prefetch_skips_a_superseded_version() -> None:
    """Otherwise the prefetch fetches a copy from the origin that no engine requested.

    One copy too many was fetched where a gateway stopped: version 2 was announced at
    1.52 s and complete at 2.60 s, and version 1 was completed at 3.71 s (`took` 0.03 s)
    by a gateway that had waited 2 s for a loader to send version 1.
    """
    hub = make_hub()
    hub.fetch = Mock()  # type: ignore[method-assign]
    first_version = (SECOND_VERSION[0], WeightsVersion(1))
    hub.fetching[first_version] = Mock()
    SupersededPrefetch(hub)._fetch_staged(first_version, Mock())
    hub.fetch.assert_not_called()
    assert first_version not in hub.fetching


def make_late_hub(newer_age: float, held_count: int) -> Hub:
    """Return a hub with some chunks of a version that has an announced successor.

    Args:
        newer_age: Seconds since the newer version was announced; the bound is 8 s.
        held_count: Number of chunks of the older version that the hub holds, of 4; the
            origin sends 2 per second.
    """
    local = Peer(TargetName("127.0.0.9"), DomainName("a"), "127.0.0.9:1", "x:2")
    hub = make_hub(local)
    origin = hub.view.config = type("Config", (), {})()
    origin.origin = type("Place", (), {"bytes_per_s": 16.0})()
    now = Seconds(monotonic())
    history = hub.view.history(SECOND_VERSION[0])
    history.record_version(SECOND_VERSION[1], now, Seconds(now - newer_age - 3.0))
    history.record_version(WeightsVersion(3), now, Seconds(now - newer_age))
    digests = tuple(ChunkDigest(f"{n:064x}") for n in range(4))
    manifest = Manifest(8, (FileEntry("weights", 32, digests),))
    holding = Holding(RootDigest("root"), manifest, b"")
    for digest in digests[:held_count]:
        holding.add_held(digest)
    hub.catalogue.holdings[SECOND_VERSION] = holding
    return hub


@pytest.mark.parametrize(
    ("newer_age", "held_count", "needed"),
    [(2.0, 0, True), (6.0, 0, False), (6.0, 3, True), (8.1, 3, False)],
)
def test_hub_fetches_a_version_that_completes_before_a_newer_one_is_required(
    newer_age: float, held_count: int, needed: bool
) -> None:
    hub = make_late_hub(newer_age, held_count)
    assert hub.is_needed(SECOND_VERSION) is needed


def test_hub_starts_no_fetch_once_the_successor_is_required() -> None:
    hub = make_late_hub(8.1, 3)
    hub.request_version(SECOND_VERSION)
    assert not hub.fetching
    stop_fetches(hub)


def test_hub_fetches_the_older_version_if_the_newer_one_has_no_date() -> None:
    hub = make_hub()
    now = Seconds(monotonic())
    hub.view.history(SECOND_VERSION[0]).record_version(WeightsVersion(3), now, None)
    assert hub.is_needed(SECOND_VERSION)
