"""Holds the versions in force in a hub, from the first start of the system on.

Engines that join later are filled from there at once, even while the origin is away.
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
from ridgecourse.gateway.told_gateways import ToldGateways
from ridgecourse.net.clock import boottime

logger = logging.getLogger(__name__)

WARM_UP_SECONDS = 6.0
"""From the start of a gateway until it brings in the version in force even if no
loader of its domain is known: engines are listed some 5 s after the start."""
WARM_UP_POLL_SECONDS = 0.5
STAGED_STALL_SECONDS = 3.0
"""How long loaders that send nothing are waited for, while engines wait for weights."""
STAGED_SECONDS = 7.0
"""How long loaders are given to send it: one copy over one loader's link takes 5.2 s
on the sites of today, and a domain has two."""
ASK_SECONDS = 0.5
"""Between two questions to a loader for what its engine has staged."""


class VersionHolder(ABC):
    """Who holds versions for the domain, as the warm-up needs it.

    Attributes:
        site: The settings in force.
        view: What is known of configuration, versions and targets.
        place: Where others find it.
        told: Gateways that connected loaders tell of.
        context: What its transfers share.
        catalogue: Manifests of the versions that it takes part in.
        working: Versions that are being brought in.
    """

    site: Site
    view: ClusterView
    place: Peer
    told: ToldGateways
    context: ExchangeContext
    catalogue: Catalogue
    working: dict[VersionKey, eventlet.greenthread.GreenThread]

    @abstractmethod
    def known(self) -> list[Peer]:
        """Return the gateways that loaders tell of."""

    @abstractmethod
    def has(self, key: VersionKey) -> bool:
        """Tell whether a version is held whole."""

    @abstractmethod
    def is_needed(self, key: VersionKey) -> bool:
        """Tell whether a version is new enough for others to use."""

    @abstractmethod
    def join(self, key: VersionKey, holding: Holding) -> None:
        """Take part in a version's exchange; drop what is older than needed."""

    @abstractmethod
    def bring(self, key: VersionKey) -> None:
        """Bring a version in for others, until it is whole or out of date."""


class WarmUp:
    """Takes the first versions from the domain's engines, where they lie staged."""

    def __init__(self, hub: VersionHolder) -> None:
        self.hub = hub
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Begin, if this turns out to be the hub of its domain."""
        self.thread = eventlet.spawn(self._run)

    def close(self) -> None:
        """Stop; what is being brought in goes on."""
        if self.thread is not None:
            self.thread.kill()

    def _run(self) -> None:
        begun = boottime()
        while not self._knows_loaders() and boottime() < begun + WARM_UP_SECONDS:
            eventlet.sleep(WARM_UP_POLL_SECONDS)
        config = self.hub.view.config
        for service in config.services.values() if config else ():
            if service.engine is None or not service.engine.chunks:
                continue
            model = service.engine.model
            key = (model, self.hub.view.wanted_version(model))
            if self.hub.has(key) or key in self.hub.working:
                continue
            if self.hub.place in choose_hubs(
                str(key), [*self.hub.known(), self.hub.place]
            ):
                self.hub.working[key] = eventlet.spawn(self._bring_staged, key, service)

    def _knows_loaders(self) -> bool:
        """Tell whether the loaders of all listed engines of the domain are known."""
        config = self.hub.view.config
        if config is None:
            return False
        models = {s.name for s in config.services.values() if s.engine is not None}
        near = [
            target.address
            for target in self.hub.view.targets.targets.values()
            if target.domain == self.hub.site.domain and target.service in models
        ]
        return bool(near) and all(address in self.hub.told for address in near)

    def _bring_staged(self, key: VersionKey, service: Service) -> None:
        """Take a version from the domain's engines, what is missing as usual.

        Who needs a version that is not the newest any more asks for it.
        """
        try:
            with eventlet.Timeout(STAGED_SECONDS, False):
                self._take_staged(key, service)
        except TransferError as error:
            logger.warning("the staged chunks of %s are of no use: %s", key, error)
        if self.hub.has(key) or self.hub.view.wanted_version(key[0]) == key[1]:
            self.hub.bring(key)
        else:
            # Replaced meanwhile: 12 of 36 chunks that the origin sent were for nobody.
            self.hub.working.pop(key, None)

    def _take_staged(self, key: VersionKey, service: Service) -> None:
        config = self.hub.view.config
        if config is None or config.origin is None:
            return
        holding = self.hub.catalogue.find(key, config.origin.address, [], 0.0)
        if holding is None:
            return
        self.hub.join(key, holding)
        near = [
            target
            for target in self.hub.view.serving(service.name)
            if target.domain == self.hub.site.domain and key[0] in target.models
        ]
        control_port = self.hub.site.peer_ports[0]
        peers = loader_peers(near, (control_port + 1, control_port))
        asking = eventlet.spawn(self._ask_on, key, list(peers.values()))
        me = [self.hub.place.name]
        transfer = Transfer(self.hub.context, None, holding, peers, 1, me, paced=False)
        transfer.is_needed = lambda: (
            self.hub.is_needed(key) and transfer.silent_seconds < STAGED_STALL_SECONDS
        )
        try:
            transfer.run()
        finally:
            asking.kill()

    def _ask_on(self, key: VersionKey, loaders: Sequence[Peer]) -> None:
        """Ask loaders for a version again and again: one that starts has none yet."""
        while True:
            for loader in loaders:
                self.hub.catalogue.ask(loader, key)
            eventlet.sleep(ASK_SECONDS)
