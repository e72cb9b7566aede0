"""Evidence against requests, and parts of prompts, that may crash engines.

One request may crash each engine that starts to run it, and clients may send that
request several times per second, to any gateway. Or one part of a prompt may crash each
engine that begins to answer it, in requests of which no two are alike. A gateway cannot
see which of the requests at an engine made it crash, and engines also end for other
reasons. The rules are:

- Each request that was at an engine when the engine ended gets a strike for that
  incarnation of the engine, and so does each part of its prompt that other requests may
  share. A strike expires after ``STRIKE_SECONDS``.
- An answer from any engine clears a request of all strikes that it has so far, and the
  parts of its prompt.
- A request with strikes runs once at a time at this gateway. From the second strike on,
  a suspect runs only once at a time among all gateways, and on an engine that runs no
  other such suspect. Such a run is called a trial. For a part this holds only if no
  answer to it is known.
- From the third strike on, a suspect is blocked: it is sent to no engine until enough
  strikes have expired. A part with a known answer needs a strike more.

``crash_verdicts`` decides which suspects are held back. Gateways exchange their records
as ``CrashReport``. Applying a crash report is idempotent and independent of the order,
so reports may be lost, duplicated or late.
"""

from collections.abc import Collection, Iterable, Set
from enum import Enum

from ridgecourse.core.crash_evidence import CrashEvidence
from ridgecourse.core.crash_reports import (
    STRIKE_SECONDS,
    CrashReport,
    Suspect,
    SuspectKind,
    Trial,
    report_ends,
)
from ridgecourse.core.crash_verdicts import (
    EXCLUSIVE_STRIKES,
    NO_VERDICTS,
    RULES,
    Incarnations,
    Verdicts,
    judge,
)
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.ids import ProcessName, Seconds, Signature

TRIAL_SECONDS = 2.0
"""Time after a crash report for which the reporting gateway is assumed to run the
suspect on trial, unless it reports again: a usual answer is complete by then."""
EXPIRY_CHECK_INTERVAL_SECONDS = 1.0
"""Minimum interval between two checks for expired strikes while no strikes change."""


class SendDecision(Enum):
    """The decision whether a suspect may be sent.

    FREE: The suspect may be sent at once.
    WAIT: The suspect is running on an engine already; it may be sent again when the
        result of that run is known.
    BLOCKED: The suspect must not be sent.
    """

    FREE = "free"
    WAIT = "wait"
    BLOCKED = "blocked"


class CrashSuspects(CrashEvidence):
    """The requests and parts that may crash engines, as one gateway knows them.

    Attributes:
        verdicts: The verdicts at ``judged_at``.
        judged_at: Time at which the verdicts were computed; None if they are outdated.
    """

    def __init__(self) -> None:
        super().__init__()
        self.verdicts = NO_VERDICTS
        self.judged_at: Seconds | None = None

    # Decisions.

    def check(self, signature: Signature, now: Seconds) -> SendDecision:
        """Decide whether a suspect may be sent."""
        suspect = self.suspects.get(signature)
        if suspect is None:
            return SendDecision.FREE
        verdicts = self._current_verdicts(now)
        if signature in verdicts.blocked:
            return SendDecision.BLOCKED
        is_request = suspect.kind is SuspectKind.REQUEST
        if is_request and self.count_strikes(signature, now):
            if signature in self.flights:
                return SendDecision.WAIT
        if signature in verdicts.exclusive and (
            signature in self.flights or any(suspect.trial_incarnations(now))
        ):
            return SendDecision.WAIT
        return SendDecision.FREE

    def may_write(
        self, signatures: Iterable[Signature], process: ProcessName, now: Seconds
    ) -> bool:
        """Check whether a request in flight may still be written to its engine.

        Other gateways may have reported since that one of the suspects is blocked, or
        that they began a trial of it in the same instant. Of these gateways the first
        by name goes on.

        Args:
            signatures: Signatures of the request and of its parts.
            process: Name of this gateway.
            now: Current time.
        """
        if not self.suspects:
            return True
        verdicts = self._current_verdicts(now)
        return not any(
            signature in verdicts.blocked
            or self.suspects[signature].is_tried_before(process, now)
            for signature in signatures
            if signature in verdicts.exclusive
        )

    def count_strikes(self, signature: Signature, now: Seconds) -> int:
        """Return the number of strikes that count against a suspect.

        If the suspect is not blocked, the end of an engine does not count if it is
        attributed to a blocked suspect that was at the same engine.
        """
        if signature not in self.suspects:
            return 0
        return self._current_verdicts(now).strike_counts.get(signature, 0)

    def find_blocked(self, now: Seconds) -> frozenset[Signature]:
        """Return the suspects that are currently blocked."""
        return frozenset(self._current_verdicts(now).blocked)

    def is_exclusive(self, signature: Signature, now: Seconds) -> bool:
        """Check whether a suspect runs only once at a time among all gateways."""
        if signature not in self.suspects:
            return False
        return signature in self._current_verdicts(now).exclusive

    def blocking_strikes(self, signature: Signature, now: Seconds) -> Incarnations:
        """Return the engines whose ends block a suspect."""
        return self._current_verdicts(now).blocked[signature]

    def blocked_seconds(self, signature: Signature, now: Seconds) -> float:
        """Return the seconds until a blocked suspect may be sent again."""
        strikes = self.blocking_strikes(signature, now)
        suspect = self.suspects[signature]
        until = RULES[suspect.kind].blocked_until(suspect, strikes)
        return max(0.0, until - now)

    def engines_to_avoid(
        self, signatures: Collection[Signature], now: Seconds
    ) -> Set[EngineIncarnation]:
        """Return the engines to which a request should not be sent.

        A request on trial avoids the engines that run another request with any strikes:
        2 requests with strikes on the same engine would both get a strike if the engine
        ended. Any other request avoids the engines that run a suspect on trial: if that
        suspect crashes the engine, the other requests at the engine fail.

        Args:
            signatures: Signatures of the request and of its parts.
            now: Current time.
        """
        if not self.suspects:
            return frozenset()
        verdicts = self._current_verdicts(now)
        others = set(verdicts.exclusive)
        if not verdicts.exclusive.isdisjoint(signatures):
            others.update(
                signature
                for signature, count in verdicts.strike_counts.items()
                if count and self.suspects[signature].kind is SuspectKind.REQUEST
            )
        incarnations: set[EngineIncarnation] = set()
        for other in others.difference(signatures):
            incarnations.update(self.flights.get(other, ()))
            incarnations.update(self.suspects[other].trial_incarnations(now))
        return incarnations

    # Exchange with other gateways.

    def make_report(self, signature: Signature, now: Seconds) -> CrashReport:
        """Return this gateway's crash report on a suspect.

        On a suspect that runs only once at a time among all gateways, the report also
        contains the engine on which this gateway runs the suspect, so that no other
        gateway sends it.
        """
        suspect = self.suspects[signature]
        is_exclusive = self.is_exclusive(signature, now)
        flights = self.flights.get(signature) if is_exclusive else None
        return CrashReport(
            signature,
            report_ends(suspect.ends, now),
            report_ends(suspect.cleared, now),
            next(iter(flights)) if flights else None,
            suspect.kind,
            suspect.was_answered,
            tuple(sorted(suspect.carriers)),
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
            Whether the report has changed the ends or the cleared ends of the suspect.
        """
        ends = [end for end in report.ends if end.age <= STRIKE_SECONDS]
        if not ends:
            return False
        suspect = self.get_or_add(report.signature, report.kind)
        previous_place = suspect.was_answered, suspect.is_shared
        suspect.was_answered |= report.was_answered
        suspect.add_carriers(report.carriers)
        if (suspect.was_answered, suspect.is_shared) != previous_place:
            self.judged_at = None
        if len(report.uncleared()) >= EXCLUSIVE_STRIKES:
            suspect.is_sent_to_all = True
        changes = [
            self.record_end(
                report.signature,
                end.incarnation,
                Seconds(now - end.age),
                suspect.kind,
            )
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
        self.record_change(suspect, now)
        return True

    def must_inform_all(self, signature: Signature, now: Seconds) -> bool:
        """Check whether the reports on a suspect go to all gateways.

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

        This is so if the suspect has at least ``EXCLUSIVE_STRIKES`` strikes here, of
        which all gateways must know, and more than the other gateway's report contains.

        Args:
            report: Crash report of another gateway.
            now: Current time.
        """
        count = self.count_strikes(report.signature, now)
        return count >= EXCLUSIVE_STRIKES and count > len(report.uncleared())

    def recently_changed(self, now: Seconds, span: float) -> list[Signature]:
        """Return the suspects whose strikes changed within the last ``span`` seconds.

        Args:
            now: Current time.
            span: Length of the time span, in seconds.
        """
        return [
            signature
            for signature, suspect in self.suspects.items()
            if now - suspect.changed_at <= span
        ]

    def find_repeated(self, now: Seconds) -> list[Signature]:
        """Return the suspects with at least ``EXCLUSIVE_STRIKES`` strikes.

        Other gateways need the reports on these suspects even if the strikes have not
        changed for a long time.
        """
        return [
            signature
            for signature, count in self._current_verdicts(now).strike_counts.items()
            if count >= EXCLUSIVE_STRIKES
        ]

    def record_change(self, suspect: Suspect, now: Seconds) -> None:
        """Record that the strikes of a suspect changed; see ``CrashEvidence``."""
        super().record_change(suspect, now)
        self.judged_at = None

    def _current_verdicts(self, now: Seconds) -> Verdicts:
        """Return the verdicts, computed anew if they are outdated."""
        if (
            self.judged_at is None
            or now - self.judged_at > EXPIRY_CHECK_INTERVAL_SECONDS
        ):
            self.drop_expired(now)
            self.verdicts = judge(self.suspects, now)
            self.judged_at = now
        return self.verdicts
