"""Track the rate limits that engines report, and exchange them with other gateways."""

from collections.abc import Container, Iterable, Sequence

import eventlet

from ridgecourse.core.cold_turns import Turn
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.engine_rate_limits import EngineRateLimits, LimitAnnouncement
from ridgecourse.core.ids import Seconds, ServiceName, TargetId
from ridgecourse.core.passed_turns import PassedTurns, TurnDemand
from ridgecourse.core.target_list import ListedTarget
from ridgecourse.gateway.cold_watch import ColdWatch
from ridgecourse.gateway.gateway_link import GatewayLink
from ridgecourse.gateway.messages import AnswerHead
from ridgecourse.net.address import parse_address
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.threads import spawn_loop
from ridgecourse.wire.control import EngineLimitReports, TurnGrant, TurnRequest

ANNOUNCE_INTERVAL_SECONDS = 3.0
"""Interval between two announcements of a limit that lasts. A limit is remembered 4
times as long without an announcement."""
MAX_ASKED = 6
"""Number of gateways that are asked for their turns at one engine at a time."""
MAX_PER_DATAGRAM = 12
"""Largest number of limits in a datagram."""


class LimitWatch:
    """Tracks the rate limits of engines.

    Attributes:
        events: Receives events and metrics.
        link: Datagram link to other gateways.
        cold_watch: Tracks which engines are cold, which limits them as well.
        limits: Known limits.
        passed_turns: Passes turns at cold engines between gateways.
        demand: Decides when to ask other gateways for their turns at cold engines.
        unreadable: Incarnations of engines whose limit could not be read.
        thread: Thread that announces limits.
    """

    def __init__(
        self, events: EventStream, link: GatewayLink, cold_watch: ColdWatch
    ) -> None:
        self.events = events
        self.link = link
        self.cold_watch = cold_watch
        self.limits = EngineRateLimits(link.site, link.local)
        self.unreadable: set[EngineIncarnation] = set()
        self.thread: eventlet.greenthread.GreenThread | None = None
        self.demand = TurnDemand()
        self.passed_turns = PassedTurns(self.limits)
        link.handlers[EngineLimitReports] = self._receive_limits
        link.handlers[TurnRequest] = self._receive_turn_request
        link.handlers[TurnGrant] = self._receive_turn

    def start(self) -> None:
        """Start to announce limits to other gateways."""
        self.limits.gateways.started_at = boottime()
        self.thread = spawn_loop(self._announce_limits)

    def close(self) -> None:
        """Stop the announcing thread."""
        if self.thread is not None:
            self.thread.kill()

    def has_limits(self) -> bool:
        """Check whether any engine has reported a limit."""
        return bool(self.limits.states.incarnations)

    def wait(self, target: ListedTarget, incarnation: EngineIncarnation) -> float:
        """Return the seconds until a target may get a request; may be infinite."""
        self._update_cold(target, incarnation)
        if not self.limits.is_limited(incarnation):
            return 0.0
        known = self.link.known()
        return self.limits.wait(incarnation, target.domain, known, boottime())

    def confirm_send(
        self, target: ListedTarget, incarnation: EngineIncarnation, turn: Turn | None
    ) -> bool:
        """Check whether a request may be written to a target now, if it is cold.

        The target may have become cold since the request was given its turn.
        """
        self._update_cold(target, incarnation)
        return self.limits.confirm_send(incarnation, turn, boottime())

    def _update_cold(
        self, target: ListedTarget, incarnation: EngineIncarnation
    ) -> None:
        cold_limit = self.cold_watch.limit(target, incarnation)
        self.limits.record_cold(incarnation, cold_limit)

    def record_answer(self, incarnation: EngineIncarnation, head: AnswerHead) -> None:
        """Record the rate limit in an answer's head, or its absence."""
        if head.bad_limit:
            self.events.metrics.count("bad_limits")
            if incarnation not in self.unreadable:
                self.unreadable.add(incarnation)
                error = (
                    f"{incarnation.target}: cannot read rate limit {head.bad_limit!r}"
                )
                self.events.emit(EventKind.BAD_INPUT, error=error)
            return
        if head.limit is None and not self.limits.is_advertised(incarnation):
            return
        now = boottime()
        if not self.limits.record_limit(incarnation, head.limit, now):
            return
        self.events.emit(
            EventKind.ENGINE_LIMIT, target=incarnation.target, rate=head.limit
        )
        self.link.announce(lambda: self._make_report(incarnation))

    def forget_unlisted(self, listed: Container[TargetId]) -> None:
        """Drop the limits of engines that are not listed."""
        self.limits.states.forget_unlisted(listed)
        self.cold_watch.forget_unlisted(listed)
        self.unreadable = {
            incarnation
            for incarnation in self.unreadable
            if incarnation.target in listed
        }

    def _receive_limits(self, message: EngineLimitReports) -> None:
        now = boottime()
        for report in message.limits:
            self.limits.record_limit(
                report.incarnation, report.rate, Seconds(now - report.age)
            )

    # Turns at cold engines.

    def request_turns(
        self, service: ServiceName, targets: Iterable[ListedTarget]
    ) -> None:
        """Ask the gateways that send to cold engines for turns that they do not use.

        Called for each request that is refused because engines are cold. Turns that are
        passed on serve later requests.

        Args:
            service: Service of the engines.
            targets: Targets of the service.
        """
        if not self.demand.record_refusal(service, boottime()):
            return
        known = self.link.known()
        for target in targets:
            incarnation = self.limits.states.incarnations.get(target.target)
            if incarnation is None:
                continue
            senders = list(self.passed_turns.senders(incarnation, target.domain, known))
            asked = self.link.random.sample(senders, min(MAX_ASKED, len(senders)))
            request = TurnRequest(incarnation, str(self.link.address))
            self.link.send(request, self.link.addresses_of(asked))

    def _receive_turn_request(self, message: TurnRequest) -> None:
        """Pass on the turn at an engine if no request of this gateway uses it."""
        incarnation = message.incarnation
        target = self.cold_watch.view.targets.targets.get(incarnation.target)
        if target is None or incarnation.precedes(target.incarnation):
            return
        self.wait(target, incarnation)
        if self.passed_turns.pass_turn(incarnation, boottime()):
            self.events.metrics.count("turns_passed")
            address = parse_address(message.reply_to)
            self.link.send(TurnGrant(incarnation), [address])

    def _receive_turn(self, message: TurnGrant) -> None:
        self.events.metrics.count("turns_received")
        self.passed_turns.record_grant(message.incarnation, boottime())

    def _make_report(self, incarnation: EngineIncarnation) -> EngineLimitReports | None:
        """Return the report on a limit; None if the engine is no longer listed."""
        if incarnation.target not in self.limits.states.incarnations:
            return None
        return EngineLimitReports([self.limits.announce(incarnation, boottime())])

    def _announce_limits(self) -> None:
        while True:
            eventlet.sleep(
                ANNOUNCE_INTERVAL_SECONDS * (0.5 + 0.5 * self.link.random.random())
            )
            self.limits.gateways.observe(self.link.known(), boottime())
            self._send_all(
                self.limits.due_announcements(boottime(), ANNOUNCE_INTERVAL_SECONDS / 2)
            )

    def _send_all(self, reports: Sequence[LimitAnnouncement]) -> None:
        addresses = self.link.all_addresses()
        for offset in range(0, len(reports), MAX_PER_DATAGRAM):
            batch = list(reports[offset : offset + MAX_PER_DATAGRAM])
            self.link.send(EngineLimitReports(batch), addresses)
