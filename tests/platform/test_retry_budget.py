"""Retries of all gateways together stay within what the operators allow."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from ridgecourse.core.retry import RetryBudget
from ridgecourse.gateway.dispatcher import MIN_GATEWAYS

RATIO = 0.2
SLACK = 100.0


class RetryBudgets(RuleBasedStateMachine):
    """The oracle counts requests and retries over every span of the history."""

    def __init__(self) -> None:
        super().__init__()
        self.budgets: list[RetryBudget] = []
        self.history: list[bool] = []

    def share(self) -> float:
        return SLACK / max(MIN_GATEWAYS, len(self.budgets))

    @initialize(count=st.integers(1, 40))
    def begin(self, count: int) -> None:
        self.budgets = [RetryBudget(RATIO, 0.0) for _ in range(count)]
        for budget in self.budgets:
            budget.set_ceiling(self.share())
            budget.balance = budget.ceiling

    @precondition(lambda self: len(self.budgets) < 60)
    @rule()
    def join(self) -> None:
        """Another gateway comes; all learn of it, and it begins with its share."""
        self.budgets.append(RetryBudget(RATIO, 0.0))
        for budget in self.budgets:
            budget.set_ceiling(self.share())

    @rule(index=st.integers(0, 59), count=st.integers(1, 30))
    def request(self, index: int, count: int) -> None:
        for _ in range(count):
            self.budgets[index % len(self.budgets)].record_request()
            self.history.append(False)

    @rule(index=st.integers(0, 59), count=st.integers(1, 30))
    def retry(self, index: int, count: int) -> None:
        for _ in range(count):
            if self.budgets[index % len(self.budgets)].spend_retry():
                self.history.append(True)

    @invariant()
    def every_span_is_within_the_bound(self) -> None:
        """The excess of retries over their ratio never grows by more than the slack."""
        excess = lowest = 0.0
        for is_retry in self.history:
            excess += 1.0 if is_retry else -RATIO
            lowest = min(lowest, excess)
            assert excess - lowest <= SLACK + 1e-6


TestRetryBudgets = RetryBudgets.TestCase
