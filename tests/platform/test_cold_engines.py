"""A gateway knows until when each engine is cold.

Guards against an engine that gets its full load while it is cold: because its entry in
the list is up to 2 s old, because it says nothing yet, or because an older statement of
the engine replaces a newer event. Also guards against an engine that stays limited
although it has said that it is not cold any more.
"""

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from msgspec.structs import replace

from ridgecourse.core.cold_engines import (
    ENTRY_AGE_SECONDS,
    ColdCause,
    ColdEngines,
    ColdStatement,
    make_cold_limit,
)
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.ids import (
    DomainName,
    EngineStart,
    Seconds,
    ServiceName,
    TargetId,
)
from ridgecourse.core.routes import Service
from ridgecourse.core.site import Bounds
from ridgecourse.core.target_list import ListedTarget

START_SECONDS = 8.0
SERVICE = Service(ServiceName("llm"), 64, "/healthz", None, START_SECONDS, 4.0)
DOMAIN = DomainName("a")


def make_entry(started: int = 1, cold: float = 0.0, target: str = "i-1"):
    return ListedTarget(
        TargetId(target),
        SERVICE.name,
        "127.0.0.1:1",
        DOMAIN,
        16,
        False,
        {},
        None,
        EngineStart(started),
        cold,
    )


def make_bounds(**values: float) -> Bounds:
    return Bounds(8.0, 2.0, 3.0, 8.0, 2.0, 0.2, 10.0, 100.0, **values)


class Watched:
    """The engines as one gateway sees them, at a time that the test sets."""

    def __init__(self, is_running: bool = True) -> None:
        self.engines = ColdEngines()
        self.now = 100.0
        if is_running:
            self.engines.known_services.add(SERVICE.name)

    def read(self, entry: ListedTarget) -> None:
        self.engines.observe(entry, entry.incarnation, SERVICE, Seconds(self.now))

    def say(self, remaining: float, age: float = 0.0, started: int = 1) -> bool:
        incarnation = EngineIncarnation(TargetId("i-1"), EngineStart(started))
        statement = ColdStatement(remaining, age)
        return self.engines.record_statement(incarnation, statement, Seconds(self.now))

    def left(self, started: int = 1) -> float:
        incarnation = EngineIncarnation(TargetId("i-1"), EngineStart(started))
        return max(0.0, self.engines.states.value_of(incarnation).until - self.now)


def make_warm() -> Watched:
    """Return a gateway that has known a warm engine for long."""
    watched = Watched(is_running=False)
    watched.read(make_entry())
    watched.engines.known_services.add(SERVICE.name)
    watched.now += 60.0
    return watched


def test_entries_count_as_they_are_at_the_start_of_a_gateway() -> None:
    watched = Watched(is_running=False)
    watched.read(make_entry())
    assert watched.left() == 0.0
    watched.read(make_entry(2, cold=3.0))
    assert watched.left(2) == 3.0


def test_new_incarnation_is_cold_until_it_says_otherwise() -> None:
    watched = make_warm()
    watched.read(make_entry(2))
    assert watched.left(2) == START_SECONDS
    assert watched.engines.states.value_of(make_entry(2).incarnation).cause is (
        ColdCause.STARTED
    )
    watched.now += 0.5
    assert watched.say(0.0, started=2)
    assert watched.left(2) == 0.0


def test_new_incarnation_that_only_a_report_has_named_is_cold() -> None:
    watched = make_warm()
    entry = make_entry()
    later = EngineIncarnation(entry.target, EngineStart(2))
    watched.engines.observe(entry, later, SERVICE, Seconds(watched.now))
    assert watched.left(2) == START_SECONDS


def test_new_target_is_cold() -> None:
    watched = make_warm()
    entry = make_entry(5, target="i-9")
    watched.read(entry)
    state = watched.engines.states.value_of(entry.incarnation)
    assert state.until == watched.now + START_SECONDS


def test_cold_entry_is_counted_from_its_reading() -> None:
    watched = make_warm()
    watched.read(make_entry(cold=4.0))
    assert watched.left() == 4.0


def test_entry_that_is_read_again_does_not_prolong_the_time() -> None:
    watched = make_warm()
    entry = make_entry(cold=4.0)
    watched.read(entry)
    watched.now += 3.0
    watched.read(entry)
    assert watched.left() == 1.0


def test_entry_soon_after_an_event_does_not_end_the_cold_state() -> None:
    watched = make_warm()
    watched.read(make_entry(2))
    watched.now += ENTRY_AGE_SECONDS - 0.1
    watched.read(replace(make_entry(2), slots=15))
    assert watched.left(2) > 0.0
    watched.now += 0.2
    watched.read(replace(make_entry(2), slots=14))
    assert watched.left(2) == 0.0


def test_cold_entry_soon_after_a_warm_answer_is_older_than_the_answer() -> None:
    watched = make_warm()
    watched.read(make_entry(cold=4.0))
    watched.now += 1.0
    watched.say(0.0)
    watched.now += 0.5
    watched.read(make_entry(cold=3.0))
    assert watched.left() == 0.0


def test_answer_from_before_the_event_does_not_end_the_cold_state() -> None:
    watched = make_warm()
    watched.engines.record_evacuation_end(DOMAIN, Seconds(watched.now))
    watched.now += 1.0
    watched.read(make_entry())
    assert not watched.say(0.0, age=1.5)
    assert watched.left() > 0.0
    assert watched.say(0.0, age=0.5)
    assert watched.left() == 0.0
    watched.read(make_entry())
    assert watched.left() == 0.0


def test_engines_of_a_returned_domain_are_cold_even_if_they_are_listed_later() -> None:
    watched = make_warm()
    watched.engines.record_evacuation_end(DOMAIN, Seconds(watched.now))
    watched.now += 1.5
    watched.read(make_entry())
    assert watched.left() == START_SECONDS - 1.5


def test_engine_that_was_unreachable_is_cold_from_its_first_answer_on() -> None:
    watched = make_warm()
    incarnation = make_entry().incarnation
    watched.engines.record_unreachable(incarnation, SERVICE, Seconds(watched.now))
    assert watched.left() == START_SECONDS
    watched.now += 6.0
    watched.engines.record_answer(incarnation, SERVICE, Seconds(watched.now))
    assert watched.left() == START_SECONDS
    watched.now += 1.0
    watched.engines.record_answer(incarnation, SERVICE, Seconds(watched.now))
    assert watched.left() == START_SECONDS - 1.0


def test_statement_of_an_earlier_incarnation_is_ignored() -> None:
    watched = make_warm()
    watched.read(make_entry(2))
    assert not watched.say(0.0, started=1)
    assert watched.left(2) == START_SECONDS


def test_changes_are_reported_once() -> None:
    watched = make_warm()
    incarnation = make_entry().incarnation
    watched.read(make_entry(cold=4.0))
    poll = watched.engines.poll_change
    change = poll(incarnation, Seconds(watched.now))
    assert change is not None and (change.seconds, change.cause) == (
        4.0,
        ColdCause.ENTRY,
    )
    assert poll(incarnation, Seconds(watched.now)) is None
    change = poll(incarnation, Seconds(watched.now + 4.0))
    assert change is not None and change.seconds == 0.0


def test_limit_of_a_service() -> None:
    assert make_cold_limit(replace(SERVICE, cold_per_s=0.0), make_bounds()) is None
    limit = make_cold_limit(SERVICE, make_bounds())
    assert limit is not None and (limit.rate, limit.bound) == (4.0, 11)
    low = make_cold_limit(SERVICE, make_bounds(cold_overage=0.5, cold_slack=1.0))
    assert low is not None and (low.rate, low.bound) == (3, 3)


MILLISECONDS = st.integers(0, 5000).map(lambda value: value / 1000)


@given(st.lists(st.tuples(MILLISECONDS, MILLISECONDS), max_size=8))
def test_newest_answer_decides_in_whatever_order_answers_arrive(answers) -> None:
    """Reports are datagrams; each has the age of its answer."""
    watched = make_warm()
    for age, remaining in answers:
        watched.say(remaining, age)
    if answers:
        newest = min(age for age, _ in answers)
        allowed = {max(0.0, left - age) for age, left in answers if age == newest}
        assert min(abs(watched.left() - left) for left in allowed) < 1e-6


class ColdStateMachine(RuleBasedStateMachine):
    """An engine is never taken for warm while an unanswered event makes it cold.

    The oracle keeps the time of the newest event, and whether the engine has made a
    statement after it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.watched = make_warm()
        self.event_at: float | None = None

    @rule(seconds=st.floats(0.01, 3.0))
    def pass_time(self, seconds: float) -> None:
        self.watched.now += seconds

    @rule()
    def end_evacuation(self) -> None:
        # No statement is made at the same instant.
        self.watched.now += 0.001
        self.watched.engines.record_evacuation_end(DOMAIN, Seconds(self.watched.now))
        self.event_at = self.watched.now
        self.watched.read(make_entry())

    @rule()
    def lose_and_find(self) -> None:
        incarnation, now = make_entry().incarnation, Seconds(self.watched.now)
        self.watched.engines.record_unreachable(incarnation, SERVICE, now)
        self.watched.engines.record_answer(incarnation, SERVICE, now)
        self.event_at = self.watched.now

    @rule(age=st.floats(0.0, 3.0), remaining=st.floats(0.0, 5.0))
    def report(self, age: float, remaining: float) -> None:
        self.watched.say(remaining, age)
        if self.event_at is not None and self.watched.now - age >= self.event_at:
            self.event_at = None

    @rule(cold=st.floats(0.0, 5.0))
    def read_entry(self, cold: float) -> None:
        self.watched.read(make_entry(cold=cold))
        now, event_at = self.watched.now, self.event_at
        if event_at is not None and now - event_at >= ENTRY_AGE_SECONDS:
            self.event_at = None

    @invariant()
    def is_cold_after_an_event(self) -> None:
        if self.event_at is not None:
            left = self.event_at + START_SECONDS - self.watched.now
            assert self.watched.left() >= left - 1e-6


TestColdState = ColdStateMachine.TestCase
