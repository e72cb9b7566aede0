"""Engine control that discards reports of earlier incarnations of the engine."""

from ridgecourse.core.engine_incarnation import starts_before
from ridgecourse.core.ids import EngineStart, ModelName, Seconds, WeightsVersion
from ridgecourse.loader.engine_control import (
    EngineControl,
    EngineReport,
    EngineUnavailable,
    InvalidReport,
    OrderOutcome,
)
from ridgecourse.net.events import EventKind, EventStream


class LatestIncarnation(EngineControl):
    """Forwards calls to the engine and discards reports of earlier incarnations.

    A frozen process answers late on connections that it still holds, while the
    engine has been started again.

    Attributes:
        started: Start of the latest incarnation; None if no report had a start time.
        logged_error: Error of the invalid report that was logged last.
    """

    def __init__(self, engine: EngineControl, events: EventStream) -> None:
        self.engine = engine
        self.events = events
        self.started: EngineStart | None = None
        self.logged_error = ""

    def report(self) -> EngineReport:
        """Return the report of the latest incarnation; see ``EngineControl``."""
        try:
            report = self.engine.report()
        except InvalidReport as error:
            self._record_invalid(str(error))
            raise
        if starts_before(report.started, self.started):
            raise EngineUnavailable("an earlier incarnation of the engine answered")
        if starts_before(self.started, report.started):
            self.events.emit(EventKind.ENGINE_RESTARTED, started=report.started)
        if report.started is not None:
            self.started = report.started
        return report

    def _record_invalid(self, error: str) -> None:
        """Count a report that cannot be decoded; log its error once if it repeats."""
        self.events.metrics.count("engine_reports_invalid")
        if error != self.logged_error:
            self.logged_error = error
            self.events.emit(EventKind.BAD_INPUT, error=error)

    def cold_remaining(self, health_path: str) -> float | None:
        """Return for how long the engine stays cold; see ``EngineControl``."""
        try:
            return self.engine.cold_remaining(health_path)
        except InvalidReport as error:
            self._record_invalid(str(error))
            raise

    def start(
        self, model: ModelName, version: WeightsVersion, send_until: Seconds
    ) -> OrderOutcome:
        """Order the engine to serve the staged version; see ``EngineControl``."""
        return self.engine.start(model, version, send_until)

    def stage(self, model: ModelName, index: int, data: bytes) -> None:
        """Write a chunk to the staging area; see ``EngineControl``."""
        self.engine.stage(model, index, data)

    def staged(self, model: ModelName, index: int) -> bytes | None:
        """Return a staged chunk; see ``EngineControl``."""
        return self.engine.staged(model, index)
