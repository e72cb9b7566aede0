"""Callers' requests: routed, retried within a budget, answered with an outcome."""

from collections.abc import Iterator
from contextlib import closing
from typing import NamedTuple
from uuid import uuid4

import eventlet
from msgspec import DecodeError
from msgspec.json import decode, encode
from returns.result import Failure

from ridgecourse.core.claim import Claim
from ridgecourse.core.config_objects import Target
from ridgecourse.core.ids import AccountName, RequestId, Seconds, TargetName
from ridgecourse.core.outcome import Outcome, Reason
from ridgecourse.core.retry import RetryBudget
from ridgecourse.core.routing import REQUEST_WEIGHT, TOKEN_WEIGHT
from ridgecourse.entry.attempt import (
    Attempter,
    AttemptResult,
    Lost,
    Refused,
    Streaming,
    Whole,
)
from ridgecourse.entry.call import Call, parse_call
from ridgecourse.entry.chooser import Chosen, TargetChooser
from ridgecourse.entry.claims import ClaimResult, ClaimWriter
from ridgecourse.entry.context import EntryContext
from ridgecourse.entry.links import AgentLinks, AgentView
from ridgecourse.entry.replies import DEFAULT_RETRY_AFTER, Replies
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind
from ridgecourse.net.http_client import ExchangeFailed, read_lines
from ridgecourse.net.http_server import HttpReply, HttpRequest
from ridgecourse.net.metrics import Metric
from ridgecourse.wire.request import (
    VERSION_HEADER,
    StreamEnd,
    TokenEvent,
)

MAX_LINE_BYTES = 64 * 1024
MAX_ATTEMPTS = 4
MAX_TAKEOVERS = 3
SETTLE_SECONDS = 0.1


class Started(NamedTuple):
    """A request that got an answer's beginning, and where."""

    result: AttemptResult
    chosen: Chosen | None


class Dispatcher:
    """Answers callers.

    Attributes:
        budget: Bounds retries over all requests of this entry.
        in_flight: Requests in progress, by account.
    """

    def __init__(
        self, context: EntryContext, links: AgentLinks, claims: ClaimWriter
    ) -> None:
        self.context = context
        self.claims = claims
        self.attempter = Attempter(context)
        self.replies = Replies(context)
        self.chooser = TargetChooser(context, links)
        self.budget = RetryBudget(context.settings.retry_ratio)
        self.in_flight: dict[AccountName, int] = {}

    def close(self) -> None:
        """Close idle connections."""
        self.attempter.close()

    def total_in_flight(self) -> int:
        """Return the requests in progress."""
        return sum(self.in_flight.values())

    def handle(self, request: HttpRequest) -> HttpReply:
        """Answer a caller's request."""
        parsed = parse_call(request, self.context.config.state, boottime())
        if isinstance(parsed, Failure):
            return self.replies.fault(parsed.failure())
        call = parsed.unwrap()
        self.context.metrics.count(Metric.REQUESTS)
        if self.context.stopping:
            return self.replies.not_run(
                call, Refused(Reason.STOPPING, DEFAULT_RETRY_AFTER)
            )
        running = self.in_flight.get(call.account.account, 0)
        if call.account.max_in_flight and running >= call.account.max_in_flight:
            refused = Refused(Reason.ACCOUNT_LIMIT, DEFAULT_RETRY_AFTER)
            return self.replies.not_run(call, refused)
        self._count(call, +1)
        streaming = False
        try:
            self.budget.record_request()
            reply = self._answer(call)
            streaming = not isinstance(reply.body, bytes)
            return reply
        finally:
            if not streaming:
                self._count(call, -1)

    def _count(self, call: Call, change: int) -> None:
        account = call.account.account
        self.in_flight[account] = self.in_flight.get(account, 0) + change
        self.context.metrics.gauge(Metric.IN_FLIGHT, self.total_in_flight())

    def _answer(self, call: Call) -> HttpReply:
        if call.key is not None:
            return self._answer_keyed(call)
        return self._reply(call, self._try_targets(call, call.request_id))

    def _reply(self, call: Call, started: Started) -> HttpReply:
        result = started.result
        if isinstance(result, Refused):
            return self.replies.not_run(call, result)
        if isinstance(result, Lost):
            return self.replies.unknown(call, result)
        if isinstance(result, Whole):
            return self.replies.whole(call, result)
        assert started.chosen is not None
        headers = [
            *self.replies.headers(call),
            ("Content-Type", "application/x-ndjson"),
            (VERSION_HEADER, result.version),
        ]
        return HttpReply(200, self._relay(call, result, started.chosen), headers)

    # Trying targets.

    def _try_targets(
        self,
        call: Call,
        request_id: RequestId,
        start_at: int = 0,
        version: str = "",
        tried: set[TargetName] | None = None,
    ) -> Started:
        """Try targets until one answers, within attempts, budget and deadline.

        A refusal proves that nothing ran, so any request may go on to another
        target; after a loss only a repeatable one may.
        """
        tried = set() if tried is None else tried
        last: AttemptResult = Refused(Reason.NO_TARGET, DEFAULT_RETRY_AFTER)
        for attempt in range(MAX_ATTEMPTS):
            chosen = self.chooser.choose(call, tried)
            if chosen is None or (attempt and not self._may_retry(call, last)):
                return Started(last, None)
            tried.add(chosen.target.target)
            last = self._try_one(call, chosen, request_id, start_at, version)
            if isinstance(last, (Whole, Streaming)):
                return Started(last, chosen)
        return Started(last, None)

    def _may_retry(self, call: Call, last: AttemptResult) -> bool:
        if isinstance(last, Lost) and not call.repeatable:
            return False
        if isinstance(last, Refused) and last.reason is Reason.BAD_REQUEST:
            return False
        if boottime() >= call.deadline or not self.budget.take_retry():
            return False
        self.context.metrics.count(Metric.RETRIES)
        self.context.events.emit(EventKind.REQUEST_RETRIED, request=call.request_id)
        return True

    def _try_one(
        self,
        call: Call,
        chosen: Chosen,
        request_id: RequestId,
        start_at: int = 0,
        version: str = "",
    ) -> AttemptResult:
        target, view = chosen
        begun = boottime()
        self.context.events.emit(
            EventKind.REQUEST_DISPATCHED,
            request=request_id,
            target=target.target,
            load=round(view.load.load(Seconds(begun)), 1),
            latency=round(view.load.latency, 4),
        )
        view.load.outstanding += 1
        result = self.attempter.send(call, target, view, request_id, start_at, version)
        if isinstance(result, Streaming):
            return result
        view.load.outstanding -= 1
        now = boottime()
        if isinstance(result, Whole):
            view.load.succeeded()
            view.load.observe(now - begun, now, REQUEST_WEIGHT)
        elif isinstance(result, Lost) or result.blame:
            self._blame(view, target, now)
        elif result.reason is Reason.WRONG_INCARNATION:
            view.incarnation = None
        return result

    def _blame(self, view: AgentView, target: Target, now: Seconds) -> None:
        view.load.failed(now)
        if view.load.ejected(now):
            self.context.events.emit(EventKind.TARGET_EJECTED, target=target.target)

    # Streams.

    def _relay(self, call: Call, first: Streaming, chosen: Chosen) -> Iterator[bytes]:
        """Yield the answer's lines, resumed elsewhere if its target is lost.

        The answer ends with an event that tells its outcome; without it the
        caller knows that the answer is not whole.
        """
        tried = {chosen.target.target}
        streaming, count = first, 0
        ended = False
        try:
            while True:
                for event in self._events(streaming, chosen, count):
                    if event.end is StreamEnd.DONE:
                        ended = True
                        yield self.replies.last(
                            call, Outcome.COMPLETED, count, first.version
                        )
                        return
                    count += 1
                    yield encode(event) + b"\n"
                resumed = self._resume(call, tried, count, first.version)
                if resumed is None:
                    break
                streaming, chosen = resumed
                tried.add(chosen.target.target)
            ended = True
            yield self.replies.last(call, Outcome.UNKNOWN, count, first.version)
        finally:
            self._count(call, -1)
            if not ended:
                self.replies.note_end(call, Outcome.UNKNOWN, Reason.TARGET_LOST)

    def _events(
        self, streaming: Streaming, chosen: Chosen, count: int
    ) -> Iterator[TokenEvent]:
        """Yield one target's events in order; end early where it is lost."""
        load = chosen.view.load
        expected = count
        whole = False
        last: Seconds | None = None
        try:
            with closing(streaming.response) as response:
                for line in read_lines(response, MAX_LINE_BYTES):
                    event = decode(line, type=TokenEvent)
                    if event.end is StreamEnd.DONE:
                        whole = event.count == expected
                        if whole:
                            yield event
                        return
                    if event.end is not None or event.seq != expected:
                        return
                    expected += 1
                    now = boottime()
                    if last is not None:
                        load.observe(now - last, now, TOKEN_WEIGHT)
                    last = now
                    yield event
        except (ExchangeFailed, DecodeError):
            whole = False
        finally:
            load.outstanding -= 1
            if whole:
                load.succeeded()
            else:
                self._blame(chosen.view, chosen.target, boottime())

    def _resume(
        self, call: Call, tried: set[TargetName], count: int, version: str
    ) -> tuple[Streaming, Chosen] | None:
        """Continue a repeatable stream elsewhere, on the same version."""
        if not self._may_retry(call, Lost(Reason.TARGET_LOST, "")):
            return None
        started = self._try_targets(call, call.request_id, count, version, tried)
        if isinstance(started.result, Streaming) and started.chosen is not None:
            return started.result, started.chosen
        return None

    # Requests under an idempotency key.

    def _answer_keyed(self, call: Call) -> HttpReply:
        """Claim the key in the log, then dispatch at most once.

        A claim is taken over, from another request or from an own try, only
        with proof that the request which holds it was not run and never will be.
        """
        replaces: RequestId | None = None
        tried: set[TargetName] = set()
        refused = Refused(Reason.NO_TARGET, DEFAULT_RETRY_AFTER)
        for _ in range(MAX_TAKEOVERS):
            chosen = self.chooser.choose(call, tried)
            if chosen is None:
                return self.replies.not_run(call, refused)
            tried.add(chosen.target.target)
            if not self._identified(chosen):
                continue
            claim = self._make_claim(call, chosen, replaces)
            left = call.deadline - boottime()
            seconds = min(self.context.settings.claim_seconds, left)
            result, holder = self.claims.claim(claim, seconds)
            if result is ClaimResult.NO_LOG:
                return self.replies.not_run(
                    call, Refused(Reason.NO_LOG, DEFAULT_RETRY_AFTER)
                )
            self.context.events.emit(
                EventKind.KEY_CLAIMED, request=claim.request_id, result=result.value
            )
            if result is ClaimResult.WON:
                answer = self._try_one(call, chosen, claim.request_id)
                if not isinstance(answer, Refused):
                    return self._reply(call, Started(answer, chosen))
                refused = answer
                replaces = claim.request_id
                if answer.reason is Reason.KEY_FENCED:
                    # Another entry took the key over before the dispatch arrived.
                    tried.clear()
                else:
                    self.claims.release(claim)
                continue
            assert holder is not None
            settled = self._settle(call, holder)
            if settled is not None:
                return settled
            replaces = holder.request_id
            tried.clear()
        if refused.reason is Reason.KEY_FENCED:
            # The own request was not run, but another under the key may have been.
            return self.replies.unknown(call, Lost(refused.reason, "key taken over"))
        return self.replies.not_run(call, refused)

    def _identified(self, chosen: Chosen) -> bool:
        """Tell whether the life of a target's agent is known, asking if need be."""
        if chosen.view.incarnation is None:
            chosen.view.incarnation = self.attempter.identify(chosen.target)
        return chosen.view.incarnation is not None

    def _make_claim(
        self, call: Call, chosen: Chosen, replaces: RequestId | None
    ) -> Claim:
        assert call.key is not None and chosen.view.incarnation is not None
        return Claim(
            call.service.fleet,
            call.account.account,
            call.key,
            RequestId(uuid4().hex),
            chosen.target.target,
            chosen.view.incarnation,
            replaces,
        )

    def _settle(self, call: Call, holder: Claim) -> HttpReply | None:
        """Answer from the request that holds the key.

        Returns:
            The reply; None if that request was not started and now never will
            be, so that the key may be taken over.
        """
        targets = self.context.config.state.targets
        target = targets.get((holder.fleet, holder.target))
        reply = None
        # The holder has just won; let its dispatch arrive before it is fenced.
        eventlet.sleep(SETTLE_SECONDS)
        if target is not None:
            reply = self.attempter.fence(target, holder.request_id, holder.incarnation)
        if reply is None or not reply.known:
            detail = "the request that holds the key cannot be asked after"
            return self.replies.unknown(call, Lost(Reason.DUPLICATE_KEY, detail))
        if not reply.started:
            return None
        if reply.answer is None:
            detail = "the request that holds the key was started"
            return self.replies.unknown(call, Lost(Reason.DUPLICATE_KEY, detail))
        return self.replies.kept(call, reply.answer, reply.version)
