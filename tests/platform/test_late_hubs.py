"""A hub that starts with nothing takes what the loaders of its domain hold.

What happened: two thirds of the gateways were killed at 29.6 s, the hubs of two domains
and their successors among them. Each of 28 loaders there held 41 to 44 of 64 chunks of
the version that was required. The new hub of one domain had none of 64 and nothing in
flight from 31.7 to 37.2 s and more; the loaders lacked the same 20 to 23 all that time.

Why: a hub followed other hubs alone. Those told which chunks anybody had ever held, so
that it drew none of them from the origin, and none of the living held them but the
loaders beside it. With loaders followed as well the same happened once more: they told
what they had seen at the hub that was gone.
"""

from collections.abc import Iterator
from pathlib import Path
from time import monotonic, sleep

import pytest
from gateway_site import MODEL
from test_hubs import HubSite
from test_kept_transfers import NarrowSite
from test_loader import CHUNKS

LEFT_CHUNKS = 4
AGED_SECONDS = 3.2
"""For which a version is named before loaders are asked for it."""


HELD_CHUNKS = 4
"""At a loader behind a narrow link when the hub is whole and killed."""
DRAWN_SECONDS = 3.0
"""For new hubs to have what no loader holds once the origin answers. With the fault
they wait 4.5 s before they draw anything."""


@pytest.fixture
def narrow(tmp_path: Path) -> Iterator[NarrowSite]:
    site = NarrowSite(tmp_path)
    yield site
    site.close()


@pytest.fixture
def hub_site(tmp_path: Path) -> Iterator[HubSite]:
    site = HubSite(tmp_path)
    yield site
    site.close()


def test_new_hubs_have_what_loaders_hold_while_the_origin_is_away(hub_site) -> None:
    hub_site.start()
    origin = hub_site.origin
    origin.send_limit = origin.sent + CHUNKS - LEFT_CHUNKS
    hub_site.store.put_version(MODEL, 2)
    hub_site.wait_holding("127.0.0.1", 2, CHUNKS - LEFT_CHUNKS)
    origin.unreachable = True
    origin.release()
    for gateway in hub_site.places.values():
        gateway.kill()
    # No event tells that a version is old enough: it is the time itself that matters.
    sleep(AGED_SECONDS)
    hub_site.restart_gateways()
    hub, _ = hub_site.ranked()
    hub_site.wait_holding(hub, 2, CHUNKS - LEFT_CHUNKS)
    origin.unreachable = False
    hub_site.wait_serving(2)


def test_what_loaders_saw_at_a_lost_hub_is_drawn_again_at_once(narrow) -> None:
    narrow.start()
    narrow.store.put_version(MODEL, 2)
    for host in narrow.places:
        narrow.wait_holding(host, 2, CHUNKS)
    narrow.wait_holding("127.0.0.1", 2, HELD_CHUNKS)
    origin = narrow.origin
    origin.unreachable = True
    for gateway in narrow.places.values():
        gateway.kill()
    sleep(AGED_SECONDS)
    lacking = narrow.lacking("127.0.0.1", 2)
    narrow.restart_gateways()
    origin.unreachable = False
    begun = monotonic()
    hub, _ = narrow.ranked()
    # The others come over the loader's link, as fast as that is.
    narrow.wait_chunks(hub, lacking, len(lacking))
    assert monotonic() - begun < DRAWN_SECONDS
