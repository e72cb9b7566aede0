"""Versions of weights that operators name, and from when on each is required."""

from collections.abc import Iterable, Iterator
from enum import Enum

from msgspec import Struct

from ridgecourse.core.ids import ModelName, Seconds, WeightsVersion

SAME_SECONDS = 0.05
"""Two told times of a name that differ by less are the same: the way takes some ms."""
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


class Dating(Enum):
    """How it is known when a version was named.

    UNKNOWN: Not at all.
    TOLD: Another process told.
    HEARD: The store was heard of shortly before, without the name.
    """

    UNKNOWN = "unknown"
    TOLD = "told"
    HEARD = "heard"


class VersionNotice(Struct):
    """A named version.

    Attributes:
        version: The version.
        named_at: When it was named at the earliest; if that is not known, so long ago
            that its bound was over when this process learned of it.
        dating: How it is known.
    """

    version: WeightsVersion
    named_at: Seconds
    dating: Dating


class VersionAge(Struct, frozen=True):
    """What one process tells others of a named version.

    Attributes:
        model: The model.
        version: Its version.
        age: Seconds since it was named, at the most.
    """

    model: ModelName
    version: WeightsVersion
    age: float


class VersionHistory:
    """The versions of one model that were named, in rising order.

    Each named version has a bound of its own, after which no request may begin
    on an older one. A newer name does not put that bound off.

    Attributes:
        bound: Seconds from a version's name until it is required.
        notices: Named versions, the oldest first.
    """

    def __init__(self, bound: float) -> None:
        self.bound = bound
        self.notices: list[VersionNotice] = []

    def name(
        self, version: WeightsVersion, now: Seconds, named_at: Seconds | None
    ) -> bool:
        """Take in a named version; tell whether it is newer than all others.

        Args:
            version: The version.
            now: The present time.
            named_at: When it was named at the earliest; None if that is not known.
                Then nothing may begin on older weights: its bound may be over.
        """
        if version <= self.newest:
            return False
        if named_at is None:
            long_ago = Seconds(now - self.bound)
            notice = VersionNotice(version, long_ago, Dating.UNKNOWN)
        else:
            notice = VersionNotice(version, named_at, Dating.HEARD)
        self.notices.append(notice)
        return True

    def date(self, version: WeightsVersion, named_at: Seconds) -> bool:
        """Take in when a version was named at the earliest, as another process knows.

        Of what several tell the earliest counts. What this process heard itself holds
        also if it was frozen or cut off meanwhile, and is closer than what is told by
        one that seldom asks. A version between those known is taken in: who starts
        reads only the newest name, and the bounds of earlier ones hold on.

        Returns:
            Whether that changes what was known.
        """
        for notice in self.notices:
            if notice.version == version and is_closer(notice, named_at):
                notice.named_at, notice.dating = named_at, Dating.TOLD
                return True
        if version < self.newest and version not in self._versions():
            self.notices.append(VersionNotice(version, named_at, Dating.TOLD))
            self.notices.sort(key=lambda notice: notice.version)
            return True
        return False

    def _versions(self) -> set[WeightsVersion]:
        return {FIRST_VERSION, *(notice.version for notice in self.notices)}

    def is_recent(self, now: Seconds) -> bool:
        """Tell whether the newest version was named within the bound, as is known."""
        if not self.notices or self.notices[-1].dating is Dating.UNKNOWN:
            return False
        return now - self.notices[-1].named_at < self.bound

    def was_named_before(self, version: WeightsVersion, then: Seconds) -> bool:
        """Tell whether a version was named before a time, or it is not known when."""
        return not any(
            notice.version == version
            and notice.dating is not Dating.UNKNOWN
            and notice.named_at > then
            for notice in self.notices
        )

    def count_newer(self, version: WeightsVersion) -> int:
        """Return how many newer versions are named, as far as is known."""
        return sum(notice.version > version for notice in self.notices)

    def ages(self, model: ModelName, now: Seconds) -> Iterator[VersionAge]:
        """Yield the versions of which it is known when they were named."""
        for notice in self.notices:
            if notice.dating is not Dating.UNKNOWN:
                yield VersionAge(model, notice.version, now - notice.named_at)

    @property
    def newest(self) -> WeightsVersion:
        """The version that is to be served."""
        return self.notices[-1].version if self.notices else FIRST_VERSION

    def required(self, now: Seconds) -> WeightsVersion:
        """Return the oldest version on which a request may begin now."""
        past = [n.version for n in self.notices if n.named_at + self.bound <= now]
        return max(past, default=FIRST_VERSION)

    def begin_by(self, version: WeightsVersion) -> Seconds | None:
        """Return until when requests may begin on a version; None for any time."""
        return self._earliest_bound(n for n in self.notices if n.version > version)

    def dated_bound(self, version: WeightsVersion) -> Seconds | None:
        """Return the same as far as names are dated; None also where none is."""
        dated = (n for n in self.notices if n.dating is not Dating.UNKNOWN)
        return self._earliest_bound(n for n in dated if n.version > version)

    def _earliest_bound(self, notices: Iterable[VersionNotice]) -> Seconds | None:
        bounds = [notice.named_at + self.bound for notice in notices]
        return Seconds(min(bounds)) if bounds else None


def is_closer(notice: VersionNotice, told: Seconds) -> bool:
    """Tell whether a told time of a name is to replace what is known of it."""
    if notice.dating is Dating.TOLD:
        return told < notice.named_at - SAME_SECONDS
    return notice.dating is Dating.UNKNOWN
