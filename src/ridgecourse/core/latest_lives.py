"""What is remembered of engines, each of its latest life."""

from collections.abc import Callable, Container
from typing import Generic, TypeVar

from ridgecourse.core.engine_life import EngineLife
from ridgecourse.core.ids import TargetId

ValueT = TypeVar("ValueT")


class LatestLives(Generic[ValueT]):
    """One value for the latest life of each engine; a new life has a new one.

    Who waits for an answer of an earlier life holds on to that life's value: what
    becomes of it says nothing of the new life.

    Attributes:
        make: Returns the value of a life that was not heard of before.
        lives: The latest life of each engine.
        values: The values of those.
    """

    def __init__(self, make: Callable[[EngineLife], ValueT]) -> None:
        self.make = make
        self.lives: dict[TargetId, EngineLife] = {}
        self.values: dict[TargetId, ValueT] = {}

    def latest(self, life: EngineLife) -> EngineLife:
        """Return an engine's latest life, of one that was heard of and those before."""
        known = self.lives.get(life.target)
        if known == life:
            return known
        if known is None or known.is_before(life):
            self.values[life.target] = self.make(life)
        self.lives[life.target] = known.join(life) if known else life
        return self.lives[life.target]

    def of(self, life: EngineLife) -> ValueT:
        """Return the value of an engine's latest life, however early the one given."""
        if self.lives.get(life.target) != life:
            self.latest(life)
        return self.values[life.target]

    def forget_unlisted(self, listed: Container[TargetId]) -> None:
        """Drop what is known of engines that are no longer listed."""
        for target in [name for name in self.lives if name not in listed]:
            del self.lives[target], self.values[target]
