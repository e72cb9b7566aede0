"""Prefetch the versions in force into a hub at the first start of the system.

Engines that join later get these versions from the hub at once, even while the origin
is unreachable.
"""

import logging
from abc import ABC, abstractmethod
from collections.abc import Sequence

import eventlet

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.hubs import Peer, choose_hubs, loader_peers
from ridgecourse.core.routes import Service
from ridgecourse.core.site import Site
from ridgecourse.exchange.catalogue import Catalogue, VersionKey
from ridgecourse.exchange.context import ExchangeContext
from ridgecourse.exchange.holding import Holding
from ridgecourse.exchange.transfer import Transfer, TransferError
from ridgecourse.gateway.known_peers import AnnouncedGateways
from ridgecourse.net.clock import boottime

logger = logging.getLogger(__name__)

LOADER_WAIT_SECONDS = 6.0
"""Time after a gateway's start at which the gateway prefetches the version in force
even if no loader of its failure domain is known. Engines are listed some 5 s after the
start."""
LOADER_POLL_SECONDS = 0.5
STAGED_STALL_TIMEOUT_SECONDS = 3.0
"""How long to wait for loaders that send nothing, while engines wait for weights."""
STAGED_TIMEOUT_SECONDS = 7.0
"""Time for loaders to send the staged version. One copy over one loader's link takes
5.2 s on the deployed sites, and a failure domain has 2 loaders."""
REQUEST_INTERVAL_SECONDS = 0.5
"""Interval between two requests to a loader for the version that its engine has
staged."""


class VersionFetcher(ABC):
    """The functions of the hub that the prefetch needs.

    Attributes:
        site: The settings in force.
        view: Known configuration, versions and targets.
        local: Where other processes reach this gateway.
        announced: Gateways that connected loaders report.
        context: Resources and limits of the transfers.
        catalogue: Manifests and holdings of versions.
        fetching: Threads that fetch versions.
    """

    site: Site
    view: ClusterView
    local: Peer
    announced: AnnouncedGateways
    context: ExchangeContext
    catalogue: Catalogue
    fetching: dict[VersionKey, eventlet.greenthread.GreenThread]

    @abstractmethod
    def known_gateways(self) -> list[Peer]:
        """Return the gateways that loaders report."""

    @abstractmethod
    def is_complete(self, key: VersionKey) -> bool:
        """Check whether a version is available and complete."""

    @abstractmethod
    def is_needed(self, key: VersionKey) -> bool:
        """Check whether a version is new enough for other processes to use."""

    @abstractmethod
    def join(self, key: VersionKey, holding: Holding) -> None:
        """Join the exchange of a version, and drop versions older than needed."""

    @abstractmethod
    def fetch(self, key: VersionKey) -> None:
        """Fetch a version for other processes until it is complete or not needed."""


class Prefetch:
    """Fetches the first versions from the domain's engines, where they are staged.

    Attributes:
        hub: The hub that the versions are fetched for.
        thread: Fetches the versions; None before the start.
        is_waiting: Whether the prefetch still waits for the domain's loaders.
    """

    def __init__(self, hub: VersionFetcher) -> None:
        self.hub = hub
        self.thread: eventlet.greenthread.GreenThread | None = None
        self.is_waiting = False

    def start(self) -> None:
        """Start the prefetch; it fetches the versions whose hub this gateway is."""
        self.is_waiting = True
        self.thread = eventlet.spawn(self._run)

    def close(self) -> None:
        """Stop the prefetch; fetches in progress continue."""
        if self.thread is not None:
            self.thread.kill()

    def _run(self) -> None:
        started_at = boottime()
        while (
            not self._knows_loaders() and boottime() < started_at + LOADER_WAIT_SECONDS
        ):
            eventlet.sleep(LOADER_POLL_SECONDS)
        self.is_waiting = False
        config = self.hub.view.config
        for service in config.services.values() if config else ():
            if service.engine is None or not service.engine.chunks:
                continue
            model = service.engine.model
            key = (model, self.hub.view.wanted_version(model))
            if self.hub.is_complete(key) or key in self.hub.fetching:
                continue
            if self.hub.local in choose_hubs(
                str(key), [*self.hub.known_gateways(), self.hub.local]
            ):
                self.hub.fetching[key] = eventlet.spawn(
                    self._fetch_staged, key, service
                )

    def _knows_loaders(self) -> bool:
        """Check whether the loaders of all listed engines of the domain are known."""
        config = self.hub.view.config
        if config is None:
            return False
        engine_services = {
            service.name
            for service in config.services.values()
            if service.engine is not None
        }
        loader_addresses = [
            target.address
            for target in self.hub.view.targets.targets.values()
            if target.domain == self.hub.site.domain
            and target.service in engine_services
        ]
        return bool(loader_addresses) and all(
            address in self.hub.announced for address in loader_addresses
        )

    def _fetch_staged(self, key: VersionKey, service: Service) -> None:
        """Fetch a version from the domain's engines, and the missing chunks as usual.

        A version that has been superseded is fetched only on request.
        """
        try:
            with eventlet.Timeout(STAGED_TIMEOUT_SECONDS, False):
                self._copy_staged(key, service)
        except TransferError as error:
            logger.warning("cannot use the staged chunks of %s: %s", key, error)
        if self.hub.is_complete(key) or self.hub.view.wanted_version(key[0]) == key[1]:
            self.hub.fetch(key)
        else:
            # The version was superseded meanwhile. Fetching it anyway made 12 of 36
            # chunks that the origin sent useless.
            self.hub.fetching.pop(key, None)

    def _copy_staged(self, key: VersionKey, service: Service) -> None:
        config = self.hub.view.config
        if config is None or config.origin is None:
            return
        holding = self.hub.catalogue.find(key, config.origin.address, [], 0.0)
        if holding is None:
            return
        self.hub.join(key, holding)
        domain_engines = [
            target
            for target in self.hub.view.serving_targets(service.name)
            if target.domain == self.hub.site.domain and key[0] in target.models
        ]
        control_port = self.hub.site.peer_ports[0]
        peers = loader_peers(domain_engines, (control_port + 1, control_port))
        requester = eventlet.spawn(self._request_repeatedly, key, list(peers.values()))
        hub_names = [self.hub.local.name]
        transfer = Transfer(
            self.hub.context, None, holding, peers, 1, hub_names, paced=False
        )
        transfer.is_needed = lambda: (
            self.hub.is_needed(key)
            and transfer.silent_seconds < STAGED_STALL_TIMEOUT_SECONDS
        )
        try:
            transfer.run()
        finally:
            requester.kill()

    def _request_repeatedly(self, key: VersionKey, loaders: Sequence[Peer]) -> None:
        """Request a version from loaders repeatedly; a starting loader has none yet."""
        while True:
            for loader in loaders:
                self.hub.catalogue.fetch_manifest(loader, key)
            eventlet.sleep(REQUEST_INTERVAL_SECONDS)
