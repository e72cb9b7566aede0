"""Retry control: when refused clients may retry, and how many retries a gateway makes.

The retry budget keeps the retries to a fraction of the new requests.
"""

from random import Random

MIN_RETRY_DELAY_SECONDS = 0.25
"""Shortest time after which a refused client may retry: about the time in which an
engine frees a slot or the list of targets is read again."""
EXCESS_FACTOR = 5.0
"""Seconds after which a client may retry, for each second by which its wait was too
long. While engines switch their weights or restart together, waits at the other engines
are about 0.3 s too long for about 2 s; clients that retried sooner were refused
again."""
TIMEOUT_SHARE = 0.32
"""Largest share of its remaining time that a client is asked to wait: clients wait for
up to a third of their time, less the network delay of the answer."""
JITTER_SHARE = 0.3
"""Share by which retries are randomly brought forward, so that clients do not retry at
the same time."""


def retry_delay_seconds(
    excess: float | None, remaining: float, random: Random
) -> float:
    """Return the seconds after which a refused client may retry.

    Args:
        excess: Seconds by which the wait would have been too long; None if no
            target can serve the request.
        remaining: Seconds until the client gives up.
        random: Random number generator for the jitter.
    """
    longest = remaining * TIMEOUT_SHARE
    delay = longest if excess is None else EXCESS_FACTOR * excess
    jitter = 1.0 - JITTER_SHARE * random.random()
    return max(MIN_RETRY_DELAY_SECONDS, min(longest, delay) * jitter)


def return_delay_seconds(rest: float, random: Random) -> float:
    """Return the seconds after which a client may retry while all targets rest.

    Args:
        rest: Seconds until the first target takes requests again.
        random: Random number generator for the jitter, which spreads the clients.
    """
    spread = max(MIN_RETRY_DELAY_SECONDS, JITTER_SHARE * rest)
    return rest + spread * random.random()


class RetryBudget:
    """A token bucket that is filled by new requests and drained by retries.

    Attributes:
        ratio: Retries allowed for each new request.
        ceiling: Maximum number of retries that may accumulate.
        balance: Number of retries allowed at present.
    """

    def __init__(self, ratio: float = 0.1, ceiling: float = 10.0) -> None:
        self.ratio = ratio
        self.ceiling = ceiling
        self.balance = ceiling

    def record_request(self) -> None:
        """Record a new request, which adds to the budget."""
        self.balance = min(self.ceiling, self.balance + self.ratio)

    def set_ceiling(self, ceiling: float) -> None:
        """Set the maximum number of retries that may accumulate."""
        self.ceiling = ceiling
        self.balance = min(self.balance, ceiling)

    def spend_retry(self) -> bool:
        """Spend one retry; return whether the budget allowed one."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
