"""The loads of all engines, for the latest incarnation of each engine."""

from ridgecourse.core.engine_incarnation import EngineIncarnation, LatestIncarnations
from ridgecourse.core.engine_load import FRESH_SECONDS, EngineLoad, EngineStatus
from ridgecourse.core.ids import Seconds


class KnownLoads(LatestIncarnations[EngineLoad]):
    """The loads of the engines as one gateway knows them.

    A new incarnation of an engine has a new load, without the reports of the earlier
    incarnation and the requests that were sent to it.
    """

    def __init__(self) -> None:
        super().__init__(lambda incarnation: EngineLoad())

    def record_report(
        self,
        incarnation: EngineIncarnation,
        status: EngineStatus,
        now: Seconds,
        number: int,
    ) -> bool:
        """Record a report if it is newer than the known load.

        Args:
            incarnation: Incarnation of the engine that the report is about.
            status: Reported load.
            now: Current time.
            number: Sequence number of the report; see ``EngineLoad.is_newer``.

        Returns:
            Whether the report was recorded.
        """
        if incarnation.precedes(self.latest(incarnation)):
            return False
        load = self.value_of(incarnation)
        if not load.is_newer(number, now):
            return False
        load.record_report(status, now, number)
        return True

    def record_distributed(
        self,
        incarnation: EngineIncarnation,
        status: EngineStatus,
        reported_at: Seconds,
        now: Seconds,
        number: int,
    ) -> bool:
        """Record a load that arrived through distributors if it is newer.

        Args:
            incarnation: Incarnation of the engine that the load is of.
            status: The load.
            reported_at: When the loader reported the load, on the local clock.
            now: Current time.
            number: Sequence number of the loader's report.

        Returns:
            Whether the load was recorded.
        """
        if now - reported_at > FRESH_SECONDS:
            return False
        if incarnation.precedes(self.latest(incarnation)):
            return False
        load = self.value_of(incarnation)
        if load.is_fresh(now) and number <= load.sequence_number:
            return False
        load.record_report(status, reported_at, number)
        return True
