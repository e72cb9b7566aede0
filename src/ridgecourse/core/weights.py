"""History of the versions of weights that operators name for a model.

An operator names a version when the system is to serve that version. After a fixed
time, the bound, the version is required: no request may start on an older version.
Gateways and loaders use the history to decide on which version a request may start.
"""

from collections.abc import Iterable, Iterator
from enum import Enum

from msgspec import Struct

from ridgecourse.core.ids import ModelName, Seconds, WeightsVersion

NAMING_TIME_TOLERANCE_SECONDS = 0.05
"""Two reported naming times of a version that differ by at most this much count as
equal, because a report takes a few milliseconds to arrive."""
FIRST_VERSION = WeightsVersion(1)
"""The version that is served until an operator names one."""


class NamedVersion(Struct, frozen=True):
    """A version that an operator named for a model.

    Attributes:
        model: The model.
        version: Its version.
    """

    model: ModelName
    version: WeightsVersion


class NamingTimeSource(Enum):
    """How this process knows the naming time of a version.

    Attributes:
        UNKNOWN: This process does not know the naming time.
        REPORTED: Another process reported the naming time.
        OBSERVED: This process read the version and knows the last time at which the
            store did not contain it yet; that is the earliest naming time.
    """

    UNKNOWN = "unknown"
    REPORTED = "told"
    OBSERVED = "heard"


class VersionNotice(Struct):
    """A named version and its naming time.

    Attributes:
        version: The version.
        named_at: Earliest time at which the version may have been named. If that time
            is unknown, the time at which this process received the version minus the
            bound, so that the version is required at once.
        time_source: How ``named_at`` is known.
    """

    version: WeightsVersion
    named_at: Seconds
    time_source: NamingTimeSource


class VersionAge(Struct, frozen=True):
    """The age of a named version, as one process reports it to others.

    Attributes:
        model: The model.
        version: Its version.
        age: Upper bound of the seconds since the version was named.
    """

    model: ModelName
    version: WeightsVersion
    age: float


class VersionHistory:
    """The named versions of one model, in ascending order.

    Each named version becomes required at its own time, after which no request may
    start on an older version. Naming a newer version does not postpone this time.

    Attributes:
        bound: Seconds from naming a version until it is required.
        notices: Named versions, the oldest first.
    """

    def __init__(self, bound: float) -> None:
        self.bound = bound
        self.notices: list[VersionNotice] = []

    def record_version(
        self, version: WeightsVersion, now: Seconds, named_at: Seconds | None
    ) -> bool:
        """Record a named version.

        Args:
            version: The version.
            now: The current time.
            named_at: Earliest time at which the version may have been named; None if
                that time is unknown. Then no request may start on an older version from
                now on, since the bound may have passed already.

        Returns:
            Whether the version is newer than all recorded ones.
        """
        if version <= self.newest:
            return False
        if named_at is None:
            earliest = Seconds(now - self.bound)
            notice = VersionNotice(version, earliest, NamingTimeSource.UNKNOWN)
        else:
            notice = VersionNotice(version, named_at, NamingTimeSource.OBSERVED)
        self.notices.append(notice)
        return True

    def record_naming_time(self, version: WeightsVersion, named_at: Seconds) -> bool:
        """Record the earliest naming time of a version, as another process reports it.

        The earliest of several reported times is used. A time that this process
        observed itself is never replaced: it remains valid after a freeze or a network
        partition, and it is more accurate than the report of a process that polls
        rarely. A version that is older than the newest one and not yet in the history
        is added: a process that starts reads only the newest named version, but the
        bounds of earlier versions still apply.

        Returns:
            Whether the history changed.
        """
        for notice in self.notices:
            if notice.version == version and should_replace_time(notice, named_at):
                notice.named_at, notice.time_source = (
                    named_at,
                    NamingTimeSource.REPORTED,
                )
                return True
        if version < self.newest and version not in self._known_versions():
            self.notices.append(
                VersionNotice(version, named_at, NamingTimeSource.REPORTED)
            )
            self.notices.sort(key=lambda notice: notice.version)
            return True
        return False

    def lacks_naming_time(self, version: WeightsVersion) -> bool:
        """Check whether a bound may apply that this process does not know."""
        if version > self.newest or version == FIRST_VERSION:
            return False
        return not any(
            notice.version == version
            and notice.time_source is not NamingTimeSource.UNKNOWN
            for notice in self.notices
        )

    def _known_versions(self) -> set[WeightsVersion]:
        return {FIRST_VERSION, *(notice.version for notice in self.notices)}

    def is_recent(self, now: Seconds) -> bool:
        """Check whether the newest version is known not to be required yet."""
        if not self.notices or self.notices[-1].time_source is NamingTimeSource.UNKNOWN:
            return False
        return now - self.notices[-1].named_at < self.bound

    def was_named_before(self, version: WeightsVersion, time: Seconds) -> bool:
        """Check whether a version was named before a time.

        Returns:
            False if the version is known to be named later; else True, also if the
            naming time is unknown.
        """
        return not any(
            notice.version == version
            and notice.time_source is not NamingTimeSource.UNKNOWN
            and notice.named_at > time
            for notice in self.notices
        )

    def count_newer(self, version: WeightsVersion) -> int:
        """Return the number of named versions that are newer than the given one."""
        return sum(notice.version > version for notice in self.notices)

    def ages(self, model: ModelName, now: Seconds) -> Iterator[VersionAge]:
        """Yield the ages of the versions whose naming time is known."""
        for notice in self.notices:
            if notice.time_source is not NamingTimeSource.UNKNOWN:
                yield VersionAge(model, notice.version, now - notice.named_at)

    @property
    def newest(self) -> WeightsVersion:
        """The newest named version, which is to be served."""
        return self.notices[-1].version if self.notices else FIRST_VERSION

    def required_version(self, now: Seconds) -> WeightsVersion:
        """Return the oldest version on which a request may start now."""
        due = [
            notice.version
            for notice in self.notices
            if notice.named_at + self.bound <= now
        ]
        return max(due, default=FIRST_VERSION)

    def start_deadline(self, version: WeightsVersion) -> Seconds | None:
        """Return the time until which requests may start on a version.

        Returns:
            The earliest time at which a newer version is required; None if no newer
            version is named.
        """
        return self._earliest_required_at(
            notice for notice in self.notices if notice.version > version
        )

    def known_start_deadline(self, version: WeightsVersion) -> Seconds | None:
        """Return the start deadline of a version as far as it is known.

        Returns:
            As ``start_deadline``, but only newer versions whose naming time is known
            are taken into account; None if there is no such version.
        """
        timed_notices = (
            notice
            for notice in self.notices
            if notice.time_source is not NamingTimeSource.UNKNOWN
        )
        return self._earliest_required_at(
            notice for notice in timed_notices if notice.version > version
        )

    def _earliest_required_at(self, notices: Iterable[VersionNotice]) -> Seconds | None:
        """Return the time from which on the first of some versions is required."""
        required_times = [notice.named_at + self.bound for notice in notices]
        return Seconds(min(required_times)) if required_times else None


def should_replace_time(notice: VersionNotice, reported_at: Seconds) -> bool:
    """Check whether a reported naming time replaces the recorded one.

    Args:
        notice: The recorded version with its naming time.
        reported_at: Naming time that another process reported, not the time of the
            report.
    """
    if notice.time_source is NamingTimeSource.REPORTED:
        return reported_at < notice.named_at - NAMING_TIME_TOLERANCE_SECONDS
    return notice.time_source is NamingTimeSource.UNKNOWN


class NamedVersions:
    """The named versions of all models.

    Attributes:
        version_seconds: Seconds from the naming of a version until it is required.
        histories: Named versions of each model.
    """

    def __init__(self, version_seconds: float) -> None:
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
