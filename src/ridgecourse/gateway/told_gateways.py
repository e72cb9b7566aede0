"""Which processes a gateway knows, and whom it takes versions and records from."""

from collections.abc import Iterable, Mapping, Sequence

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.hubs import (
    HubPlan,
    Peer,
    loader_peers,
    nearest_first,
    seed_peers,
)
from ridgecourse.core.ids import Seconds, TargetName
from ridgecourse.core.site import Site
from ridgecourse.exchange.catalogue import VersionKey
from ridgecourse.net.clock import boottime

AT_LOADERS_SECONDS = 3.0
"""From a version's name until loaders hold enough of it to be worth following: until
then all of it comes from the origin by way of the hubs."""


class ToldGateways:
    """Gateways by the loader that told of them.

    Attributes:
        by_loader: By the loader's address, then by name; empty for a loader that is
            connected and tells of none.
        gateways: All of them, each once; None where that is to be gathered anew.
    """

    def __init__(self) -> None:
        self.by_loader: dict[str, dict[TargetName, Peer]] = {}
        self.gateways: dict[TargetName, Peer] | None = None

    def __contains__(self, loader: str) -> bool:
        """Tell whether a loader is connected."""
        return loader in self.by_loader

    def learn(
        self, loader: str, came: Iterable[Peer], gone: Iterable[TargetName]
    ) -> None:
        """Take in a loader that is connected, and which gateways came and went."""
        told = self.by_loader.setdefault(loader, {})
        self.gateways = None
        told.update((peer.name, peer) for peer in came)
        for name in gone:
            told.pop(name, None)

    def forget(self, loader: str) -> None:
        """Drop what a loader told, which is lost or will tell it anew."""
        self.by_loader.pop(loader, None)
        self.gateways = None

    def known(self) -> list[Peer]:
        """Return all gateways, each once."""
        return list(self._gather().values())

    def count_with(self, me: Peer) -> int:
        """Return how many gateways there are, one of them included in any case."""
        gateways = self._gather()
        return len(gateways) + (me.name not in gateways)

    def _gather(self) -> dict[TargetName, Peer]:
        """Return all gateways by name; each request and datagram asks for them."""
        if self.gateways is None:
            self.gateways = {
                gateway.name: gateway
                for told in self.by_loader.values()
                for gateway in told.values()
            }
        return self.gateways

    def has_neighbour(self, me: Peer) -> bool:
        """Tell whether there is another gateway in a gateway's domain."""
        return any(
            gateway.domain == me.domain and gateway != me for gateway in self.known()
        )


class HubPeers:
    """The processes around one gateway, as far as they are known.

    Attributes:
        told: Gateways that connected loaders tell of.
        place: Where others find this gateway.
    """

    def __init__(
        self, site: Site, view: ClusterView, told: ToldGateways, place: Peer
    ) -> None:
        self.site = site
        self.view = view
        self.told = told
        self.place = place

    def loaders(self) -> Iterable[Peer]:
        """Return the loaders that this gateway is connected to."""
        control_port = self.site.peer_ports[0]
        engines = [
            target
            for target in self.view.targets.targets.values()
            if target.address in self.told
        ]
        return loader_peers(engines, (control_port + 1, control_port)).values()

    def loaders_that_may_hold(self, key: VersionKey) -> Sequence[Peer]:
        """Return the loaders of the domain if they may hold chunks of a version."""
        then = Seconds(boottime() - AT_LOADERS_SECONDS)
        if not self.view.history(key[0]).was_named_before(key[1], then):
            return []
        return [peer for peer in self.loaders() if peer.domain == self.site.domain]

    def sources(self, key: VersionKey, plan: HubPlan) -> Mapping[TargetName, Peer]:
        """Return whom to take a version from.

        A hub that starts late takes what the loaders of its domain have already. With
        nothing but other hubs to follow, one that was killed with its successor waited
        for 6 s beside loaders that held two thirds of the version.
        """
        if self.place not in plan.hubs:
            return plan.sources(self.place)
        loaders = self.loaders_that_may_hold(key)
        return {**{peer.name: peer for peer in loaders}, **plan.sources(self.place)}

    def for_records(self) -> Sequence[str]:
        """Return whom to ask for the store's records, the nearest first."""
        known = nearest_first([*self.loaders(), *self.told.known()], self.place)
        seeds = seed_peers(self.site.seeds, self.site.peer_ports[0] + 1)
        return list(dict.fromkeys([*known, *seeds]))
