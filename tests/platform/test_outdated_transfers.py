"""Tests that a transfer of an outdated version does not delay newer versions.

The origin keeps the newest version and the one before, and answers 410 to requests for
chunks of other versions. The fault: a transfer took 410 for a temporary failure and
retried without end, hubs checked only between two transfers whether a version was
still needed, and each newer version waited for one that was nearly complete, for all of
the 8 s that are allowed. Engines then had no usable version, and no stream was complete
from 24 s on, after 69 in second 21.

The origin went away while version 2 was more than half fetched. Version 3 was announced
at 18.56 s, and versions 4 and 5 at 22.15 s and 22.32 s, once the origin was reachable.
A hub received version 3 at 18.562 s, and its first step, the fetch of the manifest,
failed at 26.608 s, 8.05 s later; the first step of version 5 had no result when the run
ended at 30 s. Two loaders that transferred version 2 (from 16.5 s on) and version 3
(from 19.7 s on) did nothing else until then.
"""

from collections.abc import Iterator
from pathlib import Path
from time import monotonic

import pytest
from gateway_site import MODEL
from test_hubs import HubSite
from test_loader import CHUNKS, LoaderSite, make_chunks

UNSENT_CHUNKS = 4
"""Chunks not sent before the origin goes away; 3 of them, in transit, still arrive."""
MAX_HUB_SECONDS = 2.0
"""Time for a hub to complete a version without delay: about 0.5 s for 12 chunks."""
MAX_SERVING_SECONDS = 4.0
"""Time for an engine to serve a version: half of the time that hubs wait for an older
version (8 s)."""
MAX_SERVING_AFTER_STALL_SECONDS = 6.0
"""The same if the loader first aborts a stalled transfer, which takes 3.7 s in all."""


@pytest.fixture
def hub_site(tmp_path: Path) -> Iterator[HubSite]:
    site = HubSite(tmp_path)
    yield site
    site.close()


@pytest.fixture
def loader_site(tmp_path: Path) -> Iterator[LoaderSite]:
    site = LoaderSite(tmp_path)
    yield site
    site.close()


def interrupt_second_version(site: LoaderSite) -> None:
    """Make the origin unreachable when the second version is nearly fetched."""
    origin = site.origin
    origin.versions[4] = make_chunks(4)
    limit = origin.send_limit = origin.sent + CHUNKS - UNSENT_CHUNKS
    site.store.put_version(MODEL, 2)
    origin.wait_until(lambda: origin.sent == limit)
    origin.unreachable = True
    origin.release()
    origin.wait_until(lambda: origin.dropped_connections > 2)


def announce_to_hubs(site: HubSite, version: int) -> None:
    """Announce a version; both gateways receive the version and a request for it."""
    site.store.put_version(MODEL, version)
    for host, gateway in site.gateways.items():
        gateway.wait_event("version-named", version=str(version))
        site.ask(host, version)


def count_chunk_calls(site: LoaderSite, version: int) -> int:
    """Return the number of calls to the origin for chunks of a version."""
    return sum(
        "/piece/" in target and target.endswith(f"version={version}")
        for _, target in site.origin.calls
    )


def test_version_deleted_at_the_origin_does_not_delay_a_newer_one(hub_site) -> None:
    hub_site.start()
    interrupt_second_version(hub_site)
    announce_to_hubs(hub_site, 3)
    del hub_site.origin.versions[2]
    hub_site.origin.unreachable = False
    recovered_at = monotonic()
    hub, _ = hub_site.hosts_hub_first()
    hub_site.gateways[hub].wait_event("version-complete", version="3")
    assert monotonic() - recovered_at < MAX_HUB_SECONDS
    hub_site.wait_serving(3)
    assert monotonic() - recovered_at < MAX_SERVING_AFTER_STALL_SECONDS


def test_hubs_stop_fetching_a_version_with_two_newer_ones(hub_site) -> None:
    hub_site.start()
    interrupt_second_version(hub_site)
    announce_to_hubs(hub_site, 3)
    announce_to_hubs(hub_site, 4)
    calls_before = count_chunk_calls(hub_site, 2)
    hub_site.origin.unreachable = False
    recovered_at = monotonic()
    hub_site.wait_serving(4)
    assert monotonic() - recovered_at < MAX_SERVING_SECONDS
    assert count_chunk_calls(hub_site, 2) == calls_before


def test_loader_aborts_a_version_deleted_at_the_origin(loader_site) -> None:
    loader_site.start()
    loader_site.wait_serving(1)
    interrupt_second_version(loader_site)
    loader_site.store.put_version(MODEL, 3)
    loader_site.loader.wait_event("version-named", version="3")
    del loader_site.origin.versions[2]
    loader_site.origin.unreachable = False
    loader_site.wait_serving(3)


def test_loader_stops_fetching_a_version_with_two_newer_ones(loader_site) -> None:
    loader_site.start()
    loader_site.wait_serving(1)
    interrupt_second_version(loader_site)
    for version in (3, 4):
        loader_site.store.put_version(MODEL, version)
        loader_site.loader.wait_event("version-named", version=str(version))
    calls_before = count_chunk_calls(loader_site, 2)
    loader_site.origin.unreachable = False
    loader_site.wait_serving(4)
    assert count_chunk_calls(loader_site, 2) == calls_before
