"""Values kept for engines, each for the latest incarnation of the engine."""

from collections.abc import Callable, Container
from typing import Generic, TypeVar

from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.ids import TargetId

ValueT = TypeVar("ValueT")


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
