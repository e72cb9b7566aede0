"""Send one request to one target and classify the result."""

from collections.abc import Callable, Iterator, Mapping
from random import Random

from msgspec import Struct, structs

from ridgecourse.core.allowed_regions import RegionRestriction
from ridgecourse.core.crash_reports import Flight
from ridgecourse.core.eligibility import Exclusion, ExclusionSummary
from ridgecourse.core.engine_load import EngineLoad
from ridgecourse.core.ids import (
    AccountName,
    PartSignature,
    RequestSignature,
    Seconds,
    TargetId,
    WeightsVersion,
)
from ridgecourse.core.memory_budget import Reservation
from ridgecourse.core.outcome import Reason
from ridgecourse.core.recent_peak import RecentPeak
from ridgecourse.core.retry import return_delay_seconds
from ridgecourse.core.target_list import ListedTarget
from ridgecourse.gateway.announcement_watch import AttemptGuard
from ridgecourse.gateway.constraints import HOLD_REASONS, refusal_reason
from ridgecourse.gateway.event_stream import (
    EventReader,
    StreamEvent,
    StreamTruncated,
)
from ridgecourse.gateway.messages import AnswerHead, ClientRequest, SendTerms
from ridgecourse.gateway.protocol import RequestProtocol
from ridgecourse.net.answer_end import BodyEnd, HeadEnd
from ridgecourse.net.clock import boottime
from ridgecourse.net.exchange import (
    Exchange,
    ExchangeBroken,
    ExchangeTimeout,
    NotSent,
    TargetDisconnected,
)
from ridgecourse.net.request_body import Body

CONNECT_TIMEOUT_SECONDS = 0.3
"""Longest wait for a connection: some 30 round trips between the farthest failure
domains, and well below the objective of any known route (400 ms)."""
RETURN_MARGIN_SECONDS = 0.02
"""Part of the deadline reserved for the transfer of the answer to the client."""
MAX_ANSWER_BYTES = 64 * 1024 * 1024
NO_TARGET_REASONS = (Reason.NO_TARGET, Reason.WRONG_TARGET, Reason.LEAVING)
"""Reasons of refusals for which no target could serve the request at all."""


class RoutedRequest(Struct):
    """A request with its route's decisions and limits.

    Attributes:
        call: The client's request.
        body: Body; None if the request has none.
        account: The client account that the request is charged to.
        restriction: Regions in which the request may be served.
        deadline: Time by which the request must be answered.
        version: The only version of weights that may run the request; None for any.
        begin_by: Latest start at the target; None for any time.
        last_event: Event after which the stream is resumed.
        sent_unnumbered: Whether the client has received events without an id after
            ``last_event``, which an engine that resumes the stream would repeat.
        signature: Digest of the request's content, equal for each retry.
        parts: Digests of the parts of the prompt that other requests may share.
        waited: Seconds that the client waited before it sent the request to this
            gateway.
        excess: Seconds by which the estimated wait exceeds the limit, if the request is
            shed.
        is_abandoned: Returns whether the client has disconnected.
        send_count: Number of targets to which the request was written so far.
        memory: Holds the memory of the request and of its answer; None if that is not
            limited.
    """

    call: ClientRequest
    body: Body | None
    account: AccountName | None
    restriction: RegionRestriction
    deadline: Seconds
    version: WeightsVersion | None
    begin_by: Seconds | None
    last_event: int | None
    signature: RequestSignature
    waited: float
    excess: float
    is_abandoned: Callable[[], bool]
    sent_unnumbered: bool = False
    parts: tuple[PartSignature, ...] = ()
    send_count: int = 0
    memory: Reservation | None = None


class NotRun(Struct, frozen=True):
    """The target did not run the request and will not run it.

    Attributes:
        reason: Reason code.
        detail: Description of the observed cause.
        arrived: Whether the request reached the target.
        come_back: Seconds after which the client may retry, if known.
        excluded: Number of targets that were not eligible, by reason.
        head_end: How the head of the answer ended; None if no answer was awaited.
    """

    reason: Reason
    detail: str
    arrived: bool
    come_back: float | None = None
    excluded: Mapping[str, int] = {}
    head_end: HeadEnd | None = None


class Unknown(Struct, frozen=True):
    """The request may have run.

    Attributes:
        detail: Description of the observed cause.
        late: Whether the deadline expired.
        disconnected: Whether the target closed the connection.
        body_end: How the body ended; None if no body began.
        head_end: How the head of the answer ended; None if no answer was awaited.
    """

    detail: str
    late: bool
    disconnected: bool = False
    body_end: BodyEnd | None = None
    head_end: HeadEnd | None = None


class Whole(Struct, frozen=True):
    """The complete answer of the target.

    Attributes:
        head: Head of the answer.
        body: The whole body.
        body_end: How the body ended.
        head_end: How the head ended.
    """

    head: AnswerHead
    body: Body
    body_end: BodyEnd | None = None
    head_end: HeadEnd | None = None


class Stream(Struct):
    """A streamed answer whose first event has arrived.

    Attributes:
        head: Head of the answer.
        events: All events of the answer; raises ``ExchangeBroken`` if the stream is
            interrupted.
        exchange: Connection of the stream; the consumer of the events closes it.
        reader: Splits the body into events.
        target: Target that sends the stream.
        load: Load of the incarnation that sends the stream; counts the request until
            the stream ends.
        flight: The request at the engine.
    """

    head: AnswerHead
    events: Iterator[StreamEvent]
    exchange: Exchange
    reader: EventReader
    target: TargetId
    load: EngineLoad | None = None
    flight: Flight | None = None

    @property
    def head_end(self) -> HeadEnd | None:
        """How the head of the answer ended."""
        return self.exchange.head_end


SendResult = NotRun | Unknown | Whole | Stream


class Sender:
    """Sends requests in a platform's protocol."""

    def __init__(self, protocol: RequestProtocol) -> None:
        self.protocol = protocol

    def send(
        self,
        routed: RoutedRequest,
        target: ListedTarget,
        network_delay: RecentPeak,
        guard: AttemptGuard,
    ) -> SendResult:
        """Send a request to a target and wait for the start of the answer.

        A stream starts with its first complete event; until then a client has received
        nothing and the request may go to another target.

        Args:
            routed: The request.
            target: The target.
            network_delay: Records the time in which the connection was established.
            guard: Decides whether the request may still be sent to the target.
        """
        if exclusion := guard.check():
            return _make_refusal(exclusion)
        exchange = Exchange(target.address, routed.deadline)
        result: SendResult | None = None
        try:
            extra_delay = self._connect(exchange, network_delay)
            if routed.begin_by is not None:
                routed.begin_by = Seconds(routed.begin_by - extra_delay)
            result = self._exchange(exchange, routed, target, guard)
        except NotSent as error:
            result = NotRun(Reason.UNREACHABLE, str(error), arrived=False)
        except ExchangeTimeout as error:
            result = Unknown(str(error), late=True)
        except TargetDisconnected as error:
            result = Unknown(
                str(error), late=False, disconnected=True, body_end=exchange.body_end
            )
        except ExchangeBroken as error:
            result = Unknown(str(error), late=False)
        finally:
            if isinstance(result, (NotRun, Whole)):
                exchange.close()
            elif not isinstance(result, Stream):
                exchange.abandon()
        if isinstance(result, Stream):
            return result
        return structs.replace(result, head_end=exchange.head_end)

    def _connect(self, exchange: Exchange, network_delay: RecentPeak) -> float:
        """Connect; return the seconds by which connecting took longer than expected."""
        started_at = boottime()
        expected = network_delay.decayed_peak(started_at)
        try:
            exchange.connect(min(CONNECT_TIMEOUT_SECONDS, exchange.remaining()))
        finally:
            now = boottime()
            network_delay.observe(now - started_at, now)
        return max(0.0, now - started_at - expected)

    def _exchange(
        self,
        exchange: Exchange,
        routed: RoutedRequest,
        target: ListedTarget,
        guard: AttemptGuard,
    ) -> SendResult:
        if routed.begin_by is not None and boottime() >= routed.begin_by:
            # Connecting took so long that the request would start too late.
            return NotRun(Reason.WRONG_TARGET, "not begun in time", arrived=False)
        if exclusion := guard.check() or guard.confirm_write(target):
            return _make_refusal(exclusion)
        call = routed.call
        terms = SendTerms(
            target=target.target,
            account=routed.account,
            wait=exchange.remaining() - RETURN_MARGIN_SECONDS,
            version=routed.version,
            last_event=routed.last_event,
            urgency=None,
        )
        headers = self.protocol.encode_request(call, terms)
        exchange.send(call.method, call.target, headers, routed.body)
        head = self.protocol.decode_answer(exchange.receive_head(routed.begin_by))
        guard.record(head)
        if head.not_run:
            detail = f"status {head.status}"
            reason = Reason.WRONG_TARGET if head.other_target else Reason.OVERLOADED
            return NotRun(reason, detail, arrived=True)
        if head.request_id != call.request_id:
            return Unknown(f"the answer is for request {head.request_id!r}", late=False)
        if head.success and not head.signed:
            return Unknown("the successful answer is not signed", late=False)
        if head.success and head.events:
            return self._stream(exchange, head, target.target)
        body = exchange.read_whole(MAX_ANSWER_BYTES, routed.memory)
        return Whole(head, body, exchange.body_end)

    def _stream(self, exchange: Exchange, head: AnswerHead, target: TargetId) -> Stream:
        reader = EventReader()
        events = reader.read(exchange.read_pieces(MAX_ANSWER_BYTES))
        first_event = next(events, None)
        if first_event is None and exchange.body_end is BodyEnd.CLOSE:
            # A target that ends after the head of an answer closes the connection too.
            raise StreamTruncated("the stream ended before its first event")
        return Stream(head, _prepend(first_event, events), exchange, reader, target)


def _make_refusal(exclusion: Exclusion) -> NotRun:
    """Return the result of an attempt whose target is not eligible any more."""
    detail = f"the chosen target is not eligible any more: {exclusion.reason.value}"
    return NotRun(refusal_reason(exclusion.reason), detail, arrived=False)


def explain_refusal(
    refusal: NotRun, summary: ExclusionSummary | None, now: Seconds, random: Random
) -> NotRun:
    """Return a refusal with the reasons for which no target is eligible.

    If a target may become eligible at a known time, the client may retry after it,
    unless the refusal names another delay.

    Args:
        refusal: The refusal, or the last one of several attempts.
        summary: Why no target is eligible; None if a target is.
        now: Current time.
        random: Random number generator for the jitter of the delay.
    """
    if summary is None:
        return refusal
    if refusal.reason in NO_TARGET_REASONS and HOLD_REASONS & summary.counts.keys():
        refusal = structs.replace(
            refusal, reason=Reason.OVERLOADED, detail=str(summary)
        )
    elif refusal.reason is Reason.NO_TARGET:
        refusal = structs.replace(refusal, detail=str(summary))
    come_back = refusal.come_back
    seconds_left = summary.seconds_left(now)
    if come_back is None and seconds_left:
        come_back = return_delay_seconds(seconds_left, random)
    return structs.replace(
        refusal, come_back=come_back, excluded=summary.counts_by_name()
    )


def _prepend(
    first_event: StreamEvent | None, remainder: Iterator[StreamEvent]
) -> Iterator[StreamEvent]:
    if first_event is not None:
        yield first_event
    yield from remainder


def time_left(deadline: Seconds) -> float:
    """Return the seconds until a deadline; negative after it."""
    return deadline - boottime()
