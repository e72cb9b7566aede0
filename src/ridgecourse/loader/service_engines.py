"""Engines of a loader's service according to the list of targets."""

from collections.abc import Iterator

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.rendezvous import rendezvous_rank
from ridgecourse.core.site import Site
from ridgecourse.core.target_list import ListedTarget
from ridgecourse.exchange.catalogue import VersionKey

EARLY_START_SHARE = 0.5
"""Share of a domain's engines that start the first of two wanted versions; the other
half waits for the second."""


class ServiceEngines:
    """Lists the engines of a service and computes the local engine's turn."""

    def __init__(self, site: Site, view: ClusterView) -> None:
        assert site.target is not None
        self.site = site
        self.service = site.target.service
        self.view = view

    def __iter__(self) -> Iterator[ListedTarget]:
        """Yield the listed engines of the service."""
        for target in self.view.targets.targets.values():
            if target.service == self.service:
                yield target

    def others(self) -> Iterator[ListedTarget]:
        """Yield the engines on other instances."""
        return (target for target in self if target.host != self.site.host)

    def turn_fraction(self, key: VersionKey) -> float:
        """Return the local engine's turn in the staggered switch of its domain.

        The switch is staggered because an engine that switches weights accepts no
        requests until its requests in progress have ended.

        Returns:
            A number from 0 for the first engine to 1 for the last one.
        """
        domain_hosts = {
            target.host for target in self if target.domain == self.site.domain
        }
        ranked = rendezvous_rank(f"{key}/start", domain_hosts | {self.site.host})
        return ranked.index(self.site.host) / max(1, len(ranked) - 1)

    def starts_early(self, key: VersionKey) -> bool:
        """Check whether the local engine is in the half that switches weights first."""
        return self.turn_fraction(key) <= EARLY_START_SHARE
