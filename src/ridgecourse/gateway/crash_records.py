"""Keep the records of suspects in step with other gateways and the store."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from ridgecourse.core.crash_reports import CrashReport
from ridgecourse.core.crash_suspects import CrashSuspects
from ridgecourse.core.ids import ProcessName, Signature
from ridgecourse.core.site import Site
from ridgecourse.gateway.blocked_suspects import BlockedSuspectStore
from ridgecourse.gateway.crash_gossip import (
    CrashGossip,
    CrashReportState,
    RecentReports,
)
from ridgecourse.gateway.gateway_link import GatewayLink
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_source import RecordSource, SourceUnavailable
from ridgecourse.net.threads import Broadcast
from ridgecourse.wire.control import CrashReports

MAX_OBSERVED = 1024
STRIKE_RESEND_SECONDS = 0.6
"""How long a strike is sent again to the key owners of its suspect. 2 repetitions are
enough at a datagram loss of 1 in 30."""
STORE_PROCESS = ProcessName("")
"""Sender recorded for reports that were read from the store."""


class CrashRecords(CrashReportState):
    """The records of suspects at this gateway, shared with the other gateways.

    Attributes:
        process: Name of this gateway.
        events: Receives events and metrics.
        store: Persists blocked suspects.
        suspects: The records.
        observed: Suspects under which this gateway saw engines end.
        blocked: Suspects whose block was reported as an event.
        stored: Suspects whose records this gateway has written to the store.
        changed: Notified when the decision on a suspect may have changed.
        gossip: Exchanges crash reports with other gateways.
    """

    def __init__(
        self,
        site: Site,
        events: EventStream,
        link: GatewayLink,
        store: RecordSource,
    ) -> None:
        self.process = site.process
        self.events = events
        self.store = BlockedSuspectStore(store, events)
        self.suspects = CrashSuspects()
        self.observed: OrderedDict[Signature, None] = OrderedDict()
        self.blocked: frozenset[Signature] = frozenset()
        self.stored: set[Signature] = set()
        self.changed = Broadcast()
        self.gossip = CrashGossip(self, link, site.first_start)

    def start(self) -> None:
        """Start to write blocked suspects and to exchange crash reports."""
        self.store.start()
        self.gossip.start()

    def close(self) -> None:
        """Stop the threads."""
        self.gossip.close()
        self.store.close()

    # What this gateway observes.

    def record_strikes(self, signatures: Sequence[Signature]) -> None:
        """Report suspects with new strikes, and store those that are blocked now."""
        for signature in signatures:
            self.observed[signature] = None
            if len(self.observed) > MAX_OBSERVED:
                self.observed.popitem(last=False)
        self.send_reports(signatures)
        self._store_blocked(self._update_blocked(self.process))

    def record_cleared(self, signature: Signature) -> None:
        """Report that an answer cleared a suspect."""
        if signature in self.blocked or signature in self.stored:
            self._remove_stored(signature)
        self.send_reports([signature])
        self.changed.notify()

    def _store_blocked(self, signatures: Iterable[Signature]) -> None:
        for report in self._make_reports(signatures):
            self.stored.add(report.signature)
            self.store.add(report)

    def _remove_stored(self, signature: Signature) -> None:
        self.stored.discard(signature)
        self.store.remove(signature)

    def _update_blocked(self, reporter: ProcessName) -> frozenset[Signature]:
        """Update the blocked suspects; emit events for new ones and return these.

        Args:
            reporter: Gateway whose observation or report may have blocked suspects.
        """
        now = boottime()
        previous, self.blocked = self.blocked, self.suspects.find_blocked(now)
        for signature in list(self.stored):
            if not self.suspects.count_strikes(signature, now):
                self._remove_stored(signature)
        for signature in self.blocked - previous:
            ends = self.suspects.blocking_strikes(signature, now)
            self.events.emit(
                EventKind.REQUEST_BLOCKED,
                signature=signature.hex(),
                suspect=self.suspects.suspects[signature].kind.value,
                reporter=reporter,
                ends=sorted(incarnation.target for incarnation in ends),
            )
        self.changed.notify()
        return self.blocked - previous

    # Other gateways.

    def send_reports(self, signatures: Iterable[Signature]) -> None:
        """Send the report of each suspect to all gateways or to its key owners."""
        now = boottime()
        for_all: list[CrashReport] = []
        for_owners: list[CrashReport] = []
        for report in self._make_reports(signatures):
            is_for_all = self.suspects.must_inform_all(report.signature, now)
            (for_all if is_for_all else for_owners).append(report)
        self.gossip.send_to_all(for_all)
        self.gossip.send_to_owners(for_owners)

    def _make_reports(self, signatures: Iterable[Signature]) -> Sequence[CrashReport]:
        now = boottime()
        return [
            self.suspects.make_report(signature, now)
            for signature in signatures
            if signature in self.suspects.suspects
        ]

    def recent_reports(self, window: float) -> RecentReports:
        """Return the reports changed within ``window`` s; see ``CrashReportState``."""
        now = boottime()
        recent = self.suspects.recently_changed(now, window)
        for_all = [
            signature
            for signature in recent
            if self.suspects.must_inform_all(signature, now)
        ]
        recent = self.suspects.recently_changed(now, min(window, STRIKE_RESEND_SECONDS))
        observed = [
            signature
            for signature in recent
            if signature in self.observed and signature not in for_all
        ]
        return RecentReports(self._make_reports(for_all), self._make_reports(observed))

    def persistent_reports(self) -> Sequence[CrashReport]:
        """Return all reports that other gateways need; see ``CrashReportState``."""
        return self._make_reports(self.suspects.find_repeated(boottime()))

    def load_stored(self) -> bool:
        """Apply the reports in the store; see ``CrashReportState``."""
        try:
            stored = self.store.read()
        except SourceUnavailable as error:
            self.events.emit(EventKind.LOG_LOST, topic="blocked", error=str(error))
            return False
        for report in stored:
            if report.has_expired():
                self._remove_stored(report.signature)
            self.suspects.apply_report(report, STORE_PROCESS, boottime())
        self._update_blocked(STORE_PROCESS)
        return True

    def restore_blocked(self) -> None:
        """Write the blocked suspects again, which the store may have lost."""
        self._store_blocked(self.blocked)

    def apply_reports(self, news: CrashReports) -> None:
        """Apply the reports of another gateway; see ``CrashReportState``."""
        now = boottime()
        completed: list[Signature] = []
        for report in news.suspects:
            is_new = self.suspects.apply_report(report, news.process, now)
            if is_new and self.suspects.has_more_strikes(report, now):
                completed.append(report.signature)
        self.send_reports(completed)
        if news.suspects:
            # The reports may also end a trial at another gateway.
            blocked = self._update_blocked(news.process)
            self._store_blocked(blocked.intersection(completed))
