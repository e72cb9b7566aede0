"""The loads of all engines, each of the engine's latest life."""

from collections.abc import Container

from ridgecourse.core.engine_life import EngineLife
from ridgecourse.core.engine_load import EngineLoad, EngineStatus
from ridgecourse.core.ids import Seconds, TargetId


class KnownLoads:
    """What one gateway knows of the engines' loads.

    A new life of an engine has a new load: no report on the earlier life and no request
    sent to it counts there. Who waits for an answer of the earlier life holds on to
    that life's load.

    Attributes:
        loads: The load of each engine's latest life.
        lives: Those lives.
    """

    def __init__(self) -> None:
        self.loads: dict[TargetId, EngineLoad] = {}
        self.lives: dict[TargetId, EngineLife] = {}

    def latest(self, life: EngineLife) -> EngineLife:
        """Return an engine's latest life, of one that was heard of and those before."""
        known = self.lives.get(life.target)
        latest = known.join(life) if known else life
        if known is None or known.is_before(life):
            self.loads[life.target] = EngineLoad()
        self.lives[life.target] = latest
        return latest

    def of(self, life: EngineLife) -> EngineLoad:
        """Return the load of an engine's latest life."""
        return self.loads[self.latest(life).target]

    def report(
        self, life: EngineLife, status: EngineStatus, now: Seconds, number: int
    ) -> bool:
        """Take in a report, if it is newer than what is known; tell whether it is.

        Args:
            life: Whose load is told.
            status: The load.
            now: The present time.
            number: The report's number; see ``EngineLoad.is_newer``.
        """
        if life.is_before(self.latest(life)):
            return False
        load = self.of(life)
        if not load.is_newer(number, now):
            return False
        load.report(status, now, number)
        return True

    def retain(self, listed: Container[TargetId]) -> None:
        """Drop what is known of engines that are no longer listed."""
        for target in [name for name in self.lives if name not in listed]:
            del self.lives[target], self.loads[target]
