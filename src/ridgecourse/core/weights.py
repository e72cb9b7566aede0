"""Versions of weights that operators name, and from when on each is required."""

from collections.abc import Iterator

from msgspec import Struct

from ridgecourse.core.ids import ModelName, Seconds, WeightsVersion

SAME_SECONDS = 0.05
"""Two times of a name that differ by less are the same: the way takes some ms."""
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


class VersionNotice(Struct):
    """A named version.

    Attributes:
        version: The version.
        named_at: When it was named; if that is not known, so long ago that its bound
            was over when this process learned of it.
        dated: Whether it is known.
    """

    version: WeightsVersion
    named_at: Seconds
    dated: bool


class VersionAge(Struct, frozen=True):
    """What one process tells others of a named version.

    Attributes:
        model: The model.
        version: Its version.
        age: Seconds since it was named.
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
            named_at: When it was named; None if that is not known. Then nothing may
                begin on older weights: its bound may be over.
        """
        if version <= self.newest:
            return False
        if named_at is None:
            notice = VersionNotice(version, Seconds(now - self.bound), dated=False)
        else:
            notice = VersionNotice(version, named_at, dated=True)
        self.notices.append(notice)
        return True

    def date(self, version: WeightsVersion, named_at: Seconds) -> bool:
        """Take in when a version was named, as another process knows.

        Who was frozen or cut off learned of it late: the earliest time counts.

        Returns:
            Whether that changes what was known.
        """
        for notice in self.notices:
            if notice.version != version:
                continue
            if not notice.dated or named_at < notice.named_at - SAME_SECONDS:
                notice.named_at, notice.dated = named_at, True
                return True
        return False

    def is_recent(self, now: Seconds) -> bool:
        """Tell whether the newest version was named within the bound, as is known."""
        if not self.notices or not self.notices[-1].dated:
            return False
        return now - self.notices[-1].named_at < self.bound

    def count_newer(self, version: WeightsVersion) -> int:
        """Return how many newer versions are named, as far as is known."""
        return sum(notice.version > version for notice in self.notices)

    def ages(self, model: ModelName, now: Seconds) -> Iterator[VersionAge]:
        """Yield the versions of which it is known when they were named."""
        for notice in self.notices:
            if notice.dated:
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
        bounds = [n.named_at + self.bound for n in self.notices if n.version > version]
        return Seconds(min(bounds)) if bounds else None
