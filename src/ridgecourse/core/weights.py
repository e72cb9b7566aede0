"""Record which versions of weights operators name, and when each becomes required.

Gateways and loaders use this history to decide on which weights a request may start.
"""

from collections.abc import Iterable, Iterator
from enum import Enum

from msgspec import Struct

from ridgecourse.core.ids import ModelName, Seconds, WeightsVersion

SAME_TIME_SECONDS = 0.05
"""Two reported naming times of a version that differ by less than this count as equal:
a report takes a few milliseconds to arrive."""
FIRST_VERSION = WeightsVersion(1)
"""The version in force before an operator names one."""


class NamedVersion(Struct, frozen=True):
    """The version of a model that is to be served.

    Attributes:
        model: The model.
        version: Its version.
    """

    model: ModelName
    version: WeightsVersion


class NamingTimeSource(Enum):
    """How the naming time of a version is known.

    UNKNOWN: The naming time is not known.
    REPORTED: Another process reported it.
    OBSERVED: A reply of the store shortly before did not contain the version yet.
    """

    UNKNOWN = "unknown"
    REPORTED = "told"
    OBSERVED = "heard"


class VersionNotice(Struct):
    """A named version and its naming time.

    Attributes:
        version: The version.
        named_at: Earliest time at which the version may have been named. If this is
            unknown, a time so early that the bound had passed when this process learned
            of the version.
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

    Each named version has its own bound, after which no request may start on an older
    version. A newer name does not postpone this bound.

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
                unknown. In that case no request may start on older weights, since the
                bound may have passed already.

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

        The earliest of several reported times counts. A time that this process observed
        itself is kept: it remains valid after a freeze or a network partition, and it
        is more accurate than the report of a process that polls rarely. An unknown
        version between known ones is added, because a process that starts reads only
        the newest name, while the bounds of earlier versions still apply.

        Returns:
            Whether the history changed.
        """
        for notice in self.notices:
            if notice.version == version and is_better_time(notice, named_at):
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

    def _known_versions(self) -> set[WeightsVersion]:
        return {FIRST_VERSION, *(notice.version for notice in self.notices)}

    def is_recent(self, now: Seconds) -> bool:
        """Check whether the newest version is known to be younger than the bound."""
        if not self.notices or self.notices[-1].time_source is NamingTimeSource.UNKNOWN:
            return False
        return now - self.notices[-1].named_at < self.bound

    def was_named_before(self, version: WeightsVersion, time: Seconds) -> bool:
        """Return whether a version was named before a time; True if that is unknown."""
        return not any(
            notice.version == version
            and notice.time_source is not NamingTimeSource.UNKNOWN
            and notice.named_at > time
            for notice in self.notices
        )

    def count_newer(self, version: WeightsVersion) -> int:
        """Return the number of newer versions that are known to be named."""
        return sum(notice.version > version for notice in self.notices)

    def ages(self, model: ModelName, now: Seconds) -> Iterator[VersionAge]:
        """Yield the ages of the versions whose naming time is known."""
        for notice in self.notices:
            if notice.time_source is not NamingTimeSource.UNKNOWN:
                yield VersionAge(model, notice.version, now - notice.named_at)

    @property
    def newest(self) -> WeightsVersion:
        """The version that is to be served."""
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
        """Return until when requests may start on a version; None for no limit."""
        return self._earliest_bound(
            notice for notice in self.notices if notice.version > version
        )

    def known_start_deadline(self, version: WeightsVersion) -> Seconds | None:
        """Return the start deadline from newer versions with a known naming time only.

        None if there is no such version.
        """
        timed_notices = (
            notice
            for notice in self.notices
            if notice.time_source is not NamingTimeSource.UNKNOWN
        )
        return self._earliest_bound(
            notice for notice in timed_notices if notice.version > version
        )

    def _earliest_bound(self, notices: Iterable[VersionNotice]) -> Seconds | None:
        bounds = [notice.named_at + self.bound for notice in notices]
        return Seconds(min(bounds)) if bounds else None


def is_better_time(notice: VersionNotice, reported_at: Seconds) -> bool:
    """Return whether a reported naming time is to replace the recorded one."""
    if notice.time_source is NamingTimeSource.REPORTED:
        return reported_at < notice.named_at - SAME_TIME_SECONDS
    return notice.time_source is NamingTimeSource.UNKNOWN
