"""Which targets a request may go to, and why the others are excluded.

Guards against a constraint that is skipped, evaluated without need, or missing in the
reasons of a refusal, and against a summary that names a later time than the first one.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ridgecourse.core.eligibility import (
    Constraint,
    Eligibility,
    Exclusion,
    ExclusionReason,
    ExclusionSummary,
    TargetRequirements,
)
from ridgecourse.core.ids import DomainName, Seconds, ServiceName, TargetId
from ridgecourse.core.routes import Service
from ridgecourse.core.target_list import ListedTarget
from ridgecourse.gateway.constraints import make_eligibility

NOW = Seconds(100.0)
SERVICE = Service(ServiceName("app"), 64, "/healthz", None)
REQUEST = TargetRequirements(SERVICE)
TIMES = st.none() | st.floats(0.0, 1000.0).map(Seconds)
EXCLUSIONS = st.builds(Exclusion, st.sampled_from(ExclusionReason), TIMES)


def make_target(name: str, domain: str = "a") -> ListedTarget:
    return ListedTarget(
        target=TargetId(name),
        service=SERVICE.name,
        address="127.0.0.1:1",
        domain=DomainName(domain),
        slots=16,
        leaving=False,
        models={},
        layers=None,
    )


class TableConstraint(Constraint):
    """Excludes the targets of a table and counts the checks."""

    def __init__(
        self, excluded: dict[str, Exclusion], active: bool = True, at_send: bool = True
    ) -> None:
        self.excluded = excluded
        self.active = active
        self.checked_at_send = at_send
        self.checks = 0

    def is_active(self, request: TargetRequirements) -> bool:
        return self.active

    def check(
        self, request: TargetRequirements, target: ListedTarget, now: Seconds
    ) -> Exclusion | None:
        self.checks += 1
        return self.excluded.get(target.target)


def evaluate(
    constraints: Sequence[Constraint], targets: Iterable[ListedTarget]
) -> tuple[list[str], ExclusionSummary]:
    summary = ExclusionSummary()
    eligible = Eligibility(constraints).eligible(REQUEST, targets, NOW, summary)
    return [target.target for target in eligible], summary


@given(
    st.lists(
        st.dictionaries(st.sampled_from("abcd"), EXCLUSIONS), min_size=1, max_size=3
    ),
    st.data(),
)
def test_eligible_targets_and_reasons_match_an_oracle(
    tables: list[dict[str, Exclusion]], data: st.DataObject
) -> None:
    active = [data.draw(st.booleans()) for _ in tables]
    constraints = [
        TableConstraint(table, is_active)
        for table, is_active in zip(tables, active, strict=True)
    ]
    eligible, summary = evaluate(constraints, map(make_target, "abcd"))
    in_force = [
        table for table, is_active in zip(tables, active, strict=True) if is_active
    ]
    first = {
        name: next((table[name] for table in in_force if name in table), None)
        for name in "abcd"
    }
    assert eligible == [name for name in "abcd" if first[name] is None]
    excluded = [exclusion for exclusion in first.values() if exclusion is not None]
    assert summary.counts == Counter(exclusion.reason for exclusion in excluded)
    known = [exclusion.until for exclusion in excluded if exclusion.until is not None]
    assert summary.until == min(known, default=None)
    for constraint, is_active in zip(constraints, active, strict=True):
        assert is_active or constraint.checks == 0


def test_summary_names_reasons_with_counts_and_seconds() -> None:
    rest = Exclusion(ExclusionReason.REST, Seconds(103.0))
    region = Exclusion(ExclusionReason.REGION)
    _, summary = evaluate(
        [TableConstraint({"a": rest, "b": region, "c": region})],
        map(make_target, "abc"),
    )
    assert str(summary) == "no eligible target: region 2, rest 1"
    assert summary.counts_by_name() == {"region": 2, "rest": 1}
    assert summary.seconds_left(NOW) == 3.0
    assert summary.seconds_left(Seconds(104.0)) == 0.0
    assert ExclusionSummary().seconds_left(NOW) is None
    assert str(ExclusionSummary()) == "no target"


def test_only_constraints_for_the_send_are_checked_again() -> None:
    tried = Exclusion(ExclusionReason.TRIED)
    region = Exclusion(ExclusionReason.REGION)
    target = make_target("a")
    at_choice = TableConstraint({"a": tried}, at_send=False)
    for_send = TableConstraint({"a": region})
    eligibility = Eligibility([at_choice, for_send])
    assert eligibility.check_send(REQUEST, target, NOW) == region
    for_send.excluded.clear()
    assert eligibility.check_send(REQUEST, target, NOW) is None
    assert at_choice.checks == 0


def test_no_constraint_is_evaluated_that_nothing_calls_for() -> None:
    """Without limits, announcements and weights, the choice costs no checks."""
    announcements: Any = SimpleNamespace(
        has_announcements=lambda: False,
        limit_watch=SimpleNamespace(has_limits=lambda: False),
    )
    watcher: Any = SimpleNamespace(incarnation=pytest.fail, load=pytest.fail)
    site: Any = SimpleNamespace(regions={})
    eligibility = make_eligibility(site, watcher, announcements)
    target = make_target("a")
    summary = ExclusionSummary()
    assert list(eligibility.eligible(REQUEST, [target], NOW, summary)) == [target]
    assert eligibility.check_send(REQUEST, target, NOW) is None
