"""Handle clients' requests: find their route, dispatch them and answer."""

from collections import defaultdict
from collections.abc import Mapping
from math import inf
from random import Random

from returns.result import Failure

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.allowed_regions import RegionRestriction, RequestOrigin
from ridgecourse.core.client_timeout import UsualClientTimeout
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.ids import Seconds
from ridgecourse.core.memory_budget import GRACE_SECONDS, BudgetExceeded
from ridgecourse.core.outcome import Outcome, Reason
from ridgecourse.core.request_signature import sign_parts, sign_request
from ridgecourse.core.retry import (
    MIN_RETRY_DELAY_SECONDS,
    retry_delay_seconds,
    return_delay_seconds,
)
from ridgecourse.core.routes import RoutingConfig
from ridgecourse.core.site import Site
from ridgecourse.gateway.dispatcher import Dispatcher
from ridgecourse.gateway.messages import ClientRequest
from ridgecourse.gateway.protocol import RequestProtocol
from ridgecourse.gateway.sender import (
    NO_TARGET_REASONS,
    NotRun,
    RoutedRequest,
    Stream,
    Whole,
    time_left,
)
from ridgecourse.gateway.stream_relay import AnswerDetail, StreamRelay
from ridgecourse.gateway.terms import UNKNOWN_SERVICE, Rejection, Terms, find_terms
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.front_server import ClientDisconnected, FrontReply, FrontRequest
from ridgecourse.net.request_body import Body

DEFAULT_TIMEOUT_SECONDS = 30.0
"""Timeout of a request that states none, on a route without a limit."""

NO_EXCLUSIONS: Mapping[str, int] = {}
NO_ANSWER: AnswerDetail = {}


class Forwarder:
    """Answers clients.

    Attributes:
        site: The settings in force.
        view: The configuration in force and its age.
        protocol: Translates requests and answers.
        dispatcher: Sends requests to targets.
        events: Receives events and metrics.
        random: Chooses among the services of a route, and spreads retry delays.
        relay: Relays streams to clients.
        closes_at: When the process stops at the latest. A request that might be
            answered later is refused.
        client_timeouts: Usual client timeout at the first attempt, by route.
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
        self.relay = StreamRelay(dispatcher, events, self._emit_ended)
        self.closes_at = Seconds(inf)
        self.client_timeouts: dict[str, UsualClientTimeout] = defaultdict(
            UsualClientTimeout
        )

    def handle(self, request: FrontRequest) -> FrontReply:
        """Return the answer to a client's request.

        Raises:
            CallerGone: The client disconnected.
        """
        arrived_at = boottime()
        config = self.view.config
        if config is None:
            return self._refuse("", Reason.NOT_READY)
        decoded = self.protocol.decode_request(request)
        if isinstance(decoded, Failure):
            problems = "; ".join(map(str, decoded.failure()))
            return self._reject("", 400, problems)
        call = decoded.unwrap()
        terms_result = find_terms(call, config, self.random)
        if isinstance(terms_result, Failure):
            return self._refuse_unroutable(call, terms_result.failure(), config)
        terms = terms_result.unwrap()
        deadline = Seconds(arrived_at + self._find_timeout(call, terms))
        if deadline > self.closes_at:
            # Its answer might be cut off by the end of the process.
            return self._refuse(call.request_id, Reason.STOPPING)
        try:
            request.reserve_memory()
            body = request.read_body(config.limits.body_bytes, deadline - arrived_at)
        except BudgetExceeded as error:
            # By then transfers that stand still now give way.
            come_back = return_delay_seconds(GRACE_SECONDS, self.random)
            return self._refuse(
                call.request_id, Reason.NO_MEMORY, str(error), come_back
            )
        routed = self._make_routed_request(request, call, terms, config, body, deadline)
        try:
            with request.cancel_on_disconnect():
                return self._answer(request, routed, terms)
        except ClientDisconnected:
            self._emit_ended(call, Outcome.UNKNOWN, "caller gone")
            raise

    def _find_timeout(self, call: ClientRequest, terms: Terms) -> float:
        """Return the seconds within which a request must be answered."""
        timeouts = [call.wait, terms.route.timeout or None]
        return min(
            (limit for limit in timeouts if limit is not None),
            default=DEFAULT_TIMEOUT_SECONDS,
        )

    def _make_routed_request(
        self,
        request: FrontRequest,
        call: ClientRequest,
        terms: Terms,
        config: RoutingConfig,
        body: Body,
        deadline: Seconds,
    ) -> RoutedRequest:
        account = terms.account.account if terms.account else None
        origin = RequestOrigin(call.host, call.path, call.key, account)
        restriction = RegionRestriction(origin)
        restriction.apply_route(config, terms.route)
        return RoutedRequest(
            call=call,
            body=body or None,
            account=account,
            restriction=restriction,
            deadline=deadline,
            version=None,
            begin_by=None,
            last_event=call.last_event,
            signature=sign_request(account, call.method, call.host, call.target, body),
            waited=self._waited_seconds(call, terms),
            excess=0.0,
            is_abandoned=request.has_disconnected,
            memory=request.protocol.memory,
            parts=sign_parts(call.model, call.prompt_parts),
        )

    def _waited_seconds(self, call: ClientRequest, terms: Terms) -> float:
        """Return the seconds that a client has waited for its first event.

        A client that resumes a stream has already received the first event. The result
        is 0 then, since a refusal would lose the rest of the stream.
        """
        if call.wait is None:
            return 0.0
        waited = self.client_timeouts[terms.route.name].observe(call.wait)
        return 0.0 if call.last_event is not None else waited

    def _answer(
        self, request: FrontRequest, routed: RoutedRequest, terms: Terms
    ) -> FrontReply:
        self.dispatcher.retries.record_request(terms.service.name)
        self.events.metrics.count("requests")
        tried: set[EngineIncarnation] = set()
        result = self.dispatcher.try_targets(routed, terms, tried)
        call = routed.call
        if isinstance(result, Whole):
            outcome = Outcome.COMPLETED if result.head.success else Outcome.UNKNOWN
            detail = {"body_end": result.body_end, "body_bytes": len(result.body)}
            self._emit_ended(call, outcome, f"status {result.head.status}", detail)
            head = result.head
            return FrontReply(head.status, head.reason, head.headers, result.body)
        if isinstance(result, Stream):
            head = result.head
            body = self.relay.relay(request, routed, terms, tried, result)
            return FrontReply(head.status, head.reason, head.headers, body)
        if isinstance(result, NotRun):
            return self._refuse_not_run(routed, result)
        self._emit_ended(call, Outcome.UNKNOWN, result.detail)
        return FrontReply(504 if result.late else 502)

    # Answers generated by the gateway, and the event log.

    def _refuse_unroutable(
        self, call: ClientRequest, rejection: Rejection, config: RoutingConfig
    ) -> FrontReply:
        """Answer a request for which the configuration has no route, key or service."""
        if rejection is UNKNOWN_SERVICE:
            return self._refuse(call.request_id, Reason.UNKNOWN_SERVICE)
        if self.view.decisions_age > self.site.bounds.config_seconds:
            # A rejection is final, but another gateway may have a newer configuration.
            return self._refuse(call.request_id, Reason.MAY_BE_BEHIND, rejection.why)
        return self._reject(
            call.request_id, rejection.status, rejection.why, config.version
        )

    def _refuse_not_run(self, routed: RoutedRequest, result: NotRun) -> FrontReply:
        """Refuse a request that no target has run, with the delay before a retry."""
        has_no_target = result.reason in NO_TARGET_REASONS
        excess = None if has_no_target else routed.excess
        come_back = result.come_back
        if come_back is None:
            remaining = time_left(routed.deadline)
            come_back = retry_delay_seconds(excess, remaining, self.random)
        request_id = routed.call.request_id
        self._count_exclusions(result.excluded)
        return self._refuse(
            request_id, result.reason, result.detail, come_back, result.excluded
        )

    def _count_exclusions(self, excluded: Mapping[str, int]) -> None:
        """Count a request without an eligible target, and its excluded targets."""
        if excluded:
            self.events.metrics.count("requests_without_eligible_target")
        for reason, count in excluded.items():
            name = reason.replace("-", "_")
            self.events.metrics.count(f"targets_excluded_{name}", count)

    def _refuse(
        self,
        request_id: str,
        reason: Reason,
        detail: str = "",
        come_back: float = MIN_RETRY_DELAY_SECONDS,
        excluded: Mapping[str, int] = NO_EXCLUSIONS,
    ) -> FrontReply:
        """Answer with 503 that a request has not run and will not run."""
        self.events.emit(
            EventKind.REQUEST_REFUSED,
            request=request_id,
            reason=reason.value,
            why=detail,
            come_back=round(come_back, 3),
            excluded=dict(excluded),
        )
        return FrontReply(503, headers=self.protocol.retry_after(come_back))

    def _reject(
        self, request_id: str, status: int, why: str, version: int = 0
    ) -> FrontReply:
        """Answer that a request is invalid."""
        self.events.emit(
            EventKind.REQUEST_REFUSED,
            request=request_id,
            status=status,
            why=why,
            config=version,
            config_age=round(self.view.decisions_age, 2),
        )
        return FrontReply(status, body=f"{why}\n".encode())

    def _emit_ended(
        self,
        call: ClientRequest,
        outcome: Outcome,
        why: str,
        answer: AnswerDetail = NO_ANSWER,
    ) -> None:
        self.events.emit(
            EventKind.REQUEST_ENDED,
            request=call.request_id,
            outcome=outcome.value,
            why=why,
            **answer,
        )
