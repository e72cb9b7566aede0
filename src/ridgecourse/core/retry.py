"""Retry budget: retries stay a fraction of fresh requests."""

from random import Random

SHORTEST_COME_BACK_SECONDS = 0.25
"""After which a refused caller may come back: about the time in which an engine
frees a slot or a list of targets is read again."""
EXCESS_FACTOR = 5.0
"""Seconds after which a caller may come back for each second by which its wait was
too long. Engines that change weights or restart together leave the others with some
0.3 s too much for about 2 s; who came back sooner was refused again."""
PATIENCE_SHARE = 0.32
"""Share of its time for which a caller waits as told: a third, less the way back."""
SPREAD = 0.3
"""Share by which callers' returns are spread, so that they don't come together."""


def come_back_seconds(excess: float | None, left: float, random: Random) -> float:
    """Return after how many seconds a refused caller may come back.

    Args:
        excess: Seconds by which its wait would have been too long; None where no
            target can serve at all.
        left: Seconds that the caller has left.
        random: Source of the spread.
    """
    longest = left * PATIENCE_SHARE
    wanted = longest if excess is None else EXCESS_FACTOR * excess
    spread = 1.0 - SPREAD * random.random()
    return max(SHORTEST_COME_BACK_SECONDS, min(longest, wanted) * spread)


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

    def limit(self, ceiling: float) -> None:
        """Let no more than so many retries be saved up from now on."""
        self.ceiling = ceiling
        self.balance = min(self.balance, ceiling)

    def take_retry(self) -> bool:
        """Spend one retry if the budget has one."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
