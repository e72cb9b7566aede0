"""The delay of first events against their estimates, as one gateway measures it.

While engines switch their weights or are lost, the other engines are overloaded for
seconds. Load reports are 0.1 s old and do not include requests in transit, so the
estimates are about 0.2 s too short at such times. Too many requests are admitted, and
the queue they form does not shrink: nearly all answers are a little late, although the
engines could give most answers in time. The first events of the gateway's own requests
show the error within some tenths of a second, whatever its cause. Requests that would
be late with this error are refused.
"""

from collections import defaultdict
from math import exp

from ridgecourse.core.ids import Seconds, ServiceName
from ridgecourse.core.routes import AllowedRegions

MEMORY_SECONDS = 0.6
"""Time constant of the average: about the time in which a queue as long as the latency
objective grows or drains. Without observations the estimate decays with the same time
constant, so that a gateway that refuses all requests soon admits requests again."""
DEVIATION_SHARE = 0.5
"""Share of the mean deviation that is added to the mean, so that more than half of the
admitted requests are answered in time."""


class FirstEventDelay:
    """Averages the delay of first events against their estimates.

    Attributes:
        mean: Mean delay, in seconds.
        deviation: Mean absolute deviation of the delays from the mean, in seconds.
        weight: Total weight of the observations, which decays with time.
        observed_at: Time of the newest observation.
    """

    def __init__(self) -> None:
        self.mean = 0.0
        self.deviation = 0.0
        self.weight = 0.0
        self.observed_at = Seconds(0.0)

    def observe(self, delay: float, now: Seconds) -> None:
        """Record a delay.

        Args:
            delay: Seconds by which a first event was later than estimated; negative
                for an early one.
            now: Current time.
        """
        self.weight = self._decayed_weight(now) + 1.0
        self.observed_at = now
        sample_weight = 1.0 / self.weight
        self.deviation += sample_weight * (abs(delay - self.mean) - self.deviation)
        self.mean += sample_weight * (delay - self.mean)

    def expected_delay(self, now: Seconds) -> float:
        """Return the seconds to add to an estimate; never negative."""
        delay = self.mean + DEVIATION_SHARE * self.deviation
        return max(0.0, delay) * min(1.0, self._decayed_weight(now))

    def _decayed_weight(self, now: Seconds) -> float:
        return self.weight * exp(-max(0.0, now - self.observed_at) / MEMORY_SECONDS)


class FirstEventDelays:
    """The delays of the first events of each service.

    Requests that are restricted to regions have estimates of their own, since the
    engines of other regions say nothing about those that such a request may use.

    Attributes:
        delays: Delay by service and restriction.
    """

    def __init__(self) -> None:
        self.delays: dict[tuple[ServiceName, AllowedRegions], FirstEventDelay] = (
            defaultdict(FirstEventDelay)
        )

    def observe(
        self, service: ServiceName, regions: AllowedRegions, delay: float, now: Seconds
    ) -> None:
        """Record the delay of a first event.

        Args:
            service: The service.
            regions: Regions to which the request was restricted.
            delay: Seconds by which the first event was later than estimated; negative
                for an early one.
            now: Current time.
        """
        self.delays[service, None].observe(delay, now)
        if regions is not None:
            self.delays[service, regions].observe(delay, now)

    def expected_delay(
        self, service: ServiceName, regions: AllowedRegions, now: Seconds
    ) -> float:
        """Return the seconds to add to an estimate; never negative.

        Args:
            service: The service.
            regions: Regions to which the request is restricted.
            now: Current time.
        """
        return self.delays[service, regions].expected_delay(now)
