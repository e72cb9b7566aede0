"""Typed events: what a process did, as JSON lines on standard output.

Each event carries a Lamport clock, so that ``ridgecourse-timeline`` can merge
the streams of all processes in causal order without trusting their clocks.
"""

from collections import Counter
from enum import Enum
from time import time
from typing import Any

from msgspec import Struct
from msgspec.json import encode

from ridgecourse.core.ids import DomainName, Incarnation, ProcessName
from ridgecourse.net.clock import boottime
from ridgecourse.net.figures import Figures
from ridgecourse.net.line_writer import LineWriter

LINES_PER_SECOND = 300
"""Events on requests written in a second; more are only counted. A gateway at its
limit handles some 50 requests a second, each with two or three events."""


class EventKind(Enum):
    """Everything that a process reports."""

    STARTED = "started"
    SETTINGS_CHANGED = "settings-changed"
    STOPPING = "stopping"
    STOPPED = "stopped"
    READY = "ready"
    CONFIG_FOLDED = "config-folded"
    CONFIG_FROM_PEER = "config-from-peer"
    DECISION_OUTDATED = "decision-outdated"
    DECISION_KEPT = "decision-kept"
    CHANGE_DECIDED = "change-decided"
    CHECKPOINT_WRITTEN = "checkpoint-written"
    RECORDS_GONE = "records-gone"
    READS_FROM = "reads-from"
    PARENT_AVOIDED = "parent-avoided"
    RECORDS_FROM_PEER = "records-from-peer"
    LOG_LOST = "log-lost"
    LOG_BACK = "log-back"
    STORE_READ = "store-read"
    REQUEST_DISPATCHED = "request-dispatched"
    REQUEST_RETRIED = "request-retried"
    REQUEST_ENDED = "request-ended"
    REQUEST_REFUSED = "request-refused"
    REQUEST_ADMITTED = "request-admitted"
    KEY_CLAIMED = "key-claimed"
    KEY_FENCED = "key-fenced"
    GATEWAYS_KNOWN = "gateways-known"
    SEED_LOST = "seed-lost"
    ENGINE_LIMIT = "engine-limit"
    ENGINE_ENDED = "engine-ended"
    REQUEST_BLOCKED = "request-blocked"
    REQUEST_CLEARED = "request-cleared"
    TARGET_EJECTED = "target-ejected"
    TARGET_LEAVING = "target-leaving"
    TARGET_LISTED = "target-listed"
    TARGET_WEIGHTS = "target-weights"
    TARGET_GONE = "target-gone"
    VERSION_NAMED = "version-named"
    VERSION_DATED = "version-dated"
    ROLLOUT_STARTED = "rollout-started"
    ROLLOUT_DROPPED = "rollout-dropped"
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
    BAD_INPUT = "bad-input"
    SUPPRESSED = "suppressed"


REQUEST_KINDS = frozenset(
    {
        EventKind.REQUEST_DISPATCHED,
        EventKind.REQUEST_RETRIED,
        EventKind.REQUEST_ENDED,
        EventKind.REQUEST_REFUSED,
        EventKind.REQUEST_ADMITTED,
    }
)
"""Events whose number grows with the traffic."""


class Event(Struct, omit_defaults=True):
    """One event.

    Attributes:
        kind: What happened.
        process: Where.
        incarnation: The process's life.
        domain: The process's failure domain.
        seq: Position in the process's own stream, from 0.
        clock: Lamport clock.
        mono: Seconds since the machine started; never set back.
        wall: Time of day, in seconds since 1970.
        request: Request it is about.
        change: Change of configuration it is about.
        target: Target it is about.
        version: Root digest it is about.
        offset: Offset of the log it is about.
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
    """Writes a process's events.

    Attributes:
        clock: The process's Lamport clock.
        figures: Counts all events, written or not.
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
        self.figures = Figures()
        self.second = 0
        self.lines_in_second = 0
        self.suppressed: Counter[str] = Counter()
        self.clock = 0
        self.seq = 0

    def merge(self, clock: int) -> None:
        """Take in the clock of a received message."""
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
        """Write an event; see ``Event`` for the arguments."""
        self.figures.count(f"event_{kind.value.replace('-', '_')}")
        if self._is_over_limit(kind):
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

    def _is_over_limit(self, kind: EventKind) -> bool:
        """Tell whether an event is only counted; tell of those that were."""
        second = int(boottime())
        if second != self.second:
            self.second = second
            self.lines_in_second = 0
            lost, self.output.dropped = self.output.dropped, 0
            counts, self.suppressed = self.suppressed, Counter()
            if counts or lost:
                self.emit(EventKind.SUPPRESSED, counts=dict(counts), dropped=lost)
        if kind not in REQUEST_KINDS:
            return False
        self.lines_in_second += 1
        return self.lines_in_second > LINES_PER_SECOND
