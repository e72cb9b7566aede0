"""Detection of requests that crash engines, and the rules for sending such a request.

One request may crash each engine that starts to run it, and clients may send that
request several times per second, to any gateway. A gateway cannot see which of the
requests at an engine made it crash, and engines also end for other reasons. The rules
are:

- Each request that was at an engine when the engine ended gets a strike for that
  incarnation of the engine. A strike expires after ``STRIKE_SECONDS``.
- An answer from any engine clears a request of all strikes that it has so far.
- A request with strikes runs once at a time at this gateway. From the second strike on,
  the request runs only once at a time among all gateways, and on an engine that runs no
  other request with strikes. Such a run is called a trial.
- A request with 3 strikes is blocked: it is sent to no engine until enough strikes
  have expired. The end of an engine that ran a blocked request is attributed to that
  request, so it does not count as a strike against other requests at the same engine.
  A request is not blocked if requests with more strikes explain all of its strikes.

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
"""Number of strikes from which on a request is blocked. The end of 1 engine is taken
for a coincidence, and a second end may be one; a third end costs clients more than the
request is worth."""
EXCLUSIVE_STRIKES = 2
"""Number of strikes from which on a request runs only once at a time among all
gateways."""
TRIAL_SECONDS = 2.0
"""Time after a crash report for which the reporting gateway is assumed to run the
request on trial, unless it reports again: a usual answer is complete by then."""
EXPIRY_CHECK_INTERVAL_SECONDS = 1.0
"""Minimum interval between two checks for expired strikes while no strikes change."""
MAX_SUSPECTS = 256
"""Maximum number of suspected requests; those with the fewest strikes are dropped
first. Each end of an engine adds a strike to some tens of requests: all that were at
the engine."""
MAX_SUCCESSES = 2048
"""Maximum number of requests remembered as answered: at 50 per second, those of the
last 40 s of a gateway."""


class SendDecision(Enum):
    """The decision whether a request may be sent.

    FREE: The request may be sent at once.
    WAIT: The request is running on an engine already; it may be sent again when the
        result of that run is known.
    BLOCKED: The request must not be sent.
    """

    FREE = "free"
    WAIT = "wait"
    BLOCKED = "blocked"


class CrashSuspects:
    """The requests that may crash engines, as one gateway knows them.

    Attributes:
        suspects: Requests with strikes, including requests whose strikes are cleared.
        successes: Time of the last answer to each request.
        flights: Requests of this gateway in flight, by request and engine.
        blocked: Blocked requests, each with the engines whose ends are its strikes.
        strike_counts: Number of strikes of each suspected request, without the ends
            that are attributed to another, blocked request.
        computed_at: Time at which ``blocked`` and ``strike_counts`` were computed; None
            if they are outdated.
    """

    def __init__(self) -> None:
        self.suspects: dict[RequestSignature, Suspect] = {}
        self.successes: OrderedDict[RequestSignature, Seconds] = OrderedDict()
        self.flights: dict[RequestSignature, Counter[EngineIncarnation]] = {}
        self.blocked: dict[RequestSignature, frozenset[EngineIncarnation]] = {}
        self.strike_counts: dict[RequestSignature, int] = {}
        self.computed_at: Seconds | None = None

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
        """Return the number of strikes that count against a request.

        If the request is not blocked, the end of an engine does not count if it is
        attributed to a blocked request that was at the same engine.
        """
        self._recompute_if_outdated(now)
        return self.strike_counts.get(signature, 0)

    def find_blocked(self, now: Seconds) -> frozenset[RequestSignature]:
        """Return the requests that are currently blocked."""
        self._recompute_if_outdated(now)
        return frozenset(self.blocked)

    def blocked_seconds(self, signature: RequestSignature, now: Seconds) -> float:
        """Return the seconds until a blocked request may be sent again.

        This is when so many of its strikes have expired that fewer than
        ``BLOCKING_STRIKES`` remain.
        """
        self._recompute_if_outdated(now)
        suspect = self.suspects[signature]
        ends = sorted(
            suspect.ends[incarnation] for incarnation in self.blocked[signature]
        )
        return max(0.0, ends[-BLOCKING_STRIKES] + STRIKE_SECONDS - now)

    def engines_to_avoid(
        self, signature: RequestSignature, now: Seconds
    ) -> Set[EngineIncarnation]:
        """Return the engines to which a request should not be sent.

        A request with at least ``EXCLUSIVE_STRIKES`` strikes avoids the engines that
        run another request with any strikes: 2 requests with strikes on the same engine
        would both get a strike if the engine ended. Any other request avoids the
        engines that run a request with at least ``EXCLUSIVE_STRIKES`` strikes: if that
        request crashes the engine, the other requests at the engine fail.
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
            if other != signature and self.strike_counts[other] >= min_strikes:
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
        """Record that a request is no longer in flight at an engine."""
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
            Whether the strikes of the request, including the cleared ones, have
            changed.
        """
        suspect = self._get_or_add_suspect(signature)
        known_end = suspect.ends.get(incarnation)
        first_ended_at = ended_at if known_end is None else min(known_end, ended_at)
        suspect.ends[incarnation] = first_ended_at
        answered_at = self.successes.get(signature)
        is_cleared = answered_at is not None and answered_at > first_ended_at
        if is_cleared and incarnation not in suspect.cleared:
            # This end is recorded only now, but the request has been answered since.
            suspect.cleared[incarnation] = first_ended_at
        elif known_end is not None:
            return False
        self._record_change(suspect, ended_at)
        return True

    def record_success(self, signature: RequestSignature, now: Seconds) -> bool:
        """Record that a request was answered.

        Returns:
            Whether the request had strikes, which the answer has cleared.
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
        """Return this gateway's crash report on a suspected request.

        From ``EXCLUSIVE_STRIKES`` strikes on, the report also contains the engine on
        which this gateway runs the request, so that no other gateway sends it.
        """
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
        self, report: CrashReport, sender: ProcessName, now: Seconds
    ) -> bool:
        """Apply a crash report of another gateway.

        Args:
            report: Crash report.
            sender: Process name of the other gateway.
            now: Current time.

        Returns:
            Whether the report has changed the ends or the cleared ends of the request.
        """
        ends = [end for end in report.ends if end.age <= STRIKE_SECONDS]
        if not ends:
            return False
        suspect = self._get_or_add_suspect(report.signature)
        if len(report.uncleared()) >= EXCLUSIVE_STRIKES:
            suspect.is_sent_to_all = True
        changes = [
            self.record_end(report.signature, end.incarnation, Seconds(now - end.age))
            for end in ends
        ]
        cleared = [
            end for end in report.cleared if end.incarnation not in suspect.cleared
        ]
        for end in cleared:
            suspect.cleared[end.incarnation] = Seconds(now - end.age)
        if report.trial is None:
            suspect.trials.pop(sender, None)
        else:
            suspect.trials[sender] = Trial(report.trial, Seconds(now + TRIAL_SECONDS))
        if not any(changes) and not cleared:
            return False
        self._record_change(suspect, now)
        return True

    def must_inform_all(self, signature: RequestSignature, now: Seconds) -> bool:
        """Check whether the reports on a request go to all gateways.

        This is so from ``EXCLUSIVE_STRIKES`` strikes on; it is recorded and stays so
        when strikes are cleared. A single strike is reported to a few gateways only,
        because the end of an engine is a strike against every request that ran there.
        """
        suspect = self.suspects[signature]
        if self.count_strikes(signature, now) >= EXCLUSIVE_STRIKES:
            suspect.is_sent_to_all = True
        return suspect.is_sent_to_all

    def has_more_strikes(self, report: CrashReport, now: Seconds) -> bool:
        """Check whether this gateway must report more strikes than another one did.

        This is so if the request has at least ``EXCLUSIVE_STRIKES`` strikes here, of
        which all gateways must know, and more than the other gateway's report contains.

        Args:
            report: Crash report of another gateway.
            now: Current time.
        """
        count = self.count_strikes(report.signature, now)
        return count >= EXCLUSIVE_STRIKES and count > len(report.uncleared())

    def recently_changed(self, now: Seconds, span: float) -> list[RequestSignature]:
        """Return the requests whose strikes changed within the last ``span`` seconds.

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
        """Return the requests that run only once at a time among all gateways.

        Other gateways need the reports on these requests even if the strikes have not
        changed for a long time.
        """
        self._recompute_if_outdated(now)
        return [
            signature
            for signature, count in self.strike_counts.items()
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
        """Return the sort key for dropping suspects; the lowest is dropped first.

        The key is the number of uncleared ends, then the time of the last change.
        """
        suspect = self.suspects[signature]
        return len(suspect.ends.keys() - suspect.cleared.keys()), suspect.changed_at

    def _record_change(self, suspect: Suspect, now: Seconds) -> None:
        suspect.changed_at = max(suspect.changed_at, now)
        self.computed_at = None

    def _recompute_if_outdated(self, now: Seconds) -> None:
        """Recompute the blocked requests after a change or when strikes may expire."""
        if (
            self.computed_at is None
            or now - self.computed_at > EXPIRY_CHECK_INTERVAL_SECONDS
        ):
            self._drop_expired(now)
            self._recompute(now)
            self.computed_at = now

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

    def _recompute(self, now: Seconds) -> None:
        """Compute the blocked requests and the strikes that count against each request.

        Requests are considered in the order of their strikes, the most strikes first.
        An end that is a strike against a blocked request is attributed to it, and does
        not count for requests with fewer strikes. Between requests with equally many
        strikes nothing is attributed: each of them may be the culprit. A request with
        a strike that is not attributed is blocked as well: no request with more
        strikes explains it.
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
        attributed: set[EngineIncarnation] = set()
        for _, signatures in groupby(
            ordered, key=lambda signature: len(candidates[signature])
        ):
            culprits = [
                signature
                for signature in signatures
                if not candidates[signature] <= attributed
            ]
            for signature in culprits:
                blocked[signature] = candidates[signature]
            for signature in culprits:
                attributed.update(candidates[signature])
        self.blocked = blocked
        self.strike_counts = {
            signature: len(strikes if signature in blocked else strikes - attributed)
            for signature, strikes in strikes_by_request.items()
        }
