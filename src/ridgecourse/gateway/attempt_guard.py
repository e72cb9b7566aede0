"""Check the target of one attempt once more before the request is sent."""

from collections.abc import Callable

from msgspec import Struct

from ridgecourse.core.cold_turns import Turn
from ridgecourse.core.eligibility import Exclusion, ExclusionReason
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.target_list import ListedTarget
from ridgecourse.gateway.announcement_watch import AnnouncementWatch
from ridgecourse.gateway.messages import AnswerHead


class AttemptGuard(Struct, frozen=True):
    """What decides whether one attempt may still be sent, and learns from its answer.

    Attributes:
        announcements: Tracks the announcements of all engines.
        incarnation: Incarnation of the engine that gets the attempt.
        check: Returns why the request must not be sent to the engine any more; None if
            it may. Called before connecting and before the request is written.
        turn: Turn of the request at an engine that limits its requests.
    """

    announcements: AnnouncementWatch
    incarnation: EngineIncarnation
    check: Callable[[], Exclusion | None]
    turn: Turn | None = None

    def confirm_write(self, target: ListedTarget) -> Exclusion | None:
        """Return why the request must not be written now; None if it is written.

        Called once for an attempt, as the last check.

        Args:
            target: Entry of the engine.
        """
        if self.announcements.confirm_send(target, self.incarnation, self.turn):
            return None
        return Exclusion(ExclusionReason.COLD)

    def record(self, head: AnswerHead) -> None:
        """Record the announcements in the head of the answer."""
        self.announcements.record_answer(self.incarnation, head)
