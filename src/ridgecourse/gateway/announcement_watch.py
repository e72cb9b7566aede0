"""Learn from engines' answers and reports what the engines announce of themselves."""

from collections.abc import Callable, Container, Iterable

from msgspec import Struct

from ridgecourse.core.cold_engines import ColdStatement
from ridgecourse.core.cold_turns import Turn
from ridgecourse.core.eligibility import Exclusion, ExclusionReason
from ridgecourse.core.engine_announcements import EngineAnnouncements
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.ids import Seconds, ServiceName, TargetId
from ridgecourse.core.site import Site
from ridgecourse.core.target_list import ListedTarget
from ridgecourse.gateway.gateway_link import GatewayLink
from ridgecourse.gateway.limit_watch import LimitWatch
from ridgecourse.gateway.messages import AnswerHead
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.wire.control import EngineLeaving

ARRIVAL_SECONDS = 0.1
"""Time that a request may take from the last check to its engine."""


class AnnouncementWatch:
    """Tracks the announcements of all engines: rate limits, leaving, rests.

    Attributes:
        site: The settings in force.
        events: Receives events and metrics.
        link: Datagram link to other gateways.
        limit_watch: Tracks rate limits, which gateways share.
        announcements: Engines that leave or want no requests for a time.
        unreadable: Incarnations of engines with an announcement that could not be read.
    """

    def __init__(
        self,
        site: Site,
        events: EventStream,
        link: GatewayLink,
        limit_watch: LimitWatch,
    ) -> None:
        self.site = site
        self.events = events
        self.link = link
        self.limit_watch = limit_watch
        self.announcements = EngineAnnouncements()
        self.unreadable: set[EngineIncarnation] = set()
        link.handlers[EngineLeaving] = self._receive_leaving

    def record_answer(self, incarnation: EngineIncarnation, head: AnswerHead) -> None:
        """Record the announcements in the head of an answer, whatever its status.

        Args:
            incarnation: Incarnation of the engine that was asked. If another one has
                answered at its address, the first has ended.
            head: Head of the answer.
        """
        if not head.other_target:
            self.limit_watch.record_answer(incarnation, head)
        if head.leaving and self.record_leaving(incarnation, f"answer {head.status}"):
            received_at = boottime()
            self.link.announce(
                lambda: EngineLeaving(incarnation, round(boottime() - received_at, 3))
            )
        if head.rest:
            self._record_rest(incarnation, head.rest)
        if head.bad_announcements:
            self._record_unreadable(incarnation, head)

    def has_announcements(self) -> bool:
        """Check whether any engine has announced that it leaves or rests."""
        return bool(self.announcements.states.incarnations)

    def is_leaving(self, incarnation: EngineIncarnation) -> bool:
        """Check whether an engine has announced that it leaves."""
        now = boottime()
        return self.announcements.leaving_seconds(incarnation, now) is not None

    def accepts_requests(self, incarnation: EngineIncarnation) -> bool:
        """Check whether an engine may get requests now or after a rest.

        An engine that leaves may get them for the time that the operators allow.
        """
        leaving = self.announcements.leaving_seconds(incarnation, boottime())
        bound = self.site.bounds.leaving_seconds - ARRIVAL_SECONDS
        return leaving is None or leaving < bound

    def record_send(self, incarnation: EngineIncarnation) -> Turn | None:
        """Record that a request is sent to an engine, at once or after its hold.

        Returns:
            The turn of the request; None if the engine does not limit its requests.
        """
        return self.limit_watch.limits.record_send(incarnation, boottime())

    def confirm_send(
        self, target: ListedTarget, incarnation: EngineIncarnation, turn: Turn | None
    ) -> bool:
        """Check whether a request may be written to an engine now, if it is cold."""
        return self.limit_watch.confirm_send(target, incarnation, turn)

    def record_refusal(
        self, service: ServiceName, targets: Iterable[ListedTarget]
    ) -> None:
        """Record that a request was refused because targets of its service are cold."""
        self.limit_watch.request_turns(service, targets)

    def record_contact(
        self, target: ListedTarget, incarnation: EngineIncarnation, answered: bool
    ) -> None:
        """Record that an engine has answered a request or could not be reached."""
        cold_watch = self.limit_watch.cold_watch
        cold_watch.record_contact(target, incarnation, answered)

    def count_hold(self, incarnation: EngineIncarnation) -> None:
        """Count a request that waits for its turn at an engine that is cold."""
        if self.limit_watch.limits.is_cold(incarnation):
            self.events.metrics.count("requests_held_cold")

    def record_cold(
        self, incarnation: EngineIncarnation, statement: ColdStatement | None
    ) -> None:
        """Record what a loader reports of whether its engine is cold, if it knows."""
        if statement is not None:
            self.limit_watch.cold_watch.record_statement(incarnation, statement)

    def rest_left(self, incarnation: EngineIncarnation) -> float:
        """Return for how many seconds an engine wants no requests."""
        now = boottime()
        if self.announcements.end_rest(incarnation, now):
            self.events.emit(EventKind.ENGINE_REST_ENDED, target=incarnation.target)
        return self.announcements.rest_left(incarnation, now)

    def record_leaving(
        self, incarnation: EngineIncarnation, said_by: str, age: float = 0.0
    ) -> bool:
        """Record that an engine leaves; return whether this was not known.

        Args:
            incarnation: Incarnation of the engine.
            said_by: The message that said so.
            age: Seconds since the engine said so.
        """
        announced_at = Seconds(boottime() - age)
        if not self.announcements.record_leaving(incarnation, announced_at):
            return False
        self.events.metrics.count("engines_leaving")
        self.events.emit(
            EventKind.ENGINE_LEAVING, target=incarnation.target, said_by=said_by
        )
        return True

    def _receive_leaving(self, message: EngineLeaving) -> None:
        """Record an announcement that another gateway has received."""
        self.record_leaving(message.incarnation, "gateway", message.age)

    def _record_rest(self, incarnation: EngineIncarnation, seconds: float) -> None:
        if self.announcements.record_rest(incarnation, seconds, boottime()):
            self.events.metrics.count("engine_rests")
            self.events.emit(
                EventKind.ENGINE_RESTS, target=incarnation.target, seconds=seconds
            )

    def _record_unreadable(
        self, incarnation: EngineIncarnation, head: AnswerHead
    ) -> None:
        self.events.metrics.count("bad_announcements", len(head.bad_announcements))
        if incarnation in self.unreadable:
            return
        self.unreadable.add(incarnation)
        error = "; ".join(map(str, head.bad_announcements))
        self.events.emit(EventKind.BAD_INPUT, error=f"{incarnation.target}: {error}")

    def forget_unlisted(self, listed: Container[TargetId]) -> None:
        """Drop the announcements of engines that are not listed any more."""
        self.limit_watch.forget_unlisted(listed)
        self.announcements.forget_unlisted(listed)
        self.unreadable = {
            incarnation
            for incarnation in self.unreadable
            if incarnation.target in listed
        }


class AttemptGuard(Struct, frozen=True):
    """What decides whether one attempt may still be sent, and learns from its answer.

    Attributes:
        announcements: Tracks the announcements of all engines.
        incarnation: Incarnation of the engine that gets the attempt.
        check: Returns why the request must not be sent to the engine any more; None if
            it may. Called before connecting and before the request is written.
        turn: Turn of the request at an engine that limits its requests.
        record_write: Called when all checks have passed and the request is written.
    """

    announcements: AnnouncementWatch
    incarnation: EngineIncarnation
    check: Callable[[], Exclusion | None]
    turn: Turn | None = None
    record_write: Callable[[], None] = lambda: None

    def confirm_write(self, target: ListedTarget) -> Exclusion | None:
        """Return why the request must not be written now; None if it is written.

        Called once for an attempt, as the last check.

        Args:
            target: Entry of the engine.
        """
        if not self.announcements.confirm_send(target, self.incarnation, self.turn):
            return Exclusion(ExclusionReason.COLD)
        self.record_write()
        return None

    def record(self, head: AnswerHead) -> None:
        """Record the announcements in the head of the answer."""
        self.announcements.record_answer(self.incarnation, head)
