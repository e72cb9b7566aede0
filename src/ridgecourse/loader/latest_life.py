"""The engine beside a loader, without what its earlier lives still say."""

from ridgecourse.core.engine_life import is_before
from ridgecourse.core.ids import EngineStart, ModelName, WeightsVersion
from ridgecourse.loader.protocol import (
    EngineControl,
    EngineReport,
    EngineUnavailable,
    InvalidReport,
    OrderOutcome,
)
from ridgecourse.net.events import EventKind, EventStream


class LatestLife(EngineControl):
    """Passes calls on to the engine, and no report of an earlier life back.

    A process that was frozen answers late on connections that it still holds, while
    its engine has started again.

    Attributes:
        started: Start of the latest life; None if none was told.
        invalid: What was wrong with the report that was logged last.
    """

    def __init__(self, engine: EngineControl, events: EventStream) -> None:
        self.engine = engine
        self.events = events
        self.started: EngineStart | None = None
        self.invalid = ""

    def report(self) -> EngineReport:
        """Return what the latest life tells; see ``EngineControl``."""
        try:
            report = self.engine.report()
        except InvalidReport as error:
            self._note_invalid(str(error))
            raise
        if is_before(report.started, self.started):
            raise EngineUnavailable("an earlier life of the engine answered")
        if is_before(self.started, report.started):
            self.events.emit(EventKind.ENGINE_RESTARTED, started=report.started)
        if report.started is not None:
            self.started = report.started
        return report

    def _note_invalid(self, error: str) -> None:
        """Count a report that cannot be read, and log it once."""
        self.events.figures.count("engine_reports_invalid")
        if error != self.invalid:
            self.invalid = error
            self.events.emit(EventKind.BAD_INPUT, error=error)

    def start(self, model: ModelName, version: WeightsVersion) -> OrderOutcome:
        """Order the engine to serve what lies staged; see ``EngineControl``."""
        return self.engine.start(model, version)

    def stage(self, model: ModelName, index: int, data: bytes) -> None:
        """Put a chunk into the staging area; see ``EngineControl``."""
        self.engine.stage(model, index, data)

    def staged(self, model: ModelName, index: int) -> bytes | None:
        """Return a staged chunk; see ``EngineControl``."""
        return self.engine.staged(model, index)
