"""Engines' announcements are read from every answer; unreadable ones change nothing.

Guards against announcements that nothing reads: an engine that left or asked for rest
got requests like any other.
"""

import pytest
from urllib3 import HTTPHeaderDict

from ridgecourse.core.engine_announcements import EngineAnnouncements
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.ids import EngineStart, Seconds, TargetId
from ridgecourse.core.target_list import MAX_UNLISTED
from ridgecourse.platform.announcements import decode_announcement

STATUSES = [200, 400, 404, 421, 429, 500, 503, 504]
NOW = Seconds(100.0)


def make_incarnation(start: int | None, target: str = "i-1") -> EngineIncarnation:
    started = None if start is None else EngineStart(start)
    return EngineIncarnation(TargetId(target), started)


@pytest.mark.parametrize("status", STATUSES)
def test_any_answer_tells_that_an_engine_leaves(status: int) -> None:
    fields = HTTPHeaderDict({"server-leaving": "1"})
    assert decode_announcement(status, fields) == (True, 0.0, ())


@pytest.mark.parametrize("text", ["", "0"])
def test_an_engine_that_does_not_leave(text: str) -> None:
    fields = HTTPHeaderDict({"Server-Leaving": text} if text else {})
    assert decode_announcement(200, fields) == (False, 0.0, ())


def test_a_repeated_announcement_of_leaving_counts() -> None:
    fields = HTTPHeaderDict([("Server-Leaving", "1"), ("Server-Leaving", "1")])
    assert decode_announcement(200, fields).leaving


@pytest.mark.parametrize("text", ["yes", "-1", "1.5", "2"])
def test_unreadable_leaving_is_a_problem_and_changes_nothing(text: str) -> None:
    decoded = decode_announcement(200, HTTPHeaderDict({"Server-Leaving": text}))
    assert not decoded.leaving
    assert text in str(decoded.problems[0])


@pytest.mark.parametrize(
    "text,seconds", [("3", 3.0), ("0", 0.0), ("0.25", 0.25), ("86400", 86400.0)]
)
def test_rest_is_read_in_seconds(text: str, seconds: float) -> None:
    fields = HTTPHeaderDict({"Retry-After": text})
    assert decode_announcement(503, fields) == (False, seconds, ())


@pytest.mark.parametrize("status", [status for status in STATUSES if status != 503])
def test_only_a_refusal_asks_for_rest(status: int) -> None:
    fields = HTTPHeaderDict({"Retry-After": "3"})
    assert decode_announcement(status, fields) == (False, 0.0, ())


@pytest.mark.parametrize(
    "text", ["Thu, 03 Dec 2026 18:00:00 GMT", "-3", "nan", "inf", "1e3", "9" * 30, "3s"]
)
def test_an_unreadable_rest_is_a_problem_and_changes_nothing(text: str) -> None:
    decoded = decode_announcement(503, HTTPHeaderDict({"Retry-After": text}))
    assert decoded.rest == 0.0
    assert text in str(decoded.problems[0])


def test_two_rests_in_one_answer_are_a_problem() -> None:
    fields = HTTPHeaderDict([("Retry-After", "3"), ("Retry-After", "5")])
    decoded = decode_announcement(503, fields)
    assert decoded.rest == 0.0
    assert decoded.problems


# What a gateway keeps of announcements.


def test_an_announcement_ends_with_the_incarnation() -> None:
    announcements = EngineAnnouncements()
    assert announcements.record_leaving(make_incarnation(1), NOW)
    assert announcements.record_rest(make_incarnation(1), 60.0, NOW)
    assert announcements.leaving_seconds(make_incarnation(2), NOW) is None
    assert announcements.rest_left(make_incarnation(2), NOW) == 0.0
    assert not announcements.record_leaving(make_incarnation(1), NOW)
    assert not announcements.record_rest(make_incarnation(1), 60.0, NOW)
    assert announcements.leaving_seconds(make_incarnation(2), NOW) is None


def test_a_later_announcement_does_not_renew_leaving() -> None:
    announcements = EngineAnnouncements()
    assert announcements.record_leaving(make_incarnation(1), NOW)
    assert not announcements.record_leaving(make_incarnation(1), Seconds(NOW + 1.0))
    assert announcements.leaving_seconds(
        make_incarnation(1), Seconds(NOW + 1.5)
    ) == pytest.approx(1.5)


def test_a_shorter_rest_does_not_end_a_longer_one() -> None:
    announcements = EngineAnnouncements()
    assert announcements.record_rest(make_incarnation(1), 5.0, NOW)
    assert not announcements.record_rest(make_incarnation(1), 1.0, NOW)
    assert announcements.rest_left(make_incarnation(1), Seconds(NOW + 2.0)) == 3.0
    assert not announcements.end_rest(make_incarnation(1), Seconds(NOW + 4.9))
    assert announcements.end_rest(make_incarnation(1), Seconds(NOW + 5.0))
    assert not announcements.end_rest(make_incarnation(1), Seconds(NOW + 5.0))


def test_an_announcement_outlasts_a_lapsed_entry() -> None:
    """In an outage of the store the entry of a living engine lapses and returns."""
    announcements = EngineAnnouncements()
    announcements.record_leaving(make_incarnation(1), NOW)
    announcements.forget_unlisted(set())
    assert announcements.leaving_seconds(make_incarnation(1), NOW) == 0.0
    for number in range(MAX_UNLISTED):
        announcements.record_leaving(make_incarnation(1, f"i-other-{number}"), NOW)
    announcements.forget_unlisted(set())
    assert announcements.leaving_seconds(make_incarnation(1), NOW) is None
