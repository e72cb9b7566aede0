"""All engines gave up a version 2.3 s before it was whole, for one that nobody had.

What happened: version 2 was named at 18.0 s and lay whole at the hubs of three domains
by 20.6 s. Version 3 was named at 20.0 s, and at 20.5 s its origin went away for 6 s,
with 15 of 64 chunks of it drawn. By 20.5 s all 41 loaders had dropped version 2, with
33 to 42 chunks missing. Nothing was in flight at any of them until 26.5 s, and from
26.0 s on, when version 1 could no longer be used, no engine served for 7 s and more.

What settled it: `rollout-dropped` of version 2 for version 3 in 41 loaders at 20.19 to
20.53 s, and `missing` 49 with `in_flight` empty, once a second, for the 6 s after that.
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
LINK_MBIT_PER_S = 0.064
"""Of the loader's instance: a copy takes 3.2 s."""
REQUIRED_MS = 4500
"""From a version's name until it is required: shorter than two copies take."""
COPY_SECONDS = 3.2
START_SECONDS = 2.5
"""For learning of the name, staging, checking and the order, on a busy machine."""
APART_CHUNKS = 2
"""Chunks of the second version at the loader when the third one is named."""


class NarrowSite(HubSite):
    """A loader behind a narrow link, with two gateways of its domain."""

    def __init__(self, directory: Path) -> None:
        super().__init__(directory)
        for path in directory.glob("*.json"):
            settings = decode(path.read_bytes())
            settings["bounds"]["version_ms"] = REQUIRED_MS
            if path.name == "node.json":
                settings["limits"]["bandwidth_mbps"] = LINK_MBIT_PER_S
            path.write_bytes(encode(settings))


@pytest.fixture
def narrow(tmp_path: Path) -> Iterator[NarrowSite]:
    site = NarrowSite(tmp_path)
    yield site
    site.close()


def test_a_version_that_is_whole_at_the_hub_goes_before_one_that_is_not(narrow) -> None:
    narrow.start()
    begun = monotonic()
    narrow.store.put_version(MODEL, 2)
    for host in narrow.places:
        narrow.wait_holding(host, 2, CHUNKS)
    narrow.origin.send_limit = narrow.origin.sent + CHUNKS // 4
    narrow.wait_holding("127.0.0.1", 2, APART_CHUNKS)
    narrow.store.put_version(MODEL, 3)
    narrow.origin.wait_until(lambda: narrow.origin.sent == narrow.origin.send_limit)
    narrow.wait_serving(2)
    assert monotonic() - begun < COPY_SECONDS + START_SECONDS
    narrow.origin.release()
    narrow.wait_serving(3)


def test_an_engine_changes_once_for_two_versions_named_close_together() -> None:
    """Versions required 2 s apart: to change takes as long as the first may serve."""
    bound, newer = Seconds(103.0), Seconds(105.0)
    for place in (0.0, 0.5, 1.0):
        assert switch_wait(bound, newer, NOW, NOW, place) == 3.0
        assert switch_wait(bound, newer, Seconds(103.5), NOW, place) == 0.0


def test_the_first_engine_changes_at_once_and_the_last_by_the_bound() -> None:
    bound = Seconds(103.0)
    for newer in (None, Seconds(108.0)):
        assert switch_wait(bound, newer, NOW, NOW, place=0.0) == 0.0
        wait = switch_wait(bound, newer, NOW, NOW, place=1.0)
        assert wait == pytest.approx(3.0 - LAST_SWITCH_LEAD_SECONDS)


def test_a_turn_stays_where_it_is_while_time_passes() -> None:
    bound, later = Seconds(110.0), Seconds(NOW + 2.0)
    wait = switch_wait(bound, None, NOW, NOW, place=0.5)
    assert switch_wait(bound, None, later, NOW, place=0.5) == pytest.approx(wait - 2.0)


def test_a_version_that_comes_after_the_bound_is_taken_at_once() -> None:
    assert switch_wait(Seconds(99.0), None, NOW, NOW, place=1.0) == 0.0


def test_an_engine_without_weights_takes_what_there_is() -> None:
    assert switch_wait(None, Seconds(101.0), NOW, NOW, place=1.0) == 0.0


def test_half_of_the_engines_go_for_the_second_of_two_versions_far_apart() -> None:
    """All of them finished the first, and each had the second 1 to 2 s late.

    Versions required 4 s apart, 5.2 s for a copy: in the window of 2 s from the second
    bound on 0.3 to 0.5 of the load was served, 0.9 with half of them going ahead.
    """
    current, newer = (
        TransferPlan(3.0, Seconds(106.0)),
        TransferPlan(5.7, Seconds(110.0)),
    )
    here = counts_as_available(current, newer, 0.1)
    assert here
    assert takes_precedence(current, newer, NOW, early=True, newer_available=here)
    assert not takes_precedence(current, newer, NOW, early=False, newer_available=here)


def test_a_version_close_behind_counts_as_here_once_it_is_whole() -> None:
    current, newer = (
        TransferPlan(2.5, Seconds(106.0)),
        TransferPlan(4.9, Seconds(108.0)),
    )
    assert not counts_as_available(current, newer, 0.9)
    assert counts_as_available(current, newer, 1.0)
    assert not counts_as_available(current, newer, None)
