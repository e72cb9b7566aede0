"""Answers to callers: status, outcome, reason and when to come back."""

from msgspec.json import encode

from ridgecourse.core.outcome import Outcome, Reason
from ridgecourse.entry.attempt import Lost, Refused, Whole
from ridgecourse.entry.call import Call, CallFault
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
"""Seconds told to a caller where nothing better is known."""
STATUS_OF_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.ACCOUNT_LIMIT: 429,
    Reason.OVERLOADED: 429,
    Reason.DEADLINE: 504,
    Reason.DUPLICATE_KEY: 409,
}


class Replies:
    """Makes replies and reports how each request ended."""

    def __init__(self, context: EntryContext) -> None:
        self.context = context

    def headers(self, call: Call, outcome: Outcome | None = None) -> HeaderList:
        """Return the headers that every reply has."""
        headers = [(REQUEST_HEADER, str(call.request_id))]
        if outcome is not None:
            headers.append((OUTCOME_HEADER, outcome.value))
        return headers

    def note_end(self, call: Call, outcome: Outcome, reason: Reason) -> None:
        """Report how a request ended."""
        metric = {
            Outcome.COMPLETED: Metric.COMPLETED,
            Outcome.NOT_RUN: Metric.NOT_RUN,
            Outcome.UNKNOWN: Metric.UNKNOWN,
        }[outcome]
        self.context.metrics.count(metric)
        self.context.metrics.time(Metric.REQUEST_TIME, boottime() - call.received)
        self.context.events.emit(
            EventKind.REQUEST_ENDED,
            request=call.request_id,
            outcome=outcome.value,
            reason=reason.value,
        )

    def whole(self, call: Call, result: Whole) -> HttpReply:
        """Answer with a whole answer."""
        self.note_end(call, Outcome.COMPLETED, Reason.ADMITTED)
        headers = self.headers(call, Outcome.COMPLETED)
        return HttpReply(result.status, result.body, headers)

    def not_run(self, call: Call, refused: Refused) -> HttpReply:
        """Answer that a request was not run and will not be."""
        self.note_end(call, Outcome.NOT_RUN, refused.reason)
        status = STATUS_OF_REASON.get(refused.reason, 503)
        headers = self.headers(call, Outcome.NOT_RUN)
        headers.append((REASON_HEADER, refused.reason.value))
        after = refused.retry_after or DEFAULT_RETRY_AFTER
        headers.append((RETRY_AFTER_HEADER, str(max(1, round(after)))))
        return HttpReply(status, f"not run: {refused.reason.value}\n".encode(), headers)

    def unknown(self, call: Call, lost: Lost) -> HttpReply:
        """Answer that a request may have been run."""
        self.note_end(call, Outcome.UNKNOWN, lost.reason)
        status = 409 if lost.reason is Reason.DUPLICATE_KEY else 502
        headers = self.headers(call, Outcome.UNKNOWN)
        headers.append((REASON_HEADER, lost.reason.value))
        headers.append((RETRY_AFTER_HEADER, str(round(DEFAULT_RETRY_AFTER))))
        return HttpReply(status, f"unknown: {lost.detail}\n".encode(), headers)

    def fault(self, fault: CallFault) -> HttpReply:
        """Answer a request that was not taken."""
        self.context.metrics.count(Metric.BAD_INPUT)
        self.context.events.emit(
            EventKind.REQUEST_REFUSED, reason=fault.reason.value, detail=fault.detail
        )
        headers = [
            (OUTCOME_HEADER, Outcome.NOT_RUN.value),
            (REASON_HEADER, fault.reason.value),
        ]
        return HttpReply(fault.status, f"{fault.detail}\n".encode(), headers)

    def last(self, call: Call, outcome: Outcome, count: int, version: str) -> bytes:
        """Return the last line of a streamed answer, which tells its outcome."""
        reason = Reason.ADMITTED if outcome is Outcome.COMPLETED else Reason.TARGET_LOST
        self.note_end(call, outcome, reason)
        end = StreamEnd.DONE if outcome is Outcome.COMPLETED else StreamEnd.FAILED
        event = TokenEvent(
            end=end,
            count=count,
            version=version,
            outcome=outcome.value,
            reason=reason.value,
        )
        return encode(event) + b"\n"

    def kept(self, call: Call, answer: bytes, version: str) -> HttpReply:
        """Answer with what the first request under the key was answered."""
        if not version:
            return self.whole(call, Whole(200, answer))
        *tokens, _ = answer.split(b"\n")
        last = self.last(call, Outcome.COMPLETED, len(tokens), version)
        body = b"".join(line + b"\n" for line in tokens) + last
        return HttpReply(200, body, self.headers(call, Outcome.COMPLETED))
