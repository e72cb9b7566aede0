"""Dispatches client requests to targets and answers with an outcome.

A request is routed to a target, retried at other targets within the retry budget
and the deadline, and answered with a proven outcome: completed, not run or
unknown. A request with an idempotency key is dispatched only by the request that
holds the key in the log.
"""

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
from ridgecourse.core.retry import RetryBudget, RetryTerms
from ridgecourse.core.routing import REQUEST_WEIGHT, TOKEN_WEIGHT
from ridgecourse.entry.agent_links import AgentLinks, AgentView
from ridgecourse.entry.attempt import (
    AttemptResult,
    AttemptSender,
    CompleteAnswer,
    OutcomeUnknown,
    Refused,
    StreamStarted,
)
from ridgecourse.entry.call import Call, parse_call
from ridgecourse.entry.claim_writer import ClaimResult, ClaimWriter
from ridgecourse.entry.context import EntryContext
from ridgecourse.entry.replies import DEFAULT_RETRY_AFTER, ReplyBuilder
from ridgecourse.entry.target_chooser import Candidate, TargetChooser
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
MAX_KEY_TAKEOVERS = 3
FENCE_DELAY_SECONDS = 0.1
RETRY_TERMS = RetryTerms(share=10.0, window_seconds=10.0, may_use_share=True)


class DispatchResult(NamedTuple):
    """Result of the last attempt of a request, and the target that answered."""

    result: AttemptResult
    candidate: Candidate | None


class Dispatcher:
    """Answers client requests.

    Attributes:
        budget: Limits the retries over all requests of this entry.
        in_flight: Number of requests in progress, by client account.
    """

    def __init__(
        self, context: EntryContext, links: AgentLinks, claims: ClaimWriter
    ) -> None:
        self.context = context
        self.claims = claims
        self.attempt_sender = AttemptSender(context)
        self.replies = ReplyBuilder(context)
        self.chooser = TargetChooser(context, links)
        self.budget = RetryBudget()
        self.in_flight: dict[AccountName, int] = {}

    def close(self) -> None:
        """Close idle connections."""
        self.attempt_sender.close()

    def total_in_flight(self) -> int:
        """Return the number of requests in progress."""
        return sum(self.in_flight.values())

    def handle(self, request: HttpRequest) -> HttpReply:
        """Answer a client's request."""
        parsed = parse_call(request, self.context.config.state, boottime())
        if isinstance(parsed, Failure):
            return self.replies.rejected(parsed.failure())
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
        self._change_in_flight(call, +1)
        streaming = False
        try:
            self.budget.record_request(self.context.settings.retry_ratio)
            reply = self._answer(call)
            streaming = not isinstance(reply.body, bytes)
            return reply
        finally:
            if not streaming:
                self._change_in_flight(call, -1)

    def _change_in_flight(self, call: Call, delta: int) -> None:
        account = call.account.account
        self.in_flight[account] = self.in_flight.get(account, 0) + delta
        self.context.metrics.gauge(Metric.IN_FLIGHT, self.total_in_flight())

    def _answer(self, call: Call) -> HttpReply:
        if call.key is not None:
            return self._answer_keyed(call)
        return self._make_reply(call, self._try_targets(call, call.request_id))

    def _make_reply(self, call: Call, dispatched: DispatchResult) -> HttpReply:
        result = dispatched.result
        if isinstance(result, Refused):
            return self.replies.not_run(call, result)
        if isinstance(result, OutcomeUnknown):
            return self.replies.unknown(call, result)
        if isinstance(result, CompleteAnswer):
            return self.replies.complete(call, result)
        assert dispatched.candidate is not None
        headers = [
            *self.replies.common_headers(call),
            ("Content-Type", "application/x-ndjson"),
            (VERSION_HEADER, result.version),
        ]
        return HttpReply(200, self._relay(call, result, dispatched.candidate), headers)

    # Attempts.

    def _try_targets(
        self,
        call: Call,
        request_id: RequestId,
        start_at: int = 0,
        version: str = "",
        tried: set[TargetName] | None = None,
    ) -> DispatchResult:
        """Send a request to targets in turn until one of them answers.

        Attempts, retry budget and deadline limit the retries. A refusal proves
        that the request was not run, so any request may be retried at another
        target. After an unknown outcome only a repeatable request may be retried.
        """
        tried = set() if tried is None else tried
        last_result: AttemptResult = Refused(Reason.NO_TARGET, DEFAULT_RETRY_AFTER)
        for attempt in range(MAX_ATTEMPTS):
            candidate = self.chooser.choose(call, tried)
            if candidate is None or (
                attempt and not self._may_retry(call, last_result)
            ):
                return DispatchResult(last_result, None)
            tried.add(candidate.target.target)
            last_result = self._try_target(
                call, candidate, request_id, start_at, version
            )
            if isinstance(last_result, (CompleteAnswer, StreamStarted)):
                return DispatchResult(last_result, candidate)
        return DispatchResult(last_result, None)

    def _may_retry(self, call: Call, last_result: AttemptResult) -> bool:
        if isinstance(last_result, OutcomeUnknown) and not call.repeatable:
            return False
        if (
            isinstance(last_result, Refused)
            and last_result.reason is Reason.BAD_REQUEST
        ):
            return False
        now = boottime()
        if now >= call.deadline or not self.budget.spend_retry(RETRY_TERMS, now):
            return False
        self.context.metrics.count(Metric.RETRIES)
        self.context.events.emit(EventKind.REQUEST_RETRIED, request=call.request_id)
        return True

    def _try_target(
        self,
        call: Call,
        candidate: Candidate,
        request_id: RequestId,
        start_at: int = 0,
        version: str = "",
    ) -> AttemptResult:
        target, view = candidate
        started_at = boottime()
        self.context.events.emit(
            EventKind.REQUEST_DISPATCHED,
            request=request_id,
            target=target.target,
            load=round(view.load.load(Seconds(started_at)), 1),
            latency=round(view.load.latency, 4),
        )
        view.load.outstanding += 1
        result = self.attempt_sender.send(
            call, target, view, request_id, start_at, version
        )
        if isinstance(result, StreamStarted):
            return result
        view.load.outstanding -= 1
        now = boottime()
        if isinstance(result, CompleteAnswer):
            view.load.record_success()
            view.load.record_latency(now - started_at, now, REQUEST_WEIGHT)
        elif isinstance(result, OutcomeUnknown) or result.target_failed:
            self._record_target_failure(view, target, now)
        elif result.reason is Reason.WRONG_INCARNATION:
            view.incarnation = None
        return result

    def _record_target_failure(
        self, view: AgentView, target: Target, now: Seconds
    ) -> None:
        view.load.record_failure(now)
        if view.load.is_ejected(now):
            self.context.events.emit(EventKind.TARGET_EJECTED, target=target.target)

    # Streams.

    def _relay(
        self, call: Call, first_stream: StreamStarted, candidate: Candidate
    ) -> Iterator[bytes]:
        """Yield the lines of a streamed answer.

        If the target is lost, the stream is resumed at another target. The
        answer ends with an event that states the outcome; a client that does not
        receive this event knows that the answer is incomplete.
        """
        tried = {candidate.target.target}
        stream, sent_tokens = first_stream, 0
        outcome_recorded = False
        try:
            while True:
                for event in self._read_events(stream, candidate, sent_tokens):
                    if event.end is StreamEnd.DONE:
                        outcome_recorded = True
                        yield self.replies.final_line(
                            call, Outcome.COMPLETED, sent_tokens, first_stream.version
                        )
                        return
                    sent_tokens += 1
                    yield encode(event) + b"\n"
                resumed = self._resume(call, tried, sent_tokens, first_stream.version)
                if resumed is None:
                    break
                stream, candidate = resumed
                tried.add(candidate.target.target)
            outcome_recorded = True
            yield self.replies.final_line(
                call, Outcome.UNKNOWN, sent_tokens, first_stream.version
            )
        finally:
            self._change_in_flight(call, -1)
            if not outcome_recorded:
                self.replies.record_end(call, Outcome.UNKNOWN, Reason.TARGET_LOST)

    def _read_events(
        self, stream: StreamStarted, candidate: Candidate, sent_tokens: int
    ) -> Iterator[TokenEvent]:
        """Yield the events of one target in order; stop early if the target fails."""
        load = candidate.view.load
        expected = sent_tokens
        completed = False
        last_event_at: Seconds | None = None
        try:
            with closing(stream.response) as response:
                for line in read_lines(response, MAX_LINE_BYTES):
                    event = decode(line, type=TokenEvent)
                    if event.end is StreamEnd.DONE:
                        completed = event.count == expected
                        if completed:
                            yield event
                        return
                    if event.end is not None or event.seq != expected:
                        return
                    expected += 1
                    now = boottime()
                    if last_event_at is not None:
                        load.record_latency(now - last_event_at, now, TOKEN_WEIGHT)
                    last_event_at = now
                    yield event
        except (ExchangeFailed, DecodeError):
            completed = False
        finally:
            load.outstanding -= 1
            if completed:
                load.record_success()
            else:
                self._record_target_failure(
                    candidate.view, candidate.target, boottime()
                )

    def _resume(
        self, call: Call, tried: set[TargetName], sent_tokens: int, version: str
    ) -> tuple[StreamStarted, Candidate] | None:
        """Resume a repeatable stream at another target that serves the same version."""
        if not self._may_retry(call, OutcomeUnknown(Reason.TARGET_LOST, "")):
            return None
        dispatched = self._try_targets(
            call, call.request_id, sent_tokens, version, tried
        )
        if (
            isinstance(dispatched.result, StreamStarted)
            and dispatched.candidate is not None
        ):
            return dispatched.result, dispatched.candidate
        return None

    # Requests with an idempotency key.

    def _answer_keyed(self, call: Call) -> HttpReply:
        """Claim the key in the log, then dispatch the request at most once.

        A claim of another request, or of an earlier attempt of this request, is
        taken over only with proof that the request that holds the claim was not
        run and never will be.
        """
        replaces: RequestId | None = None
        tried: set[TargetName] = set()
        refused = Refused(Reason.NO_TARGET, DEFAULT_RETRY_AFTER)
        for _ in range(MAX_KEY_TAKEOVERS):
            candidate = self.chooser.choose(call, tried)
            if candidate is None:
                return self.replies.not_run(call, refused)
            tried.add(candidate.target.target)
            if not self._ensure_incarnation(candidate):
                continue
            claim = self._make_claim(call, candidate, replaces)
            remaining = call.deadline - boottime()
            claim_timeout = min(self.context.settings.claim_seconds, remaining)
            result, holder = self.claims.claim(claim, claim_timeout)
            if result is ClaimResult.NO_LOG:
                return self.replies.not_run(
                    call, Refused(Reason.NO_LOG, DEFAULT_RETRY_AFTER)
                )
            self.context.events.emit(
                EventKind.KEY_CLAIMED, request=claim.request_id, result=result.value
            )
            if result is ClaimResult.WON:
                answer = self._try_target(call, candidate, claim.request_id)
                if not isinstance(answer, Refused):
                    return self._make_reply(call, DispatchResult(answer, candidate))
                refused = answer
                replaces = claim.request_id
                if answer.reason is Reason.KEY_FENCED:
                    # Another entry took the key over before this dispatch arrived.
                    tried.clear()
                else:
                    self.claims.release(claim)
                continue
            assert holder is not None
            holder_reply = self._answer_from_holder(call, holder)
            if holder_reply is not None:
                return holder_reply
            replaces = holder.request_id
            tried.clear()
        if refused.reason is Reason.KEY_FENCED:
            # This request was not run, but another with the same key may have been.
            return self.replies.unknown(
                call, OutcomeUnknown(refused.reason, "key taken over")
            )
        return self.replies.not_run(call, refused)

    def _ensure_incarnation(self, candidate: Candidate) -> bool:
        """Check whether the agent's incarnation is known; ask the agent if not."""
        if candidate.view.incarnation is None:
            candidate.view.incarnation = self.attempt_sender.fetch_incarnation(
                candidate.target
            )
        return candidate.view.incarnation is not None

    def _make_claim(
        self, call: Call, candidate: Candidate, replaces: RequestId | None
    ) -> Claim:
        assert call.key is not None and candidate.view.incarnation is not None
        return Claim(
            call.service.fleet,
            call.account.account,
            call.key,
            RequestId(uuid4().hex),
            candidate.target.target,
            candidate.view.incarnation,
            replaces,
        )

    def _answer_from_holder(self, call: Call, holder: Claim) -> HttpReply | None:
        """Answer with the outcome of the request that holds the key.

        Returns:
            The reply; None if the holder's request was not started and is now
            fenced, so that the key may be taken over.
        """
        targets = self.context.config.state.targets
        target = targets.get((holder.fleet, holder.target))
        reply = None
        # The holder may have won the key just now: its dispatch gets time to reach
        # the agent before the fence does.
        eventlet.sleep(FENCE_DELAY_SECONDS)
        if target is not None:
            reply = self.attempt_sender.fence(
                target, holder.request_id, holder.incarnation
            )
        if reply is None or not reply.known:
            detail = "the request that holds the key cannot be asked after"
            return self.replies.unknown(
                call, OutcomeUnknown(Reason.DUPLICATE_KEY, detail)
            )
        if not reply.started:
            return None
        if reply.answer is None:
            detail = "the request that holds the key was started"
            return self.replies.unknown(
                call, OutcomeUnknown(Reason.DUPLICATE_KEY, detail)
            )
        return self.replies.stored_answer(call, reply.answer, reply.version)
