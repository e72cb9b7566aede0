"""Relay event streams to clients, and resume interrupted streams at other targets."""

from collections.abc import Callable, Iterator

from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.outcome import Outcome
from ridgecourse.gateway.dispatcher import Dispatcher
from ridgecourse.gateway.event_stream import StreamEvent
from ridgecourse.gateway.messages import ClientRequest
from ridgecourse.gateway.sender import RoutedRequest, Stream
from ridgecourse.gateway.terms import Terms
from ridgecourse.net.exchange import ExchangeBroken, ExchangeTimeout, TargetDisconnected
from ridgecourse.net.front_server import FrontRequest


class StreamInterrupted(Exception):
    """A stream was interrupted; the connection ends without the final chunk."""


class StreamRelay:
    """Relays event streams to clients.

    Attributes:
        dispatcher: Resumes interrupted streams at other targets.
        on_end: Called with the outcome of each stream.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        on_end: Callable[[ClientRequest, Outcome, str, int | None], None],
    ) -> None:
        self.dispatcher = dispatcher
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
                    stream = resumed
        finally:
            self.on_end(call, outcome, why, routed.last_event)

    def _new_events(
        self, routed: RoutedRequest, stream: Stream
    ) -> Iterator[StreamEvent]:
        """Yield a target's events that the client has not received."""
        try:
            for event in stream.events:
                last_sent = routed.last_event
                if event.number is not None:
                    if last_sent is not None and event.number <= last_sent:
                        continue
                    routed.last_event = event.number
                yield event
            if stream.flight is not None:
                self.dispatcher.crash_watch.record_success(stream.flight)
        except TargetDisconnected:
            if stream.flight is not None:
                self.dispatcher.crash_watch.record_disconnect(stream.flight)
            raise
        finally:
            if stream.load is not None:
                stream.load.outstanding -= 1
            if stream.flight is not None:
                self.dispatcher.crash_watch.finish(stream.flight)
            stream.exchange.close()

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
        result = self.dispatcher.try_targets(routed, terms, tried)
        return result if isinstance(result, Stream) else None
