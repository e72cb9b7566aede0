"""Writes typed events of a process as JSON lines on standard output.

Each event carries a Lamport clock, so that ``ridgecourse-timeline`` can merge
the streams of all processes in causal order without relying on their wall clocks.
"""

from collections import Counter
from enum import Enum
from time import time
from typing import Any

from msgspec import Struct
from msgspec.json import encode

from ridgecourse.core.ids import DomainName, Incarnation, ProcessName
from ridgecourse.net.clock import boottime
from ridgecourse.net.figures import ProcessMetrics
from ridgecourse.net.line_writer import LineWriter

MAX_REQUEST_EVENTS_PER_SECOND = 300
"""Most events on requests written per second; further ones are only counted. A gateway
at its limit handles some 50 requests a second, each with 2 or 3 events."""


MAX_CLIENT_EVENTS_PER_SECOND = 20
"""Most events on clients that exceeded a limit written per second, so that a crowd of
them does not hide the requests of others."""


class EventKind(Enum):
    """Kinds of events."""

    STARTED = "started"
    SETTINGS_CHANGED = "settings-changed"
    STOPPING = "stopping"
    STOPPED = "stopped"
    READY = "ready"
    CONFIG_FOLDED = "config-folded"
    CONFIG_FROM_PEER = "config-from-peer"
    DECISION_OUTDATED = "decision-outdated"
    DECISION_KEPT = "decision-kept"
    DECISION_RELEASED = "decision-released"
    DECISIONS_READ_BACK = "decisions-read-back"
    DOMAIN_EVACUATED = "domain-evacuated"
    DOMAIN_RETURNED = "domain-returned"
    CHANGE_DECIDED = "change-decided"
    CHECKPOINT_WRITTEN = "checkpoint-written"
    RECORDS_GONE = "records-gone"
    RECORDS_MISSED = "records-missed"
    STORE_REWOUND = "store-rewound"
    READS_FROM = "reads-from"
    PARENT_AVOIDED = "parent-avoided"
    RECORDS_FROM_PEER = "records-from-peer"
    LOG_LOST = "log-lost"
    LOG_BACK = "log-back"
    STORE_READ = "store-read"
    REQUEST_DISPATCHED = "request-dispatched"
    REQUEST_RETRIED = "request-retried"
    RETRY_DENIED = "retry-denied"
    REQUEST_ENDED = "request-ended"
    STREAM_BROKEN = "stream-broken"
    REQUEST_REFUSED = "request-refused"
    REQUEST_ADMITTED = "request-admitted"
    KEY_CLAIMED = "key-claimed"
    KEY_FENCED = "key-fenced"
    GATEWAYS_KNOWN = "gateways-known"
    SEED_LOST = "seed-lost"
    LOADS_TAKEN_OVER = "loads-taken-over"
    LOADS_HANDED_BACK = "loads-handed-back"
    ENGINE_LIMIT = "engine-limit"
    ENGINE_LEAVING = "engine-leaving"
    ENGINE_RESTS = "engine-rests"
    ENGINE_REST_ENDED = "engine-rest-ended"
    ENGINE_COLD = "engine-cold"
    ENGINE_WARM = "engine-warm"
    ENGINE_ENDED = "engine-ended"
    REQUEST_BLOCKED = "request-blocked"
    REQUEST_CLEARED = "request-cleared"
    TARGET_EJECTED = "target-ejected"
    TARGET_LEAVING = "target-leaving"
    TARGET_LISTED = "target-listed"
    TARGET_WEIGHTS = "target-weights"
    TARGET_GONE = "target-gone"
    TARGET_HELD = "target-held"
    TARGET_RELEASED = "target-released"
    ENTRY_OVERTAKEN = "entry-overtaken"
    VERSION_NAMED = "version-named"
    VERSION_DATED = "version-dated"
    ROLLOUT_STARTED = "rollout-started"
    ROLLOUT_DROPPED = "rollout-dropped"
    MANIFEST_DIFFERS = "manifest-differs"
    MANIFEST_UNAVAILABLE = "manifest-unavailable"
    TRANSFER_PROGRESS = "transfer-progress"
    ROLLOUT_PHASE = "rollout-phase"
    VERSION_STARTED = "version-started"
    ROLLOUT_FAILED = "rollout-failed"
    CHUNK_REJECTED = "chunk-rejected"
    VERSION_COMPLETE = "version-complete"
    VERSION_LOADED = "version-loaded"
    VERSION_SERVING = "version-serving"
    LEASE_GRANTED = "lease-granted"
    ENGINE_RESTARTED = "engine-restarted"
    ORDER_REFUSED = "order-refused"
    CLIENT_LIMITED = "client-limited"
    BAD_INPUT = "bad-input"
    SUPPRESSED = "suppressed"


RATE_LIMITED_KINDS = frozenset(
    {
        EventKind.REQUEST_DISPATCHED,
        EventKind.REQUEST_RETRIED,
        EventKind.RETRY_DENIED,
        EventKind.REQUEST_ENDED,
        EventKind.STREAM_BROKEN,
        EventKind.REQUEST_REFUSED,
        EventKind.REQUEST_ADMITTED,
    }
)
"""Events whose number grows with the traffic; their rate is limited."""


class Event(Struct, omit_defaults=True):
    """One event of a process.

    Attributes:
        kind: Kind of the event.
        process: Name of the process.
        incarnation: Incarnation of the process.
        domain: Failure domain of the process.
        seq: Position in the event stream of the process, from 0.
        clock: Lamport clock.
        mono: Seconds since the machine started; never set back.
        wall: Time of day, in seconds since 1970.
        request: Id of the request concerned; empty for none.
        change: Id of the configuration change concerned; empty for none.
        target: Name of the target concerned; empty for none.
        version: Root digest of the weights version concerned; empty for none.
        offset: Log offset concerned; -1 for none.
        detail: Further values by name.
    """

    kind: EventKind
    process: ProcessName
    incarnation: Incarnation
    domain: DomainName
    seq: int
    clock: int
    mono: float
    wall: float
    request: str = ""
    change: str = ""
    target: str = ""
    version: str = ""
    offset: int = -1
    detail: dict[str, Any] = {}


class EventStream:
    """Writes the events of a process.

    Attributes:
        clock: The Lamport clock of the process.
        seq: Position of the next event in the stream.
        metrics: Metrics of the process; they count all events, written or not.
        current_second: The current second, for the limit on events on requests.
        request_events_in_second: Events on requests in the current second.
        client_events_in_second: Events on clients beyond a limit in that second.
        suppressed: Events that were counted but not written, by kind.
    """

    def __init__(
        self,
        process: ProcessName,
        incarnation: Incarnation,
        domain: DomainName,
    ) -> None:
        self.process = process
        self.incarnation = incarnation
        self.domain = domain
        self.output = LineWriter()
        self.metrics = ProcessMetrics()
        self.current_second = 0
        self.request_events_in_second = 0
        self.client_events_in_second = 0
        self.suppressed: Counter[str] = Counter()
        self.clock = 0
        self.seq = 0

    def merge(self, clock: int) -> None:
        """Advance the Lamport clock to that of a received message."""
        self.clock = max(self.clock, clock)

    def emit(
        self,
        kind: EventKind,
        request: str = "",
        change: str = "",
        target: str = "",
        version: str = "",
        offset: int = -1,
        **detail: Any,
    ) -> None:
        """Count an event and write it, unless it exceeds the rate limit.

        See ``Event`` for the arguments.
        """
        self.metrics.count(f"event_{kind.value.replace('-', '_')}")
        if self._exceeds_rate_limit(kind):
            self.suppressed[kind.value] += 1
            return
        self.clock += 1
        event = Event(
            kind,
            self.process,
            self.incarnation,
            self.domain,
            self.seq,
            self.clock,
            boottime(),
            time(),
            request,
            change,
            target,
            version,
            offset,
            detail,
        )
        self.seq += 1
        self.output.write(encode(event) + b"\n")

    def _exceeds_rate_limit(self, kind: EventKind) -> bool:
        """Check whether an event exceeds the rate limit.

        At the start of a second the method first emits an event with the numbers of
        suppressed events and dropped lines since the last check.
        """
        second = int(boottime())
        if second != self.current_second:
            self.current_second = second
            self.request_events_in_second = 0
            self.client_events_in_second = 0
            dropped, self.output.dropped = self.output.dropped, 0
            counts, self.suppressed = self.suppressed, Counter()
            if counts or dropped:
                self.emit(EventKind.SUPPRESSED, counts=dict(counts), dropped=dropped)
        if kind is EventKind.CLIENT_LIMITED:
            self.client_events_in_second += 1
            return self.client_events_in_second > MAX_CLIENT_EVENTS_PER_SECOND
        if kind not in RATE_LIMITED_KINDS:
            return False
        self.request_events_in_second += 1
        return self.request_events_in_second > MAX_REQUEST_EVENTS_PER_SECOND
