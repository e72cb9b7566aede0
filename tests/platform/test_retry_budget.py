"""The retries of all gateways together stay within the budget set by operators."""

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


class RetryBudgetMachine(RuleBasedStateMachine):
    """Retry budgets of gateways that start one after another.

    The oracle counts the requests and retries of every interval of the history.
    """

    def __init__(self) -> None:
        super().__init__()
        self.budgets: list[RetryBudget] = []
        self.history: list[bool] = []

    def ceiling_per_gateway(self) -> float:
        return SLACK / max(MIN_GATEWAYS, len(self.budgets))

    @initialize(count=st.integers(1, 40))
    def create_budgets(self, count: int) -> None:
        self.budgets = [RetryBudget(RATIO, 0.0) for _ in range(count)]
        for budget in self.budgets:
            budget.set_ceiling(self.ceiling_per_gateway())
            budget.balance = budget.ceiling

    @precondition(lambda self: len(self.budgets) < 60)
    @rule()
    def add_gateway(self) -> None:
        """Add a gateway; every gateway recomputes its ceiling, the new one included."""
        self.budgets.append(RetryBudget(RATIO, 0.0))
        for budget in self.budgets:
            budget.set_ceiling(self.ceiling_per_gateway())

    @rule(index=st.integers(0, 59), count=st.integers(1, 30))
    def record_requests(self, index: int, count: int) -> None:
        for _ in range(count):
            self.budgets[index % len(self.budgets)].record_request()
            self.history.append(False)

    @rule(index=st.integers(0, 59), count=st.integers(1, 30))
    def spend_retries(self, index: int, count: int) -> None:
        for _ in range(count):
            if self.budgets[index % len(self.budgets)].spend_retry():
                self.history.append(True)

    @invariant()
    def every_interval_is_within_the_slack(self) -> None:
        """Check that no interval has more excess retries than the slack."""
        excess = minimum_excess = 0.0
        for is_retry in self.history:
            excess += 1.0 if is_retry else -RATIO
            minimum_excess = min(minimum_excess, excess)
            assert excess - minimum_excess <= SLACK + 1e-6


TestRetryBudgets = RetryBudgetMachine.TestCase
