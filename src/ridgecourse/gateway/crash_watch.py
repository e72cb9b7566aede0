"""Detect requests that crash engines, and hold such requests back."""

from collections import OrderedDict
from collections.abc import Collection

import eventlet

from ridgecourse.core.crash_reports import Flight, SuspectKind
from ridgecourse.core.crash_suspects import SendDecision
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.ids import Seconds, Signature
from ridgecourse.core.outcome import Reason
from ridgecourse.core.site import Site
from ridgecourse.core.target_list import ListedTarget
from ridgecourse.core.unconfirmed_answers import UnconfirmedAnswers
from ridgecourse.gateway.crash_records import CrashRecords
from ridgecourse.gateway.gateway_link import GatewayLink
from ridgecourse.gateway.sender import NotRun, RoutedRequest, time_left
from ridgecourse.net.answer_end import BodyEnd
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_source import RecordSource
from ridgecourse.net.tcp import refuses_connections

PROBE_DELAYS_SECONDS = (0.0, 0.02, 0.05)
"""Delay before each probe of an engine that closed a connection. An engine that ends
closes its connections and its listening socket at nearly the same time, in either
order."""
PROBE_TIMEOUT_SECONDS = 0.3
MAX_WAIT_SHARE = 0.2
"""Largest share of its remaining time that a request waits while its outcome at another
engine is open."""
TRIED_PART_RETRY_SECONDS = 1.0
"""Retry-After of a request that is refused while another one with the same part is on
trial. Requests with a part come at all gateways; if they waited, all would be sent in
the instant in which the trial ends."""
SETTLED_SECONDS = 1.0
"""An engine that goes on with an answer for this long has survived its beginning, when
parts of prompts crash engines."""
MAX_ENDED = 256


class CrashWatch:
    """Holds back requests that may crash engines.

    Attributes:
        events: Receives events and metrics.
        records: Records of the suspects, shared with other gateways.
        suspects: The suspects of these records.
        unconfirmed: Answers that may have been cut off by the end of their engine.
        ended_incarnations: Incarnations of engines that are known to have ended.
    """

    def __init__(
        self,
        site: Site,
        events: EventStream,
        link: GatewayLink,
        store: RecordSource,
    ) -> None:
        self.events = events
        self.records = CrashRecords(site, events, link, store)
        self.suspects = self.records.suspects
        self.unconfirmed = UnconfirmedAnswers()
        self.ended_incarnations: OrderedDict[EngineIncarnation, None] = OrderedDict()

    def start(self) -> None:
        """Start to write blocked suspects and to exchange crash reports."""
        self.records.start()

    def close(self) -> None:
        """Stop the threads."""
        self.records.close()

    # Requests.

    def admit(self, routed: RoutedRequest) -> NotRun | None:
        """Wait until a request may be sent; return the refusal if it must not be.

        The wait is bounded by ``MAX_WAIT_SHARE`` of the time left to the request. A
        request does not wait for the outcome of another one with the same part. At a
        gateway that has just started, it waits until the current reports are known.
        """
        signature = routed.signature
        wait_seconds = MAX_WAIT_SHARE * max(0.0, time_left(routed.deadline))
        give_up_at = Seconds(boottime() + wait_seconds)
        self.records.gossip.wait_until_ready(give_up_at)
        if refusal := self._check_parts(routed):
            return refusal
        while True:
            now = boottime()
            decision = self.suspects.check(signature, now)
            if decision is SendDecision.FREE:
                return None
            if decision is SendDecision.BLOCKED:
                return self._refuse_blocked(
                    signature, f"request {signature.hex()}", now
                )
            if now >= give_up_at:
                return NotRun(
                    Reason.CRASHES_ENGINES,
                    "the outcome at another engine is still open",
                    False,
                )
            self.records.changed.wait(give_up_at - now)
            if refusal := self._check_parts(routed):
                return refusal

    def _check_parts(self, routed: RoutedRequest) -> NotRun | None:
        """Return the refusal of a request with a part that must not be sent now."""
        now = boottime()
        for part in routed.parts:
            decision = self.suspects.check(part, now)
            if decision is SendDecision.BLOCKED:
                return self._refuse_blocked(
                    part, f"part {part.hex()} of the prompt", now
                )
            if decision is SendDecision.WAIT:
                self.events.metrics.count("requests_with_tried_part")
                return NotRun(
                    Reason.CRASHES_ENGINES,
                    f"another request with part {part.hex()} is on trial",
                    False,
                    TRIED_PART_RETRY_SECONDS,
                )
        return None

    def _refuse_blocked(self, signature: Signature, name: str, now: Seconds) -> NotRun:
        self.events.metrics.count("requests_blocked")
        strikes = self.suspects.blocking_strikes(signature, now)
        ends = sorted(incarnation.target for incarnation in strikes)
        return NotRun(
            Reason.CRASHES_ENGINES,
            f"{name} was running when {', '.join(ends)} ended",
            arrived=False,
            come_back=self.suspects.blocked_seconds(signature, now),
        )

    def may_write(self, routed: RoutedRequest) -> bool:
        """Check whether a request in flight may still be written to its engine."""
        signatures = (routed.signature, *routed.parts)
        return self.suspects.may_write(signatures, self.records.process, boottime())

    def avoided(self, routed: RoutedRequest) -> Collection[EngineIncarnation]:
        """Return the engines that should not get a request if another can."""
        signatures = (routed.signature, *routed.parts)
        return self.suspects.engines_to_avoid(signatures, boottime())

    def begin(
        self,
        routed: RoutedRequest,
        target: ListedTarget,
        incarnation: EngineIncarnation,
    ) -> Flight:
        """Record that a request is sent to an engine."""
        flight = Flight(
            routed.call.request_id,
            routed.signature,
            incarnation,
            target.address,
            routed.parts,
        )
        for signature in flight.signatures:
            self.suspects.begin(signature, incarnation)
        if self.suspects.count_strikes(flight.signature, boottime()):
            self.events.metrics.count("requests_suspected")
        self._report_trials(flight)
        return flight

    def finish(self, flight: Flight) -> None:
        """Record that a request has left an engine."""
        for signature in flight.signatures:
            self.suspects.finish(signature, flight.incarnation)
        if self.suspects.count_strikes(flight.signature, boottime()):
            self.records.changed.notify()
        self._report_trials(flight)

    def _report_trials(self, flight: Flight) -> None:
        """Report which suspects on trial a flight has brought to an engine or back."""
        now = boottime()
        tried = [
            signature
            for signature in flight.signatures
            if self.suspects.is_exclusive(signature, now)
        ]
        self.records.send_reports(tried)

    def record_answer(
        self, flight: Flight, end: BodyEnd | None, is_success: bool = True
    ) -> bool:
        """Record that an engine has ended an answer in a regular way.

        If the connection was closed to end the answer, the engine may have ended. Only
        for a suspect the engine is probed; otherwise the answer stays unconfirmed until
        the next contact with the engine.

        Args:
            flight: The request at the engine.
            end: How the body of the answer ended.
            is_success: Whether the answer is a success. A failure may be answered
                before the prompt is read, so that it tells nothing of the parts.

        Returns:
            Whether the engine is known to have ended, so that the answer is probably
            cut off.
        """
        now = boottime()
        if end is not BodyEnd.CLOSE:
            self._record_success(flight, is_success)
        elif not self._is_suspected(flight, now):
            self.unconfirmed.add(flight, now, is_success)
        elif self.record_disconnect(flight):
            return True
        else:
            self._record_success(flight, is_success)
        return False

    def _is_suspected(self, flight: Flight, now: Seconds) -> bool:
        """Check whether the request has strikes, or one of its parts is on trial."""
        return self.suspects.count_strikes(flight.signature, now) > 0 or any(
            self.suspects.is_exclusive(part, now) for part in flight.parts
        )

    def record_reached(self, incarnation: EngineIncarnation, sent_at: Seconds) -> None:
        """Record that an engine answered a request, so that it ran at its start.

        Args:
            incarnation: The engine.
            sent_at: When the request was sent.
        """
        for answer in self.unconfirmed.take(incarnation, sent_at):
            self._record_success(answer.flight, answer.is_success)

    def record_unreached(self, incarnation: EngineIncarnation, address: str) -> None:
        """Record that an engine could not be reached, and probe whether it ended.

        Args:
            incarnation: The engine.
            address: HOST:PORT of the engine.
        """
        if self.unconfirmed.has_any(incarnation):
            eventlet.spawn_n(self._probe_unreached, incarnation, address)

    def _probe_unreached(self, incarnation: EngineIncarnation, address: str) -> None:
        if refuses_connections(address, PROBE_TIMEOUT_SECONDS):
            self._record_ended(incarnation)

    def record_settled(self, flight: Flight) -> None:
        """Record that an engine has survived the beginning of an answer.

        This happens ``SETTLED_SECONDS`` after the first event of the answer.
        """
        flight.has_settled = True
        for part in flight.parts:
            self._clear(flight, part)

    def _record_success(self, flight: Flight, is_success: bool = True) -> None:
        """Record that an engine answered a request."""
        self._clear(flight, flight.signature)
        if is_success:
            for part in flight.parts:
                self._clear(flight, part)

    def _clear(self, flight: Flight, signature: Signature) -> None:
        """Clear a request or a part of its strikes."""
        kind = flight.kind_of(signature)
        if not self.suspects.record_success(signature, boottime(), kind):
            return
        self.events.emit(
            EventKind.REQUEST_CLEARED,
            request=flight.request_id,
            signature=signature.hex(),
            suspect=kind.value,
        )
        self.records.record_cleared(signature)

    def record_disconnect(self, flight: Flight) -> bool:
        """Record that an engine closed a connection, and probe whether it ended.

        Returns:
            Whether the engine has ended.
        """
        disconnected_at = boottime()
        if not self._has_ended(flight):
            return False
        self._record_strikes(flight, disconnected_at)
        return True

    def _record_strikes(self, flight: Flight, ended_at: Seconds) -> None:
        """Record that an engine ended while it ran a request.

        The parts of a prompt get no strike if the engine had survived the beginning of
        the answer.
        """
        incarnation = flight.incarnation
        parts = () if flight.has_settled else flight.parts
        struck: list[Signature] = [
            part
            for part in parts
            if self.suspects.record_end(
                part, incarnation, ended_at, SuspectKind.PART, [flight.signature]
            )
        ]
        if self.suspects.record_end(flight.signature, incarnation, ended_at):
            struck.append(flight.signature)
        if not struck:
            return
        self.events.emit(
            EventKind.ENGINE_ENDED,
            request=flight.request_id,
            target=incarnation.target,
            signature=flight.signature.hex(),
            parts=[part.hex() for part in parts],
            marks=self.suspects.count_strikes(flight.signature, ended_at),
        )
        self.records.record_strikes(struck)

    def _has_ended(self, flight: Flight) -> bool:
        """Return whether the incarnation that closed a connection has ended."""
        for delay in PROBE_DELAYS_SECONDS:
            eventlet.sleep(delay)
            if flight.incarnation in self.ended_incarnations:
                return True
            if refuses_connections(flight.address, PROBE_TIMEOUT_SECONDS):
                self._record_ended(flight.incarnation)
                return True
        return False

    def _record_ended(self, incarnation: EngineIncarnation) -> None:
        """Record that an engine has ended, also under its unconfirmed answers."""
        self.ended_incarnations[incarnation] = None
        if len(self.ended_incarnations) > MAX_ENDED:
            self.ended_incarnations.popitem(last=False)
        now = boottime()
        for answer in self.unconfirmed.take(incarnation, now):
            if answer.may_be_cut(now):
                self._record_strikes(answer.flight, answer.ended_at)
