"""Verdicts on suspects: which are blocked, and which run once at a time.

The end of an engine is a strike against all requests that ran there and against all
parts of their prompts, but usually one of these suspects ended the engine. A suspect
with more strikes is the better explanation of the ends that it shares with others:

- Suspects are considered in the order of their strikes, the most strikes first. With as
  many strikes, a part that several of the requests at these engines had, and that was
  never answered, comes first. Then come requests, and then all other parts, those
  without a known answer first.
- The ends that are strikes against a blocked suspect are attributed to it. They do not
  count against suspects that are considered later.
- The ends of a suspect that runs once at a time are no reason to run suspects once at a
  time that are considered later. They do count for a block.
- Suspects in the same place of this order explain nothing of each other: each of them
  may be the culprit.
"""

from abc import ABC, abstractmethod
from collections.abc import Collection, Mapping, Sequence
from enum import IntEnum
from itertools import groupby, pairwise
from typing import NamedTuple

from ridgecourse.core.crash_reports import (
    STRIKE_SECONDS,
    Suspect,
    SuspectKind,
    find_separate,
)
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.ids import Seconds, Signature

BLOCKING_STRIKES = 3
"""Number of strikes from which on a suspect is blocked. The end of 1 engine is taken
for a coincidence, and a second end may be one; a third end costs clients more than the
request is worth."""
FIRST_BLOCK_SECONDS = 60.0
"""Time after which a blocked part is tried for the first time: one request with the
part is sent, and its end decides."""
EXCLUSIVE_STRIKES = 2
"""Number of strikes from which on a suspect runs only once at a time among all
gateways."""

Incarnations = frozenset[EngineIncarnation]


class SuspectRules(ABC):
    """Which strikes hold back one kind of suspect.

    Attributes:
        max_suspects: Maximum number of suspects of this kind; those with the fewest
            strikes are dropped first.
        max_answered: Maximum number of suspects remembered as answered.
    """

    max_suspects: int
    max_answered: int

    @abstractmethod
    def count_strikes(self, ended_at: Collection[Seconds]) -> int:
        """Return the number of strikes by which a block is decided.

        Args:
            ended_at: When the engines ended.
        """

    @abstractmethod
    def blocking_strikes(self, suspect: Suspect) -> int:
        """Return the number of strikes from which on a suspect is blocked."""

    @abstractmethod
    def is_unexplained(self, ended_at: Collection[Seconds]) -> bool:
        """Check whether ends that no other suspect explains suffice for a block.

        Args:
            ended_at: When these engines ended.
        """

    @abstractmethod
    def is_exclusive(self, suspect: Suspect, unexplained: Collection[Seconds]) -> bool:
        """Check whether a suspect that is not blocked runs once among all gateways.

        Args:
            suspect: The suspect.
            unexplained: When the engines ended whose ends no other suspect explains.
        """

    @abstractmethod
    def block_seconds(self, suspect: Suspect, ended_at: Sequence[Seconds]) -> float:
        """Return for how long after its last strike a suspect is blocked at most.

        Args:
            suspect: The suspect.
            ended_at: When the engines ended, in order.
        """

    def has_enough_strikes(
        self, suspect: Suspect, ended_at: Collection[Seconds]
    ) -> bool:
        """Check whether the strikes of a suspect suffice for a block.

        Args:
            suspect: The suspect.
            ended_at: When the engines ended whose ends are its strikes.
        """
        return self.count_strikes(ended_at) >= self.blocking_strikes(suspect)

    def blocked_until(self, suspect: Suspect, strikes: Incarnations) -> Seconds:
        """Return when the block of a suspect ends by itself.

        Too few strikes may remain by then, or the suspect is tried again.

        Args:
            suspect: A suspect with enough strikes for a block.
            strikes: Engines whose ends are its strikes.
        """
        ended_at = sorted(suspect.ends[incarnation] for incarnation in strikes)
        lifting_end = next(
            at
            for place, at in enumerate(ended_at)
            if not self.has_enough_strikes(suspect, ended_at[place + 1 :])
        )
        return Seconds(
            min(
                lifting_end + STRIKE_SECONDS,
                ended_at[-1] + self.block_seconds(suspect, ended_at),
            )
        )

    def is_blocked(
        self,
        suspect: Suspect,
        strikes: Incarnations,
        attributed: Collection[EngineIncarnation],
        now: Seconds,
    ) -> bool:
        """Check whether a suspect is blocked.

        Args:
            suspect: The suspect.
            strikes: Engines whose ends are strikes against it.
            attributed: Engines whose ends blocked suspects with more strikes explain.
            now: Current time.
        """
        ended_at = [suspect.ends[incarnation] for incarnation in strikes]
        unexplained = [
            suspect.ends[incarnation]
            for incarnation in strikes
            if incarnation not in attributed
        ]
        return (
            self.has_enough_strikes(suspect, ended_at)
            and self.is_unexplained(unexplained)
            and now < self.blocked_until(suspect, strikes)
        )


class RequestRules(SuspectRules):
    """Rules for whole requests, each of which few clients send.

    Each end of an engine adds a strike to some tens of requests. At 50 requests per
    second, those of the last 40 s are remembered as answered.
    """

    max_suspects = 256
    max_answered = 2048

    def count_strikes(self, ended_at: Collection[Seconds]) -> int:
        """Count each end; see ``SuspectRules``."""
        return len(ended_at)

    def blocking_strikes(self, suspect: Suspect) -> int:
        """Return the same number for each request; see ``SuspectRules``."""
        return BLOCKING_STRIKES

    def is_unexplained(self, ended_at: Collection[Seconds]) -> bool:
        """Require one end; see ``SuspectRules``."""
        return bool(ended_at)

    def is_exclusive(self, suspect: Suspect, unexplained: Collection[Seconds]) -> bool:
        """Require two strikes; see ``SuspectRules``."""
        return len(unexplained) >= EXCLUSIVE_STRIKES

    def block_seconds(self, suspect: Suspect, ended_at: Sequence[Seconds]) -> float:
        """Return the time for which a strike counts; see ``SuspectRules``."""
        return STRIKE_SECONDS


class PartRules(SuspectRules):
    """Rules for parts of prompts, each of which may be in the requests of all clients.

    A part that has been answered once probably crashes no engine: it needs one strike
    more for a block, and is never run once at a time, which would hold back all clients
    that use it.
    """

    max_suspects = 1024
    max_answered = 4096

    def count_strikes(self, ended_at: Collection[Seconds]) -> int:
        """Count simultaneous ends once; see ``SuspectRules``."""
        return sum(1 for _ in find_separate(ended_at))

    def blocking_strikes(self, suspect: Suspect) -> int:
        """Return one more for a part with an answer; see ``SuspectRules``."""
        return BLOCKING_STRIKES + suspect.was_answered

    def is_unexplained(self, ended_at: Collection[Seconds]) -> bool:
        """Require two ends at different times; see ``SuspectRules``.

        Each end is a strike against many parts, so a single one is a coincidence.
        """
        return self.count_strikes(ended_at) >= EXCLUSIVE_STRIKES

    def is_exclusive(self, suspect: Suspect, unexplained: Collection[Seconds]) -> bool:
        """Require two strikes and no known answer; see ``SuspectRules``.

        A part with an answer is held back only to be tried again after a block.
        """
        if suspect.was_answered:
            return self.has_enough_strikes(suspect, unexplained)
        return len(unexplained) >= EXCLUSIVE_STRIKES

    def block_seconds(self, suspect: Suspect, ended_at: Sequence[Seconds]) -> float:
        """Return a shorter time before the first trial; see ``SuspectRules``.

        A block by mistake holds back all clients that use the part. The time is longer
        once an engine has ended in a trial.
        """
        was_tried = any(
            later - earlier >= FIRST_BLOCK_SECONDS
            and self.has_enough_strikes(suspect, ended_at[:place])
            for place, (earlier, later) in enumerate(pairwise(ended_at), start=1)
        )
        return STRIKE_SECONDS if was_tried else FIRST_BLOCK_SECONDS


RULES: Mapping[SuspectKind, SuspectRules] = {
    SuspectKind.REQUEST: RequestRules(),
    SuspectKind.PART: PartRules(),
}


class Verdicts(NamedTuple):
    """What follows from the strikes of all suspects.

    Attributes:
        blocked: Blocked suspects, each with the engines whose ends are its strikes.
        strike_counts: Number of strikes of each suspect, without the ends that are
            attributed to another, blocked suspect.
        exclusive: Suspects that run only once at a time among all gateways, blocked
            ones included, which may still be in flight.
    """

    blocked: dict[Signature, Incarnations]
    strike_counts: dict[Signature, int]
    exclusive: frozenset[Signature]


NO_VERDICTS = Verdicts({}, {}, frozenset())


class Place(IntEnum):
    """Order in which suspects with as many strikes are considered."""

    UNANSWERED_SHARED_PART = 0
    REQUEST = 1
    UNANSWERED_PART = 2
    ANSWERED_PART = 3


class Case(NamedTuple):
    """A suspect with its strikes.

    Attributes:
        signature: Signature of the suspect.
        suspect: The suspect.
        strikes: Engines whose ends are strikes against it.
    """

    signature: Signature
    suspect: Suspect
    strikes: Incarnations

    def ended_at(self, incarnations: Incarnations) -> list[Seconds]:
        """Return when some of these engines ended."""
        return [self.suspect.ends[incarnation] for incarnation in incarnations]

    def place(self) -> tuple[int, Place]:
        """Return the place in the order in which suspects are considered."""
        if self.suspect.kind is SuspectKind.REQUEST:
            place = Place.REQUEST
        elif self.suspect.was_answered:
            place = Place.ANSWERED_PART
        elif self.suspect.is_shared:
            place = Place.UNANSWERED_SHARED_PART
        else:
            place = Place.UNANSWERED_PART
        return -len(self.strikes), place


def judge(suspects: Mapping[Signature, Suspect], now: Seconds) -> Verdicts:
    """Return the verdicts on all suspects; the module describes the rules."""
    cases = [
        Case(signature, suspect, suspect.strikes(now))
        for signature, suspect in suspects.items()
    ]
    repeated = [case for case in cases if len(case.strikes) >= EXCLUSIVE_STRIKES]
    blocked: dict[Signature, Incarnations] = {}
    exclusive: set[Signature] = set()
    attributed: set[EngineIncarnation] = set()
    explained: set[EngineIncarnation] = set()
    for _, group in groupby(sorted(repeated, key=Case.place), key=Case.place):
        equals = list(group)
        culprits = [
            case
            for case in equals
            if RULES[case.suspect.kind].is_blocked(
                case.suspect, case.strikes, attributed, now
            )
        ]
        for case in culprits:
            blocked[case.signature] = case.strikes
            attributed.update(case.strikes)
        held = culprits + [
            case
            for case in equals
            if case.signature not in blocked
            and RULES[case.suspect.kind].is_exclusive(
                case.suspect, case.ended_at(case.strikes - attributed - explained)
            )
        ]
        for case in held:
            exclusive.add(case.signature)
            explained.update(case.strikes)
    strike_counts = {
        case.signature: len(
            case.strikes if case.signature in blocked else case.strikes - attributed
        )
        for case in cases
    }
    return Verdicts(blocked, strike_counts, frozenset(exclusive))
