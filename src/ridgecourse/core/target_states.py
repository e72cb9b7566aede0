"""Health of targets as one gateway observes it: failures, ejections, network delays.

A target that fails repeatedly is ejected for some time. The delays of recent
connections to a target are remembered across restarts of the target.
"""

from collections.abc import Container

from ridgecourse.core.engine_incarnation import EngineIncarnation, LatestIncarnations
from ridgecourse.core.ids import Seconds, TargetId
from ridgecourse.core.recent_peak import RecentPeak

FAILURES_IN_A_ROW = 2
FIRST_EJECTION_SECONDS = 1.0
LONGEST_EJECTION_SECONDS = 8.0
DELAY_MEMORY_SECONDS = 8.0
"""Decay time of the network delays to a target: a link whose bandwidth has dropped
stays slow for seconds."""
NEGLIGIBLE_DELAY_SECONDS = 0.005
"""A network delay that has decayed to less than this is dropped."""


class TargetHealth:
    """Health of one incarnation of a target as this gateway observes it.

    Attributes:
        failures: Number of consecutive failures.
        ejections: Number of ejections since the last success.
        not_before: Time at which the target may be chosen again.
        network_delays: Recent times to establish a connection to the target.
    """

    def __init__(self, network_delays: RecentPeak) -> None:
        self.network_delays = network_delays
        self.failures = 0
        self.ejections = 0
        self.not_before = Seconds(0.0)

    def record_success(self) -> None:
        """Record a request that the target served."""
        self.failures = 0
        self.ejections = 0

    def record_failure(self, now: Seconds) -> bool:
        """Record a failure; return whether the failure ejects the target."""
        self.failures += 1
        if self.failures < FAILURES_IN_A_ROW:
            return False
        ejection_seconds = FIRST_EJECTION_SECONDS * 2.0**self.ejections
        self.not_before = Seconds(now + min(LONGEST_EJECTION_SECONDS, ejection_seconds))
        self.ejections += 1
        self.failures = 0
        return True


class TargetHealthTable(LatestIncarnations[TargetHealth]):
    """Health of the latest incarnation of each target as this gateway observes it.

    Attributes:
        network_delays: Network delay to each target, shared by all its incarnations.
    """

    def __init__(self) -> None:
        super().__init__(self._make)
        self.network_delays: dict[TargetId, RecentPeak] = {}

    def _make(self, incarnation: EngineIncarnation) -> TargetHealth:
        new_peak = RecentPeak(DELAY_MEMORY_SECONDS)
        return TargetHealth(
            self.network_delays.setdefault(incarnation.target, new_peak)
        )

    def retain(self, listed: Container[TargetId], now: Seconds) -> None:
        """Drop the states of targets that are not listed.

        Their network delays are kept until they have decayed. A target behind a link
        with reduced bandwidth may drop out of the list and return; without its
        delays, requests would be sent to it as if the link were fast.
        """
        self.forget_unlisted(listed)
        for target in [
            target for target in self.network_delays if target not in self.incarnations
        ]:
            if self.network_delays[target].decayed_peak(now) < NEGLIGIBLE_DELAY_SECONDS:
                del self.network_delays[target]
