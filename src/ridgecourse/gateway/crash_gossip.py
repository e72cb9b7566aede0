"""Gossip between gateways about suspects: requests and parts that may crash engines.

A strike of a suspect is the end of an engine while it ran the suspect, unless another
explanation is known. A crash report with a single strike is sent only to the key
owners, the few gateways that collect the strikes of that suspect. From the second
strike on, a report is sent to all known gateways at once.

Since datagrams get lost, recent reports are sent again: those for all gateways to a
random sample of them, the others to the key owners. Persistent reports, those with at
least two strikes, are also sent at any age, each time to one random gateway, so that a
failure domain that was partitioned receives them. The traffic is proportional to the
number of engine crashes; without crashes there is none but the queries of starting
gateways and the answers to them.
"""

from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

import eventlet

from ridgecourse.core.crash_reports import CrashReport
from ridgecourse.core.ids import Seconds
from ridgecourse.gateway.gateway_link import GatewayLink
from ridgecourse.net.address import Address, parse_address
from ridgecourse.net.clock import boottime
from ridgecourse.net.datagrams import MAX_DATAGRAM_BYTES
from ridgecourse.net.threads import Broadcast, kill_threads, spawn_loop
from ridgecourse.wire.codec import encode_message
from ridgecourse.wire.control import CrashQuery, CrashReports

RESEND_INTERVAL_SECONDS = 0.25
"""Mean interval between two transmissions of the recent reports."""
RESEND_WINDOW_SECONDS = 2.0
"""How long after its last change a report is recent and is sent again. Each gateway
that has a report for all gateways forwards it to ``FANOUT`` others every
``RESEND_INTERVAL_SECONDS``, which reaches hundreds of gateways in half of this time."""
FANOUT = 3
"""Number of random gateways that receive a resent report or a query."""
PERSISTENT_INTERVAL_SECONDS = 1.0
"""Shortest interval between two transmissions of the persistent reports, each to one
gateway."""
QUERY_INTERVAL_SECONDS = 0.15
"""Interval between two queries of a starting gateway while its readiness waits."""
STORE_FALLBACK_SECONDS = 0.3
"""How long a starting gateway queries other gateways before it reads the store. Other
gateways answer within some milliseconds."""
MAX_SYNC_SECONDS = 1.0
"""Longest time that a starting gateway waits for the current crash reports before it is
ready; the gateway then serves requests without them."""
STORE_READ_INTERVAL_SECONDS = 1.0
"""Shortest interval between two attempts to read the store, and the interval between
two queries once the gateway is ready without the current crash reports."""
HEADER_BYTES = 100
"""Bytes reserved in a datagram for the message without its reports."""


class RecentReports(NamedTuple):
    """Crash reports that changed recently.

    Attributes:
        for_all: Reports for all gateways.
        for_owners: Reports for the key owners only: all other reports on crashes that
            this gateway observed itself.
    """

    for_all: Sequence[CrashReport]
    for_owners: Sequence[CrashReport]


class CrashReportState(ABC):
    """The crash reports known to this gateway, updated from others and the store."""

    @abstractmethod
    def recent_reports(self, window: float) -> RecentReports:
        """Return the reports that changed within the last ``window`` seconds."""

    @abstractmethod
    def persistent_reports(self) -> Sequence[CrashReport]:
        """Return the reports with at least two strikes, whatever their age.

        Every gateway needs these reports.
        """

    @abstractmethod
    def load_stored(self) -> bool:
        """Apply the reports in the store; return whether the store could be read."""

    @abstractmethod
    def apply_reports(self, news: CrashReports) -> None:
        """Apply the reports of another gateway."""


class CrashGossip:
    """Sends and receives crash reports.

    Attributes:
        state: Provides the reports to send and applies those received.
        link: Datagram link to other gateways.
        is_synced: Whether the current reports were received from another gateway or
            the store, or the whole system starts for the first time and has no reports.
        ready: Whether this gateway may become ready: it is synced, or has waited for
            ``MAX_SYNC_SECONDS``.
        readiness_changed: Notified when the gateway becomes ready.
        persistent_sent_at: When persistent reports were last sent, or were due but
            there were none.
        threads: Threads that resend reports and fetch the current reports at the start.
    """

    def __init__(
        self, state: CrashReportState, link: GatewayLink, first_start: bool
    ) -> None:
        self.state = state
        self.link = link
        self.is_synced = self.ready = first_start
        self.readiness_changed = Broadcast()
        self.persistent_sent_at = 0.0
        self.threads: list[eventlet.greenthread.GreenThread] = []
        link.handlers[CrashReports] = self._receive_reports
        link.handlers[CrashQuery] = self._answer_query

    def start(self) -> None:
        """Start to resend reports and to fetch the current reports."""
        for loop in (self._resend_reports, self._sync):
            self.threads.append(spawn_loop(loop))

    def close(self) -> None:
        """Stop the threads."""
        kill_threads(self.threads)

    def wait_until_ready(self, give_up_at: Seconds) -> None:
        """Wait until the current reports are known, or will not be known soon.

        Args:
            give_up_at: Latest end of the wait.
        """
        while not self.ready and (remaining := give_up_at - boottime()) > 0:
            self.readiness_changed.wait(remaining)

    def send_to_all(self, reports: Iterable[CrashReport]) -> None:
        """Send reports to all known gateways."""
        self._send(reports, self.link.all_addresses())

    def send_to_owners(self, reports: Iterable[CrashReport]) -> None:
        """Send each report to the key owners of its suspect."""
        by_owner: defaultdict[Address, list[CrashReport]] = defaultdict(list)
        for report in reports:
            for address in self.link.owners(report.signature.hex()):
                by_owner[address].append(report)
        for address, owned in by_owner.items():
            self._send(owned, [address])

    def _send(
        self, reports: Iterable[CrashReport], addresses: Sequence[Address]
    ) -> None:
        for batch in split_into_datagrams(reports):
            self.link.send(CrashReports(self.link.site.process, batch), addresses)

    def _receive_reports(self, message: CrashReports) -> None:
        self.state.apply_reports(message)
        if message.reply:
            self.is_synced = True
            self._become_ready()

    def _become_ready(self) -> None:
        if not self.ready:
            self.ready = True
            self.readiness_changed.notify()

    def _answer_query(self, query: CrashQuery) -> None:
        """Send the persistent reports to a starting gateway if this one is synced."""
        if not self.is_synced:
            return
        try:
            address = parse_address(query.reply_to)
        except ValueError:
            self.link.socket.rejected += 1
            return
        reports = self.state.persistent_reports()
        self._send(reports, [address])
        # The final message informs the starting gateway that all reports were sent. It
        # arrives after them if the link preserves the order of datagrams.
        self.link.send(CrashReports(self.link.site.process, [], reply=True), [address])

    def _resend_reports(self) -> None:
        while True:
            eventlet.sleep(RESEND_INTERVAL_SECONDS * (0.5 + self.link.random.random()))
            recent = self.state.recent_reports(RESEND_WINDOW_SECONDS)
            self._send(recent.for_all, self.link.sample_addresses(FANOUT))
            self.send_to_owners(recent.for_owners)
            now = boottime()
            if now - self.persistent_sent_at >= PERSISTENT_INTERVAL_SECONDS:
                self.persistent_sent_at = now
                if persistent := self.state.persistent_reports():
                    self._send(persistent, self.link.sample_addresses(1))

    def _sync(self) -> None:
        """Fetch the current reports from other gateways, or else from the store.

        The queries continue until an answer arrives or the store could be read. The
        gateway becomes ready before that if neither happens in ``MAX_SYNC_SECONDS``.
        """
        started_at = boottime()
        store_read_at = 0.0
        query = CrashQuery(str(self.link.address))
        while not self.is_synced:
            self.link.send(
                query,
                {*self.link.sample_addresses(FANOUT), *self.link.seed_addresses()},
            )
            eventlet.sleep(
                STORE_READ_INTERVAL_SECONDS if self.ready else QUERY_INTERVAL_SECONDS
            )
            now = boottime()
            if (
                now - started_at >= STORE_FALLBACK_SECONDS
                and now - store_read_at >= STORE_READ_INTERVAL_SECONDS
            ):
                store_read_at = now
                self.is_synced = self.is_synced or self.state.load_stored()
            if self.is_synced or boottime() - started_at >= MAX_SYNC_SECONDS:
                self._become_ready()


def split_into_datagrams(reports: Iterable[CrashReport]) -> Iterator[list[CrashReport]]:
    """Yield the reports in batches that each fit into a datagram.

    A report that is too large for a datagram is a batch of its own.
    """
    batch: list[CrashReport] = []
    size = HEADER_BYTES
    for report in reports:
        length = len(encode_message(report))
        if batch and size + length > MAX_DATAGRAM_BYTES:
            yield batch
            batch, size = [], HEADER_BYTES
        batch.append(report)
        size += length
    if batch:
        yield batch
