"""The incarnation of an engine, and which of two incarnations is the later one.

An engine that crashed may restart with the same identity, but without the weights and
the state that it had. So anything known about an engine is valid for one incarnation.
"""

from msgspec import Struct

from ridgecourse.core.ids import EngineStart, TargetId


class EngineIncarnation(Struct, frozen=True):
    """An engine's identity together with its start.

    An incarnation without a start comes from an engine of an earlier release, or from a
    process that does not forward the start. It is neither before nor after an
    incarnation with a start.

    Attributes:
        target: Identity of the engine.
        started: Start of the engine; None if unknown.
    """

    target: TargetId
    started: EngineStart | None

    def precedes(self, other: "EngineIncarnation") -> bool:
        """Check whether this is known to be an earlier incarnation of the same engine.

        Args:
            other: Incarnation of the same engine or of another one.
        """
        return self.target == other.target and starts_before(
            self.started, other.started
        )

    def latest(self, other: "EngineIncarnation") -> "EngineIncarnation":
        """Return the later of two incarnations of an engine, as far as is known.

        Args:
            other: Incarnation of the same engine.
        """
        if self.started is None or self.precedes(other):
            return other
        return self


def starts_before(first: EngineStart | None, second: EngineStart | None) -> bool:
    """Check whether a start is known to be earlier than another one.

    Args:
        first: Start of one incarnation; None if unknown.
        second: Start of the other incarnation; None if unknown.
    """
    return first is not None and second is not None and first < second
