"""The versions of weights that operators have named, as one process knows them."""

from collections.abc import Iterable, Iterator

from ridgecourse.core.ids import ModelName, Seconds, WeightsVersion
from ridgecourse.core.weights import VersionAge, VersionHistory
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream


class NamedVersions:
    """The named versions of all models.

    Attributes:
        events: Receives events.
        version_seconds: Seconds from the naming of a version until it is required.
        histories: Named versions of each model.
    """

    def __init__(self, events: EventStream, version_seconds: float) -> None:
        self.events = events
        self.version_seconds = version_seconds
        self.histories: dict[ModelName, VersionHistory] = {}

    def set_version_bound(self, seconds: float) -> None:
        """Set the time from the naming of a version until it is required.

        Args:
            seconds: The time, in seconds.
        """
        self.version_seconds = seconds
        for history in self.histories.values():
            history.bound = seconds

    def history(self, model: ModelName) -> VersionHistory:
        """Return the named versions of a model."""
        if model not in self.histories:
            self.histories[model] = VersionHistory(self.version_seconds)
        return self.histories[model]

    def wanted_version(self, model: ModelName) -> WeightsVersion:
        """Return the newest named version of a model, which is to be served."""
        return self.history(model).newest

    def apply_version_ages(self, ages: Iterable[VersionAge], asked_at: Seconds) -> None:
        """Apply the ages of named versions that another process reported.

        Args:
            ages: The reported ages.
            asked_at: When the process was asked; it computed the ages no earlier.
        """
        for version_age in ages:
            named_at = Seconds(asked_at - version_age.age)
            if self.history(version_age.model).record_naming_time(
                version_age.version, named_at
            ):
                self.events.emit(
                    EventKind.VERSION_DATED,
                    version=str(version_age.version),
                    model=version_age.model,
                    age=round(boottime() - named_at, 2),
                )

    def version_ages(self) -> Iterator[VersionAge]:
        """Yield the ages of the versions whose naming times are known."""
        for model, history in self.histories.items():
            yield from history.ages(model, boottime())
