"""Replies to clients: status, outcome, reason and time until a retry."""

from msgspec.json import encode

from ridgecourse.core.outcome import Outcome, Reason
from ridgecourse.entry.attempt import CompleteAnswer, OutcomeUnknown, Refused
from ridgecourse.entry.call import Call, CallRejection
from ridgecourse.entry.context import EntryContext
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind
from ridgecourse.net.http_server import HeaderList, HttpReply
from ridgecourse.net.metrics import Metric
from ridgecourse.wire.request import (
    OUTCOME_HEADER,
    REASON_HEADER,
    REQUEST_HEADER,
    RETRY_AFTER_HEADER,
    StreamEnd,
    TokenEvent,
)

DEFAULT_RETRY_AFTER = 1.0
"""Value of Retry-After, in seconds, where no better estimate is known."""
STATUS_OF_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.ACCOUNT_LIMIT: 429,
    Reason.OVERLOADED: 429,
    Reason.DEADLINE: 504,
    Reason.DUPLICATE_KEY: 409,
}


class ReplyBuilder:
    """Builds replies and records the outcome of each request."""

    def __init__(self, context: EntryContext) -> None:
        self.context = context

    def common_headers(self, call: Call, outcome: Outcome | None = None) -> HeaderList:
        """Return the headers that all replies have."""
        headers = [(REQUEST_HEADER, str(call.request_id))]
        if outcome is not None:
            headers.append((OUTCOME_HEADER, outcome.value))
        return headers

    def record_end(self, call: Call, outcome: Outcome, reason: Reason) -> None:
        """Record the outcome of a request in metrics and in the event stream."""
        metric = {
            Outcome.COMPLETED: Metric.COMPLETED,
            Outcome.NOT_RUN: Metric.NOT_RUN,
            Outcome.UNKNOWN: Metric.UNKNOWN,
        }[outcome]
        self.context.metrics.count(metric)
        self.context.metrics.time(Metric.REQUEST_TIME, boottime() - call.received_at)
        self.context.events.emit(
            EventKind.REQUEST_ENDED,
            request=call.request_id,
            outcome=outcome.value,
            reason=reason.value,
        )

    def complete(self, call: Call, result: CompleteAnswer) -> HttpReply:
        """Return the reply for a complete answer."""
        self.record_end(call, Outcome.COMPLETED, Reason.ADMITTED)
        headers = self.common_headers(call, Outcome.COMPLETED)
        return HttpReply(result.status, result.body, headers)

    def not_run(self, call: Call, refused: Refused) -> HttpReply:
        """Return the reply for a request that was not run and will not be run."""
        self.record_end(call, Outcome.NOT_RUN, refused.reason)
        status = STATUS_OF_REASON.get(refused.reason, 503)
        headers = self.common_headers(call, Outcome.NOT_RUN)
        headers.append((REASON_HEADER, refused.reason.value))
        retry_after = refused.retry_after or DEFAULT_RETRY_AFTER
        headers.append((RETRY_AFTER_HEADER, str(max(1, round(retry_after)))))
        return HttpReply(status, f"not run: {refused.reason.value}\n".encode(), headers)

    def unknown(self, call: Call, unknown_outcome: OutcomeUnknown) -> HttpReply:
        """Return the reply for a request that may have been run."""
        self.record_end(call, Outcome.UNKNOWN, unknown_outcome.reason)
        status = 409 if unknown_outcome.reason is Reason.DUPLICATE_KEY else 502
        headers = self.common_headers(call, Outcome.UNKNOWN)
        headers.append((REASON_HEADER, unknown_outcome.reason.value))
        headers.append((RETRY_AFTER_HEADER, str(round(DEFAULT_RETRY_AFTER))))
        return HttpReply(
            status, f"unknown: {unknown_outcome.detail}\n".encode(), headers
        )

    def rejected(self, rejection: CallRejection) -> HttpReply:
        """Return the reply for an invalid request."""
        self.context.metrics.count(Metric.BAD_INPUT)
        self.context.events.emit(
            EventKind.REQUEST_REFUSED,
            reason=rejection.reason.value,
            detail=rejection.detail,
        )
        headers = [
            (OUTCOME_HEADER, Outcome.NOT_RUN.value),
            (REASON_HEADER, rejection.reason.value),
        ]
        return HttpReply(rejection.status, f"{rejection.detail}\n".encode(), headers)

    def final_line(
        self, call: Call, outcome: Outcome, count: int, version: str
    ) -> bytes:
        """Return the last line of a streamed answer, which states the outcome."""
        reason = Reason.ADMITTED if outcome is Outcome.COMPLETED else Reason.TARGET_LOST
        self.record_end(call, outcome, reason)
        end = StreamEnd.DONE if outcome is Outcome.COMPLETED else StreamEnd.FAILED
        event = TokenEvent(
            end=end,
            count=count,
            version=version,
            outcome=outcome.value,
            reason=reason.value,
        )
        return encode(event) + b"\n"

    def stored_answer(self, call: Call, answer: bytes, version: str) -> HttpReply:
        """Return the stored answer of the first request with the same key."""
        if not version:
            return self.complete(call, CompleteAnswer(200, answer))
        *tokens, _ = answer.split(b"\n")
        final_line = self.final_line(call, Outcome.COMPLETED, len(tokens), version)
        body = b"".join(line + b"\n" for line in tokens) + final_line
        return HttpReply(200, body, self.common_headers(call, Outcome.COMPLETED))
