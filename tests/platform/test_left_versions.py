"""Engines without weights for 6 s, though a version was nine tenths there all along.

Version 2 was named at 18.0 s, version 3 at 21.0 s, each required 10 s later. The origin
was away from 20.5 to 26.5 s. Of version 2 hubs had 87 of 96 chunks by 21.2 s, and each
of 41 loaders 69 or more. Gateways stopped in turn from 22.4 s on. Each time one of them
was a hub all loaders began their transfer anew, and at 22.8 s they began with version
3 instead, of which there was no chunk before 27.9 s. What they had of version 2 was
used for nothing: no engine ever took it, and from 28.0 s on, when version 1 could no
longer be used, until 34.7 s no engine served.

What settled it: `rollout-phase` names version 3 at 22.84 to 23.48 s in 33 loaders, at
25 to 27 missing chunks of version 2 (9 in three of them), with no `rollout-dropped` in
between; `manifest-unavailable` for version 3 follows in all of them until 27.2 s.
"""

from collections.abc import Iterator
from pathlib import Path
from time import monotonic, sleep

import pytest
from gateway_site import MODEL
from test_hubs import HubSite
from test_loader import CHUNKS
from test_outdated_transfers import LEFT_CHUNKS, strand_second_version

from ridgecourse.core.ids import (
    Seconds,
)
from ridgecourse.core.supersession import (
    TransferPlan,
    is_usable,
    should_continue,
    takes_precedence,
)

APART_SECONDS = 1.5
"""Between the names of two versions. The first may be served for as long after the one
before; for less than half a second it is worth no change of weights."""


@pytest.fixture
def hub_site(tmp_path: Path) -> Iterator[HubSite]:
    site = HubSite(tmp_path)
    yield site
    site.close()


def test_a_version_nearly_here_is_gone_on_with_when_its_hub_goes(hub_site) -> None:
    hub_site.start()
    hub, successor = hub_site.ranked()
    strand_second_version(hub_site)
    for host in ("127.0.0.1", hub, successor):
        hub_site.wait_holding(host, 2, CHUNKS - LEFT_CHUNKS)
    third = hub_site.origin.versions.pop(3)
    sleep(
        max(0.0, hub_site.store.version_put_at[MODEL, 2] + APART_SECONDS - monotonic())
    )
    hub_site.store.put_version(MODEL, 3)
    hub_site.loader.wait_event("version-named", version="3")
    hub_site.places[hub].kill()
    hub_site.loader.wait_event("gateways-known", detail={"gateways": [successor]})
    hub_site.origin.unreachable = False
    hub_site.wait_serving(2)
    hub_site.origin.versions[3] = third
    hub_site.wait_serving(3)


def test_a_version_that_comes_after_its_successor_is_required_is_of_no_use() -> None:
    now = Seconds(100.0)
    assert is_usable(2.0, Seconds(103.5), now)
    assert not is_usable(4.0, Seconds(103.5), now)
    assert is_usable(4.0, None, now)


def test_not_even_the_early_half_finishes_what_is_of_no_use() -> None:
    now = Seconds(100.0)
    newer = TransferPlan(5.5, Seconds(103.5))
    assert should_continue(TransferPlan(3.0, Seconds(100.0)), newer, now, early=True)
    assert not should_continue(
        TransferPlan(4.0, Seconds(100.0)), newer, now, early=True
    )
    late = TransferPlan(5.5, Seconds(100.8))
    assert not should_continue(TransferPlan(1.0, Seconds(97.0)), late, now, early=True)


def test_what_was_left_off_comes_first_while_the_newer_version_is_not_there() -> None:
    now = Seconds(100.0)
    current = TransferPlan(3.0, Seconds(104.0))
    newer = TransferPlan(5.5, Seconds(107.0))
    assert takes_precedence(current, newer, now, early=False, newer_available=False)
    assert not takes_precedence(current, newer, now, early=False, newer_available=True)
    assert takes_precedence(current, newer, now, early=True, newer_available=True)
    useless = TransferPlan(7.5, Seconds(104.0))
    assert not takes_precedence(useless, newer, now, early=True, newer_available=False)


def test_an_engine_that_crashes_starts_again_while_the_newer_version_is_not_there(
    hub_site,
) -> None:
    """It stayed without weights until the newer version came, with one staged."""
    hub_site.start()
    hub_site.store.put_version(MODEL, 2)
    hub_site.wait_serving(2)
    third = hub_site.origin.versions.pop(3)
    hub_site.store.put_version(MODEL, 3)
    phase = {"phase": "manifest", "error": ""}
    hub_site.loader.wait_event("rollout-phase", version="3", detail=phase)
    with hub_site.engine.changed:
        hub_site.engine.version = 0
        hub_site.engine.staged_at_start.clear()
    hub_site.wait_serving(2)
    hub_site.origin.versions[3] = third
    hub_site.wait_serving(3)
