"""Callers' requests: routed, sent, repeated where allowed, answered."""

from collections import defaultdict
from collections.abc import Callable, Iterator
from random import Random
from time import monotonic
from typing import Any

import eventlet
from msgspec import structs
from returns.result import Failure

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.engine_load import Pending
from ridgecourse.core.first_events import FirstEventDelay
from ridgecourse.core.ids import Seconds, ServiceName, TargetId
from ridgecourse.core.letting_in import Prospect, excess_wait, has_spare
from ridgecourse.core.outcome import Outcome, Reason
from ridgecourse.core.patience import UsualPatience
from ridgecourse.core.placement import FIRST_EVENT_SECONDS
from ridgecourse.core.retry import (
    SHORTEST_COME_BACK_SECONDS,
    RetryBudget,
    come_back_seconds,
)
from ridgecourse.core.routes import RoutingConfig
from ridgecourse.core.site import Site
from ridgecourse.core.targets import ListedTarget
from ridgecourse.gateway.loads import LoadWatcher
from ridgecourse.gateway.messages import CallerRequest
from ridgecourse.gateway.open_streams import OpenStream, OpenStreams
from ridgecourse.gateway.protocol import RequestProtocol
from ridgecourse.gateway.relay import StreamEvent
from ridgecourse.gateway.selection import (
    MISSING_WEIGHTS_SECONDS,
    REFUSED_SECONDS,
    Choice,
    TargetSelector,
)
from ridgecourse.gateway.sender import (
    NotRun,
    Order,
    Sender,
    SendResult,
    Stream,
    Unknown,
    Whole,
    time_left,
)
from ridgecourse.gateway.terms import UNKNOWN_SERVICE, Rejection, Terms, find_terms
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.exchange import Broken, TooLate
from ridgecourse.net.front_server import CallerGone, FrontReply, FrontRequest

DEFAULT_WAIT_SECONDS = 30.0
"""Deadline of a request without one, on a route without a limit."""
SHORTEST_ATTEMPT_SECONDS = 0.05
"""A request is not sent once more with less time left than this."""
MOVE_AFTER_SECONDS = 0.5
"""After an engine began to leave, when its streams go on elsewhere. Until then half of
them end by themselves; the longest would take 2 s more, in which the engine serves a
few streams and takes nothing new."""
MOVE_APART_SECONDS = 0.04
"""Longest time between two streams that move, so that the next report tells of them."""
RETRY_SAFETY = 0.9
"""Share of the allowed repeats that is used: entries count apart."""
FEWEST_GATEWAYS = 12
"""Gateways among which the slack of the retry budget is divided at least, for some
may not be known yet; with more the known ones count."""


class AnswerTorn(Exception):
    """A stream broke off; its connection ends without the final chunk."""


class Forwarder:
    """Answers callers.

    Attributes:
        budgets: Bounds repeated sends, by service.
        delays: By how much first events are late against the estimates, by service.
        streams: Streams in progress.
        patience: Time that callers have at their first try, by route.
    """

    def __init__(
        self,
        site: Site,
        view: ClusterView,
        protocol: RequestProtocol,
        watcher: LoadWatcher,
        events: EventStream,
        random: Random,
        count_gateways: Callable[[], int],
    ) -> None:
        self.site = site
        self.view = view
        self.protocol = protocol
        self.events = events
        self.random = random
        self.count_gateways = count_gateways
        self.selector = TargetSelector(site, view, watcher, random)
        self.sender = Sender(protocol)
        self.budgets: dict[ServiceName, RetryBudget] = {}
        self.delays: dict[ServiceName, FirstEventDelay] = defaultdict(FirstEventDelay)
        self.patience: dict[str, UsualPatience] = defaultdict(UsualPatience)
        self.streams = OpenStreams()
        watcher.engine_leaves = self.move_streams

    def budget(self, service: ServiceName) -> RetryBudget:
        """Return the bound on a service's repeated sends.

        Each gateway has its share of what all may send together.
        """
        bounds = self.site.bounds
        share = bounds.retry_slack / max(FEWEST_GATEWAYS, self.count_gateways())
        if service not in self.budgets:
            ratio = bounds.retry_ratio * RETRY_SAFETY
            self.budgets[service] = RetryBudget(ratio, share)
        budget = self.budgets[service]
        budget.limit(share)
        return budget

    def handle(self, request: FrontRequest) -> FrontReply:
        """Answer a request."""
        arrived = Seconds(monotonic())
        config = self.view.config
        if config is None:
            return self._refuse("", Reason.NOT_READY)
        if request.head_bytes > config.limits.header_bytes:
            return self._reject("", 431, "the head is too long")
        decoded = self.protocol.decode_request(request)
        if isinstance(decoded, Failure):
            text = "; ".join(map(str, decoded.failure()))
            return self._reject("", 400, text)
        call = decoded.unwrap()
        found = find_terms(call, config, self.random)
        if isinstance(found, Failure):
            return self._decline(call, found.failure(), config)
        terms = found.unwrap()
        body = request.read_body(config.limits.body_bytes)
        order = self._make_order(request, call, terms, body, arrived)
        try:
            with request.watched():
                return self._answer(request, order, terms)
        except CallerGone:
            self._note_end(call, Outcome.UNKNOWN, "caller gone")
            raise

    def _make_order(
        self,
        request: FrontRequest,
        call: CallerRequest,
        terms: Terms,
        body: bytes,
        arrived: Seconds,
    ) -> Order:
        waits = [call.wait, terms.route.timeout or None]
        wait = min((w for w in waits if w is not None), default=DEFAULT_WAIT_SECONDS)
        patience = self.patience[terms.route.name]
        waited = 0.0 if call.wait is None else patience.observe(call.wait)
        return Order(
            call=call,
            body=body or None,
            account=terms.account.account if terms.account else None,
            deadline=Seconds(arrived + wait),
            version=None,
            begin_by=None,
            last_event=call.last_event,
            waited=waited,
            excess=0.0,
            is_abandoned=request.is_abandoned,
        )

    # Sending.

    def _answer(self, request: FrontRequest, order: Order, terms: Terms) -> FrontReply:
        self.budget(terms.service.name).record_request()
        self.events.figures.count("requests")
        tried: set[TargetId] = set()
        result, target = self._try_targets(order, terms, tried)
        call = order.call
        if isinstance(result, Whole):
            outcome = Outcome.COMPLETED if result.head.success else Outcome.UNKNOWN
            self._note_end(call, outcome, f"status {result.head.status}")
            head = result.head
            return FrontReply(head.status, head.reason, head.headers, result.body)
        if isinstance(result, Stream):
            assert target is not None
            head = result.head
            body = self._relay(request, order, terms, tried, result, target)
            return FrontReply(head.status, head.reason, head.headers, body)
        if isinstance(result, NotRun):
            return self._refuse_not_run(order, result)
        self._note_end(call, Outcome.UNKNOWN, result.detail)
        return FrontReply(504 if result.late else 502)

    def _try_targets(
        self, order: Order, terms: Terms, tried: set[TargetId]
    ) -> tuple[SendResult, ListedTarget | None]:
        """Send until a target answers, within attempts, budget and deadline.

        A proof that nothing ran lets any request go on to another target; after
        a loss only one that may be repeated goes on.
        """
        result: SendResult = NotRun(Reason.NO_TARGET, "no target", arrived=False)
        sends = len(tried)
        while time_left(order.deadline) > SHORTEST_ATTEMPT_SECONDS:
            choice = self.selector.choose(terms.service, order.call, tried)
            if choice is None or sends >= terms.route.max_attempts:
                break
            if order.is_abandoned():
                raise CallerGone("the connection ended before a send")
            if not tried and (hopeless := self._hopeless(order, terms, choice)):
                return hopeless, None
            if sends and not self.budget(terms.service.name).take_retry():
                break
            result = self._send_once(order, choice, tried)
            if isinstance(result, (Whole, Stream)):
                return result, choice.target
            if isinstance(result, Unknown):
                if result.late or not terms.route.repeatable:
                    break
                sends += 1
            elif result.arrived:
                sends += 1
        return result, None

    def _hopeless(self, order: Order, terms: Terms, choice: Choice) -> NotRun | None:
        """Refuse what is not to be let in even where it would begin soonest."""
        engine = terms.service.engine
        if engine is None or not terms.route.objective:
            return None
        now = Seconds(monotonic())
        delay = self.delays[terms.service.name].expect(now)
        prospect = Prospect(
            objective=terms.route.objective,
            waited=order.waited,
            wait=choice.wait + delay,
            reading=choice.reading,
            fill=self.selector.fill(choice.target, now),
        )
        excess = excess_wait(prospect)
        if excess is None:
            return None
        order.excess = excess
        detail = (
            f"would wait {choice.wait:.2f} s and {delay:.2f} s at "
            f"{choice.target.target}, filled to {prospect.fill:.2f}, after "
            f"{order.waited:.2f} s"
        )
        return NotRun(Reason.OVERLOADED, detail, arrived=False)

    def _send_once(
        self, order: Order, choice: Choice, tried: set[TargetId]
    ) -> SendResult:
        target = choice.target
        tried.add(target.target)
        order.version, order.begin_by = choice.terms.version, choice.terms.begin_by
        load = self.selector.load(target)
        begun = Seconds(monotonic())
        load.outstanding += 1
        load.waiting[order.call.request_id] = Pending(begun, choice.reading)
        result: SendResult | None = None
        try:
            result = self.sender.send(order, target)
        finally:
            load.waiting.pop(order.call.request_id, None)
            if not isinstance(result, Stream):
                load.outstanding -= 1
        self._learn(result, target)
        if isinstance(result, Stream):
            now = Seconds(monotonic())
            expected = choice.wait + choice.reading + FIRST_EVENT_SECONDS
            self.delays[target.service].observe(now - begun - expected, now)
        self._note_send(order, choice, result, monotonic() - begun)
        return result

    def _learn(self, result: SendResult, target: ListedTarget) -> None:
        """Take in what a result says of the target's health."""
        state = self.selector.state(target.target)
        now = Seconds(monotonic())
        if isinstance(result, NotRun) and result.reason is Reason.WRONG_TARGET:
            state.not_before = Seconds(now + MISSING_WEIGHTS_SECONDS)
            return
        if isinstance(result, NotRun) and result.arrived:
            state.not_before = Seconds(now + REFUSED_SECONDS)
            return
        if isinstance(result, (Whole, Stream)):
            state.succeeded()
        elif state.failed(now):
            self.events.emit(EventKind.TARGET_EJECTED, target=target.target)

    # Streams.

    def _relay(
        self,
        request: FrontRequest,
        order: Order,
        terms: Terms,
        tried: set[TargetId],
        stream: Stream,
        target: ListedTarget,
    ) -> Iterator[bytes]:
        """Yield a stream's events, resumed at another target if one is lost."""
        call = order.call
        outcome, why = Outcome.UNKNOWN, "caller gone"
        try:
            with request.watched():
                while True:
                    try:
                        opened = OpenStream(order, terms, stream, tried)
                        for event in self._events(opened, target):
                            yield event.data
                        outcome, why = Outcome.COMPLETED, "stream whole"
                        return
                    except Broken as error:
                        why = f"stream broke off: {error}"
                        resumed = self._resume(order, terms, tried, error)
                    if resumed is None:
                        raise AnswerTorn(why)
                    stream, target = resumed
        finally:
            self._note_end(call, outcome, why, last_event=order.last_event)

    def _events(
        self, opened: OpenStream, target: ListedTarget
    ) -> Iterator[StreamEvent]:
        """Yield a target's events that the caller has not had yet."""
        order, stream = opened.order, opened.stream
        load = self.selector.load(target)
        self.streams.add(target.target, opened)
        try:
            for event in stream.events:
                last = order.last_event
                if event.number is not None:
                    if last is not None and event.number <= last:
                        continue
                    order.last_event = event.number
                yield event
        finally:
            self.streams.discard(target.target, opened)
            load.outstanding -= 1
            stream.exchange.close()

    def move_streams(self, target: ListedTarget) -> None:
        """Let other engines go on with what keeps one from taking new weights."""
        if self.streams.movable(target.target):
            eventlet.spawn_after(MOVE_AFTER_SECONDS, self._move_streams, target)

    def _move_streams(self, target: ListedTarget) -> None:
        for opened in self.streams.movable(target.target):
            eventlet.sleep(self.random.random() * MOVE_APART_SECONDS)
            still_open = self.streams.is_open(target.target, opened)
            if still_open and self._has_room_elsewhere(opened):
                self.events.figures.count("streams_moved")
                self.events.emit(
                    EventKind.STREAM_MOVED,
                    request=opened.order.call.request_id,
                    target=target.target,
                )
                opened.stream.exchange.interrupt()

    def _has_room_elsewhere(self, opened: OpenStream) -> bool:
        """Tell whether another engine would go on with a stream at once."""
        service, call = opened.terms.service, opened.order.call
        choice = self.selector.choose(service, call, opened.tried)
        if choice is None or choice.terms.version is not None:
            return False
        now = Seconds(monotonic())
        wait = choice.wait + self.delays[service.name].expect(now)
        return has_spare(wait, self.selector.fill(choice.target, now))

    def _resume(
        self, order: Order, terms: Terms, tried: set[TargetId], error: Broken
    ) -> tuple[Stream, ListedTarget] | None:
        """Let another target go on with a stream; None where that can't be."""
        if not terms.route.resumable or isinstance(error, TooLate):
            return None
        result, target = self._try_targets(order, terms, tried)
        if isinstance(result, Stream) and target is not None:
            return result, target
        return None

    # Answers of the gateway's own, and the log.

    def _decline(
        self, call: CallerRequest, why: Rejection, config: RoutingConfig
    ) -> FrontReply:
        """Answer a request that the configuration has no terms for."""
        if why is UNKNOWN_SERVICE:
            return self._refuse(call.request_id, Reason.UNKNOWN_SERVICE)
        if self.view.decisions_age > self.site.bounds.config_seconds:
            # A rejection is final, and another gateway may know a newer configuration.
            return self._refuse(call.request_id, Reason.MAY_BE_BEHIND, why.why)
        return self._reject(call.request_id, why.status, why.why, config.version)

    def _refuse_not_run(self, order: Order, result: NotRun) -> FrontReply:
        """Refuse what no target has run, and tell when to come back."""
        nowhere = result.reason in (Reason.NO_TARGET, Reason.WRONG_TARGET)
        excess = None if nowhere else order.excess
        left = time_left(order.deadline)
        come_back = come_back_seconds(excess, left, self.random)
        request_id = order.call.request_id
        return self._refuse(request_id, result.reason, result.detail, come_back)

    def _refuse(
        self,
        request_id: str,
        reason: Reason,
        detail: str = "",
        come_back: float = SHORTEST_COME_BACK_SECONDS,
    ) -> FrontReply:
        """Answer that a request has not run and will not."""
        self.events.emit(
            EventKind.REQUEST_REFUSED,
            request=request_id,
            reason=reason.value,
            why=detail,
            come_back=round(come_back, 3),
        )
        return FrontReply(503, headers=self.protocol.retry_after(come_back))

    def _reject(
        self, request_id: str, status: int, why: str, version: int = 0
    ) -> FrontReply:
        """Answer that a request is wrong."""
        self.events.emit(
            EventKind.REQUEST_REFUSED,
            request=request_id,
            status=status,
            why=why,
            config=version,
            config_age=round(self.view.decisions_age, 2),
        )
        return FrontReply(status, body=f"{why}\n".encode())

    def _note_send(
        self, order: Order, choice: Choice, result: SendResult, seconds: float
    ) -> None:
        target = choice.target
        load = self.selector.load(target)
        self.events.figures.observe("first_answer", seconds)
        detail: dict[str, Any] = (
            structs.asdict(result) if isinstance(result, (NotRun, Unknown)) else {}
        )
        self.events.emit(
            EventKind.REQUEST_DISPATCHED,
            request=order.call.request_id,
            target=target.target,
            took=round(seconds, 4),
            expected_wait=round(choice.wait, 3),
            load_age=round(monotonic() - load.reported_at, 2),
            outstanding=load.outstanding,
            result=type(result).__name__,
            only_version=order.version,
            detail={name: str(value) for name, value in detail.items()},
        )

    def _note_end(
        self,
        call: CallerRequest,
        outcome: Outcome,
        why: str,
        last_event: int | None = None,
    ) -> None:
        self.events.emit(
            EventKind.REQUEST_ENDED,
            request=call.request_id,
            outcome=outcome.value,
            why=why,
            last_event=last_event,
        )
