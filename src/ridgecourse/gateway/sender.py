"""Sends one request to one target and tells what came of it."""

from collections.abc import Callable, Iterator

from msgspec import Struct

from ridgecourse.core.engine_load import EngineLoad
from ridgecourse.core.ids import (
    AccountName,
    RequestSignature,
    Seconds,
    WeightsVersion,
)
from ridgecourse.core.outcome import Reason
from ridgecourse.core.recent_peak import RecentPeak
from ridgecourse.core.suspect import (
    Flight,
)
from ridgecourse.core.targets import ListedTarget
from ridgecourse.gateway.messages import AnswerHead, CallerRequest, SendTerms
from ridgecourse.gateway.protocol import RequestProtocol
from ridgecourse.gateway.relay import StreamEvent, split_events
from ridgecourse.net.clock import boottime
from ridgecourse.net.exchange import Broken, Disconnected, Exchange, NotSent, TooLate

CONNECT_SECONDS = 0.3
"""Longest wait for a connection: some 30 round trips between the farthest
domains, and well below the objective of any route seen (400 ms)."""
RETURN_SECONDS = 0.02
"""Left of the deadline for the answer's way back to the caller."""
MAX_ANSWER_BYTES = 64 * 1024 * 1024


class Order(Struct):
    """A request with what was decided about it.

    Attributes:
        call: The request.
        body: Its body; None if it has none.
        account: The account that it is charged to.
        deadline: When it must have been answered.
        version: The only version of weights that may run it; None for any.
        begin_by: When it must have begun; None for any time.
        last_event: Event after which its stream goes on.
        signature: What it asks, the same for each time that it comes.
        waited: Seconds that its caller waited before it asked here.
        excess: Seconds by which its wait would be too long, if it is refused.
        is_abandoned: Tells whether the caller has gone.
    """

    call: CallerRequest
    body: bytes | None
    account: AccountName | None
    deadline: Seconds
    version: WeightsVersion | None
    begin_by: Seconds | None
    last_event: int | None
    signature: RequestSignature
    waited: float
    excess: float
    is_abandoned: Callable[[], bool]


class NotRun(Struct, frozen=True):
    """The target did not run the request and never will.

    Attributes:
        reason: Why.
        detail: What was seen.
        arrived: Whether the request reached the target.
        come_back: Seconds after which its caller may come back, where that is known.
    """

    reason: Reason
    detail: str
    arrived: bool
    come_back: float | None = None


class Unknown(Struct, frozen=True):
    """The request may have run.

    Attributes:
        detail: What was seen.
        late: Whether its time ran out.
        disconnected: Whether the target ended the connection.
    """

    detail: str
    late: bool
    disconnected: bool = False


class Whole(Struct, frozen=True):
    """The target's whole answer."""

    head: AnswerHead
    body: bytes


class Stream(Struct):
    """An answer whose first event has come.

    Attributes:
        head: Its head.
        events: Its events, the first included; raises ``Broken`` where the
            stream breaks off.
        exchange: Its connection, closed by whoever reads the events.
        load: Load that it counts to until it ends; of the life that sends it.
        flight: Its request at the engine.
    """

    head: AnswerHead
    events: Iterator[StreamEvent]
    exchange: Exchange
    load: EngineLoad | None = None
    flight: Flight | None = None


SendResult = NotRun | Unknown | Whole | Stream


class Sender:
    """Sends requests in a platform's protocol."""

    def __init__(self, protocol: RequestProtocol) -> None:
        self.protocol = protocol

    def send(
        self,
        order: Order,
        target: ListedTarget,
        ways: RecentPeak,
        on_head: Callable[[AnswerHead], None],
    ) -> SendResult:
        """Send a request to a target and wait for its answer's beginning.

        Args:
            order: The request.
            target: The target.
            ways: Takes how long the connection took to come up.
            on_head: Takes the head of an answer, of whatever kind.
        """
        exchange = Exchange(target.address, order.deadline)
        result: SendResult | None = None
        try:
            longer = self._connect(exchange, ways)
            if order.begin_by is not None:
                order.begin_by = Seconds(order.begin_by - longer)
            result = self._exchange(exchange, order, target, on_head)
        except NotSent as error:
            result = NotRun(Reason.UNREACHABLE, str(error), arrived=False)
        except TooLate as error:
            result = Unknown(str(error), late=True)
        except Disconnected as error:
            result = Unknown(str(error), late=False, disconnected=True)
        except Broken as error:
            result = Unknown(str(error), late=False)
        finally:
            if isinstance(result, (NotRun, Whole)):
                exchange.close()
            elif not isinstance(result, Stream):
                exchange.abandon()
        return result

    def _connect(self, exchange: Exchange, ways: RecentPeak) -> float:
        """Connect; return by how many seconds the way is longer than reckoned."""
        begun = boottime()
        known = ways.expect(begun)
        try:
            exchange.connect(min(CONNECT_SECONDS, exchange.remaining()))
        finally:
            now = boottime()
            ways.observe(now - begun, now)
        return max(0.0, now - begun - known)

    def _exchange(
        self,
        exchange: Exchange,
        order: Order,
        target: ListedTarget,
        on_head: Callable[[AnswerHead], None],
    ) -> SendResult:
        if order.begin_by is not None and boottime() >= order.begin_by:
            # The way took so long that the request would begin too late.
            return NotRun(Reason.WRONG_TARGET, "not begun in time", arrived=False)
        call = order.call
        terms = SendTerms(
            target=target.target,
            account=order.account,
            wait=exchange.remaining() - RETURN_SECONDS,
            version=order.version,
            last_event=order.last_event,
            urgency=None,
        )
        headers = self.protocol.encode_request(call, terms)
        exchange.send(call.method, call.target, headers, order.body)
        head = self.protocol.decode_answer(exchange.receive_head(order.begin_by))
        on_head(head)
        if head.not_run:
            detail = f"status {head.status}"
            reason = Reason.WRONG_TARGET if head.other_target else Reason.OVERLOADED
            return NotRun(reason, detail, arrived=True)
        if head.request_id != call.request_id:
            return Unknown(f"answer to {head.request_id!r}", late=False)
        if head.success and not head.signed:
            return Unknown("success without a signature", late=False)
        if head.success and head.events:
            return self._stream(exchange, head)
        return Whole(head, exchange.read_whole(MAX_ANSWER_BYTES))

    def _stream(self, exchange: Exchange, head: AnswerHead) -> Stream:
        events = split_events(exchange.read_pieces(MAX_ANSWER_BYTES))
        first = next(events, None)
        return Stream(head, _chain(first, events), exchange)


def _chain(
    first: StreamEvent | None, rest: Iterator[StreamEvent]
) -> Iterator[StreamEvent]:
    if first is not None:
        yield first
    yield from rest


def time_left(deadline: Seconds) -> float:
    """Return the seconds until a deadline; negative once it is over."""
    return deadline - boottime()
