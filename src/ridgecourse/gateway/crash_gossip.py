"""Gossip between gateways about requests that may crash engines.

A crash report with a single strike goes only to the key owners, the few gateways that
collect the strikes of that request. From the second strike on, a report goes to all
known gateways at once. Recent reports are sent again to a random sample, since
datagrams get lost. Persistent reports are sent to one gateway after another, so that a
failure domain that was partitioned receives them. The traffic is proportional to the
number of engine crashes, and there is none without crashes.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

import eventlet

from ridgecourse.core.crash_reports import (
    CrashReport,
)
from ridgecourse.gateway.gateway_link import GatewayLink
from ridgecourse.net.address import Address, parse_address
from ridgecourse.net.clock import boottime
from ridgecourse.net.datagrams import MAX_DATAGRAM_BYTES
from ridgecourse.net.threads import spawn_loop
from ridgecourse.wire.codec import encode_message
from ridgecourse.wire.control import CrashQuery, CrashReports

RESEND_INTERVAL_SECONDS = 0.25
RESEND_WINDOW_SECONDS = 2.0
"""How long a recent report is sent again. Each gateway that has the report forwards it
to ``FANOUT`` others every ``RESEND_INTERVAL_SECONDS``, which reaches hundreds of
gateways in half of this time."""
FANOUT = 3
PERSISTENT_INTERVAL_SECONDS = 1.0
"""Interval between two transmissions of the persistent reports, each to one gateway."""
QUERY_INTERVAL_SECONDS = 0.15
STORE_FALLBACK_SECONDS = 0.3
"""How long a starting gateway queries other gateways before it reads the store; they
answer within some milliseconds."""
MAX_SYNC_SECONDS = 1.0
"""Longest time that readiness waits for the state; the gateway then serves requests
without it."""
STORE_READ_INTERVAL_SECONDS = 1.0
"""Interval between two attempts to read the store."""
HEADER_BYTES = 100
"""Size of a message without its reports."""


class RecentReports(NamedTuple):
    """Crash reports that changed recently.

    Attributes:
        for_all: Reports for all gateways.
        for_owners: Other reports of crashes that this gateway observed, for the key
            owners.
    """

    for_all: Sequence[CrashReport]
    for_owners: Sequence[CrashReport]


class CrashReportState(ABC):
    """Crash reports known here, updated from other gateways and the store."""

    @abstractmethod
    def recent_reports(self, window: float) -> RecentReports:
        """Return the reports that changed within the last ``window`` seconds."""

    @abstractmethod
    def persistent_reports(self) -> Sequence[CrashReport]:
        """Return all reports that other gateways need."""

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
        is_synced: Whether the current state was received from a gateway or the store.
        ready: Whether readiness need not wait for the state any longer.
        persistent_sent_at: When persistent reports were last sent.
        threads: Threads that resend reports and fetch the initial state.
    """

    def __init__(
        self, state: CrashReportState, link: GatewayLink, first_start: bool
    ) -> None:
        self.state = state
        self.link = link
        self.is_synced = self.ready = first_start
        self.persistent_sent_at = 0.0
        self.threads: list[eventlet.greenthread.GreenThread] = []
        link.handlers[CrashReports] = self._receive_reports
        link.handlers[CrashQuery] = self._answer_query

    def start(self) -> None:
        """Start to send reports and to fetch the current state."""
        for loop in (self._resend_reports, self._sync):
            self.threads.append(spawn_loop(loop))

    def close(self) -> None:
        """Stop the threads."""
        for thread in self.threads:
            thread.kill()

    def send_to_all(self, reports: Iterable[CrashReport]) -> None:
        """Send reports to all known gateways."""
        self._send(reports, self.link.all_addresses())

    def send_to_owners(self, reports: Iterable[CrashReport]) -> None:
        """Send each report to the gateways that collect the reports of its request."""
        for report in reports:
            self._send([report], self.link.owners(report.signature.hex()))

    def _send(
        self, reports: Iterable[CrashReport], addresses: Sequence[Address]
    ) -> None:
        for batch in split_into_datagrams(reports):
            self.link.send(CrashReports(self.link.site.process, batch), addresses)

    def _receive_reports(self, message: CrashReports) -> None:
        self.state.apply_reports(message)
        if message.reply:
            self.is_synced = self.ready = True

    def _answer_query(self, query: CrashQuery) -> None:
        """Send the persistent reports to a starting gateway, if synced here."""
        if not self.is_synced:
            return
        try:
            address = parse_address(query.reply_to)
        except ValueError:
            self.link.socket.rejected += 1
            return
        reports = self.state.persistent_reports()
        self._send(reports, [address])
        # The final message follows all reports; a link that preserves order delivers it
        # last.
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
        """Query other gateways, then the store if none answers."""
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
            self.ready = self.is_synced or boottime() - started_at >= MAX_SYNC_SECONDS


def split_into_datagrams(reports: Iterable[CrashReport]) -> Iterator[list[CrashReport]]:
    """Yield the reports in batches that each fit into a datagram."""
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
