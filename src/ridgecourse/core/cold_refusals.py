"""When refused clients may retry while all engines of a service are cold."""

from random import Random

from ridgecourse.core.eligibility import ExclusionReason, ExclusionSummary
from ridgecourse.core.ids import Seconds, ServiceName
from ridgecourse.core.retry import MIN_RETRY_DELAY_SECONDS, TIMEOUT_SHARE
from ridgecourse.core.routes import Service


class ColdRefusals:
    """The time that the refused requests of each service need at its limit.

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
