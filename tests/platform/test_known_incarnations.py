"""State that is kept of an engine belongs to one incarnation of it.

The tests guard against these failures: a restarted engine inherits the load, failures
and weights of its earlier incarnation; late reports of the earlier incarnation replace
those of the new one; requests that the earlier incarnation still had are counted for
the new one, and their outcomes eject it.
"""

from math import inf
from random import Random
from time import monotonic
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from msgspec.json import encode
from view_reader import TARGET_ENTRY

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.eligibility import (
    ExclusionReason,
    ExclusionSummary,
    TargetRequirements,
)
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.engine_load import EngineStatus, PendingRequest
from ridgecourse.core.evacuations import Evacuations
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
from ridgecourse.gateway.selection import MAX_LIMIT_DELAY_SECONDS, TargetSelector
from ridgecourse.net.figures import ProcessMetrics
from ridgecourse.net.record_source import KeyedRecord, RecordBatch, Topic
from ridgecourse.platform.records import PlatformRecordDecoder

ENGINE = TargetId("i-0")
MODEL = ModelName("m0")
LAYERS = 16
NOW = Seconds(100.0)
STARTS = st.sampled_from([EngineStart(5), EngineStart(7), EngineStart(9)])


def make_incarnation(started: int | None) -> EngineIncarnation:
    return EngineIncarnation(ENGINE, None if started is None else EngineStart(started))


def make_status(
    started: int | None = None, version: int = 1, active: int = 0
) -> EngineStatus:
    reported_start = None if started is None else EngineStart(started)
    served = WeightsVersion(version)
    return EngineStatus(served, False, 0, active, 0, 317_000, started=reported_start)


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


# Incarnations.


def test_an_incarnation_without_a_start_is_not_ordered() -> None:
    assert make_incarnation(5).precedes(make_incarnation(7))
    assert not make_incarnation(7).precedes(make_incarnation(5))
    assert not make_incarnation(None).precedes(make_incarnation(5))
    assert not make_incarnation(5).precedes(make_incarnation(None))
    assert (
        make_incarnation(5).latest(make_incarnation(None))
        == make_incarnation(None).latest(make_incarnation(5))
        == make_incarnation(5)
    )


def test_incarnations_of_different_engines_are_not_ordered() -> None:
    other = EngineIncarnation(TargetId("i-1"), EngineStart(9))
    assert not make_incarnation(5).precedes(other)


# Loads and reports.


def test_a_report_of_an_earlier_incarnation_is_dropped() -> None:
    loads = KnownLoads()
    assert loads.record_report(make_incarnation(7), make_status(7, active=2), NOW, 1)
    # Its number is higher: the loader numbers reports across incarnations.
    assert not loads.record_report(
        make_incarnation(5), make_status(5, active=9), NOW, 2
    )
    assert loads.value_of(make_incarnation(5)).status == make_status(7, active=2)


def test_a_new_incarnation_does_not_inherit_load() -> None:
    loads = KnownLoads()
    loads.record_report(make_incarnation(5), make_status(5, active=9), NOW, 40)
    earlier = loads.value_of(make_incarnation(5))
    earlier.outstanding = 3
    earlier.pending["a"] = PendingRequest(NOW, 0.1)
    # A lower number than the last one must not cause the report to be dropped.
    assert loads.record_report(make_incarnation(7), make_status(7, version=0), NOW, 1)
    load = loads.value_of(make_incarnation(7))
    assert (load.outstanding, load.pending, load.sequence_number) == (0, {}, 1)
    # The remaining requests of the earlier incarnation end there.
    earlier.outstanding -= 3
    assert loads.value_of(make_incarnation(5)) is load
    assert load.outstanding == 0


def test_a_listed_new_incarnation_discards_reports_of_the_earlier_one() -> None:
    loads = KnownLoads()
    loads.record_report(make_incarnation(5), make_status(5, active=9), NOW, 1)
    assert loads.value_of(make_incarnation(7)).status is None
    assert not loads.record_report(
        make_incarnation(5), make_status(5, active=9), NOW, 2
    )
    assert loads.value_of(make_incarnation(7)).status is None


def test_reports_without_a_start_are_ordered_by_number() -> None:
    loads = KnownLoads()
    assert loads.record_report(make_incarnation(None), make_status(), NOW, 1)
    assert not loads.record_report(
        make_incarnation(None), make_status(active=9), NOW, 1
    )
    assert loads.record_report(make_incarnation(None), make_status(active=9), NOW, 2)
    # Also with a target list that contains the start.
    assert loads.value_of(make_incarnation(7)).status == make_status(active=9)
    assert loads.record_report(make_incarnation(None), make_status(active=4), NOW, 3)
    assert loads.value_of(make_incarnation(7)).status == make_status(active=4)


def test_unlisted_engines_are_dropped() -> None:
    loads = KnownLoads()
    loads.record_report(make_incarnation(5), make_status(5), NOW, 1)
    loads.forget_unlisted({TargetId("i-1")})
    assert (loads.values, loads.incarnations) == ({}, {})


# Ejection.


def test_a_new_incarnation_of_an_ejected_target_is_not_ejected() -> None:
    states = TargetHealthTable()
    state = states.value_of(make_incarnation(5))
    state.network_delays.observe(0.4, NOW)
    assert any(state.record_failure(NOW) for _ in range(FAILURES_IN_A_ROW))
    new_state = states.value_of(make_incarnation(7))
    assert (new_state.not_before, new_state.failures, new_state.ejections) == (
        0.0,
        0,
        0,
    )
    # The network delay to the target is unchanged.
    assert new_state.network_delays.decayed_peak(NOW) == 0.4


def test_failures_of_an_earlier_incarnation_do_not_eject_the_new_one() -> None:
    states = TargetHealthTable()
    earlier_state = states.value_of(make_incarnation(5))
    new_state = states.value_of(make_incarnation(7))
    for _ in range(FAILURES_IN_A_ROW):
        earlier_state.record_failure(NOW)
    assert states.value_of(make_incarnation(5)) is new_state
    assert new_state.not_before == 0.0


def test_a_target_without_a_reported_start_stays_ejected() -> None:
    states = TargetHealthTable()
    state = states.value_of(make_incarnation(None))
    assert any(state.record_failure(NOW) for _ in range(FAILURES_IN_A_ROW))
    assert states.value_of(make_incarnation(None)) is state
    assert states.value_of(make_incarnation(5)) is state


# Weights, as the selector sees them.


class SelectorSite:
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
            evacuation_records=SimpleNamespace(evacuations=Evacuations()),
            events=SimpleNamespace(metrics=ProcessMetrics()),
        )
        site: Any = SimpleNamespace(region=lambda domain: "north", domain="a")
        lag = RecentPeak()
        limits: Any = SimpleNamespace(
            accepts_requests=lambda incarnation: True,
            is_leaving=lambda incarnation: False,
            has_announcements=lambda: False,
            limit_watch=SimpleNamespace(
                has_limits=lambda: True, wait=lambda target, incarnation: self.hold
            ),
        )
        self.selector = TargetSelector(site, view, watcher, lag, Random(1), limits)

    def choose(self, tried: set[EngineIncarnation]) -> Any:
        service: Any = SimpleNamespace(
            name=ServiceName("llm"),
            engine=SimpleNamespace(layers=LAYERS),
            cold_per_s=0.0,
        )
        self.selector._estimate = lambda requirements, call, target, now: (
            SimpleNamespace(  # type: ignore[method-assign, assignment]
                target=target, terms=SimpleNamespace(version=None), hold=self.hold
            )
        )
        self.selector._cost = lambda choice: 0.0  # type: ignore[method-assign]
        call: Any = SimpleNamespace(model=MODEL)
        requirements = TargetRequirements(
            service, tried, max_hold=MAX_LIMIT_DELAY_SECONDS
        )
        return self.selector.choose(requirements, call)


def excluded_for(result: Any) -> dict[ExclusionReason, int]:
    assert isinstance(result, ExclusionSummary)
    return dict(result.counts)


def test_a_new_incarnation_does_not_hold_the_listed_version_of_the_earlier_one() -> (
    None
):
    """Its report arrives before its entry, and the loader then stops reporting."""
    listed = make_target(5)
    site = SelectorSite(listed)
    assert site.choose(set()).target == listed
    # The report is long outdated, so only the target list counts.
    long_ago = Seconds(-1000.0)
    site.loads.record_report(
        make_incarnation(7), make_status(7, version=0), long_ago, 1
    )
    assert excluded_for(site.choose(set())) == {ExclusionReason.WEIGHTS: 1}
    assert site.selector._held_version(MODEL, listed, NOW) is None


def test_a_stream_may_continue_at_the_next_incarnation_of_its_engine() -> None:
    """The same incarnation is excluded because it already received the request."""
    target = make_target(7)
    site = SelectorSite(target)
    tried = site.choose({make_incarnation(7)})
    assert excluded_for(tried) == {ExclusionReason.TRIED: 1}
    assert site.choose({make_incarnation(5)}).target == target


# The list.


def apply(*records: tuple[int, ListedTarget | None]) -> ListedTarget | None:
    """Return the listed entry of the engine after records, given with their offsets."""
    targets = TargetList()
    for offset, entry in records:
        targets.apply([TargetRecord(ENGINE, Offset(offset), entry)], NOW)
    return targets.targets.get(ENGINE)


def test_an_entry_of_an_earlier_incarnation_is_ignored() -> None:
    new, old = make_target(7), make_target(5)
    assert apply((1, new), (2, old)) == new
    assert apply((2, old), (1, new)) == new
    # Also after the removal of the new incarnation.
    assert apply((1, new), (2, None), (3, old)) is None
    assert apply((3, old), (2, None), (1, new)) is None


def test_a_snapshot_with_an_earlier_incarnation_keeps_the_new_one() -> None:
    targets = TargetList()
    targets.apply([TargetRecord(ENGINE, Offset(1), make_target(7))], NOW)
    targets.replace([TargetRecord(ENGINE, Offset(2), make_target(5))], NOW, Offset(3))
    assert targets.targets[ENGINE] == make_target(7)


def test_records_of_an_earlier_incarnation_from_another_process_are_ignored() -> None:
    """That process read the store while the earlier incarnation had written last."""
    view = ClusterView(Mock(), Mock(), PlatformRecordDecoder(), Mock(), 8.0)

    def apply_entry(offset: int, born: int, address: str) -> str:
        entry = {**TARGET_ENTRY, "address": address, "born": born}
        record = KeyedRecord(ENGINE, encode(entry), Offset(offset))
        confirmed_at = Seconds(monotonic())
        batch = RecordBatch([record], Offset(offset + 1), confirmed_at)
        view.apply(Topic.TARGETS, batch, whole=True)
        return view.targets.targets[ENGINE].address

    assert apply_entry(1, 7, "127.0.0.1:7") == "127.0.0.1:7"
    assert apply_entry(2, 5, "127.0.0.1:5") == "127.0.0.1:7"
    assert apply_entry(3, 9, "127.0.0.1:9") == "127.0.0.1:9"


def test_entries_without_a_start_are_ordered_by_offset() -> None:
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


class IncarnationsMachine(RuleBasedStateMachine):
    """Delivers records and reports of incarnations late, twice and out of order.

    The oracle keeps, for each engine, the latest incarnation that was delivered, the
    newest record and the newest report of that incarnation, and nothing of earlier
    incarnations.
    """

    names = (ENGINE, TargetId("i-1"))

    def __init__(self) -> None:
        super().__init__()
        self.list = TargetList()
        self.loads = KnownLoads()
        self.now = 100.0
        self.stream: list[TargetRecord] = []
        self.delivered: list[TargetRecord] = []
        self.reports: list[tuple[EngineIncarnation, EngineStatus, int]] = []
        self.latest: dict[TargetId, EngineIncarnation] = {}
        self.newest_reports: dict[
            TargetId, tuple[EngineIncarnation, EngineStatus, int]
        ] = {}

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
    def report(self, name: TargetId, started: EngineStart, active: int) -> None:
        """Report a load; a loader numbers reports across incarnations of its engine."""
        status = make_status(started, active=active)
        report = EngineIncarnation(name, started), status, len(self.reports) + 1
        self.reports.append(report)

    @precondition(lambda self: self.stream)
    @rule(data=st.data())
    def deliver_record(self, data: st.DataObject) -> None:
        record = data.draw(st.sampled_from(self.stream))
        self.list.apply([record], Seconds(self.now))
        self.delivered.append(record)
        if record.entry is not None:
            self.loads.latest(record.entry.incarnation)
            self.observe(record.entry.incarnation)

    @precondition(lambda self: self.reports)
    @rule(data=st.data())
    def deliver_report(self, data: st.DataObject) -> None:
        report = data.draw(st.sampled_from(self.reports))
        self.loads.record_report(report[0], report[1], Seconds(self.now), report[2])
        self.observe(report[0])
        newest = self.newest_reports.get(report[0].target)
        is_latest = self.latest[report[0].target] == report[0]
        if is_latest and (newest is None or report[2] > newest[2]):
            self.newest_reports[report[0].target] = report

    def observe(self, incarnation: EngineIncarnation) -> None:
        known = self.latest.get(incarnation.target)
        if known is None or known.precedes(incarnation):
            self.latest[incarnation.target] = incarnation
            self.newest_reports.pop(incarnation.target, None)

    def expected_entry(self, name: TargetId) -> ListedTarget | None:
        records = [record for record in self.delivered if record.target == name]
        entries = [record for record in records if record.entry is not None]
        starts = [r.entry.started or 0 for r in entries if r.entry is not None]
        newest = max(
            (r for r in entries if r.entry and r.entry.started == max(starts)),
            key=lambda record: record.offset,
            default=None,
        )
        removed_at = max((r.offset for r in records if r.entry is None), default=-1)
        return (
            newest.entry if newest is not None and newest.offset > removed_at else None
        )

    @invariant()
    def lists_the_latest_incarnations(self) -> None:
        for name in self.names:
            assert self.list.targets.get(name) == self.expected_entry(name)

    @invariant()
    def knows_the_loads_of_the_latest_incarnations(self) -> None:
        for name, latest in self.latest.items():
            report = self.newest_reports.get(name)
            assert self.loads.latest(latest) == latest
            assert self.loads.value_of(latest).status == (report[1] if report else None)


TestIncarnations = IncarnationsMachine.TestCase


# Limits.


@pytest.mark.parametrize("hold", [0.0, 5.0, inf])
def test_a_missing_target_is_not_treated_as_rate_limited(
    hold: float,
) -> None:
    """Otherwise clients retry at once while no engine has weights to serve."""
    target = make_target(5)
    site = SelectorSite(target, hold)
    choice = site.choose(set())
    if hold <= MAX_LIMIT_DELAY_SECONDS:
        assert (choice.target, choice.hold) == (target, hold)
    else:
        assert excluded_for(choice) == {ExclusionReason.RATE_LIMIT: 1}
    tried = site.choose({make_incarnation(5)})
    assert excluded_for(tried) == {ExclusionReason.TRIED: 1}
