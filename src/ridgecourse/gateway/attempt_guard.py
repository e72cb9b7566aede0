"""Check the target of one attempt once more before the request is sent."""

from collections.abc import Callable

from msgspec import Struct

from ridgecourse.core.eligibility import Exclusion
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.gateway.announcement_watch import AnnouncementWatch
from ridgecourse.gateway.messages import AnswerHead


class AttemptGuard(Struct, frozen=True):
    """What decides whether one attempt may still be sent, and learns from its answer.

    Attributes:
        announcements: Tracks the announcements of all engines.
        incarnation: Incarnation of the engine that gets the attempt.
        check: Returns why the request must not be sent to the engine any more; None if
            it may. Called before connecting and before the request is written.
    """

    announcements: AnnouncementWatch
    incarnation: EngineIncarnation
    check: Callable[[], Exclusion | None]

    def record(self, head: AnswerHead) -> None:
        """Record the announcements in the head of the answer."""
        self.announcements.record_answer(self.incarnation, head)
