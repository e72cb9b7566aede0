"""From 24 s of a play on no stream ended whole, for no newer weights were brought in.

In second 21 there had been 69. Engines had no version that they were allowed to use.
The origin had gone away while version 2 was more than half drawn. Version 3 was named
at 18.56 s, and once the origin was back versions 4 and 5, at 22.15 s and 22.32 s. The
origin keeps the newest version and the one before, and answers 410 to all that ask
for chunks of others. A transfer took that for a failure that passes, and asked on
without end; and hubs looked only between two transfers whether a version was still
needed. Each newer version waited for the one that was nearly here, for all of the 8 s
that are allowed.

What settled it: a hub learned of version 3 at 18.562 s, and its first step, a look for
the manifest, failed at 26.608 s, 8.05 s later; that of version 5 had not come when all
ended at 30 s. Two loaders that were transferring version 2 (from 16.5 s on) and
version 3 (from 19.7 s on) did nothing else until then.
"""

from collections.abc import Iterator
from pathlib import Path
from time import monotonic

import pytest
from gateway_site import MODEL
from test_hubs import HubSite
from test_loader import CHUNKS, LoaderSite, make_chunks

LEFT_CHUNKS = 4
"""Not sent before the origin goes away; three of them, those under way, still come."""
HUB_SECONDS = 2.0
"""For a hub to have a version that nothing holds up: some 0.5 s for a dozen chunks."""
SOON_SECONDS = 4.0
"""For an engine to serve one: half of what hubs wait for an older version (8 s)."""
STALLED_SECONDS = 6.0
"""The same where its loader first leaves a stalled transfer, 3.7 s in all."""


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


def strand_second_version(site: LoaderSite) -> None:
    """Have the origin go away when the second version is nearly drawn."""
    origin = site.origin
    origin.versions[4] = make_chunks(4)
    limit = origin.send_limit = origin.sent + CHUNKS - LEFT_CHUNKS
    site.store.put_version(MODEL, 2)
    origin.wait_until(lambda: origin.sent == limit)
    origin.unreachable = True
    origin.release()
    origin.wait_until(lambda: origin.dropped_connections > 2)


def name_for_hubs(site: HubSite, version: int) -> None:
    """Name a version; both gateways know of it and were asked for it."""
    site.store.put_version(MODEL, version)
    for host, gateway in site.places.items():
        gateway.wait_event("version-named", version=str(version))
        site.ask(host, version)


def pieces_of(site: LoaderSite, version: int) -> int:
    """Return how often chunks of a version were asked of the origin."""
    return sum(
        "/piece/" in target and target.endswith(f"version={version}")
        for _, target in site.origin.calls
    )


def test_a_version_that_the_origin_gave_up_holds_no_newer_one_back(hub_site) -> None:
    hub_site.start()
    strand_second_version(hub_site)
    name_for_hubs(hub_site, 3)
    del hub_site.origin.versions[2]
    hub_site.origin.unreachable = False
    back = monotonic()
    hub, _ = hub_site.ranked()
    hub_site.places[hub].wait_event("version-complete", version="3")
    assert monotonic() - back < HUB_SECONDS
    hub_site.wait_serving(3)
    assert monotonic() - back < STALLED_SECONDS


def test_hubs_draw_no_more_of_a_version_that_is_two_back(hub_site) -> None:
    hub_site.start()
    strand_second_version(hub_site)
    name_for_hubs(hub_site, 3)
    name_for_hubs(hub_site, 4)
    drawn = pieces_of(hub_site, 2)
    hub_site.origin.unreachable = False
    back = monotonic()
    hub_site.wait_serving(4)
    assert monotonic() - back < SOON_SECONDS
    assert pieces_of(hub_site, 2) == drawn


def test_a_loader_leaves_a_version_that_the_origin_gave_up(loader_site) -> None:
    loader_site.start()
    loader_site.wait_serving(1)
    strand_second_version(loader_site)
    loader_site.store.put_version(MODEL, 3)
    loader_site.loader.wait_event("version-named", version="3")
    del loader_site.origin.versions[2]
    loader_site.origin.unreachable = False
    loader_site.wait_serving(3)


def test_a_loader_draws_no_more_of_a_version_that_is_two_back(loader_site) -> None:
    loader_site.start()
    loader_site.wait_serving(1)
    strand_second_version(loader_site)
    for version in (3, 4):
        loader_site.store.put_version(MODEL, version)
        loader_site.loader.wait_event("version-named", version=str(version))
    drawn = pieces_of(loader_site, 2)
    loader_site.origin.unreachable = False
    loader_site.wait_serving(4)
    assert pieces_of(loader_site, 2) == drawn
