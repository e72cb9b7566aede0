"""One life of an engine, and which of two lives is the later one.

An engine that crashed may be back with the identity that it had. It holds and knows
nothing of before, so that whatever is remembered of an engine holds for one life of it.
"""

from msgspec import Struct

from ridgecourse.core.ids import EngineStart, TargetId


class EngineLife(Struct, frozen=True):
    """An engine's identity and its start together.

    A life without a start, told by an engine of an earlier kind or by a process that
    passes none on, is neither before nor after one with a start.

    Attributes:
        target: The engine's identity.
        started: When it started; None if it does not tell.
    """

    target: TargetId
    started: EngineStart | None

    def is_before(self, other: "EngineLife") -> bool:
        """Tell whether this is known to be an earlier life of the same engine."""
        return self.target == other.target and is_before(self.started, other.started)

    def join(self, other: "EngineLife") -> "EngineLife":
        """Return the later one of two lives of an engine, as far as that is known."""
        if self.started is None or self.is_before(other):
            return other
        return self


def is_before(first: EngineStart | None, second: EngineStart | None) -> bool:
    """Tell whether a start is known to be earlier than another one."""
    return first is not None and second is not None and first < second
