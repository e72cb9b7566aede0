"""What a gateway has seen of each target: failures, ejections, refusals, ways."""

from collections.abc import Container

from ridgecourse.core.engine_life import EngineLife
from ridgecourse.core.ids import Seconds, TargetId
from ridgecourse.core.latest_lives import LatestLives
from ridgecourse.core.recent_peak import RecentPeak

FAILURES_IN_A_ROW = 2
FIRST_EJECTION_SECONDS = 1.0
LONGEST_EJECTION_SECONDS = 8.0
WAY_MEMORY_SECONDS = 8.0
"""Memory of the ways to a target: a link that was narrowed stays so for seconds."""
FADED_WAY_SECONDS = 0.005
"""A way that counts for less than this is forgotten."""


class TargetState:
    """What this gateway has seen of one life of a target.

    Attributes:
        failures: Failures in a row.
        ejections: Times in a row that it was ejected.
        not_before: When it may be chosen again.
        ways: How long connections to it took to come up.
    """

    def __init__(self, ways: RecentPeak) -> None:
        self.ways = ways
        self.failures = 0
        self.ejections = 0
        self.not_before = Seconds(0.0)

    def succeeded(self) -> None:
        """Take in a request that was served."""
        self.failures = 0
        self.ejections = 0

    def failed(self, now: Seconds) -> bool:
        """Take in a failure; tell whether the target is ejected by it."""
        self.failures += 1
        if self.failures < FAILURES_IN_A_ROW:
            return False
        span = FIRST_EJECTION_SECONDS * 2.0**self.ejections
        self.not_before = Seconds(now + min(LONGEST_EJECTION_SECONDS, span))
        self.ejections += 1
        self.failures = 0
        return True


class TargetStates(LatestLives[TargetState]):
    """What this gateway has seen of the targets' latest lives.

    Attributes:
        ways: Ways to targets, the same for all their lives.
    """

    def __init__(self) -> None:
        super().__init__(self._make)
        self.ways: dict[TargetId, RecentPeak] = {}

    def _make(self, life: EngineLife) -> TargetState:
        fresh = RecentPeak(WAY_MEMORY_SECONDS)
        return TargetState(self.ways.setdefault(life.target, fresh))

    def retain(self, listed: Container[TargetId], now: Seconds) -> None:
        """Drop what was seen of targets that are no longer listed.

        The ways to them stay until they have faded: a target behind a narrowed link
        lapses from the list and comes back, and requests were sent there as if the
        link were wide.
        """
        self.forget_unlisted(listed)
        for name in [name for name in self.ways if name not in self.lives]:
            if self.ways[name].expect(now) < FADED_WAY_SECONDS:
                del self.ways[name]
