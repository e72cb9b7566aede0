"""Record what the results of sends tell of the targets."""

from typing import Any

from msgspec import Struct, structs

from ridgecourse.cluster.record_events import EntryReading
from ridgecourse.core.crash_reports import Flight
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.ids import Seconds, index_of
from ridgecourse.core.outcome import Reason
from ridgecourse.core.placement import FIRST_EVENT_SECONDS
from ridgecourse.core.target_states import TargetHealth
from ridgecourse.gateway.announcement_watch import AnnouncementWatch
from ridgecourse.gateway.crash_watch import CrashWatch
from ridgecourse.gateway.selection import (
    MISSING_WEIGHTS_PAUSE_SECONDS,
    REFUSED_PAUSE_SECONDS,
    Choice,
    TargetSelector,
)
from ridgecourse.gateway.sender import (
    NotRun,
    RoutedRequest,
    SendResult,
    Stream,
    Unknown,
    Whole,
)
from ridgecourse.net.answer_end import HeadEnd, metric_suffix
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream

NOT_SENT_REASONS = (
    Reason.LEAVING,
    Reason.OVERLOADED,
    Reason.NO_TARGET,
    Reason.CRASHES_ENGINES,
)
"""Reasons for which a chosen target does not get the request after all."""


class Send(Struct, frozen=True):
    """One send of a request to a target.

    Attributes:
        routed: The request.
        choice: The target and why it was chosen.
        incarnation: Incarnation of the target that got the request.
        state: Health of that incarnation.
        sent_at: When the send began.
        entry: The target's entry when the send began.
    """

    routed: RoutedRequest
    choice: Choice
    incarnation: EngineIncarnation
    state: TargetHealth
    sent_at: Seconds
    entry: EntryReading


class SendRecorder:
    """Records the results of sends with the watches of the targets and in the log.

    Attributes:
        selector: Knows the loads of the targets and the delays of first events.
        crash_watch: Learns which answers engines ended, and whether engines run.
        announcements: Learns which targets were reached.
        events: Receives events and metrics.
    """

    def __init__(
        self,
        selector: TargetSelector,
        crash_watch: CrashWatch,
        announcements: AnnouncementWatch,
        events: EventStream,
    ) -> None:
        self.selector = selector
        self.crash_watch = crash_watch
        self.announcements = announcements
        self.events = events

    def record_answer_end(self, flight: Flight, result: SendResult) -> None:
        """Record whether an engine answered a request or broke its answer off.

        A stream has not ended yet; its relay records its end.
        """
        if isinstance(result, Whole):
            self.crash_watch.record_answer(flight, result.body_end, result.head.success)
        elif isinstance(result, Unknown) and (
            result.disconnected or result.head_end is HeadEnd.INVALID
        ):
            # Bytes that are no head may be the last ones of an engine that ends.
            self.events.metrics.count(
                f"answers_broken_{metric_suffix(result.body_end)}"
            )
            self.crash_watch.record_disconnect(flight)

    def record(self, send: Send, result: SendResult) -> None:
        """Record the result of a send."""
        if result.head_end not in (None, HeadEnd.EMPTY_LINE):
            self.events.metrics.count(f"heads_broken_{metric_suffix(result.head_end)}")
        self._update_target_state(send, result)
        self._record_contact(send, result)
        if isinstance(result, Stream):
            self._record_first_event(send)
        self._emit_dispatched(send, result)

    def _update_target_state(self, send: Send, result: SendResult) -> None:
        """Update the health of a target."""
        now = boottime()
        if (
            isinstance(result, NotRun)
            and not result.arrived
            and result.reason in NOT_SENT_REASONS
        ):
            # Nothing was sent, so that nothing is known of the target's health.
            return
        if isinstance(result, NotRun) and result.reason is Reason.WRONG_TARGET:
            send.state.not_before = Seconds(now + MISSING_WEIGHTS_PAUSE_SECONDS)
            return
        if isinstance(result, NotRun) and result.arrived:
            send.state.not_before = Seconds(now + REFUSED_PAUSE_SECONDS)
            return
        if isinstance(result, (Whole, Stream)):
            send.state.record_success()
        elif send.state.record_failure(now):
            target = send.choice.target.target
            self.events.emit(EventKind.TARGET_EJECTED, target=target)

    def _record_contact(self, send: Send, result: SendResult) -> None:
        """Record whether the target was reached."""
        target, incarnation = send.choice.target, send.incarnation
        if isinstance(result, (Whole, Stream)):
            self.announcements.record_contact(target, incarnation, answered=True)
            self.crash_watch.record_reached(incarnation, send.sent_at)
        elif isinstance(result, NotRun) and result.reason is Reason.UNREACHABLE:
            self.announcements.record_contact(target, incarnation, answered=False)
            self.crash_watch.record_unreached(incarnation, target.address)

    def _record_first_event(self, send: Send) -> None:
        """Record by how much a first event came later than estimated."""
        now = boottime()
        choice = send.choice
        expected_seconds = choice.wait + choice.prefill_time + FIRST_EVENT_SECONDS
        self.selector.first_event_delays.observe(
            choice.target.service,
            send.routed.restriction.regions,
            now - send.sent_at - expected_seconds,
            now,
        )

    def _emit_dispatched(self, send: Send, result: SendResult) -> None:
        routed, choice, entry = send.routed, send.choice, send.entry
        now = boottime()
        load = self.selector.load(choice.target)
        begin_by = choice.terms.begin_by
        self.events.metrics.observe("first_answer", now - send.sent_at)
        detail: dict[str, Any] = (
            structs.asdict(result) if isinstance(result, (NotRun, Unknown)) else {}
        )
        self.events.emit(
            EventKind.REQUEST_DISPATCHED,
            request=routed.call.request_id,
            target=choice.target.target,
            took=round(now - send.sent_at, 4),
            expected_wait=round(choice.wait, 3),
            load_age=round(now - load.reported_at, 2),
            outstanding=load.outstanding,
            entry_offset=None if entry.offset is None else index_of(entry.offset),
            list_age=round(entry.age, 2),
            result=type(result).__name__,
            head_end=result.head_end,
            signature=routed.signature.hex() if isinstance(result, Unknown) else None,
            parts=[part.hex() for part in routed.parts]
            if isinstance(result, Unknown)
            else None,
            held=choice.terms.held,
            only_version=routed.version,
            begin_left=None if begin_by is None else round(begin_by - now, 3),
            detail={name: str(value) for name, value in detail.items()},
        )
