"""Evidence of what crashes engines: what ran when they ended, and what was answered."""

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Iterable, Iterator

from ridgecourse.core.crash_reports import STRIKE_SECONDS, Suspect, SuspectKind
from ridgecourse.core.crash_verdicts import RULES
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.ids import RequestSignature, Seconds, Signature


class CrashEvidence:
    """What engines ran when they ended, and what they have answered.

    Attributes:
        suspects: Suspects with strikes, including those whose strikes are cleared.
        counts: Number of suspects of each kind.
        successes: Time of the last answer to each request and part.
        flights: Requests and parts of this gateway in flight, by engine.
    """

    def __init__(self) -> None:
        self.suspects: dict[Signature, Suspect] = {}
        self.counts: Counter[SuspectKind] = Counter()
        self.successes: dict[SuspectKind, OrderedDict[Signature, Seconds]] = (
            defaultdict(OrderedDict)
        )
        self.flights: dict[Signature, Counter[EngineIncarnation]] = {}

    def begin(self, signature: Signature, incarnation: EngineIncarnation) -> None:
        """Record that a request or a part is sent to an engine."""
        self.flights.setdefault(signature, Counter())[incarnation] += 1

    def finish(self, signature: Signature, incarnation: EngineIncarnation) -> None:
        """Record that a request or a part is no longer in flight at an engine."""
        flights = self.flights[signature]
        flights[incarnation] -= 1
        if not flights[incarnation]:
            del flights[incarnation]
        if not flights:
            del self.flights[signature]

    def record_end(
        self,
        signature: Signature,
        incarnation: EngineIncarnation,
        ended_at: Seconds,
        kind: SuspectKind = SuspectKind.REQUEST,
        carriers: Iterable[RequestSignature] = (),
    ) -> bool:
        """Record that an engine ended while it ran a suspect.

        Args:
            signature: Signature of the suspect.
            incarnation: Incarnation of the engine.
            ended_at: Time at which the engine ended.
            kind: What is suspected.
            carriers: For a part, the requests that had it.

        Returns:
            Whether the strikes of the suspect, including the cleared ones, have
            changed.
        """
        suspect = self.get_or_add(signature, kind)
        suspect.add_carriers(carriers)
        known_end = suspect.ends.get(incarnation)
        first_ended_at = ended_at if known_end is None else min(known_end, ended_at)
        suspect.ends[incarnation] = first_ended_at
        answered_at = self.successes[kind].get(signature)
        is_cleared = answered_at is not None and answered_at > first_ended_at
        if is_cleared and incarnation not in suspect.cleared:
            # This end is recorded only now, but the suspect has been answered since.
            suspect.cleared[incarnation] = first_ended_at
        elif known_end is not None:
            return False
        self.record_change(suspect, ended_at)
        return True

    def record_success(
        self,
        signature: Signature,
        now: Seconds,
        kind: SuspectKind = SuspectKind.REQUEST,
    ) -> bool:
        """Record that a request, or a request with a part, was answered.

        Returns:
            Whether the suspect had strikes, which the answer has cleared.
        """
        successes = self.successes[kind]
        successes[signature] = now
        successes.move_to_end(signature)
        if len(successes) > RULES[kind].max_answered:
            successes.popitem(last=False)
        suspect = self.suspects.get(signature)
        if suspect is None:
            return False
        suspect.was_answered = True
        if not suspect.strikes(now):
            return False
        suspect.cleared.update(suspect.ends)
        self.record_change(suspect, now)
        return True

    def get_or_add(self, signature: Signature, kind: SuspectKind) -> Suspect:
        """Return a suspect; a new one may replace the one with the fewest strikes."""
        if signature not in self.suspects:
            if self.counts[kind] >= RULES[kind].max_suspects:
                self._remove(min(self._of_kind(kind), key=self._retention_key))
            was_answered = signature in self.successes[kind]
            self.suspects[signature] = Suspect(kind, was_answered=was_answered)
            self.counts[kind] += 1
        return self.suspects[signature]

    def _of_kind(self, kind: SuspectKind) -> Iterator[Signature]:
        return (
            signature
            for signature, suspect in self.suspects.items()
            if suspect.kind is kind
        )

    def _retention_key(self, signature: Signature) -> tuple[int, Seconds]:
        """Return the sort key for dropping suspects; the lowest is dropped first.

        The key is the number of uncleared ends, then the time of the last change.
        """
        suspect = self.suspects[signature]
        return len(suspect.ends.keys() - suspect.cleared.keys()), suspect.changed_at

    def record_change(self, suspect: Suspect, now: Seconds) -> None:
        """Record that the strikes of a suspect changed."""
        suspect.changed_at = max(suspect.changed_at, now)

    def drop_expired(self, now: Seconds) -> None:
        """Drop expired strikes, and suspects without any."""
        for signature, suspect in list(self.suspects.items()):
            ends = {
                incarnation: ended_at
                for incarnation, ended_at in suspect.ends.items()
                if now - ended_at <= STRIKE_SECONDS
            }
            if ends:
                suspect.ends = ends
            else:
                self._remove(signature)

    def _remove(self, signature: Signature) -> None:
        suspect = self.suspects.pop(signature)
        self.counts[suspect.kind] -= 1
