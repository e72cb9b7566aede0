"""A hub that starts without chunks fetches those that loaders of its domain hold.

The tests guard against this failure: after the hubs of a domain and their standbys are
killed, the new hub follows only other hubs. Those announce which chunks any process has
ever held, so the new hub fetches none of these from the origin, although only the
loaders in its domain still hold them. In the failing run two thirds of the gateways
were killed at 29.6 s, among them the hubs of two domains. Each of 28 loaders there held
41 to 44 of the 64 chunks of the required version and lacked the same 20 to 23 from 31.7
to 37.2 s and longer, while the new hub of one domain held none of the 64 and had no
fetch in flight. The failure also occurs if the hub follows loaders that still announce
the chunks they saw at the lost hub.
"""

from collections.abc import Iterator
from pathlib import Path
from time import monotonic, sleep

import pytest
from gateway_site import MODEL
from test_hubs import HubSite
from test_loader import CHUNKS
from test_transfer_precedence import NarrowLinkSite

UNSENT_CHUNKS = 4
LOADER_REQUEST_AGE_SECONDS = 3.2
"""Time since its name from which a version is requested from loaders."""


LOADER_CHUNKS = 4
"""Chunks at a loader on a narrow link when the complete hub is killed."""
REFETCH_SECONDS = 3.0
"""Time for new hubs to fetch the chunks that no loader holds, from when the origin
answers. With the failure they wait 4.5 s before the first fetch."""


@pytest.fixture
def narrow(tmp_path: Path) -> Iterator[NarrowLinkSite]:
    site = NarrowLinkSite(tmp_path)
    yield site
    site.close()


@pytest.fixture
def hub_site(tmp_path: Path) -> Iterator[HubSite]:
    site = HubSite(tmp_path)
    yield site
    site.close()


def test_new_hubs_fetch_from_loaders_during_an_origin_outage(hub_site) -> None:
    hub_site.start()
    origin = hub_site.origin
    origin.send_limit = origin.sent + CHUNKS - UNSENT_CHUNKS
    hub_site.store.put_version(MODEL, 2)
    hub_site.wait_for_version_chunks("127.0.0.1", 2, CHUNKS - UNSENT_CHUNKS)
    origin.unreachable = True
    origin.release()
    for gateway in hub_site.gateways.values():
        gateway.kill()
    # No event announces that a version is old enough; only the time counts.
    sleep(LOADER_REQUEST_AGE_SECONDS)
    hub_site.restart_gateways()
    hub, _ = hub_site.hosts_hub_first()
    hub_site.wait_for_version_chunks(hub, 2, CHUNKS - UNSENT_CHUNKS)
    origin.unreachable = False
    hub_site.wait_serving(2)


def test_chunks_that_loaders_saw_at_a_lost_hub_are_refetched_at_once(narrow) -> None:
    narrow.start()
    narrow.store.put_version(MODEL, 2)
    for host in narrow.gateways:
        narrow.wait_for_version_chunks(host, 2, CHUNKS)
    narrow.wait_for_version_chunks("127.0.0.1", 2, LOADER_CHUNKS)
    origin = narrow.origin
    origin.unreachable = True
    for gateway in narrow.gateways.values():
        gateway.kill()
    sleep(LOADER_REQUEST_AGE_SECONDS)
    missing_digests = narrow.missing_digests("127.0.0.1", 2)
    narrow.restart_gateways()
    origin.unreachable = False
    started_at = monotonic()
    hub, _ = narrow.hosts_hub_first()
    # The other chunks come over the narrow link of the loader.
    narrow.wait_for_chunks(hub, missing_digests, len(missing_digests))
    assert monotonic() - started_at < REFETCH_SECONDS
