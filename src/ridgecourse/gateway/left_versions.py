"""Versions that a hub does not draw, for a newer one is of use sooner without them.

What was left stays so: an origin that lost a version lacks all older ones too.
"""

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.draw_order import Draw, goes_first
from ridgecourse.core.ids import Seconds, WeightsVersion
from ridgecourse.exchange.catalogue import Catalogue, VersionKey
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream


class LeftVersions:
    """Decides which named versions are left to their successors.

    Attributes:
        catalogue: Knows what is held of each version; tells others what is left.
    """

    def __init__(
        self, view: ClusterView, catalogue: Catalogue, events: EventStream
    ) -> None:
        self.view = view
        self.catalogue = catalogue
        self.events = events

    def leaves(self, key: VersionKey) -> bool:
        """Tell whether a version is not drawn any more, and remember that it is not."""
        if key in self.catalogue.left:
            return True
        history = self.view.history(key[0])
        newest = key[0], history.newest
        if not history.required(boottime()) < key[1] < newest[1]:
            # Some engines may have nothing else, or there is nothing newer.
            return False
        if self._is_whole(key) or newest not in self.catalogue.holdings:
            return False
        if self.goes_first(key, newest) is not False:
            return False
        self.catalogue.left.add(key)
        self.events.emit(
            EventKind.ROLLOUT_DROPPED, version=str(key[1]), newer=str(newest[1])
        )
        return True

    def goes_first(self, older: VersionKey, newer: VersionKey) -> bool | None:
        """Tell whether an older version is drawn first; None where that is open."""
        history, draws = self.view.history(older[0]), []
        for key in (older, newer):
            seconds = self.draw_seconds(key)
            bound = history.begin_by(WeightsVersion(key[1] - 1))
            if seconds is None or bound is None:
                return None
            draws.append(Draw(seconds, bound))
        return goes_first(draws[0], draws[1], Seconds(boottime()))

    def draw_seconds(self, key: VersionKey) -> float | None:
        """Return the least time that drawing what is missing takes, if known."""
        holding, config = self.catalogue.holdings.get(key), self.view.config
        origin = config.origin if config is not None else None
        if holding is None or origin is None or not origin.bytes_per_s:
            return None
        return holding.missing_bytes() / origin.bytes_per_s

    def _is_whole(self, key: VersionKey) -> bool:
        holding = self.catalogue.holdings.get(key)
        return holding is not None and holding.complete
