"""Retry budget: retries stay a fraction of fresh requests."""


class RetryBudget:
    """A token bucket that fresh requests fill and retries drain.

    Attributes:
        ratio: Retries allowed for each fresh request.
        ceiling: Most retries that may be saved up.
        balance: Retries allowed now.
    """

    def __init__(self, ratio: float = 0.1, ceiling: float = 10.0) -> None:
        self.ratio = ratio
        self.ceiling = ceiling
        self.balance = ceiling

    def record_request(self) -> None:
        """Count a fresh request."""
        self.balance = min(self.ceiling, self.balance + self.ratio)

    def take_retry(self) -> bool:
        """Spend one retry if the budget has one."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
