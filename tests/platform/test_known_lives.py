"""What is remembered of an engine holds for one life of it.

An engine that started again had the load, the failures and the weights of its earlier
life, and reports of that life that came late replaced those of the new one. Requests
that the earlier life still had were counted at the new one, and what became of them
ejected it.
"""

from math import inf
from random import Random
from time import monotonic
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest
from foreign_reader import ENTRY
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from msgspec.json import encode

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.engine_load import EngineStatus, PendingRequest
from ridgecourse.core.ids import (
    DomainName,
    EngineStart,
    ModelName,
    Offset,
    Seconds,
    ServiceName,
    TargetId,
    WeightsVersion,
)
from ridgecourse.core.known_loads import KnownLoads
from ridgecourse.core.recent_peak import RecentPeak
from ridgecourse.core.target_list import (
    HeldLayers,
    ListedTarget,
    TargetList,
    TargetRecord,
)
from ridgecourse.core.target_states import FAILURES_IN_A_ROW, TargetHealthTable
from ridgecourse.gateway.selection import TargetSelector
from ridgecourse.net.record_source import KeyedRecord, RecordBatch, Topic
from ridgecourse.platform.records import PlatformRecordDecoder

ENGINE = TargetId("i-0")
MODEL = ModelName("m0")
LAYERS = 16
NOW = Seconds(100.0)
STARTS = st.sampled_from([EngineStart(5), EngineStart(7), EngineStart(9)])


def life(started: int | None) -> EngineIncarnation:
    return EngineIncarnation(ENGINE, None if started is None else EngineStart(started))


def make_status(
    started: int | None = None, version: int = 1, active: int = 0
) -> EngineStatus:
    told = None if started is None else EngineStart(started)
    served = WeightsVersion(version)
    return EngineStatus(served, False, 0, active, 0, 317_000, started=told)


def make_target(
    started: int | None, version: int = 1, leaving: bool = False
) -> ListedTarget:
    held = HeldLayers(0, LAYERS, WeightsVersion(version))
    return ListedTarget(
        target=ENGINE,
        service=ServiceName("llm"),
        address="127.0.0.1:1",
        domain=DomainName("a"),
        slots=16,
        leaving=leaving,
        models={MODEL: WeightsVersion(version)},
        layers=held,
        started=None if started is None else EngineStart(started),
    )


# Lives.


def test_a_life_without_a_start_is_neither_before_nor_after_another() -> None:
    assert life(5).precedes(life(7))
    assert not life(7).precedes(life(5))
    assert not life(None).precedes(life(5))
    assert not life(5).precedes(life(None))
    assert life(5).latest(life(None)) == life(None).latest(life(5)) == life(5)


def test_lives_of_different_engines_are_not_compared() -> None:
    other = EngineIncarnation(TargetId("i-1"), EngineStart(9))
    assert not life(5).precedes(other)


# Loads and reports.


def test_a_report_of_an_earlier_life_does_not_replace_one_of_the_new() -> None:
    loads = KnownLoads()
    assert loads.record_report(life(7), make_status(7, active=2), NOW, 1)
    # Its number is higher, for the loader counts on over the engine's lives.
    assert not loads.record_report(life(5), make_status(5, active=9), NOW, 2)
    assert loads.value_of(life(5)).status == make_status(7, active=2)


def test_a_new_life_has_nothing_of_the_earlier_ones_load() -> None:
    loads = KnownLoads()
    loads.record_report(life(5), make_status(5, active=9), NOW, 40)
    before = loads.value_of(life(5))
    before.outstanding = 3
    before.pending["a"] = PendingRequest(NOW, 0.1)
    # A number that is lower than the last one is no reason to leave it out.
    assert loads.record_report(life(7), make_status(7, version=0), NOW, 1)
    load = loads.value_of(life(7))
    assert (load.outstanding, load.pending, load.sequence_number) == (0, {}, 1)
    # What the earlier life still had ends there.
    before.outstanding -= 3
    assert loads.value_of(life(5)) is load
    assert load.outstanding == 0


def test_a_new_life_in_the_list_ends_the_reports_of_the_earlier_one() -> None:
    loads = KnownLoads()
    loads.record_report(life(5), make_status(5, active=9), NOW, 1)
    assert loads.value_of(life(7)).status is None
    assert not loads.record_report(life(5), make_status(5, active=9), NOW, 2)
    assert loads.value_of(life(7)).status is None


def test_reports_without_a_start_go_on_as_before() -> None:
    loads = KnownLoads()
    assert loads.record_report(life(None), make_status(), NOW, 1)
    assert not loads.record_report(life(None), make_status(active=9), NOW, 1)
    assert loads.record_report(life(None), make_status(active=9), NOW, 2)
    # Also beside a list that tells the start.
    assert loads.value_of(life(7)).status == make_status(active=9)
    assert loads.record_report(life(None), make_status(active=4), NOW, 3)
    assert loads.value_of(life(7)).status == make_status(active=4)


def test_unlisted_engines_are_dropped() -> None:
    loads = KnownLoads()
    loads.record_report(life(5), make_status(5), NOW, 1)
    loads.forget_unlisted({TargetId("i-1")})
    assert (loads.values, loads.incarnations) == ({}, {})


# Ejection.


def test_a_new_life_of_an_ejected_target_is_not_ejected() -> None:
    states = TargetHealthTable()
    state = states.value_of(life(5))
    state.network_delays.observe(0.4, NOW)
    assert any(state.record_failure(NOW) for _ in range(FAILURES_IN_A_ROW))
    fresh = states.value_of(life(7))
    assert (fresh.not_before, fresh.failures, fresh.ejections) == (0.0, 0, 0)
    # The way there is as long as it was.
    assert fresh.network_delays.decayed_peak(NOW) == 0.4


def test_what_becomes_of_sends_to_an_earlier_life_does_not_eject_the_new_one() -> None:
    states = TargetHealthTable()
    at_send = states.value_of(life(5))
    fresh = states.value_of(life(7))
    for _ in range(FAILURES_IN_A_ROW):
        at_send.record_failure(NOW)
    assert states.value_of(life(5)) is fresh
    assert fresh.not_before == 0.0


def test_a_target_that_tells_no_start_stays_ejected() -> None:
    states = TargetHealthTable()
    state = states.value_of(life(None))
    assert any(state.record_failure(NOW) for _ in range(FAILURES_IN_A_ROW))
    assert states.value_of(life(None)) is state
    assert states.value_of(life(5)) is state


# Weights, as the selector believes them.


class Surroundings:
    """A selector with one listed engine and what is known of its load."""

    def __init__(self, target: ListedTarget, hold: float = 0.0) -> None:
        self.hold = hold
        self.loads = KnownLoads()
        watcher: Any = SimpleNamespace(
            load=lambda target: self.loads.value_of(target.incarnation),
            incarnation=lambda target: self.loads.latest(target.incarnation),
        )
        history = SimpleNamespace(start_deadline=lambda version: None)
        view: Any = SimpleNamespace(
            serving_targets=lambda service: [target],
            history=lambda model: history,
            targets=SimpleNamespace(targets={target.target: target}),
        )
        site: Any = SimpleNamespace(region=lambda domain: "north", domain="a")
        lag = RecentPeak()
        limits: Any = SimpleNamespace()
        self.selector = TargetSelector(site, view, watcher, lag, Random(1), limits)

    def choose(self, tried: set[EngineIncarnation]) -> Any:
        service: Any = SimpleNamespace(
            name=ServiceName("llm"), engine=SimpleNamespace(layers=LAYERS)
        )
        self.selector._estimate = lambda service, call, target, now: SimpleNamespace(  # type: ignore[method-assign, assignment]
            target=target, terms=SimpleNamespace(version=None), hold=self.hold
        )
        self.selector._cost = lambda choice: 0.0  # type: ignore[method-assign]
        call: Any = SimpleNamespace(model=MODEL)
        return self.selector.choose(service, call, tried)


def test_a_new_life_does_not_hold_what_the_list_says_of_the_earlier_one() -> None:
    """Its report came before its entry, and then the loader fell silent."""
    listed = make_target(5)
    around = Surroundings(listed)
    assert around.choose(set()) is not None
    # Told long ago by the monotonic clock, so that only the list speaks.
    long_ago = Seconds(-1000.0)
    around.loads.record_report(life(7), make_status(7, version=0), long_ago, 1)
    assert around.choose(set()) is None
    assert around.selector._held_version(MODEL, listed, NOW) is None


def test_a_stream_may_go_on_at_the_next_life_of_an_engine_that_broke_off() -> None:
    """And not at the same life: that one has had the request."""
    around = Surroundings(make_target(7))
    assert around.choose({life(7)}) is None
    assert around.choose({life(5)}) is not None


# The list.


def apply(*records: tuple[int, ListedTarget | None]) -> ListedTarget | None:
    """Return what is listed of the engine after records, given with their offsets."""
    targets = TargetList()
    for offset, entry in records:
        targets.apply([TargetRecord(ENGINE, Offset(offset), entry)], NOW)
    return targets.targets.get(ENGINE)


def test_an_entry_of_an_earlier_life_never_replaces_one_of_the_new() -> None:
    new, old = make_target(7), make_target(5)
    assert apply((1, new), (2, old)) == new
    assert apply((2, old), (1, new)) == new
    # Also after the new life has left.
    assert apply((1, new), (2, None), (3, old)) is None
    assert apply((3, old), (2, None), (1, new)) is None


def test_a_whole_list_with_an_earlier_life_leaves_the_new_one() -> None:
    targets = TargetList()
    targets.apply([TargetRecord(ENGINE, Offset(1), make_target(7))], NOW)
    targets.replace([TargetRecord(ENGINE, Offset(2), make_target(5))], NOW)
    assert targets.targets[ENGINE] == make_target(7)


def test_what_another_process_tells_of_an_earlier_life_is_left_out() -> None:
    """It read the store's list while that had the earlier life's heartbeat last."""
    view = ClusterView(Mock(), Mock(), PlatformRecordDecoder(), Mock(), 8.0)

    def take(offset: int, born: int, address: str) -> str:
        entry = {**ENTRY, "address": address, "born": born}
        record = KeyedRecord(ENGINE, encode(entry), Offset(offset))
        heard_at = Seconds(monotonic())
        batch = RecordBatch([record], Offset(offset + 1), heard_at)
        view.apply(Topic.TARGETS, batch, whole=True)
        return view.targets.targets[ENGINE].address

    assert take(1, 7, "127.0.0.1:7") == "127.0.0.1:7"
    assert take(2, 5, "127.0.0.1:5") == "127.0.0.1:7"
    assert take(3, 9, "127.0.0.1:9") == "127.0.0.1:9"


def test_entries_without_a_start_go_by_their_offsets() -> None:
    plain, leaving = make_target(None), make_target(None, leaving=True)
    assert apply((1, plain), (2, leaving)) == leaving
    assert apply((2, leaving), (1, plain)) == leaving
    assert apply((1, make_target(7)), (2, plain)) == plain
    assert apply((1, make_target(7)), (2, plain), (3, make_target(5))) == plain


@given(st.data())
def test_the_order_in_which_records_arrive_does_not_matter(data: st.DataObject) -> None:
    entries = data.draw(
        st.lists(st.one_of(st.none(), STARTS.map(make_target)), max_size=6)
    )
    records = list(enumerate(entries))
    assert apply(*data.draw(st.permutations(records))) == apply(*records)


class LivesMachine(RuleBasedStateMachine):
    """Records and reports of several lives come late, twice and out of order.

    The oracle knows of each engine the latest life that anybody told of, of that life
    the newest record and the newest report, and nothing of the lives before.
    """

    names = (ENGINE, TargetId("i-1"))

    def __init__(self) -> None:
        super().__init__()
        self.list = TargetList()
        self.loads = KnownLoads()
        self.now = 100.0
        self.stream: list[TargetRecord] = []
        self.seen: list[TargetRecord] = []
        self.reports: list[tuple[EngineIncarnation, EngineStatus, int]] = []
        self.heard: dict[TargetId, EngineIncarnation] = {}
        self.told: dict[TargetId, tuple[EngineIncarnation, EngineStatus, int]] = {}

    @rule(name=st.sampled_from(names), started=STARTS, leaving=st.booleans())
    def write(self, name: TargetId, started: EngineStart, leaving: bool) -> None:
        target = make_target(started, leaving=leaving)
        entry = ListedTarget(
            name,
            target.service,
            target.address,
            target.domain,
            target.slots,
            leaving,
            target.models,
            target.layers,
            started,
        )
        self.stream.append(TargetRecord(name, Offset(len(self.stream)), entry))

    @rule(name=st.sampled_from(names))
    def remove(self, name: TargetId) -> None:
        self.stream.append(TargetRecord(name, Offset(len(self.stream)), None))

    @rule(name=st.sampled_from(names), started=STARTS, active=st.integers(0, 9))
    def tell(self, name: TargetId, started: EngineStart, active: int) -> None:
        """A loader numbers its reports over all lives of its engine."""
        status = make_status(started, active=active)
        told = EngineIncarnation(name, started), status, len(self.reports) + 1
        self.reports.append(told)

    @precondition(lambda self: self.stream)
    @rule(data=st.data())
    def deliver_record(self, data: st.DataObject) -> None:
        record = data.draw(st.sampled_from(self.stream))
        self.list.apply([record], Seconds(self.now))
        self.seen.append(record)
        if record.entry is not None:
            self.loads.latest(record.entry.incarnation)
            self.hear(record.entry.incarnation)

    @precondition(lambda self: self.reports)
    @rule(data=st.data())
    def deliver_report(self, data: st.DataObject) -> None:
        told = data.draw(st.sampled_from(self.reports))
        self.loads.record_report(told[0], told[1], Seconds(self.now), told[2])
        self.hear(told[0])
        known = self.told.get(told[0].target)
        latest = self.heard[told[0].target] == told[0]
        if latest and (known is None or told[2] > known[2]):
            self.told[told[0].target] = told

    def hear(self, life: EngineIncarnation) -> None:
        before = self.heard.get(life.target)
        if before is None or before.precedes(life):
            self.heard[life.target] = life
            self.told.pop(life.target, None)

    def expected_entry(self, name: TargetId) -> ListedTarget | None:
        mine = [record for record in self.seen if record.target == name]
        entries = [record for record in mine if record.entry is not None]
        starts = [r.entry.started or 0 for r in entries if r.entry is not None]
        newest = max(
            (r for r in entries if r.entry and r.entry.started == max(starts)),
            key=lambda record: record.offset,
            default=None,
        )
        gone = max((r.offset for r in mine if r.entry is None), default=-1)
        return newest.entry if newest is not None and newest.offset > gone else None

    @invariant()
    def lists_the_latest_lives(self) -> None:
        for name in self.names:
            assert self.list.targets.get(name) == self.expected_entry(name)

    @invariant()
    def knows_the_loads_of_the_latest_lives(self) -> None:
        for name, heard in self.heard.items():
            told = self.told.get(name)
            assert self.loads.latest(heard) == heard
            assert self.loads.value_of(heard).status == (told[1] if told else None)


TestLives = LivesMachine.TestCase


# Limits.


@pytest.mark.parametrize("hold", [0.0, 5.0, inf])
def test_a_target_that_is_not_there_is_not_taken_for_one_with_a_limit(
    hold: float,
) -> None:
    """Callers were told to come back at once while no engine had weights to serve."""
    around = Surroundings(make_target(5), hold)
    choice = around.choose(set())
    assert choice.hold == hold
    assert around.choose({life(5)}) is None
