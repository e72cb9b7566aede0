"""Versions of weights that operators name, and from when on each is required."""

from msgspec import Struct

from ridgecourse.core.ids import ModelName, Seconds, WeightsVersion

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


class VersionNotice(Struct, frozen=True):
    """A named version and when this process learned of it."""

    version: WeightsVersion
    learned_at: Seconds


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

    def name(self, version: WeightsVersion, now: Seconds) -> bool:
        """Take in a named version; tell whether it is newer than all others."""
        if version <= self.newest:
            return False
        self.notices.append(VersionNotice(version, now))
        return True

    @property
    def newest(self) -> WeightsVersion:
        """The version that is to be served."""
        return self.notices[-1].version if self.notices else FIRST_VERSION

    def required(self, now: Seconds) -> WeightsVersion:
        """Return the oldest version on which a request may begin now."""
        past = [n.version for n in self.notices if n.learned_at + self.bound <= now]
        return max(past, default=FIRST_VERSION)

    def begin_by(self, version: WeightsVersion) -> Seconds | None:
        """Return until when requests may begin on a version; None for any time."""
        bounds = [
            n.learned_at + self.bound for n in self.notices if n.version > version
        ]
        return Seconds(min(bounds)) if bounds else None
