"""Callers' requests: routed, sent, answered."""

from collections import defaultdict
from random import Random

from returns.result import Failure

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.engine_life import EngineLife
from ridgecourse.core.ids import Seconds
from ridgecourse.core.outcome import Outcome, Reason
from ridgecourse.core.patience import UsualPatience
from ridgecourse.core.request_signature import sign_request
from ridgecourse.core.retry import SHORTEST_COME_BACK_SECONDS, come_back_seconds
from ridgecourse.core.routes import RoutingConfig
from ridgecourse.core.site import Site
from ridgecourse.gateway.dispatcher import Dispatcher
from ridgecourse.gateway.messages import CallerRequest
from ridgecourse.gateway.protocol import RequestProtocol
from ridgecourse.gateway.sender import NotRun, Order, Stream, Whole, time_left
from ridgecourse.gateway.stream_relay import StreamRelay
from ridgecourse.gateway.terms import UNKNOWN_SERVICE, Rejection, Terms, find_terms
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.front_server import CallerGone, FrontReply, FrontRequest

DEFAULT_WAIT_SECONDS = 30.0
"""Deadline of a request without one, on a route without a limit."""


class Forwarder:
    """Answers callers.

    Attributes:
        dispatcher: Sends their requests.
        relay: Passes streams on.
        patience: Time that callers have at their first try, by route.
    """

    def __init__(
        self,
        site: Site,
        view: ClusterView,
        protocol: RequestProtocol,
        dispatcher: Dispatcher,
        events: EventStream,
        random: Random,
    ) -> None:
        self.site = site
        self.view = view
        self.protocol = protocol
        self.dispatcher = dispatcher
        self.events = events
        self.random = random
        self.relay = StreamRelay(dispatcher, self._note_end)
        self.patience: dict[str, UsualPatience] = defaultdict(UsualPatience)

    def handle(self, request: FrontRequest) -> FrontReply:
        """Answer a request."""
        arrived = boottime()
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
        account = terms.account.account if terms.account else None
        return Order(
            call=call,
            body=body or None,
            account=account,
            deadline=Seconds(arrived + wait),
            version=None,
            begin_by=None,
            last_event=call.last_event,
            signature=sign_request(account, call.method, call.host, call.target, body),
            waited=self._time_waited(call, terms),
            excess=0.0,
            is_abandoned=request.is_abandoned,
        )

    def _time_waited(self, call: CallerRequest, terms: Terms) -> float:
        """Return the seconds that a caller has waited for its first event.

        Who goes on with a stream has had that; turned away, it would lose the rest.
        """
        if call.wait is None:
            return 0.0
        waited = self.patience[terms.route.name].observe(call.wait)
        return 0.0 if call.last_event is not None else waited

    def _answer(self, request: FrontRequest, order: Order, terms: Terms) -> FrontReply:
        self.dispatcher.budget(terms.service.name).record_request()
        self.events.figures.count("requests")
        tried: set[EngineLife] = set()
        result = self.dispatcher.try_targets(order, terms, tried)
        call = order.call
        if isinstance(result, Whole):
            outcome = Outcome.COMPLETED if result.head.success else Outcome.UNKNOWN
            self._note_end(call, outcome, f"status {result.head.status}")
            head = result.head
            return FrontReply(head.status, head.reason, head.headers, result.body)
        if isinstance(result, Stream):
            head = result.head
            body = self.relay.relay(request, order, terms, tried, result)
            return FrontReply(head.status, head.reason, head.headers, body)
        if isinstance(result, NotRun):
            return self._refuse_not_run(order, result)
        self._note_end(call, Outcome.UNKNOWN, result.detail)
        return FrontReply(504 if result.late else 502)

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
        come_back = result.come_back
        if come_back is None:
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
