"""Incarnations of engines: which of two is the later one, and a value for the latest.

An engine that crashed may restart with the same identity, but without the weights and
the state that it had. So anything known about an engine is valid for one incarnation.
"""

from collections.abc import Callable, Container
from typing import Generic, TypeVar

from msgspec import Struct

from ridgecourse.core.ids import EngineStart, TargetId

ValueT = TypeVar("ValueT")


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


class LatestIncarnations(Generic[ValueT]):
    """One value for the latest incarnation of each engine.

    A new incarnation starts with a new value. A request that waits for an answer of an
    earlier incarnation keeps a reference to the value of that incarnation, since its
    result says nothing about the new incarnation.

    Attributes:
        make: Returns the initial value of an incarnation.
        incarnations: Latest incarnation of each engine.
        values: Value of the latest incarnation of each engine.
    """

    def __init__(self, make: Callable[[EngineIncarnation], ValueT]) -> None:
        self.make = make
        self.incarnations: dict[TargetId, EngineIncarnation] = {}
        self.values: dict[TargetId, ValueT] = {}

    def latest(self, incarnation: EngineIncarnation) -> EngineIncarnation:
        """Record an incarnation and return the latest known one of the same engine.

        Args:
            incarnation: Incarnation of the engine; later or earlier than the known one.
        """
        known = self.incarnations.get(incarnation.target)
        if known == incarnation:
            return known
        if known is None or known.precedes(incarnation):
            self.values[incarnation.target] = self.make(incarnation)
        self.incarnations[incarnation.target] = (
            known.latest(incarnation) if known else incarnation
        )
        return self.incarnations[incarnation.target]

    def value_of(self, incarnation: EngineIncarnation) -> ValueT:
        """Return the value of an engine's latest incarnation.

        Args:
            incarnation: Any incarnation of the engine, also an earlier one.
        """
        if self.incarnations.get(incarnation.target) != incarnation:
            self.latest(incarnation)
        return self.values[incarnation.target]

    def forget_unlisted(self, listed: Container[TargetId], keep: int = 0) -> None:
        """Drop the values of engines that are not listed.

        Args:
            listed: The listed engines.
            keep: Number of unlisted engines, the last recorded ones, that are kept.
        """
        unlisted = [target for target in self.incarnations if target not in listed]
        for target in unlisted[: max(0, len(unlisted) - keep)]:
            del self.incarnations[target], self.values[target]
