"""Retry control: when refused clients may retry, and how many retries a gateway makes.

Operators allow in any window, over all gateways, ``ratio`` retries for each request and
``slack`` retries more. Requests are counted by the gateway that receives them, so that
each gateway spends the retries that its own requests earn. The slack is divided: in no
window may a gateway spend more than its share of it beyond what it has earned there.

A gateway that starts may follow one that has just spent the same share. It therefore
spends only what it earns itself until a window has passed. Then any window has, for
each place of a gateway, the share of a single process, however often it starts.
"""

from random import Random

from msgspec import Struct

from ridgecourse.core.eligibility import ExclusionReason, ExclusionSummary
from ridgecourse.core.ids import Seconds, ServiceName
from ridgecourse.core.recent_peak import SlidingMaximum
from ridgecourse.core.routes import Service

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
TOLERANCE = 1e-9
"""Rounding error of sums of ratios: ten tenths must allow one retry."""


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


class ColdRefusals:
    """When refused clients may retry while all engines of a service are cold.

    The refused requests of each service need a time at the limit of its cold engines;
    their retries are spread over this time.

    Attributes:
        random: Spreads the retries.
        served_at: Time at which the requests that were refused so far could have been
            served, at this gateway's share of the limit.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.served_at: dict[ServiceName, Seconds] = {}

    def retry_delay(
        self,
        service: Service,
        summary: ExclusionSummary,
        gateways: int,
        remaining: float,
        now: Seconds,
    ) -> float | None:
        """Record a refusal, and return the seconds after which the client may retry.

        Retries are spread evenly over the time that the refused requests need. This
        time ends at the longest delay for which clients wait.

        Args:
            service: The service.
            summary: Why no target is eligible.
            gateways: Number of gateways that share the limit.
            remaining: Seconds until the client gives up.
            now: Current time.

        Returns:
            The delay; None if no target is excluded because it is cold.
        """
        cold_count = summary.counts[ExclusionReason.COLD]
        if not cold_count or not service.cold_per_s:
            return None
        own_rate = cold_count * service.cold_per_s / max(1, gateways)
        longest = max(0.0, remaining * TIMEOUT_SHARE)
        known = max(now, self.served_at.get(service.name, now))
        served_at = Seconds(min(known + 1.0 / own_rate, now + longest))
        self.served_at[service.name] = served_at
        next_turn = summary.seconds_left(now) or 0.0
        earliest = max(MIN_RETRY_DELAY_SECONDS, next_turn)
        spread = max(0.0, min(served_at - now, longest - earliest))
        return earliest + spread * self.random.random()


class RetryTerms(Struct, frozen=True):
    """What a gateway may spend at present.

    Attributes:
        share: Retries in a window beyond those that requests have earned.
        window_seconds: Length of the window.
        may_use_share: Whether the share is usable. Otherwise it only bounds the earned
            retries that may accumulate.
    """

    share: float
    window_seconds: float
    may_use_share: bool


class RetryBudget:
    """Retries that one gateway may still make for one service.

    The balance falls in no window by more than the share. In any window, the retries
    are therefore at most those that its requests have earned, and the share.

    Attributes:
        balance: Retries earned by requests, less those made, since the start.
        former_balances: Balances before each retry.
    """

    def __init__(self) -> None:
        self.balance = 0.0
        self.former_balances = SlidingMaximum()

    def record_request(self, ratio: float) -> None:
        """Record a new request, which earns ``ratio`` retries."""
        self.balance += ratio

    def available(self, terms: RetryTerms, now: Seconds) -> float:
        """Return the number of retries allowed at present; negative if overdrawn."""
        since = Seconds(now - terms.window_seconds)
        highest = self.former_balances.maximum(self.balance, since)
        available = terms.share - (highest - self.balance)
        return available if terms.may_use_share else min(available, self.balance)

    def allows_retry(self, terms: RetryTerms, now: Seconds) -> bool:
        """Check whether a retry may be made at present."""
        return self.available(terms, now) >= 1.0 - TOLERANCE

    def spend_retry(self, terms: RetryTerms, now: Seconds) -> bool:
        """Spend one retry; return whether the budget allowed one."""
        if not self.allows_retry(terms, now):
            return False
        self.record_retry(now)
        return True

    def record_retry(self, now: Seconds) -> None:
        """Record a retry that the budget allowed."""
        self.former_balances.record(self.balance, now)
        self.balance -= 1.0
