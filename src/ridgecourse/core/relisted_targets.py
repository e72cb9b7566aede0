"""What is known of earlier entries of targets, and when one that is back may be used.

A heartbeat that is held up on its way to the store lists a target again that has left.
The store makes no record of a heartbeat that changes nothing, so that the last known
sequence may be far below that of the heartbeat. What tells the two apart is how far the
sequence of a running target has come meanwhile, and what the target itself answers.
"""

from collections.abc import Iterator
from enum import Enum

from msgspec import Struct

from ridgecourse.core.ids import EngineStart, Seconds, TargetId

DEFAULT_HEARTBEAT_SECONDS = 1.2
"""Usual interval between two heartbeats of a target where the settings name none."""
MISSED_HEARTBEATS = 3
"""Heartbeats after which the platform removes a target that writes none."""
REMOVAL_SECONDS = 1.5
"""Time within which such a removal is known."""
RATE_TOLERANCE = 0.05
"""Share by which the rate of heartbeats may differ from the usual one."""
COUNT_TOLERANCE = 1.0
"""Heartbeats by which an estimated sequence may be wrong, as records are read late."""
FIRST_ANSWER_SECONDS = 0.4
"""Time for which a target is held until it has been asked for its health."""
HOLD_SECONDS = 0.8
"""Time for which a target is held while nothing shows that it runs. Live targets are to
be used 2 s after their return; their entries are read up to 0.7 s late, and they are
released up to 0.25 s late."""
LINGER_SECONDS = 2.0
"""Time beyond the drain bound for which a target that leaves may accept requests."""


class EntryTiming(Enum):
    """When the entry was written that lists a target again, as its sequence shows.

    CURRENT: After the removal.
    UNCLEAR: The sequence does not show it.
    HELD_UP: Seconds before the entry was read.
    """

    CURRENT = "current"
    UNCLEAR = "unclear"
    HELD_UP = "held-up"


class HealthAnswer(Enum):
    """What a target answers when it is asked for its health.

    HEALTHY: It runs and does not leave.
    UNHEALTHY: It leaves or has failed, or another process has its address.
    UNREACHABLE: Nothing accepts connections at its address.
    UNKNOWN: It gave no usable answer.
    """

    HEALTHY = "healthy"
    UNHEALTHY = "unhealthy"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


class KnownSequence(Struct, frozen=True):
    """The highest sequence of a target that is known.

    Attributes:
        sequence: The sequence; 0 for none.
        read_at: Time at which its entry was read.
        is_recent: Whether the entry was read soon after it was written.
    """

    sequence: int = 0
    read_at: Seconds = Seconds(0.0)
    is_recent: bool = False


class TargetHistory(Struct):
    """What the records say about one target, listed or not.

    Attributes:
        started: Start of the latest incarnation; None if no start was reported.
        known: Highest sequence of the entries of the latest incarnation.
        listed_offset: Offset of the newest applied entry. The entry of a later
            incarnation may have a lower offset.
        removed_offset: Offset of the newest removal.
        leaving_offset: Offset of the newest entry of the latest incarnation that says
            that it leaves.
        earlier_offset: Offset of the newest record of an era before that of the listed
            entry, without entries that are copies from an era before their own.
        is_copied: Whether the listed entry may be such a copy.
        removed_at: Time by which the target was dropped after its removal; None if it
            is listed, or was never listed.
    """

    started: EngineStart | None = None
    known: KnownSequence = KnownSequence()
    listed_offset: int = -1
    removed_offset: int = -1
    leaving_offset: int = -1
    earlier_offset: int = -1
    is_copied: bool = False
    removed_at: Seconds | None = None


class RelistingEntry(Struct, frozen=True):
    """An entry that lists a target again after its removal.

    Attributes:
        sequence: Sequence of the entry; 0 if the target does not number them.
        read_at: Time at which the entry was read.
        known: The highest sequence that was known before.
    """

    sequence: int
    read_at: Seconds
    known: KnownSequence


class HeldTarget(Struct):
    """A target that was listed again, and may not be used yet.

    Attributes:
        timing: When its entry was written.
        listed_at: Time at which the entry was read.
        removed_at: Time at which the removal of the target was read.
        answer: The last answer of the target; None before the first.
    """

    timing: EntryTiming
    listed_at: Seconds
    removed_at: Seconds
    answer: HealthAnswer | None = None


class RelistedTargets:
    """The targets that were listed again and are held.

    Attributes:
        heartbeat_seconds: Usual interval between two heartbeats of a target.
        drain_seconds: Time for which a target that leaves still accepts requests.
        held: The targets that may not be used yet.
    """

    def __init__(self) -> None:
        self.heartbeat_seconds = DEFAULT_HEARTBEAT_SECONDS
        self.drain_seconds = 2.0
        self.held: dict[TargetId, HeldTarget] = {}

    def add(self, target: TargetId, entry: RelistingEntry, removed_at: Seconds) -> None:
        """Hold a target that was listed again, unless its entry is current.

        Args:
            target: The target.
            entry: The entry that lists it again.
            removed_at: Time at which the removal of the target was read.
        """
        timing = classify_entry(entry, removed_at, self.heartbeat_seconds)
        if timing is not EntryTiming.CURRENT:
            self.held[target] = HeldTarget(timing, entry.read_at, removed_at)

    def drop(self, target: TargetId) -> None:
        """Forget a target that is not listed any more."""
        self.held.pop(target, None)

    def record_answer(self, target: TargetId, answer: HealthAnswer) -> None:
        """Record what a target answered when it was asked for its health."""
        if target in self.held:
            self.held[target].answer = answer

    def release_due(self, now: Seconds) -> Iterator[TargetId]:
        """Release and yield the targets that may be used from now on."""
        for target, held in list(self.held.items()):
            if self._held_until(held) <= now:
                del self.held[target]
                yield target

    def _held_until(self, held: HeldTarget) -> float:
        """Return until when a target is held, by what is known of it."""
        heartbeats_end = held.listed_at + MISSED_HEARTBEATS * self.heartbeat_seconds
        removal_due = heartbeats_end + REMOVAL_SECONDS
        if held.answer in (HealthAnswer.UNHEALTHY, HealthAnswer.UNREACHABLE):
            return removal_due
        is_held_up = held.timing is EntryTiming.HELD_UP
        if held.answer is HealthAnswer.HEALTHY and not is_held_up:
            return held.listed_at
        left_at = held.removed_at + self.drain_seconds + LINGER_SECONDS
        if is_held_up and held.answer is not HealthAnswer.HEALTHY:
            end = min(removal_due, left_at)
        else:
            end = min(held.listed_at + HOLD_SECONDS, left_at)
        if held.answer is None:
            return max(end, held.listed_at + FIRST_ANSWER_SECONDS)
        return end


def classify_entry(
    entry: RelistingEntry, removed_at: Seconds, heartbeat_seconds: float
) -> EntryTiming:
    """Return when an entry was written that lists a target again.

    Args:
        entry: The entry.
        removed_at: Time at which the removal of the target was read.
        heartbeat_seconds: Usual interval between two heartbeats.
    """
    if not entry.sequence:
        # The target does not number its heartbeats; all its entries count as current.
        return EntryTiming.CURRENT
    known = entry.known
    if entry.sequence == known.sequence:
        return EntryTiming.UNCLEAR
    heartbeats = (entry.read_at - known.read_at) / heartbeat_seconds
    heartbeats_removed = (removed_at - known.read_at) / heartbeat_seconds
    tolerance = COUNT_TOLERANCE + RATE_TOLERANCE * heartbeats
    passed = entry.sequence - known.sequence
    if known.is_recent and passed > heartbeats_removed + tolerance:
        return EntryTiming.CURRENT
    if passed < heartbeats - COUNT_TOLERANCE - tolerance:
        return EntryTiming.HELD_UP
    return EntryTiming.UNCLEAR
