"""Admission control for one target: decides which requests run, and when.

The gate queues requests, gives them slots of the engine and relays the answers.
Entries may act on stale state, so the gate itself refuses work for a leaving
target, work whose deadline has passed, a second start of the same request, and
work for another incarnation of this agent. A refusal proves that the request was
not run.
"""

from collections.abc import Iterator
from contextlib import closing

import eventlet
from eventlet.event import Event as Signal
from msgspec import DecodeError
from msgspec.json import decode, encode
from returns.result import Failure
from urllib3 import BaseHTTPResponse

from ridgecourse.agent.context import MAX_BODY_BYTES, AgentContext
from ridgecourse.agent.fences import Fences
from ridgecourse.agent.rollout import Rollout
from ridgecourse.core.admission import AdmissionQueue, Ticket
from ridgecourse.core.change import ServiceKind
from ridgecourse.core.claim import KeyRegister
from ridgecourse.core.ids import RequestId, Seconds
from ridgecourse.core.outcome import Outcome, Reason
from ridgecourse.native.engine import GenerateOrder
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind
from ridgecourse.net.http_client import (
    ExchangeFailed,
    NoConnection,
    read_lines,
    read_pieces,
)
from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter
from ridgecourse.net.metrics import Metric
from ridgecourse.net.threads import Broadcast, spawn_loop
from ridgecourse.wire.codec import decode_message
from ridgecourse.wire.request import (
    LOAD_HEADER,
    MAX_ANSWER_BYTES,
    OUTCOME_HEADER,
    REASON_HEADER,
    RETRY_AFTER_HEADER,
    VERSION_HEADER,
    WORK_PATH,
    StreamEnd,
    TokenEvent,
    Work,
)

MAX_LINE_BYTES = 64 * 1024
MAX_STORED_ANSWER_BYTES = 64 * 1024
EXPIRY_INTERVAL_SECONDS = 0.05
"""Interval, in seconds, between checks for queued requests past their deadline."""
TOKEN_STALL_SECONDS = 10.0
"""Longest wait, in seconds, for the next token of an engine."""
DEFAULT_COST = 64
"""Cost, in tokens, of a request that does not state a number of tokens."""


class AdmissionGate:
    """Admits, runs and answers requests for one target.

    Attributes:
        queue: Decides which request runs next.
        register: Requests that were started or fenced.
        fences: Answers entries that fence a request.
        admission_signals: Signal of each queued request: true admits the
            request, false reports that its deadline has passed.
        stopping: Whether a planned stop has begun; no new request is admitted.
        changed: Notified when the number of requests changes.
    """

    def __init__(self, context: AgentContext, rollout: Rollout) -> None:
        self.context = context
        self.rollout = rollout
        self.kind = context.settings.engine.kind
        self.queue = AdmissionQueue(context.settings.engine.slots)
        self.register = KeyRegister()
        self.fences = Fences(context, self.register)
        self.admission_signals: dict[RequestId, Signal] = {}
        self.in_flight = 0
        self.stopping = False
        self.changed = Broadcast()
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start the thread that expires queued requests."""
        self.thread = spawn_loop(self._expire_queued)

    def close(self) -> None:
        """Stop the thread that expires queued requests."""
        if self.thread is not None:
            self.thread.kill()

    def add_routes(self, router: HttpRouter) -> None:
        """Add the routes for work and fences to a router."""
        router.add("POST", WORK_PATH, self.handle_work)
        self.fences.add_routes(router)

    def is_ready(self) -> bool:
        """Check whether the target accepts requests."""
        return self._unavailable_reason() is None

    def _unavailable_reason(self) -> Reason | None:
        """Return why the target accepts no requests, or None if it accepts them."""
        target = self.rollout.target()
        if self.stopping:
            return Reason.STOPPING
        if target is None:
            return Reason.NOT_READY
        if target.leaving:
            return Reason.LEAVING
        if not self.rollout.engine_reachable:
            return Reason.NOT_READY
        if self.kind is ServiceKind.MODEL and not self.rollout.serving:
            return Reason.NOT_READY
        return None

    def handle_work(self, request: HttpRequest) -> HttpReply:
        """Answer an entry's request."""
        body = request.read_body(MAX_BODY_BYTES)
        if not request.is_signed(self.context.settings.shared_key, body):
            return self._reply_refused(Reason.UNAUTHENTICATED, status=401)
        decoded = decode_message(body, Work)
        if isinstance(decoded, Failure):
            self.context.events.emit(
                EventKind.BAD_INPUT, error=str(decoded.failure()), path=request.path
            )
            self.context.metrics.count(Metric.BAD_INPUT)
            return self._reply_refused(Reason.BAD_REQUEST, status=400)
        work = decoded.unwrap()
        self.context.events.merge(work.clock)
        return self._admit(work)

    def _admit(self, work: Work) -> HttpReply:
        """Queue a request, wait for a slot and run the request."""
        now = boottime()
        ticket = Ticket(
            work.request_id,
            work.account,
            work.priority,
            work.weight,
            token_cost(work.body) if self.kind is ServiceKind.MODEL else DEFAULT_COST,
            Seconds(now + work.budget_ms / 1000.0),
        )
        reason = self._refusal_reason(work)
        if reason is not None:
            return self._reply_refused(reason, work)
        retry_after = self.queue.offer(ticket, now)
        if retry_after is not None:
            return self._reply_refused(Reason.OVERLOADED, work, retry_after)
        self._change_in_flight(+1)
        admitted = self._wait_for_slot(ticket)
        if not admitted:
            self._change_in_flight(-1)
            return self._reply_refused(Reason.DEADLINE, work, self.queue.service_time)
        return self._run(work, ticket)

    def _refusal_reason(self, work: Work) -> Reason | None:
        """Return why a request must be refused at any load, or None."""
        unavailable_reason = self._unavailable_reason()
        if unavailable_reason is not None:
            return unavailable_reason
        if work.budget_ms <= 0:
            return Reason.DEADLINE
        if work.version and work.version != self.rollout.serving:
            return Reason.WRONG_VERSION
        if work.incarnation not in (None, self.context.incarnation):
            return Reason.WRONG_INCARNATION
        if work.key is not None and work.incarnation is None:
            return Reason.WRONG_INCARNATION
        return None

    def _wait_for_slot(self, ticket: Ticket) -> bool:
        signal = Signal()
        self.admission_signals[ticket.request_id] = signal
        self._fill_slots()
        try:
            return bool(signal.wait())
        finally:
            self.admission_signals.pop(ticket.request_id, None)

    def _fill_slots(self) -> None:
        """Admit queued requests to the free slots."""
        for ticket in self.queue.admit(boottime()):
            signal = self.admission_signals.get(ticket.request_id)
            if signal is None or signal.ready():
                self.queue.running -= 1
            else:
                signal.send(True)

    def _expire_queued(self) -> None:
        while True:
            eventlet.sleep(EXPIRY_INTERVAL_SECONDS)
            for ticket in self.queue.expire(boottime()):
                signal = self.admission_signals.get(ticket.request_id)
                if signal is not None and not signal.ready():
                    signal.send(False)

    def _change_in_flight(self, delta: int) -> None:
        self.in_flight += delta
        self.context.metrics.gauge(Metric.IN_FLIGHT, self.in_flight)
        self.context.metrics.gauge(Metric.QUEUE_LENGTH, self.queue.waiting)
        self.changed.notify()

    def _run(self, work: Work, ticket: Ticket) -> HttpReply:
        """Run an admitted request and release its slot at the end."""
        started_at = boottime()
        reason = self._refusal_reason(work)
        if reason is None and work.once and not self.register.start(work.request_id):
            if self.register.states[work.request_id].started:
                # This start is refused, but an earlier start of the request ran it, so
                # the reply must not claim that the request was not run.
                self._release_slot(started_at)
                return self._reply_unknown(work, "started before", Reason.DUPLICATE_KEY)
            reason = Reason.KEY_FENCED
        if reason is not None:
            self._release_slot(started_at)
            return self._reply_refused(reason, work)
        self.context.events.emit(
            EventKind.REQUEST_ADMITTED,
            request=work.request_id,
            target=self.context.target,
            version=self.rollout.serving,
        )
        remaining = ticket.deadline - started_at
        try:
            if self.kind is ServiceKind.PLAIN:
                return self._call_plain_service(work, remaining, started_at)
            return self._start_stream(work, remaining, started_at)
        except NoConnection:
            self._release_slot(started_at)
            return self._reply_refused(Reason.ENGINE_FAILED, work, 1.0)
        except ExchangeFailed as error:
            self._release_slot(started_at)
            return self._reply_unknown(work, str(error))

    def _release_slot(self, started_at: float) -> None:
        self.queue.release(boottime() - started_at)
        self._change_in_flight(-1)
        self._fill_slots()

    def _call_plain_service(
        self, work: Work, remaining: float, started_at: float
    ) -> HttpReply:
        path = self.context.settings.engine.path
        response = self.context.engine.call(path, work.body, remaining)
        with closing(response):
            answer = b"".join(read_pieces(response, MAX_ANSWER_BYTES))
            status = response.status
        self._release_slot(started_at)
        if status >= 500:
            return self._reply_unknown(work, f"service status {status}")
        self._store_answer(work, answer, "")
        headers = self._headers(Outcome.COMPLETED, Reason.ADMITTED)
        return HttpReply(
            status if status in (200, 400, 404, 409) else 200, answer, headers
        )

    def _start_stream(
        self, work: Work, remaining: float, started_at: float
    ) -> HttpReply:
        serving = self.rollout.serving
        order = GenerateOrder(
            work.request_id,
            work.body.decode("utf-8", "replace"),
            work.start_at,
            serving,
            work.priority,
        )
        response = self.context.engine.generate(
            order, min(remaining, TOKEN_STALL_SECONDS)
        )
        if response.status != 200:
            self._release_slot(started_at)
            return self._reply_engine_refused(work, response)
        headers = [
            ("Content-Type", "application/x-ndjson"),
            (VERSION_HEADER, serving),
            (LOAD_HEADER, str(self.in_flight)),
        ]
        return HttpReply(200, self._relay(work, response, serving, started_at), headers)

    def _reply_engine_refused(
        self, work: Work, response: BaseHTTPResponse
    ) -> HttpReply:
        """Return the reply for an engine status other than 200."""
        with closing(response):
            if response.status == 400:
                return self._reply_refused(Reason.BAD_REQUEST, work, status=400)
            if response.status == 409:
                return self._reply_refused(Reason.WRONG_VERSION, work, 0.1)
            if response.status in (429, 503):
                return self._reply_refused(Reason.OVERLOADED, work, 0.5)
            return self._reply_unknown(work, f"engine status {response.status}")

    def _relay(
        self, work: Work, response: BaseHTTPResponse, serving: str, started_at: float
    ) -> Iterator[bytes]:
        """Yield the engine's lines; a truncated answer never ends as a complete one."""
        completed = False
        lines: list[bytes] = []
        try:
            with closing(response):
                for line in read_lines(response, MAX_LINE_BYTES):
                    event = decode(line, type=TokenEvent)
                    completed = event.end is StreamEnd.DONE and event.version == serving
                    if event.end is not None and not completed:
                        break
                    lines.append(line)
                    yield line + b"\n"
        except (ExchangeFailed, DecodeError):
            completed = False
        finally:
            if not completed:
                # Client disconnected or engine failed: free the request's batch slot.
                eventlet.spawn_n(self.context.engine.cancel, work.request_id)
            self._release_slot(started_at)
        if completed:
            self._store_answer(work, b"\n".join(lines), serving)
        else:
            yield encode(TokenEvent(end=StreamEnd.FAILED, version=serving)) + b"\n"

    def _store_answer(self, work: Work, answer: bytes, version: str) -> None:
        if work.key is not None and len(answer) <= MAX_STORED_ANSWER_BYTES:
            self.register.complete(work.request_id, answer, version)

    def _headers(self, outcome: Outcome, reason: Reason) -> list[tuple[str, str]]:
        return [
            (OUTCOME_HEADER, outcome.value),
            (REASON_HEADER, reason.value),
            (LOAD_HEADER, str(self.in_flight)),
        ]

    def _reply_refused(
        self,
        reason: Reason,
        work: Work | None = None,
        retry_after: float = 0.0,
        status: int = 503,
    ) -> HttpReply:
        """Return the reply for a request that was not run and will not be run."""
        request = "" if work is None else work.request_id
        self.context.events.emit(
            EventKind.REQUEST_REFUSED,
            request=request,
            target=self.context.target,
            reason=reason.value,
        )
        headers = self._headers(Outcome.NOT_RUN, reason)
        if retry_after:
            headers.append((RETRY_AFTER_HEADER, f"{retry_after:.3f}"))
        return HttpReply(status, f"{reason.value}\n".encode(), headers)

    def _reply_unknown(
        self, work: Work, detail: str, reason: Reason = Reason.ENGINE_FAILED
    ) -> HttpReply:
        self.context.events.emit(
            EventKind.REQUEST_ENDED,
            request=work.request_id,
            target=self.context.target,
            outcome=Outcome.UNKNOWN.value,
            detail=detail,
        )
        headers = self._headers(Outcome.UNKNOWN, reason)
        return HttpReply(502, f"{detail}\n".encode(), headers)

    def drain(self, deadline: float) -> None:
        """Refuse new requests and wait until all admitted requests have ended.

        Args:
            deadline: When to return at the latest, on this process's clock.
        """
        self.stopping = True
        self.changed.notify()
        while self.in_flight and (remaining := deadline - boottime()) > 0.0:
            self.changed.wait(min(remaining, 1.0))


def token_cost(body: bytes) -> int:
    """Return the cost of a model request: the tokens that it asks for."""
    try:
        fields = decode(body)
    except DecodeError:
        return DEFAULT_COST
    tokens = fields.get("max_tokens") if isinstance(fields, dict) else None
    return tokens if isinstance(tokens, int) and tokens > 0 else DEFAULT_COST
