"""Detection of requests that crash engines, and the rules for sending such a request.

One request may crash each engine that starts to run it, and arrive several times per
second at any gateway. Seen from a gateway, all requests at a crashed engine are equally
suspect, and engines also end for other reasons. The rules are:

- Each request that was at an engine when the engine ended gets a strike for that
  incarnation of the engine.
- An answer from any engine clears a request of all its strikes.
- A request with strikes runs once at a time at this gateway. From the second strike on,
  the request runs only once among all gateways, and on an engine that runs no other
  request with strikes.
- A request with 3 strikes is blocked. Ends that a blocked request explains are no
  strikes against the other requests that were at the same engine.

Gateways exchange their records as ``CrashReport``. Applying a crash report is
idempotent and independent of the order, so reports may be lost, duplicated or late.
"""

from collections import Counter, OrderedDict
from collections.abc import Set
from enum import Enum
from itertools import groupby

from ridgecourse.core.crash_reports import (
    STRIKE_SECONDS,
    CrashReport,
    Suspect,
    Trial,
    report_ends,
)
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.ids import ProcessName, RequestSignature, Seconds

BLOCKING_STRIKES = 3
"""Strikes from which on a request is blocked. The end of 1 engine is a coincidence, and
a second end may be one; a third costs clients more than the request is worth."""
EXCLUSIVE_STRIKES = 2
"""Strikes from which on a request runs only once among all gateways."""
TRIAL_SECONDS = 2.0
"""Time for which another gateway is assumed to run a request without a further report:
a usual answer is complete by then."""
RANKING_INTERVAL_SECONDS = 1.0
"""Interval at which expired strikes are dropped."""
MAX_SUSPECTS = 256
"""Maximum number of suspected requests; those with the fewest strikes are dropped
first. The end of an engine is a strike against each of the requests at the engine, some
tens."""
MAX_SUCCESSES = 2048
"""Maximum number of requests remembered as answered: at 50 per second, those of the
last 40 s of a gateway."""


class SendDecision(Enum):
    """The decision whether a request may be sent.

    FREE: The request may be sent at once.
    WAIT: The request may be sent when its result at another engine is known.
    BLOCKED: The request must not be sent.
    """

    FREE = "free"
    WAIT = "wait"
    BLOCKED = "blocked"


class CrashSuspects:
    """The requests that may crash engines, as one gateway knows them.

    Attributes:
        suspects: Requests with strikes, including cleared ones.
        successes: Time of the last answer to each request.
        flights: Requests of this gateway in flight, by request and engine.
        blocked: Blocked requests with their strikes.
        counts: Number of strikes of each request that no blocked request explains.
        ranked_at: Time at which ``blocked`` and ``counts`` were computed; None if they
            are outdated.
    """

    def __init__(self) -> None:
        self.suspects: dict[RequestSignature, Suspect] = {}
        self.successes: OrderedDict[RequestSignature, Seconds] = OrderedDict()
        self.flights: dict[RequestSignature, Counter[EngineIncarnation]] = {}
        self.blocked: dict[RequestSignature, frozenset[EngineIncarnation]] = {}
        self.counts: dict[RequestSignature, int] = {}
        self.ranked_at: Seconds | None = None

    # Decisions.

    def check(self, signature: RequestSignature, now: Seconds) -> SendDecision:
        """Decide whether a request may be sent."""
        suspect = self.suspects.get(signature)
        if suspect is None:
            return SendDecision.FREE
        count = self.count_strikes(signature, now)
        if signature in self.blocked:
            return SendDecision.BLOCKED
        if count and signature in self.flights:
            return SendDecision.WAIT
        if count >= EXCLUSIVE_STRIKES and any(suspect.trial_incarnations(now)):
            return SendDecision.WAIT
        return SendDecision.FREE

    def count_strikes(self, signature: RequestSignature, now: Seconds) -> int:
        """Return the number of strikes of a request without another explanation.

        The strike of a request that is not blocked has another explanation if a blocked
        request was at the same engine.
        """
        self._rank_if_outdated(now)
        return self.counts.get(signature, 0)

    def find_blocked(self, now: Seconds) -> frozenset[RequestSignature]:
        """Return the blocked requests."""
        self._rank_if_outdated(now)
        return frozenset(self.blocked)

    def blocked_seconds(self, signature: RequestSignature, now: Seconds) -> float:
        """Return the seconds until a blocked request may be tried again."""
        self._rank_if_outdated(now)
        suspect = self.suspects[signature]
        ends = sorted(
            suspect.ends[incarnation] for incarnation in self.blocked[signature]
        )
        return max(0.0, ends[-BLOCKING_STRIKES] + STRIKE_SECONDS - now)

    def engines_to_avoid(
        self, signature: RequestSignature, now: Seconds
    ) -> Set[EngineIncarnation]:
        """Return the engines to which a request should not be sent.

        A request that crashes its engine fails the other requests at the engine. And 2
        requests with strikes on the same engine would both get the next strike.
        """
        if not self.suspects:
            return frozenset()
        min_strikes = (
            1
            if self.count_strikes(signature, now) >= EXCLUSIVE_STRIKES
            else EXCLUSIVE_STRIKES
        )
        incarnations: set[EngineIncarnation] = set()
        for other, suspect in self.suspects.items():
            if other != signature and self.counts[other] >= min_strikes:
                incarnations.update(self.flights.get(other, ()))
                incarnations.update(suspect.trial_incarnations(now))
        return incarnations

    # Events at this gateway.

    def begin(
        self, signature: RequestSignature, incarnation: EngineIncarnation
    ) -> None:
        """Record that a request is sent to an engine."""
        self.flights.setdefault(signature, Counter())[incarnation] += 1

    def finish(
        self, signature: RequestSignature, incarnation: EngineIncarnation
    ) -> None:
        """Record that a request has left an engine."""
        flights = self.flights[signature]
        flights[incarnation] -= 1
        if not flights[incarnation]:
            del flights[incarnation]
        if not flights:
            del self.flights[signature]

    def record_end(
        self,
        signature: RequestSignature,
        incarnation: EngineIncarnation,
        ended_at: Seconds,
    ) -> bool:
        """Record that an engine ended while it ran a request.

        Args:
            signature: Signature of the request.
            incarnation: Incarnation of the engine.
            ended_at: Time at which the engine ended.

        Returns:
            Whether the state of the request has changed.
        """
        suspect = self._get_or_add_suspect(signature)
        known_end = suspect.ends.get(incarnation)
        first_ended_at = ended_at if known_end is None else min(known_end, ended_at)
        suspect.ends[incarnation] = first_ended_at
        answered_at = self.successes.get(signature)
        is_cleared = answered_at is not None and answered_at > first_ended_at
        if is_cleared and incarnation not in suspect.cleared:
            # The report is late: the request has been answered after this end.
            suspect.cleared[incarnation] = first_ended_at
        elif known_end is not None:
            return False
        self._record_change(suspect, ended_at)
        return True

    def record_success(self, signature: RequestSignature, now: Seconds) -> bool:
        """Record that a request was answered.

        Returns:
            Whether the answer clears the request of strikes.
        """
        self.successes.pop(signature, None)
        self.successes[signature] = now
        if len(self.successes) > MAX_SUCCESSES:
            self.successes.popitem(last=False)
        suspect = self.suspects.get(signature)
        if suspect is None or not suspect.strikes(now):
            return False
        suspect.cleared.update(suspect.ends)
        self._record_change(suspect, now)
        return True

    # Exchange with other gateways.

    def make_report(self, signature: RequestSignature, now: Seconds) -> CrashReport:
        """Return the crash report on a request."""
        suspect = self.suspects[signature]
        is_exclusive = self.count_strikes(signature, now) >= EXCLUSIVE_STRIKES
        flights = self.flights.get(signature) if is_exclusive else None
        return CrashReport(
            signature,
            report_ends(suspect.ends, now),
            report_ends(suspect.cleared, now),
            next(iter(flights)) if flights else None,
        )

    def apply_report(
        self, news: CrashReport, sender: ProcessName, now: Seconds
    ) -> bool:
        """Apply a crash report of another gateway.

        Args:
            news: Crash report.
            sender: Process name of the other gateway.
            now: Current time.

        Returns:
            Whether the report has changed the ends or the cleared ends of the request.
        """
        ends = [end for end in news.ends if end.age <= STRIKE_SECONDS]
        if not ends:
            return False
        suspect = self._get_or_add_suspect(news.signature)
        if len(news.uncleared()) >= EXCLUSIVE_STRIKES:
            suspect.is_sent_to_all = True
        changes = [
            self.record_end(news.signature, end.incarnation, Seconds(now - end.age))
            for end in ends
        ]
        cleared = [
            end for end in news.cleared if end.incarnation not in suspect.cleared
        ]
        for end in cleared:
            suspect.cleared[end.incarnation] = Seconds(now - end.age)
        if news.trial is None:
            suspect.trials.pop(sender, None)
        else:
            suspect.trials[sender] = Trial(news.trial, Seconds(now + TRIAL_SECONDS))
        if not any(changes) and not cleared:
            return False
        self._record_change(suspect, now)
        return True

    def must_inform_all(self, signature: RequestSignature, now: Seconds) -> bool:
        """Check whether all gateways must be informed of a request from now on.

        A single strike is reported to a few gateways only, because the end of an engine
        is a strike against every request that ran there.
        """
        suspect = self.suspects[signature]
        if self.count_strikes(signature, now) >= EXCLUSIVE_STRIKES:
            suspect.is_sent_to_all = True
        return suspect.is_sent_to_all

    def has_more_strikes(self, news: CrashReport, now: Seconds) -> bool:
        """Check whether all gateways need more strikes than a crash report contains.

        Args:
            news: Crash report of another gateway.
            now: Current time.
        """
        count = self.count_strikes(news.signature, now)
        return count >= EXCLUSIVE_STRIKES and count > len(news.uncleared())

    def recently_changed(self, now: Seconds, span: float) -> list[RequestSignature]:
        """Return the requests that changed within a time span.

        Args:
            now: Current time.
            span: Length of the time span, in seconds.
        """
        return [
            signature
            for signature, suspect in self.suspects.items()
            if now - suspect.changed_at <= span
        ]

    def find_exclusive(self, now: Seconds) -> list[RequestSignature]:
        """Return the requests that are reported to other gateways at any age."""
        self._rank_if_outdated(now)
        return [
            signature
            for signature, count in self.counts.items()
            if count >= EXCLUSIVE_STRIKES
        ]

    # Internal helpers.

    def _get_or_add_suspect(self, signature: RequestSignature) -> Suspect:
        if signature not in self.suspects:
            while len(self.suspects) >= MAX_SUSPECTS:
                del self.suspects[min(self.suspects, key=self._retention_key)]
            self.suspects[signature] = Suspect()
        return self.suspects[signature]

    def _retention_key(self, signature: RequestSignature) -> tuple[int, Seconds]:
        """Return the sort key for dropping suspects: the lowest is dropped first."""
        suspect = self.suspects[signature]
        return len(suspect.ends.keys() - suspect.cleared.keys()), suspect.changed_at

    def _record_change(self, suspect: Suspect, now: Seconds) -> None:
        suspect.changed_at = max(suspect.changed_at, now)
        self.ranked_at = None

    def _rank_if_outdated(self, now: Seconds) -> None:
        """Compute the blocked requests after a change or when strikes may expire."""
        if self.ranked_at is None or now - self.ranked_at > RANKING_INTERVAL_SECONDS:
            self._drop_expired(now)
            self._rank(now)
            self.ranked_at = now

    def _drop_expired(self, now: Seconds) -> None:
        for signature, suspect in list(self.suspects.items()):
            ends = {
                incarnation: ended_at
                for incarnation, ended_at in suspect.ends.items()
                if now - ended_at <= STRIKE_SECONDS
            }
            if ends:
                suspect.ends = ends
            else:
                del self.suspects[signature]

    def _rank(self, now: Seconds) -> None:
        """Find the requests that explain the most ends, and the ends they explain.

        Requests with equally many strikes do not explain each other's strikes: each of
        them may be the culprit.
        """
        strikes_by_request = {
            signature: suspect.strikes(now)
            for signature, suspect in self.suspects.items()
        }
        candidates = {
            signature: strikes
            for signature, strikes in strikes_by_request.items()
            if len(strikes) >= BLOCKING_STRIKES
        }
        ordered = sorted(candidates, key=lambda signature: -len(candidates[signature]))
        blocked: dict[RequestSignature, frozenset[EngineIncarnation]] = {}
        explained: set[EngineIncarnation] = set()
        for _, names in groupby(
            ordered, key=lambda signature: len(candidates[signature])
        ):
            culprits = [
                signature
                for signature in names
                if len(candidates[signature] - explained) >= BLOCKING_STRIKES
            ]
            for signature in culprits:
                blocked[signature] = candidates[signature]
            for signature in culprits:
                explained.update(candidates[signature])
        self.blocked = blocked
        self.counts = {
            signature: len(strikes if signature in blocked else strikes - explained)
            for signature, strikes in strikes_by_request.items()
        }
