"""Passes streams on to callers, and lets other targets go on with them."""

from collections.abc import Callable, Iterator
from random import Random

import eventlet

from ridgecourse.core.ids import TargetId
from ridgecourse.core.outcome import Outcome
from ridgecourse.core.targets import ListedTarget
from ridgecourse.gateway.dispatcher import Dispatcher
from ridgecourse.gateway.messages import CallerRequest
from ridgecourse.gateway.open_streams import OpenStream, OpenStreams
from ridgecourse.gateway.relay import StreamEvent
from ridgecourse.gateway.sender import Order, Stream
from ridgecourse.gateway.terms import Terms
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.exchange import Broken, TooLate
from ridgecourse.net.front_server import FrontRequest

MOVE_AFTER_SECONDS = 0.5
"""After an engine began to leave, when its streams go on elsewhere. Until then half of
them end by themselves; the longest would take 2 s more, in which the engine serves a
few streams and takes nothing new."""
MOVE_APART_SECONDS = 0.04
"""Longest time between two streams that move, so that the next report tells of them."""


class AnswerTorn(Exception):
    """A stream broke off; its connection ends without the final chunk."""


class StreamRelay:
    """Passes streams on.

    Attributes:
        streams: Streams in progress.
        note_end: Called with how a request ended.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        events: EventStream,
        random: Random,
        note_end: Callable[[CallerRequest, Outcome, str, int | None], None],
    ) -> None:
        self.dispatcher = dispatcher
        self.events = events
        self.random = random
        self.note_end = note_end
        self.streams = OpenStreams()

    def relay(
        self,
        request: FrontRequest,
        order: Order,
        terms: Terms,
        tried: set[TargetId],
        stream: Stream,
        target: ListedTarget,
    ) -> Iterator[bytes]:
        """Yield a stream's events, resumed at another target if one is lost."""
        call = order.call
        outcome, why = Outcome.UNKNOWN, "caller gone"
        try:
            with request.watched():
                while True:
                    try:
                        opened = OpenStream(order, terms, stream, tried)
                        for event in self._events(opened, target):
                            yield event.data
                        outcome, why = Outcome.COMPLETED, "stream whole"
                        return
                    except Broken as error:
                        why = f"stream broke off: {error}"
                        resumed = self._resume(order, terms, tried, error)
                    if resumed is None:
                        raise AnswerTorn(why)
                    stream, target = resumed
        finally:
            self.note_end(call, outcome, why, order.last_event)

    def _events(
        self, opened: OpenStream, target: ListedTarget
    ) -> Iterator[StreamEvent]:
        """Yield a target's events that the caller has not had yet."""
        order, stream = opened.order, opened.stream
        load = self.dispatcher.selector.load(target)
        self.streams.add(target.target, opened)
        try:
            for event in stream.events:
                last = order.last_event
                if event.number is not None:
                    if last is not None and event.number <= last:
                        continue
                    order.last_event = event.number
                yield event
        finally:
            self.streams.discard(target.target, opened)
            load.outstanding -= 1
            stream.exchange.close()

    def move_streams(self, target: ListedTarget) -> None:
        """Let other engines go on with what keeps one from taking new weights."""
        if self.streams.movable(target.target):
            eventlet.spawn_after(MOVE_AFTER_SECONDS, self._move_streams, target)

    def _move_streams(self, target: ListedTarget) -> None:
        for opened in self.streams.movable(target.target):
            eventlet.sleep(self.random.random() * MOVE_APART_SECONDS)
            still_open = self.streams.is_open(target.target, opened)
            if still_open and self._has_room_elsewhere(opened):
                self.events.figures.count("streams_moved")
                self.events.emit(
                    EventKind.STREAM_MOVED,
                    request=opened.order.call.request_id,
                    target=target.target,
                )
                opened.stream.exchange.interrupt()

    def _has_room_elsewhere(self, opened: OpenStream) -> bool:
        """Tell whether another engine can go on with a stream."""
        call = opened.order.call
        return self.dispatcher.can_go_on(opened.terms, call, opened.tried)

    def _resume(
        self, order: Order, terms: Terms, tried: set[TargetId], error: Broken
    ) -> tuple[Stream, ListedTarget] | None:
        """Let another target go on with a stream; None where that can't be."""
        if not terms.route.resumable or isinstance(error, TooLate):
            return None
        result, target = self.dispatcher.try_targets(order, terms, tried)
        if isinstance(result, Stream) and target is not None:
            return result, target
        return None
