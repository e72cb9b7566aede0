"""The engines of a loader's service, as the list of targets has them."""

from collections.abc import Iterator

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.rendezvous import rendezvous_rank
from ridgecourse.core.site import Site
from ridgecourse.core.targets import ListedTarget
from ridgecourse.exchange.catalogue import VersionKey

EARLY_SHARE = 0.5
"""Share of a domain's engines that serve the first of two versions, where both are
wanted: as many as wait for the second."""


class ServiceEngines:
    """Finds the other engines of a service, and its own engine's turn among them."""

    def __init__(self, site: Site, view: ClusterView) -> None:
        assert site.target is not None
        self.site = site
        self.service = site.target.service
        self.view = view

    def __iter__(self) -> Iterator[ListedTarget]:
        for target in self.view.targets.targets.values():
            if target.service == self.service:
                yield target

    def others(self) -> Iterator[ListedTarget]:
        """Yield the engines on other instances."""
        return (target for target in self if target.host != self.site.host)

    def place(self, key: VersionKey) -> float:
        """Return the own engine's place in which its domain's engines take a version.

        An engine that changes its weights takes no requests until it has ended those
        in progress.

        Returns:
            From 0 for the first of them to 1 for the last.
        """
        near = {target.host for target in self if target.domain == self.site.domain}
        ranked = rendezvous_rank(f"{key}/start", near | {self.site.host})
        return ranked.index(self.site.host) / max(1, len(ranked) - 1)

    def starts_early(self, key: VersionKey) -> bool:
        """Tell whether this engine is in the half that takes new weights first."""
        return self.place(key) <= EARLY_SHARE
