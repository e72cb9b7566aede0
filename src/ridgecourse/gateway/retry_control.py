"""Decide whether this gateway may send a request once more.

That depends on its retry budgets, and on whether it may follow a former life which has
spent them.
"""

from collections import defaultdict
from enum import Enum
from time import time

import eventlet
from msgspec import Struct
from returns.result import Failure

from ridgecourse.core.ids import ProcessName, RequestId, Seconds, ServiceName
from ridgecourse.core.retry import RetryBudget, RetryTerms
from ridgecourse.core.site import Site
from ridgecourse.gateway.known_peers import FleetSize
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_source import (
    KeyedRecord,
    RecordSource,
    SourceUnavailable,
    Topic,
)
from ridgecourse.net.threads import spawn_loop
from ridgecourse.wire.codec import decode_message, encode_message

EARNED_SHARE = 0.9
"""Share of the ratio that requests earn here. The rest is for retries that gateways do
not know of, such as the calls that an engine makes while it runs a request again."""
WINDOW_MARGIN = 1.1
"""Factor of the window. Requests take different times to their engines, so that retries
made in more than a window may arrive within one, and other gateways need a moment to
learn of one that has started."""
UNKNOWN_GATEWAYS = 40
"""Smallest number of gateways by which one divides the slack that has not known the
others for a window, and may not know all of them."""
FIRST_START_GATEWAYS = 12
"""The same while a site starts for the first time. If more gateways start, each waits
for a window."""
FIRST_START_SHARE = 0.6
"""Part of a window within which all gateways of a site have to start for the first
time."""
MEETING_SHARE = 0.4
"""Part of a window within which each of them then has to know the others, so that none
divides the slack by fewer when the first window has passed."""
STORE_RETRY_SECONDS = 1.0
MAX_READY_DELAY_SECONDS = 1.0
"""Longest time for which a starting gateway is not ready because of the store."""


class StartKind(Enum):
    """What is known of the start of a gateway.

    UNKNOWN: The store has not answered yet.
    FIRST: The site starts for the first time, and no former life of this gateway has
        served requests.
    LATER: A former life of this gateway, or other gateways, may have served requests
        just before.
    """

    UNKNOWN = "unknown"
    FIRST = "first"
    LATER = "later"


class StoredStart(Struct, frozen=True, forbid_unknown_fields=True):
    """Stored record of the first start of a gateway.

    Attributes:
        started_at: Time of the start in seconds since 1970, by the gateway's clock.
    """

    started_at: float


class StartHistory:
    """Finds out whether this gateway may follow a former life, or joins others.

    A gateway that starts cannot tell by itself whether it ran a moment ago. Each
    gateway of a site that starts for the first time leaves a record in the store, which
    is never removed. A gateway that finds a record of its own starts again, and one
    that finds older records of others joins them.

    Attributes:
        site: The settings in force.
        store: The platform's store.
        events: Receives events and metrics.
        kind: What is known of the start of this gateway.
        give_up_at: When the readiness of this gateway does not wait any longer.
        unconfirmed: Values that this start has tried to write to its record.
        thread: Thread that reads the store.
    """

    def __init__(self, site: Site, store: RecordSource, events: EventStream) -> None:
        self.site = site
        self.store = store
        self.events = events
        self.kind = StartKind.UNKNOWN
        self.give_up_at = boottime() + MAX_READY_DELAY_SECONDS
        self.unconfirmed: set[bytes] = set()
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start to read the store."""
        self.thread = spawn_loop(self._find_kind)

    def close(self) -> None:
        """Stop the thread."""
        if self.thread is not None:
            self.thread.kill()

    def is_ready(self) -> bool:
        """Check whether the kind of the start is known or will not be known soon."""
        return self.kind is not StartKind.UNKNOWN or boottime() >= self.give_up_at

    def _find_kind(self) -> None:
        while self.kind is StartKind.UNKNOWN:
            try:
                self.kind = self._read_kind()
            except SourceUnavailable as error:
                self.events.emit(EventKind.LOG_LOST, topic="starts", error=str(error))
                eventlet.sleep(STORE_RETRY_SECONDS)

    def _read_kind(self) -> StartKind:
        """Return the kind of the start, after a record of a first start is written.

        Raises:
            SourceUnavailable: The store gave no usable answer.
        """
        now = time()
        is_first = self.site.first_start or not any(
            self._precedes(record, now)
            for record in self.store.newest(Topic.STARTS).records
        )
        if not is_first:
            return StartKind.LATER
        value = encode_message(StoredStart(now))
        self.unconfirmed.add(value)
        self.store.append(Topic.STARTS, self.site.process, value, None)
        return StartKind.FIRST

    def _precedes(self, record: KeyedRecord, now: float) -> bool:
        """Check whether a record shows that this start is not the first one.

        Args:
            record: Record of this or another gateway.
            now: Time of this start in seconds since 1970.
        """
        if ProcessName(record.key) == self.site.process:
            return record.value not in self.unconfirmed
        decoded = decode_message(record.value, StoredStart)
        if isinstance(decoded, Failure):
            error = f"{record.key}: {decoded.failure()}"
            self.events.emit(EventKind.BAD_INPUT, error=error)
            return True
        stored: StoredStart = decoded.unwrap()
        latest_seconds = self.site.bounds.retry_seconds * FIRST_START_SHARE
        return now - stored.started_at > latest_seconds


class RetryControl:
    """The retry budgets of all services at this gateway.

    Attributes:
        site: The settings in force.
        fleet: Counts the gateways that share the slack.
        starts: Finds out whether another life of this gateway may have spent its share.
        events: Receives events and metrics.
        budgets: The budget of each service.
    """

    def __init__(
        self, site: Site, fleet: FleetSize, starts: StartHistory, events: EventStream
    ) -> None:
        self.site = site
        self.fleet = fleet
        self.starts = starts
        self.events = events
        self.budgets: defaultdict[ServiceName, RetryBudget] = defaultdict(RetryBudget)

    def record_request(self, service: ServiceName) -> None:
        """Record a new request of a client for a service."""
        ratio = self.site.bounds.retry_ratio * EARNED_SHARE
        self.budgets[service].record_request(ratio)

    def allows_retry(self, service: ServiceName) -> bool:
        """Check whether a request for a service may be sent once more now."""
        now = boottime()
        return self.budgets[service].allows_retry(self._terms(now), now)

    def record_retry(self, service: ServiceName, request: RequestId) -> None:
        """Record that a request is written to another target, as allowed before."""
        self._report(EventKind.REQUEST_RETRIED, service, request)
        self.events.metrics.count("retries")
        self.budgets[service].record_retry(boottime())

    def record_denial(self, service: ServiceName, request: RequestId) -> None:
        """Record that a request is not sent once more for want of budget."""
        self._report(EventKind.RETRY_DENIED, service, request)
        self.events.metrics.count("retries_denied")

    def _terms(self, now: Seconds) -> RetryTerms:
        """Return what this gateway may spend now.

        While a site starts for the first time, few gateways may divide the slack at
        once, as nobody has spent of it before.
        """
        bounds = self.site.bounds
        window_seconds = bounds.retry_seconds * WINDOW_MARGIN
        since = self.fleet.share_since()
        is_settled = since is not None and now - since >= window_seconds
        count = self.fleet.count(now)
        is_first = self._is_first_start() and count <= FIRST_START_GATEWAYS
        if not is_settled or not self.fleet.has_joined:
            least = FIRST_START_GATEWAYS if is_first else UNKNOWN_GATEWAYS
            # A share below one allows no retry, not even an earned one.
            count = max(count, min(least, int(bounds.retry_slack)))
        return RetryTerms(
            share=bounds.retry_slack / count,
            window_seconds=window_seconds,
            may_use_share=is_settled or is_first,
        )

    def _is_first_start(self) -> bool:
        """Check whether the site starts for the first time, without a part cut off.

        A gateway that is cut off meanwhile may meet others which have divided the slack
        without it.
        """
        if self.starts.kind is not StartKind.FIRST or not self.fleet.has_joined:
            return self.starts.kind is StartKind.FIRST
        latest = self.fleet.started_at + self.site.bounds.retry_seconds * MEETING_SHARE
        return self.fleet.complete_at is not None and self.fleet.complete_at <= latest

    def _report(
        self, kind: EventKind, service: ServiceName, request: RequestId
    ) -> None:
        now = boottime()
        terms = self._terms(now)
        self.events.emit(
            kind,
            request=request,
            service=service,
            available=round(self.budgets[service].available(terms, now), 2),
            share=round(terms.share, 2),
            may_use_share=terms.may_use_share,
            start=self.starts.kind.value,
            gateways=self.fleet.count(now),
            age=round(now - self.fleet.started_at, 1),
        )
