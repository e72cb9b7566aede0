"""The gate before a target: what may run there, when, and with what proof.

Whatever a stale entry believes, the gate refuses work for a leaving target, work
whose deadline has passed, a second start of the same request, and work for
another life of this agent. A refusal proves that the request was not run.
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
from ridgecourse.net.broadcast import Broadcast
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
from ridgecourse.net.threads import spawn_loop
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
MAX_KEPT_ANSWER_BYTES = 64 * 1024
EXPIRY_SECONDS = 0.05
"""Between two looks for queued requests whose deadline has passed."""
TOKEN_STALL_SECONDS = 10.0
"""Longest wait for an engine's next token."""
DEFAULT_COST = 64
"""Cost units of a request that does not say how many tokens it asks for."""


class Gate:
    """Admits, runs and answers requests for one target.

    Attributes:
        queue: Decides who is next.
        register: Requests that were started or fenced.
        fences: Answers entries that ask what became of a request.
        stopping: Set at a planned stop; nothing new is admitted.
        changed: Notified when the number of requests changes.
    """

    def __init__(self, context: AgentContext, rollout: Rollout) -> None:
        self.context = context
        self.rollout = rollout
        self.kind = context.settings.engine.kind
        self.queue = AdmissionQueue(context.settings.engine.slots)
        self.register = KeyRegister()
        self.fences = Fences(context, self.register)
        self.waiting: dict[RequestId, Signal] = {}
        self.in_flight = 0
        self.stopping = False
        self.changed = Broadcast()
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Begin to look for lapsed deadlines."""
        self.thread = spawn_loop(self._expire)

    def close(self) -> None:
        """Stop looking."""
        if self.thread is not None:
            self.thread.kill()

    def add_routes(self, router: HttpRouter) -> None:
        """Serve work and fences on a router."""
        router.add("POST", WORK_PATH, self.handle_work)
        self.fences.add_routes(router)

    def ready(self) -> bool:
        """Tell whether the target takes requests."""
        return self._closed_reason() is None

    def _closed_reason(self) -> Reason | None:
        """Return why no request may run now, None if one may."""
        target = self.rollout.target()
        if self.stopping:
            return Reason.STOPPING
        if target is None:
            return Reason.NOT_READY
        if target.leaving:
            return Reason.LEAVING
        if not self.rollout.engine_seen:
            return Reason.NOT_READY
        if self.kind is ServiceKind.MODEL and not self.rollout.serving:
            return Reason.NOT_READY
        return None

    def handle_work(self, request: HttpRequest) -> HttpReply:
        """Answer an entry's request."""
        body = request.read_body(MAX_BODY_BYTES)
        if not request.is_signed(self.context.settings.shared_key, body):
            return self._refuse(Reason.UNAUTHENTICATED, status=401)
        decoded = decode_message(body, Work)
        if isinstance(decoded, Failure):
            self.context.events.emit(
                EventKind.BAD_INPUT, error=str(decoded.failure()), path=request.path
            )
            self.context.metrics.count(Metric.BAD_INPUT)
            return self._refuse(Reason.BAD_REQUEST, status=400)
        work = decoded.unwrap()
        self.context.events.merge(work.clock)
        return self._admit(work)

    def _admit(self, work: Work) -> HttpReply:
        """Queue a request, wait for its slot and run it."""
        now = boottime()
        ticket = Ticket(
            work.request_id,
            work.account,
            work.priority,
            work.weight,
            cost_of(work.body) if self.kind is ServiceKind.MODEL else DEFAULT_COST,
            Seconds(now + work.budget_ms / 1000.0),
        )
        reason = self._why_not(work)
        if reason is not None:
            return self._refuse(reason, work)
        come_back = self.queue.offer(ticket, now)
        if come_back is not None:
            return self._refuse(Reason.OVERLOADED, work, come_back)
        self._count(+1)
        admitted = self._wait_for_slot(ticket)
        if not admitted:
            self._count(-1)
            return self._refuse(Reason.DEADLINE, work, self.queue.service_time)
        return self._run(work, ticket)

    def _why_not(self, work: Work) -> Reason | None:
        """Return why a request may not run, whatever the load."""
        closed = self._closed_reason()
        if closed is not None:
            return closed
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
        self.waiting[ticket.request_id] = signal
        self._pump()
        try:
            return bool(signal.wait())
        finally:
            self.waiting.pop(ticket.request_id, None)

    def _pump(self) -> None:
        """Give free slots to those whose turn it is."""
        for ticket in self.queue.admit(boottime()):
            signal = self.waiting.get(ticket.request_id)
            if signal is None or signal.ready():
                self.queue.running -= 1
            else:
                signal.send(True)

    def _expire(self) -> None:
        while True:
            eventlet.sleep(EXPIRY_SECONDS)
            for ticket in self.queue.expire(boottime()):
                signal = self.waiting.get(ticket.request_id)
                if signal is not None and not signal.ready():
                    signal.send(False)

    def _count(self, change: int) -> None:
        self.in_flight += change
        self.context.metrics.gauge(Metric.IN_FLIGHT, self.in_flight)
        self.context.metrics.gauge(Metric.QUEUE_LENGTH, self.queue.waiting)
        self.changed.notify()

    def _run(self, work: Work, ticket: Ticket) -> HttpReply:
        """Run an admitted request; its slot is given back when it ends."""
        begun = boottime()
        reason = self._why_not(work)
        if reason is None and work.once and not self.register.start(work.request_id):
            if self.register.states[work.request_id].started:
                # This start is refused, but the request was run: no proof.
                self._end(begun)
                return self._unknown(work, "started before", Reason.DUPLICATE_KEY)
            reason = Reason.KEY_FENCED
        if reason is not None:
            self._end(begun)
            return self._refuse(reason, work)
        self.context.events.emit(
            EventKind.REQUEST_ADMITTED,
            request=work.request_id,
            target=self.context.target,
            version=self.rollout.serving,
        )
        left = ticket.deadline - begun
        try:
            if self.kind is ServiceKind.PLAIN:
                return self._call_plain(work, left, begun)
            return self._stream(work, left, begun)
        except NoConnection:
            self._end(begun)
            return self._refuse(Reason.ENGINE_FAILED, work, 1.0)
        except ExchangeFailed as error:
            self._end(begun)
            return self._unknown(work, str(error))

    def _end(self, begun: float) -> None:
        self.queue.release(boottime() - begun)
        self._count(-1)
        self._pump()

    def _call_plain(self, work: Work, left: float, begun: float) -> HttpReply:
        path = self.context.settings.engine.path
        response = self.context.engine.call(path, work.body, left)
        with closing(response):
            answer = b"".join(read_pieces(response, MAX_ANSWER_BYTES))
            status = response.status
        self._end(begun)
        if status >= 500:
            return self._unknown(work, f"service status {status}")
        self._keep_answer(work, answer, "")
        headers = self._headers(Outcome.COMPLETED, Reason.ADMITTED)
        return HttpReply(
            status if status in (200, 400, 404, 409) else 200, answer, headers
        )

    def _stream(self, work: Work, left: float, begun: float) -> HttpReply:
        serving = self.rollout.serving
        order = GenerateOrder(
            work.request_id,
            work.body.decode("utf-8", "replace"),
            work.start_at,
            serving,
            work.priority,
        )
        response = self.context.engine.generate(order, min(left, TOKEN_STALL_SECONDS))
        if response.status != 200:
            self._end(begun)
            return self._engine_refused(work, response)
        headers = [
            ("Content-Type", "application/x-ndjson"),
            (VERSION_HEADER, serving),
            (LOAD_HEADER, str(self.in_flight)),
        ]
        return HttpReply(200, self._relay(work, response, serving, begun), headers)

    def _engine_refused(self, work: Work, response: BaseHTTPResponse) -> HttpReply:
        """Answer for an engine that says it did not run a request."""
        with closing(response):
            if response.status == 400:
                return self._refuse(Reason.BAD_REQUEST, work, status=400)
            if response.status == 409:
                return self._refuse(Reason.WRONG_VERSION, work, 0.1)
            if response.status in (429, 503):
                return self._refuse(Reason.OVERLOADED, work, 0.5)
            return self._unknown(work, f"engine status {response.status}")

    def _relay(
        self, work: Work, response: BaseHTTPResponse, serving: str, begun: float
    ) -> Iterator[bytes]:
        """Yield the engine's lines; an early end is never passed on as a whole."""
        ended = False
        lines: list[bytes] = []
        try:
            with closing(response):
                for line in read_lines(response, MAX_LINE_BYTES):
                    event = decode(line, type=TokenEvent)
                    ended = event.end is StreamEnd.DONE and event.version == serving
                    if event.end is not None and not ended:
                        break
                    lines.append(line)
                    yield line + b"\n"
        except (ExchangeFailed, DecodeError):
            ended = False
        finally:
            if not ended:
                # The caller went away, or the engine failed: free its batch.
                eventlet.spawn_n(self.context.engine.cancel, work.request_id)
            self._end(begun)
        if ended:
            self._keep_answer(work, b"\n".join(lines), serving)
        else:
            yield encode(TokenEvent(end=StreamEnd.FAILED, version=serving)) + b"\n"

    def _keep_answer(self, work: Work, answer: bytes, version: str) -> None:
        if work.key is not None and len(answer) <= MAX_KEPT_ANSWER_BYTES:
            self.register.complete(work.request_id, answer, version)

    def _headers(self, outcome: Outcome, reason: Reason) -> list[tuple[str, str]]:
        return [
            (OUTCOME_HEADER, outcome.value),
            (REASON_HEADER, reason.value),
            (LOAD_HEADER, str(self.in_flight)),
        ]

    def _refuse(
        self,
        reason: Reason,
        work: Work | None = None,
        come_back: float = 0.0,
        status: int = 503,
    ) -> HttpReply:
        """Answer that a request was not run and will not be."""
        request = "" if work is None else work.request_id
        self.context.events.emit(
            EventKind.REQUEST_REFUSED,
            request=request,
            target=self.context.target,
            reason=reason.value,
        )
        headers = self._headers(Outcome.NOT_RUN, reason)
        if come_back:
            headers.append((RETRY_AFTER_HEADER, f"{come_back:.3f}"))
        return HttpReply(status, f"{reason.value}\n".encode(), headers)

    def _unknown(
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

    def drain(self) -> None:
        """Admit nothing new and wait until all requests have ended."""
        self.stopping = True
        self.changed.notify()
        limit = boottime() + self.context.settings.drain_seconds
        while self.in_flight and boottime() < limit:
            self.changed.wait(1.0)


def cost_of(body: bytes) -> int:
    """Return the work that a model request asks for, in tokens."""
    try:
        found = decode(body)
    except DecodeError:
        return DEFAULT_COST
    tokens = found.get("max_tokens") if isinstance(found, dict) else None
    return tokens if isinstance(tokens, int) and tokens > 0 else DEFAULT_COST
