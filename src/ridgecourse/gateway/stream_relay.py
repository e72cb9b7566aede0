"""Relay event streams to clients, and resume interrupted streams at other targets."""

from collections.abc import Callable, Iterator
from typing import Any

from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.outcome import Outcome
from ridgecourse.gateway.crash_watch import SETTLED_SECONDS
from ridgecourse.gateway.dispatcher import Dispatcher
from ridgecourse.gateway.event_stream import StreamEvent, StreamTruncated
from ridgecourse.gateway.messages import ClientRequest
from ridgecourse.gateway.sender import RoutedRequest, Stream
from ridgecourse.gateway.terms import Terms
from ridgecourse.net.answer_end import metric_suffix
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.exchange import ExchangeBroken, ExchangeTimeout, TargetDisconnected
from ridgecourse.net.front_server import FrontRequest

AnswerDetail = dict[str, Any]
"""Values by name that describe an answer in the event log."""


class StreamInterrupted(Exception):
    """A stream was interrupted; the connection ends without the final chunk."""


class StreamRelay:
    """Relays event streams to clients.

    Attributes:
        dispatcher: Resumes interrupted streams at other targets.
        events: Receives events and metrics.
        on_end: Called with the request, the outcome of its stream, the cause and
            further values for the event log.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        events: EventStream,
        on_end: Callable[[ClientRequest, Outcome, str, AnswerDetail], None],
    ) -> None:
        self.dispatcher = dispatcher
        self.events = events
        self.on_end = on_end

    def relay(
        self,
        request: FrontRequest,
        routed: RoutedRequest,
        terms: Terms,
        tried: set[EngineIncarnation],
        stream: Stream,
    ) -> Iterator[bytes]:
        """Yield a stream's events, resumed at another target after an interruption.

        Raises:
            StreamInterrupted: The stream was interrupted and could not be resumed.
        """
        call = routed.call
        outcome, why = Outcome.UNKNOWN, "caller gone"
        try:
            with request.cancel_on_disconnect():
                while True:
                    try:
                        for event in self._new_events(routed, stream):
                            yield event.data
                        outcome, why = Outcome.COMPLETED, "stream whole"
                        return
                    except ExchangeBroken as error:
                        why = f"stream broke off: {error}"
                        resumed = self._resume(routed, terms, tried, error)
                    if resumed is None:
                        raise StreamInterrupted(why)
                    self.events.metrics.count("streams_resumed")
                    stream = resumed
        finally:
            self.on_end(call, outcome, why, self._describe(routed, stream))

    def _new_events(
        self, routed: RoutedRequest, stream: Stream
    ) -> Iterator[StreamEvent]:
        """Yield a target's events that the client has not received."""
        try:
            for event in self._watch_beginning(stream):
                last_sent = routed.last_event
                if event.number is not None:
                    if last_sent is not None and event.number <= last_sent:
                        continue
                    routed.last_event = event.number
                    routed.sent_unnumbered = False
                elif not event.is_comment():
                    routed.sent_unnumbered = True
                yield event
            if stream.flight is not None and self.dispatcher.crash_watch.record_answer(
                stream.flight, stream.exchange.body_end
            ):
                raise StreamTruncated("the engine ended together with the stream")
            self._count_end("whole", stream)
        except ExchangeBroken as error:
            has_ended = False
            if isinstance(error, TargetDisconnected) and stream.flight is not None:
                has_ended = self.dispatcher.crash_watch.record_disconnect(stream.flight)
            self._record_break(routed, stream, has_ended)
            raise
        finally:
            if stream.load is not None:
                stream.load.outstanding -= 1
            if stream.flight is not None:
                self.dispatcher.crash_watch.finish(stream.flight)
            stream.exchange.close()

    def _watch_beginning(self, stream: Stream) -> Iterator[StreamEvent]:
        """Yield a target's events, and record once the target has survived the first.

        Only the time in which events are awaited counts: after a wait for the client,
        an event may have been sent long before.
        """
        awaited_seconds = 0.0
        asked_at = boottime()
        for event in stream.events:
            awaited_seconds += boottime() - asked_at
            if awaited_seconds >= SETTLED_SECONDS and stream.flight is not None:
                self.dispatcher.crash_watch.record_settled(stream.flight)
                yield event
                break
            yield event
            asked_at = boottime()
        yield from stream.events

    def _record_break(
        self, routed: RoutedRequest, stream: Stream, has_ended: bool
    ) -> None:
        """Record that a target broke off a stream.

        Args:
            routed: The request.
            stream: The stream.
            has_ended: Whether the target was found to have ended.
        """
        self._count_end("broken", stream)
        self.events.emit(
            EventKind.STREAM_BROKEN,
            request=routed.call.request_id,
            engine_ended=has_ended,
            **self._describe(routed, stream),
        )

    def _count_end(self, result: str, stream: Stream) -> None:
        """Count an ended stream by its result and by how its body ended."""
        self.events.metrics.count(
            f"streams_{result}_{metric_suffix(stream.exchange.body_end)}"
        )

    def _describe(self, routed: RoutedRequest, stream: Stream) -> AnswerDetail:
        """Return how far a stream came and how it ended, for the event log."""
        return {
            "target": stream.target,
            "last_event": routed.last_event,
            "body_end": stream.exchange.body_end,
            "partial_bytes": len(stream.reader.remainder),
        }

    def _resume(
        self,
        routed: RoutedRequest,
        terms: Terms,
        tried: set[EngineIncarnation],
        error: ExchangeBroken,
    ) -> Stream | None:
        """Return the rest of a stream from another target; None if impossible."""
        if not terms.route.resumable or isinstance(error, ExchangeTimeout):
            return None
        if routed.sent_unnumbered:
            return None
        result = self.dispatcher.try_targets(routed, terms, tried)
        return result if isinstance(result, Stream) else None
