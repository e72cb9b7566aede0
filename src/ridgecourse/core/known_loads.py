"""The loads of all engines, each of the engine's latest life."""

from ridgecourse.core.engine_life import EngineLife
from ridgecourse.core.engine_load import EngineLoad, EngineStatus
from ridgecourse.core.ids import Seconds
from ridgecourse.core.latest_lives import LatestLives


class KnownLoads(LatestLives[EngineLoad]):
    """What one gateway knows of the engines' loads.

    A new life of an engine has a new load: no report on the earlier life and no request
    sent to it counts there.
    """

    def __init__(self) -> None:
        super().__init__(lambda life: EngineLoad())

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
