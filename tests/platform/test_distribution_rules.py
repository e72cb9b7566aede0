"""Rules of a distributor and of requests for missing loads, against simple models.

Guards against a load that is sent twice, never, to a wrong place or as an older one,
and against requests that a loader gets more often than once a second.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ridgecourse.core.engine_load import FRESH_SECONDS, EngineStatus
from ridgecourse.core.ids import EngineStart, Seconds, TargetId, WeightsVersion
from ridgecourse.core.load_distribution import (
    TAKEOVER_SECONDS,
    HeldLoad,
    LoadDestination,
    LoadDistribution,
)
from ridgecourse.core.load_requests import (
    MAX_LOAD_AGE_SECONDS,
    REQUEST_INTERVAL_SECONDS,
    LoadArrivals,
)

TARGETS = st.sampled_from([TargetId("i-0"), TargetId("i-1")])
PAUSES = st.sampled_from([0.0, 0.01, 0.05, 0.1, 0.3, 2.0])
DESTINATIONS = st.sampled_from(
    [tuple(LoadDestination), (LoadDestination.DOMAIN,), (LoadDestination.ELSEWHERE,)]
)


class DistributionMachine(RuleBasedStateMachine):
    """Loads of a loader arrive in any order, from it and from another distributor.

    Attributes:
        numbers: Number of the newest report of each loader.
        reported_at: When each report was made, by target and number.
        sent: Highest number that was sent, by destination and target.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = Seconds(100.0)
        self.distribution = LoadDistribution(self.now)
        self.numbers: dict[TargetId, int] = {}
        self.reported_at: dict[tuple[TargetId, int], Seconds] = {}
        self.sent: dict[tuple[LoadDestination, TargetId], int] = {}

    def make_load(self, engine: TargetId, delay: int) -> HeldLoad:
        """Return the newest load of an engine or an earlier one."""
        number = max(1, self.numbers.get(engine, 0) - delay)
        if not delay or engine not in self.numbers:
            number = self.numbers[engine] = self.numbers.get(engine, 0) + 1
            self.reported_at[engine, number] = self.now
        status = EngineStatus(
            WeightsVersion(1), False, number, 0, 0, 9, started=EngineStart(1)
        )
        return HeldLoad(number, self.reported_at[engine, number], status)

    @rule(engine=TARGETS, delay=st.integers(0, 2), destinations=DESTINATIONS)
    def receive(
        self,
        engine: TargetId,
        delay: int,
        destinations: tuple[LoadDestination, ...],
    ) -> None:
        load = self.make_load(engine, delay)
        held = self.distribution.loads.get(engine)
        self.distribution.record_load(engine, load, destinations, self.now)
        is_fresh = self.now - load.reported_at <= FRESH_SECONDS
        if is_fresh and (held is None or load.number > held.number):
            for destination in destinations:
                assert engine in self.distribution.due[destination]

    @rule(engine=TARGETS, delay=st.integers(0, 2))
    def hear_other_distributor(self, engine: TargetId, delay: int) -> None:
        load = self.make_load(engine, delay)
        self.distribution.record_sent(engine, load, self.now)
        if load.number == self.distribution.loads[engine].number:
            for due in self.distribution.due.values():
                assert engine not in due

    @rule(destination=st.sampled_from(LoadDestination), sends_all=st.booleans())
    def send(self, destination: LoadDestination, sends_all: bool) -> None:
        due = dict(self.distribution.due[destination])
        loads = self.distribution.take_due(destination, sends_all, self.now)
        for load in loads:
            assert sends_all or self.now - due[load.target] >= TAKEOVER_SECONDS
            true_age = self.now - self.reported_at[load.target, load.number]
            assert 0.0 <= load.age_ms / 1000.0 - true_age <= 0.002
            assert true_age <= FRESH_SECONDS
            assert load.status.queued == load.number
            assert load.number > self.sent.get((destination, load.target), 0)
            self.sent[destination, load.target] = load.number
        if sends_all:
            assert not self.distribution.due[destination]

    @rule(seconds=PAUSES)
    def wait(self, seconds: float) -> None:
        self.now = Seconds(self.now + seconds)

    @rule()
    def forget(self) -> None:
        self.distribution.forget_outdated(self.now)

    @invariant()
    def due_loads_are_held(self) -> None:
        for due in self.distribution.due.values():
            assert due.keys() <= self.distribution.loads.keys()

    @invariant()
    def only_a_lower_rank_takes_over(self) -> None:
        silent = self.now - self.distribution.heard_at > TAKEOVER_SECONDS
        assert not self.distribution.has_taken_over(0, self.now)
        assert self.distribution.has_taken_over(1, self.now) == silent


class RequestMachine(RuleBasedStateMachine):
    """Loads of one engine arrive at times; the loader is asked at other times."""

    def __init__(self) -> None:
        super().__init__()
        self.now = Seconds(100.0)
        self.arrivals = LoadArrivals()
        self.heard_at = self.now
        self.asked_at: Seconds | None = None
        self.ask()

    @rule()
    def arrive(self) -> None:
        self.arrivals.record_arrival(TargetId("i-0"), self.now)
        self.heard_at = self.now

    @rule(seconds=PAUSES)
    def wait(self, seconds: float) -> None:
        self.now = Seconds(self.now + seconds)

    @rule()
    def ask(self) -> None:
        # The loader reports in some way, so that it has not failed.
        due = list(self.arrivals.take_due({TargetId("i-0"): self.now}, self.now))
        may_ask = (
            self.asked_at is None
            or self.now - self.asked_at >= REQUEST_INTERVAL_SECONDS
        )
        is_missing = self.now - self.heard_at > MAX_LOAD_AGE_SECONDS
        assert bool(due) == (may_ask and is_missing)
        if due:
            self.asked_at = self.now


DistributionMachine.TestCase.settings = settings(deadline=None)
RequestMachine.TestCase.settings = settings(deadline=None)
TestDistribution = DistributionMachine.TestCase
TestRequests = RequestMachine.TestCase


def test_outdated_load_that_replaces_no_other_is_not_sent() -> None:
    # Guards against a stale load that is sent because its number is higher.
    state = DistributionMachine()
    everywhere = tuple(LoadDestination)
    engine = TargetId("i-0")
    for _ in range(3):
        state.receive(engine=engine, delay=0, destinations=everywhere)
    state.wait(seconds=2.0)
    state.forget()
    state.hear_other_distributor(engine=engine, delay=2)
    state.receive(engine=engine, delay=1, destinations=everywhere)
    state.due_loads_are_held()
    for destination in LoadDestination:
        state.send(destination=destination, sends_all=True)
    assert state.sent == {}
