"""Answers that ended with their connection while their engine may have ended too.

The close of the connection is the regular end of a body that has neither a length nor
chunks, and it is what an engine that ends does. What happens next at the engine tells
the two apart: an engine that accepts a further connection has outlived the answer, and
one that refuses it has not, or not for long.
"""

from collections import deque
from collections.abc import Sequence

from msgspec import Struct

from ridgecourse.core.crash_reports import Flight
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.ids import Seconds

MAX_ANSWERS = 256
UNCONFIRMED_SECONDS = 2.0
"""An engine that is first seen to have ended later than this after an answer is not
taken to have ended with it."""


class UnconfirmedAnswer(Struct, frozen=True):
    """An answer of which it is not known whether its engine outlived it.

    Attributes:
        flight: The request at the engine.
        ended_at: When the answer ended.
        is_success: Whether the answer is a success.
    """

    flight: Flight
    ended_at: Seconds
    is_success: bool = True

    def may_be_cut(self, engine_ended_by: Seconds) -> bool:
        """Check whether the end of the engine may have ended the answer.

        Args:
            engine_ended_by: When the engine was first seen to have ended.
        """
        return engine_ended_by - self.ended_at <= UNCONFIRMED_SECONDS


class UnconfirmedAnswers:
    """The latest unconfirmed answers of all engines.

    Attributes:
        answers: The answers, in the order in which they ended.
    """

    def __init__(self) -> None:
        self.answers: deque[UnconfirmedAnswer] = deque(maxlen=MAX_ANSWERS)

    def add(self, flight: Flight, ended_at: Seconds, is_success: bool = True) -> None:
        """Add an answer."""
        self.answers.append(UnconfirmedAnswer(flight, ended_at, is_success))

    def has_any(self, incarnation: EngineIncarnation) -> bool:
        """Check whether an engine has an unconfirmed answer."""
        return any(answer.flight.incarnation == incarnation for answer in self.answers)

    def take(
        self, incarnation: EngineIncarnation, until: Seconds
    ) -> Sequence[UnconfirmedAnswer]:
        """Remove and return the answers of an engine that ended up to a time.

        Args:
            incarnation: The engine.
            until: When the engine was seen to run or to have ended.
        """
        decided = [
            answer
            for answer in self.answers
            if answer.flight.incarnation == incarnation and answer.ended_at <= until
        ]
        for answer in decided:
            self.answers.remove(answer)
        return decided
