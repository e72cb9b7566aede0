"""What a gateway has seen of each target: failures, ejections, refusals, ways."""

from collections.abc import Container

from ridgecourse.core.engine_life import EngineLife
from ridgecourse.core.ids import Seconds, TargetId
from ridgecourse.core.recent_peak import RecentPeak

FAILURES_IN_A_ROW = 2
FIRST_EJECTION_SECONDS = 1.0
LONGEST_EJECTION_SECONDS = 8.0


class TargetState:
    """What this gateway has seen of one life of a target.

    Attributes:
        life: Which life.
        failures: Failures in a row.
        ejections: Times in a row that it was ejected.
        not_before: When it may be chosen again.
        ways: How long connections to it took to come up.
    """

    def __init__(self, life: EngineLife, ways: RecentPeak) -> None:
        self.life = life
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


class TargetStates:
    """What this gateway has seen of the targets' latest lives.

    Who waits for an answer of an earlier life holds on to that life's state: what
    becomes of it says nothing of the new life.
    """

    def __init__(self) -> None:
        self.states: dict[TargetId, TargetState] = {}

    def of(self, life: EngineLife) -> TargetState:
        """Return what was seen of the latest life of a target.

        Args:
            life: A life that was heard of; an earlier one stands for the latest.
        """
        known = self.states.get(life.target)
        if known is None:
            known = self.states[life.target] = TargetState(life, RecentPeak())
        elif known.life.is_before(life):
            # The way there is as long as it was.
            known = self.states[life.target] = TargetState(life, known.ways)
        known.life = known.life.join(life)
        return known

    def retain(self, listed: Container[TargetId]) -> None:
        """Drop what was seen of targets that are no longer listed."""
        for name in [name for name in self.states if name not in listed]:
            del self.states[name]
