"""Decide which announced versions a hub skips, so that a newer one is usable sooner.

A skipped version stays skipped, also if the newer version becomes unavailable: an
origin that has lost a version lacks all older versions too, so the skipped version
could not be fetched either.
"""

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.fetch_order import PendingFetch, is_fetched_first
from ridgecourse.core.ids import Seconds, WeightsVersion
from ridgecourse.exchange.catalogue import Catalogue, VersionKey
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream


class SkippedVersions:
    """Decides which announced versions are skipped in favour of newer ones.

    Attributes:
        view: Configuration and version histories.
        catalogue: Available chunks of each version, and the set of skipped versions.
            It answers other processes that a version is skipped.
        events: Receives an event for each skipped version.
    """

    def __init__(
        self, view: ClusterView, catalogue: Catalogue, events: EventStream
    ) -> None:
        self.view = view
        self.catalogue = catalogue
        self.events = events

    def is_skipped(self, key: VersionKey) -> bool:
        """Check whether a version is skipped.

        A version between the required version and the newest one is skipped if it is
        incomplete, the newest version's manifest is known, and the newest version is to
        be fetched first. The decision to skip a version is recorded and final.
        """
        if key in self.catalogue.skipped:
            return True
        history = self.view.history(key[0])
        newest = key[0], history.newest
        if not history.required_version(boottime()) < key[1] < newest[1]:
            # Some engines may have no other version that they may serve, or no newer
            # version exists.
            return False
        if self._is_complete(key) or newest not in self.catalogue.holdings:
            return False
        if self.takes_precedence(key, newest) is not False:
            return False
        self.catalogue.skipped.add(key)
        self.events.emit(
            EventKind.ROLLOUT_DROPPED, version=str(key[1]), newer=str(newest[1])
        )
        return True

    def takes_precedence(self, older: VersionKey, newer: VersionKey) -> bool | None:
        """Check whether an older version is fetched before a newer one.

        Returns:
            The decision that leaves engines without weights for less time; None if the
            duration of a fetch or the bound of a version is not known.
        """
        history, fetches = self.view.history(older[0]), []
        for key in (older, newer):
            seconds = self.fetch_seconds(key)
            # The bound of a version: when requests may no longer start on the version
            # before it.
            bound = history.start_deadline(WeightsVersion(key[1] - 1))
            if seconds is None or bound is None:
                return None
            fetches.append(PendingFetch(seconds, bound))
        return is_fetched_first(fetches[0], fetches[1], Seconds(boottime()))

    def fetch_seconds(self, key: VersionKey) -> float | None:
        """Return how long the fetch of the missing chunks takes at least, in seconds.

        This is the time at the full rate of the origin; None if the version's manifest
        or the origin's rate is not known.
        """
        holding, config = self.catalogue.holdings.get(key), self.view.config
        origin = config.origin if config is not None else None
        if holding is None or origin is None or not origin.bytes_per_s:
            return None
        return holding.missing_bytes() / origin.bytes_per_s

    def _is_complete(self, key: VersionKey) -> bool:
        holding = self.catalogue.holdings.get(key)
        return holding is not None and holding.complete
