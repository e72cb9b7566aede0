"""The engines of a loader's service, as the list of targets has them."""

from collections.abc import Iterator

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.rendezvous import rendezvous_rank
from ridgecourse.core.site import Site
from ridgecourse.core.targets import ListedTarget
from ridgecourse.exchange.catalogue import VersionKey


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

    def starts_early(self, key: VersionKey) -> bool:
        """Tell whether the own engine is in the half that takes new weights first.

        An engine that changes its weights takes no requests until it has ended
        those in progress. Half of each domain's engines do that as soon as they
        can; the others serve on until their weights may no longer be used.
        """
        near = {target.host for target in self if target.domain == self.site.domain}
        ranked = rendezvous_rank(f"{key}/start", near | {self.site.host})
        return ranked.index(self.site.host) % 2 == 0
