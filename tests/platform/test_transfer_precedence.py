"""Which of two versions a loader transfers first, and when its engine switches.

The tests guard against this failure: all loaders abandon a version that their hubs hold
completely, 2.3 s before it would be complete at the loaders, for a newer version whose
origin then fails for 6 s with 15 of its 64 chunks fetched. In the failing run, version
2 was named at 18.0 s and was complete at the hubs of 3 domains by 20.6 s. Version 3 was
named at 20.0 s and its origin failed at 20.5 s. All 41 loaders dropped version 2 for it
from 20.19 to 20.53 s, with 33 to 42 chunks missing. Until 26.5 s they reported 49
missing chunks and no fetch in flight. No engine served for at least 7 s from 26.0 s on,
the bound of version 1.
"""

from collections.abc import Iterator
from pathlib import Path
from time import monotonic

import pytest
from gateway_site import MODEL
from msgspec.json import decode, encode
from test_hubs import HubSite
from test_loader import CHUNKS

from ridgecourse.core.ids import Seconds
from ridgecourse.core.supersession import (
    LAST_SWITCH_LEAD_SECONDS,
    TransferPlan,
    counts_as_available,
    switch_wait,
    takes_precedence,
)

NOW = Seconds(100.0)
LINK_MBIT_PER_SECOND = 0.064
"""Bandwidth of the loader's instance: a copy takes 3.2 s."""
REQUIRED_MS = 4500
"""Time from naming a version until it is required: less than two copies take."""
COPY_SECONDS = 3.2
START_SECONDS = 2.5
"""Time to learn of the version, stage and verify it and order the engine to load it, on
a busy machine."""
LOADER_CHUNKS = 2
"""Number of chunks of version 2 at the loader when version 3 is named."""


class NarrowLinkSite(HubSite):
    """A loader on a narrow link, with two gateways in its domain."""

    def __init__(self, directory: Path) -> None:
        super().__init__(directory)
        for path in directory.glob("*.json"):
            settings = decode(path.read_bytes())
            settings["bounds"]["version_ms"] = REQUIRED_MS
            if path.name == "node.json":
                settings["limits"]["bandwidth_mbps"] = LINK_MBIT_PER_SECOND
            path.write_bytes(encode(settings))


@pytest.fixture
def narrow(tmp_path: Path) -> Iterator[NarrowLinkSite]:
    site = NarrowLinkSite(tmp_path)
    yield site
    site.close()


def test_a_version_complete_at_the_hub_precedes_an_incomplete_newer_one(narrow) -> None:
    narrow.start()
    started_at = monotonic()
    narrow.store.put_version(MODEL, 2)
    for host in narrow.gateways:
        narrow.wait_for_version_chunks(host, 2, CHUNKS)
    narrow.origin.send_limit = narrow.origin.sent + CHUNKS // 4
    narrow.wait_for_version_chunks("127.0.0.1", 2, LOADER_CHUNKS)
    narrow.store.put_version(MODEL, 3)
    narrow.origin.wait_until(lambda: narrow.origin.sent == narrow.origin.send_limit)
    narrow.wait_serving(2)
    assert monotonic() - started_at < COPY_SECONDS + START_SECONDS
    narrow.origin.release()
    narrow.wait_serving(3)


def test_an_engine_switches_once_for_two_versions_with_close_bounds() -> None:
    """With bounds 2 s apart, a switch takes as long as the first version may serve."""
    bound, newer = Seconds(103.0), Seconds(105.0)
    for place in (0.0, 0.5, 1.0):
        assert switch_wait(bound, newer, NOW, NOW, place) == 3.0
        assert switch_wait(bound, newer, Seconds(103.5), NOW, place) == 0.0


def test_the_first_engine_switches_at_once_and_the_last_by_the_bound() -> None:
    bound = Seconds(103.0)
    for newer in (None, Seconds(108.0)):
        assert switch_wait(bound, newer, NOW, NOW, place=0.0) == 0.0
        last_wait = switch_wait(bound, newer, NOW, NOW, place=1.0)
        assert last_wait == pytest.approx(3.0 - LAST_SWITCH_LEAD_SECONDS)


def test_the_switch_time_is_fixed_while_time_passes() -> None:
    bound, later = Seconds(110.0), Seconds(NOW + 2.0)
    wait = switch_wait(bound, None, NOW, NOW, place=0.5)
    assert switch_wait(bound, None, later, NOW, place=0.5) == pytest.approx(wait - 2.0)


def test_an_engine_switches_at_once_after_the_bound() -> None:
    assert switch_wait(Seconds(99.0), None, NOW, NOW, place=1.0) == 0.0


def test_an_engine_without_weights_switches_at_once() -> None:
    assert switch_wait(None, Seconds(101.0), NOW, NOW, place=1.0) == 0.0


def test_half_of_the_engines_skip_the_first_of_two_versions_with_distant_bounds() -> (
    None
):
    """If all engines finish the first version, each has the second one 1 to 2 s late.

    With bounds 4 s apart and 5.2 s for a copy, 0.3 to 0.5 of the load was served in the
    2 s after the second bound; 0.9 was served when half of the engines fetched the
    second version directly.
    """
    current, newer = (
        TransferPlan(3.0, Seconds(106.0)),
        TransferPlan(5.7, Seconds(110.0)),
    )
    available = counts_as_available(current, newer, 0.1)
    assert available
    assert takes_precedence(current, newer, NOW, early=True, newer_available=available)
    assert not takes_precedence(
        current, newer, NOW, early=False, newer_available=available
    )


def test_a_version_with_a_close_bound_is_available_once_complete() -> None:
    current, newer = (
        TransferPlan(2.5, Seconds(106.0)),
        TransferPlan(4.9, Seconds(108.0)),
    )
    assert not counts_as_available(current, newer, 0.9)
    assert counts_as_available(current, newer, 1.0)
    assert not counts_as_available(current, newer, None)
