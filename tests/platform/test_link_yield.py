"""A reader yields its link in a burst of large decisions, not after a single one.

Guards against a decision that is in force late because it follows a large
configuration. The reader paused after each slow answer for as long as the answer took,
up to 1 s: a version that was written 0.1 s after a configuration that took 0.95 s was
known 0.95 to 1.00 s after it (3 runs); now 0.04 to 0.05 s (3 runs).
"""

from time import sleep

from gateway_site import MODEL, make_large_config
from hypothesis import given
from hypothesis import strategies as st
from msgspec.json import encode
from test_version_dates import (
    ANNOUNCED_AFTER_SECONDS,
    TRANSFER_SECONDS,
    wait_for_read,
)

from ridgecourse.core.ids import Seconds
from ridgecourse.core.read_tree import (
    LONG_TRANSFER_SECONDS,
    MAX_LINK_YIELD_SECONDS,
    LinkYield,
)

MAX_GAP_SECONDS = 0.5
"""Longest time between two decisions of which the second waited for nothing: a poll and
the delays of a busy machine. With the fault it is 0.95 s."""
TRANSFERS = st.floats(LONG_TRANSFER_SECONDS, MAX_LINK_YIELD_SECONDS)
SHORT_TRANSFERS = st.floats(0.0, LONG_TRANSFER_SECONDS, exclude_max=True)
IDLE = st.floats(0.0, 3.0)


def test_single_transfer_after_idle_time_is_followed_by_no_pause() -> None:
    link_yield = LinkYield()
    assert link_yield.record_transfer(0.9, Seconds(10.0)) == 0.0
    assert link_yield.record_transfer(0.9, Seconds(12.0)) == 0.0


def test_transfer_longer_than_the_idle_time_before_it_is_followed_by_the_rest() -> None:
    link_yield = LinkYield()
    link_yield.record_transfer(0.9, Seconds(10.0))
    # Idle from 10.0 to 10.2 s.
    assert round(link_yield.record_transfer(0.6, Seconds(10.8)), 6) == 0.4


@given(st.lists(st.tuples(TRANSFERS, IDLE), min_size=2, max_size=20))
def test_burst_uses_at_most_half_of_the_link_after_its_first_transfer(
    transfers: list[tuple[float, float]],
) -> None:
    link_yield, now = LinkYield(), 100.0
    steps = []
    for seconds, further_idle in transfers:
        now += seconds
        idle = link_yield.record_transfer(seconds, Seconds(now)) + further_idle
        now += idle
        steps.append((seconds, idle))
    for first in range(len(steps)):
        balance = steps[first][0]
        for seconds, idle in steps[first:]:
            balance += idle - seconds
            assert balance >= -1e-6


@given(SHORT_TRANSFERS)
def test_short_transfer_is_followed_by_a_pause_of_its_length(seconds: float) -> None:
    assert LinkYield().record_transfer(seconds, Seconds(10.0)) == seconds


def test_version_after_a_large_configuration_is_known_without_a_pause(front) -> None:
    front.add_engine("llm", version=1)
    front.start()
    large = make_large_config(2)
    wait_for_read(front)
    front.store.bytes_per_s = len(encode(large)) / TRANSFER_SECONDS
    front.store.put_config(large)
    # Records of one answer would be followed by a read of the newest ones.
    sleep(ANNOUNCED_AFTER_SECONDS)
    front.store.put_version(MODEL, 2)
    front.gateway.wait_event("version-named", version="2")
    applied_at = [
        event["wall"]
        for event in front.gateway.events()
        if event["kind"] in ("config-folded", "version-named")
        and event["version"] == "2"
    ]
    config_at, version_at = applied_at
    assert version_at - config_at < MAX_GAP_SECONDS
