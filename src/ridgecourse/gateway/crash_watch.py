"""Watches which requests engines end under, and holds such requests back."""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Sequence

import eventlet

from ridgecourse.core.crash_suspects import (
    LONE_MARKS,
    CrashSuspects,
    Verdict,
)
from ridgecourse.core.engine_life import EngineLife
from ridgecourse.core.ids import ProcessName, RequestSignature, Seconds
from ridgecourse.core.outcome import Reason
from ridgecourse.core.site import Site
from ridgecourse.core.suspect import (
    Flight,
    SuspectNews,
)
from ridgecourse.core.targets import ListedTarget
from ridgecourse.gateway.blocked_requests import BlockedRequests
from ridgecourse.gateway.crash_exchange import (
    CrashExchange,
    FreshNews,
    SuspectKnowledge,
)
from ridgecourse.gateway.gateway_link import GatewayLink
from ridgecourse.gateway.sender import NotRun, Order, time_left
from ridgecourse.net.broadcast import Broadcast
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.probe import refuses_connections
from ridgecourse.net.record_source import RecordSource, SourceUnavailable
from ridgecourse.wire.control import CrashNews

PROBE_PAUSES = (0.0, 0.02, 0.05)
"""Before each look at an engine that broke off: one that ends closes its connections
and stops listening at nearly the same time, in either order."""
PROBE_SECONDS = 0.3
WAIT_SHARE = 0.2
"""Share of its time that a request waits for what becomes of it elsewhere."""
MOST_ENDED = 256
MOST_NOTED = 256
REPEATED_SECONDS = 0.6
"""How long a mark is told again to those who gather it: two times more are enough where
one datagram in thirty is lost."""
STORE = ProcessName("")
"""Who tells what was read from the store."""


class CrashWatch(SuspectKnowledge):
    """Holds back requests that may crash engines.

    Attributes:
        suspects: What is known of them.
        ended: Lives of engines that are known to have ended.
        noted: Requests under which engines ended here.
        blocked: Requests that were told to be blocked.
        store: Keeps blocked requests.
        changed: Notified when a request may be judged otherwise than before.
        exchange: Tells other gateways.
    """

    def __init__(
        self,
        site: Site,
        events: EventStream,
        link: GatewayLink,
        store: RecordSource,
    ) -> None:
        self.events = events
        self.store = BlockedRequests(store, events)
        self.suspects = CrashSuspects()
        self.ended: OrderedDict[EngineLife, None] = OrderedDict()
        self.noted: OrderedDict[RequestSignature, None] = OrderedDict()
        self.blocked: frozenset[RequestSignature] = frozenset()
        self.changed = Broadcast()
        self.exchange = CrashExchange(self, link, site.first_start)

    def start(self) -> None:
        """Begin to exchange news."""
        self.store.start()
        self.exchange.start()

    def close(self) -> None:
        """Stop."""
        self.exchange.close()
        self.store.close()

    # Requests.

    def admit(self, order: Order) -> NotRun | None:
        """Wait until a request may be sent; return why it is not to be."""
        signature = order.signature
        limit = boottime() + WAIT_SHARE * max(0.0, time_left(order.deadline))
        while True:
            now = boottime()
            verdict = self.suspects.judge(signature, now)
            if verdict is Verdict.FREE:
                return None
            if verdict is Verdict.BLOCKED:
                self.events.figures.count("requests_blocked")
                return self._refuse_blocked(signature, now)
            if now >= limit:
                return NotRun(Reason.CRASHES_ENGINES, "is tried elsewhere", False)
            self.changed.wait(limit - now)

    def _refuse_blocked(self, signature: RequestSignature, now: Seconds) -> NotRun:
        ends = sorted(life.target for life in self.suspects.blocked[signature])
        return NotRun(
            Reason.CRASHES_ENGINES,
            f"{signature.hex()} ran where {', '.join(ends)} ended",
            arrived=False,
            come_back=self.suspects.blocked_for(signature, now),
        )

    def avoided(self, order: Order) -> Collection[EngineLife]:
        """Return the engines to which a request is better not sent."""
        return self.suspects.avoided(order.signature, boottime())

    def begin(self, order: Order, target: ListedTarget, life: EngineLife) -> Flight:
        """Note that a request is sent to an engine."""
        signature = order.signature
        flight = Flight(order.call.request_id, signature, life, target.address)
        self.suspects.begin(signature, life)
        marks = self.suspects.count_marks(signature, boottime())
        if marks:
            self.events.figures.count("requests_suspected")
        if marks >= LONE_MARKS:
            self._tell(signature)
        return flight

    def finish(self, flight: Flight) -> None:
        """Note that a request is no longer at an engine."""
        self.suspects.finish(flight.signature, flight.life)
        marks = self.suspects.count_marks(flight.signature, boottime())
        if marks:
            self.changed.notify()
        if marks >= LONE_MARKS:
            self._tell(flight.signature)

    def note_success(self, flight: Flight) -> None:
        """Note that an engine answered a request."""
        if not self.suspects.note_success(flight.signature, boottime()):
            return
        if flight.signature in self.blocked:
            self.store.drop(flight.signature)
        self.events.emit(
            EventKind.REQUEST_CLEARED,
            request=flight.request_id,
            signature=flight.signature.hex(),
        )
        self._tell(flight.signature)
        self.changed.notify()

    def note_disconnect(self, flight: Flight) -> None:
        """Note that an engine broke off; look whether it has ended."""
        broke_at = boottime()
        if not self._has_ended(flight):
            return
        signature, life = flight.signature, flight.life
        if not self.suspects.note_end(signature, life, broke_at):
            return
        self.noted[signature] = None
        if len(self.noted) > MOST_NOTED:
            self.noted.popitem(last=False)
        self.events.emit(
            EventKind.ENGINE_ENDED,
            request=flight.request_id,
            target=life.target,
            signature=signature.hex(),
            marks=self.suspects.count_marks(signature, broke_at),
        )
        self._tell(signature)
        if signature in self._note_blocked():
            self.store.keep(self.suspects.tell(signature, broke_at))

    def _has_ended(self, flight: Flight) -> bool:
        """Tell whether the life of an engine that broke off has ended."""
        for pause in PROBE_PAUSES:
            eventlet.sleep(pause)
            if flight.life in self.ended:
                return True
            if refuses_connections(flight.address, PROBE_SECONDS):
                self.ended[flight.life] = None
                if len(self.ended) > MOST_ENDED:
                    self.ended.popitem(last=False)
                return True
        return False

    def _note_blocked(self) -> frozenset[RequestSignature]:
        """Tell of requests that are blocked from now on; return them."""
        before, self.blocked = (
            self.blocked,
            self.suspects.find_blocked(boottime()),
        )
        for signature, lives in self.suspects.blocked.items():
            if signature not in before:
                self.events.emit(
                    EventKind.REQUEST_BLOCKED,
                    signature=signature.hex(),
                    ends=sorted(life.target for life in lives),
                )
        self.changed.notify()
        return self.blocked - before

    # Other gateways.

    def _tell(self, signature: RequestSignature) -> None:
        """Tell all gateways of a request, or those that gather what is known of it."""
        news = self._news([signature])
        if news and self.suspects.concerns_all(signature, boottime()):
            self.exchange.tell_all(news)
        elif news:
            self.exchange.tell_keepers(news)

    def _news(self, signatures: Iterable[RequestSignature]) -> Sequence[SuspectNews]:
        now = boottime()
        return [
            self.suspects.tell(signature, now)
            for signature in signatures
            if signature in self.suspects.suspects
        ]

    def fresh_news(self, span: float) -> FreshNews:
        """Return what changed within so many seconds; see ``SuspectKnowledge``."""
        now = boottime()
        recent = self.suspects.recent(now, span)
        for_all = [name for name in recent if self.suspects.concerns_all(name, now)]
        recent = self.suspects.recent(now, min(span, REPEATED_SECONDS))
        own = [name for name in recent if name in self.noted and name not in for_all]
        return FreshNews(self._news(for_all), self._news(own))

    def lasting_news(self) -> Sequence[SuspectNews]:
        """Return all that others have to know; see ``SuspectKnowledge``."""
        return self._news(self.suspects.lasting(boottime()))

    def recall(self) -> bool:
        """Take in what the store has; see ``SuspectKnowledge``."""
        try:
            stored = self.store.read()
        except SourceUnavailable as error:
            self.events.emit(EventKind.LOG_LOST, topic="blocked", error=str(error))
            return False
        for each in stored:
            self.suspects.take(each, STORE, boottime())
        self._note_blocked()
        return True

    def take_news(self, news: CrashNews) -> None:
        """Take in what another gateway tells; see ``SuspectKnowledge``."""
        now = boottime()
        completed = set()
        for each in news.suspects:
            new = self.suspects.take(each, news.process, now)
            if new and self.suspects.completes(each, now):
                completed.add(each.signature)
                self._tell(each.signature)
        if news.suspects:
            # A trial elsewhere may be over, too.
            for signature in self._note_blocked() & completed:
                self.store.keep(self.suspects.tell(signature, now))
