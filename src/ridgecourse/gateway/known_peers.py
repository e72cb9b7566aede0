"""Track the processes that a gateway knows and may fetch versions and records from."""

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.hubs import (
    HubPlan,
    Peer,
    loader_peers,
    make_seed_addresses,
    nearest_first,
)
from ridgecourse.core.ids import DomainName, Seconds, TargetName
from ridgecourse.core.recent_peak import SlidingMaximum
from ridgecourse.core.site import Site
from ridgecourse.exchange.catalogue import VersionKey
from ridgecourse.net.clock import boottime

LOADER_HOLDING_DELAY_SECONDS = 3.0
"""Time from a version's announcement until loaders hold enough of the version to be
useful sources. Until then all chunks come from the origin through the hubs."""
DEPARTED_SECONDS = 3.0
"""How long a gateway serves its chunks after it has withdrawn."""
LOST_GATEWAY_SECONDS = 2 * 3600.0
"""How long gateways are counted after they were last known: regions may lose each other
for an hour."""


class FleetSize:
    """Counts the gateways that share a limit, whatever this gateway can see of them.

    Gateways that are cut off cannot be told from gateways that were removed, so that
    the number does not fall when some are lost. A gateway that starts while others are
    cut off cannot know of them, nor they of it. It has no share of a limit before it
    has known gateways of all parts of the site.

    Attributes:
        site: The settings in force.
        local: This gateway.
        started_at: Start of this gateway.
        counts: Gateways known at present in each domain, this one included.
        former_counts: Numbers of gateways known earlier in each domain.
        hosts: Hosts of all gateways known so far.
        complete_at: When gateways of all parts of the site had first been known; None
            before.
    """

    def __init__(self, site: Site, local: Peer, now: Seconds) -> None:
        self.site = site
        self.local = local
        self.started_at = now
        self.counts: Counter[DomainName] = Counter([local.domain])
        self.former_counts: defaultdict[DomainName, SlidingMaximum] = defaultdict(
            SlidingMaximum
        )
        self.hosts = {host_of(local.control_address)}
        self.complete_at: Seconds | None = None

    @property
    def has_joined(self) -> bool:
        """Whether another gateway was ever known."""
        return len(self.hosts) > 1

    def update(self, gateways: Collection[Peer], now: Seconds) -> None:
        """Record the gateways that are known from now on.

        Args:
            gateways: The gateways, with or without this one.
            now: Current time.
        """
        domains = {peer.name: peer.domain for peer in (*gateways, self.local)}
        counts = Counter(domains.values())
        for domain, former_count in self.counts.items():
            if counts[domain] < former_count:
                self.former_counts[domain].record(former_count, now)
        self.counts = counts
        if self.complete_at is None:
            self.hosts.update(host_of(peer.control_address) for peer in gateways)
            if self.has_joined and self._knows_all_parts():
                self.complete_at = now

    def _knows_all_parts(self) -> bool:
        """Check whether gateways of all domains, or all seeds, have been known.

        A domain may have no gateways, and a seed may be down.
        """
        met_domains = self.counts.keys() | self.former_counts.keys()
        if met_domains >= self.site.regions.keys():
            return True
        return self.hosts >= {host_of(seed) for seed in self.site.seeds}

    def share_since(self) -> Seconds | None:
        """Return since when this gateway has a share of a limit; None if it has none.

        A gateway that has never known another one counts as alone.
        """
        return self.complete_at if self.has_joined else self.started_at

    def count(self, now: Seconds) -> int:
        """Return the number of known gateways, including those lost lately."""
        since = Seconds(now - LOST_GATEWAY_SECONDS)
        domains = self.counts.keys() | self.former_counts.keys()
        counts = (
            self.former_counts[domain].maximum(self.counts[domain], since)
            for domain in domains
        )
        return int(sum(counts))


def host_of(address: str) -> str:
    """Return the host of a HOST:PORT address."""
    return address.rpartition(":")[0]


class AnnouncedGateways:
    """Gateways by the loader that reported them.

    Attributes:
        by_loader: Gateways by name, for each loader's address; empty for a connected
            loader that reports none.
        gateways: Cached union of all reported gateways; None if it must be recomputed.
        departed: Gateways that loaders reported removed, by name, and when.
        fleet: Counts the gateways, including those that are cut off.
    """

    def __init__(self, fleet: FleetSize) -> None:
        self.fleet = fleet
        self.by_loader: dict[str, dict[TargetName, Peer]] = {}
        self.gateways: dict[TargetName, Peer] | None = None
        self.departed: dict[TargetName, tuple[Peer, float]] = {}

    def __contains__(self, loader: str) -> bool:
        """Check whether a loader is connected."""
        return loader in self.by_loader

    def record_gateways(
        self, loader: str, added: Iterable[Peer], removed: Iterable[TargetName]
    ) -> None:
        """Record a connected loader and the gateways it reports added or removed."""
        loader_gateways = self.by_loader.setdefault(loader, {})
        self.gateways = None
        loader_gateways.update((peer.name, peer) for peer in added)
        for name in removed:
            peer = loader_gateways.pop(name, None)
            if peer is not None:
                self.departed[name] = peer, boottime()
        self.fleet.update(self.known_gateways(), boottime())

    def departed_from(self, domain: DomainName) -> list[Peer]:
        """Return the gateways of a domain that may be stopping, but still serve."""
        removed_after = boottime() - DEPARTED_SECONDS
        self.departed = {
            name: (peer, removed_at)
            for name, (peer, removed_at) in self.departed.items()
            if removed_at > removed_after
        }
        return [peer for peer, _ in self.departed.values() if peer.domain == domain]

    def forget_loader(self, loader: str) -> None:
        """Drop the gateways reported by a loader that disconnected or reports anew."""
        self.by_loader.pop(loader, None)
        self.gateways = None
        self.fleet.update(self.known_gateways(), boottime())

    def known_gateways(self) -> list[Peer]:
        """Return all reported gateways without duplicates."""
        return list(self._gather().values())

    def count_including(self, local: Peer) -> int:
        """Return the number of gateways, always counting the local peer."""
        gateways = self._gather()
        return len(gateways) + (local.name not in gateways)

    def _gather(self) -> dict[TargetName, Peer]:
        """Return all gateways by name; cached, as requests and datagrams need it."""
        if self.gateways is None:
            self.gateways = {
                gateway.name: gateway
                for loader_gateways in self.by_loader.values()
                for gateway in loader_gateways.values()
            }
        return self.gateways

    def has_other_in_domain(self, local: Peer) -> bool:
        """Check whether the local peer's domain has another gateway."""
        return any(
            gateway.domain == local.domain and gateway != local
            for gateway in self.known_gateways()
        )


class KnownPeers:
    """The processes that one gateway knows.

    Attributes:
        site: The settings in force.
        view: Version histories and listed targets.
        announced: Gateways that connected loaders report.
        local: The local peer.
    """

    def __init__(
        self, site: Site, view: ClusterView, announced: AnnouncedGateways, local: Peer
    ) -> None:
        self.site = site
        self.view = view
        self.announced = announced
        self.local = local

    def loaders(self) -> Iterable[Peer]:
        """Return the loaders that this gateway is connected to."""
        control_port = self.site.peer_ports[0]
        connected = [
            target
            for target in self.view.targets.targets.values()
            if target.address in self.announced
        ]
        return loader_peers(connected, (control_port + 1, control_port)).values()

    def loaders_that_may_hold(self, key: VersionKey) -> Sequence[Peer]:
        """Return the loaders of the domain if they may hold chunks of a version."""
        named_before = Seconds(boottime() - LOADER_HOLDING_DELAY_SECONDS)
        if not self.view.history(key[0]).was_named_before(key[1], named_before):
            return []
        return [peer for peer in self.loaders() if peer.domain == self.site.domain]

    def sources(self, key: VersionKey, plan: HubPlan) -> Mapping[TargetName, Peer]:
        """Return the processes to fetch a version from.

        A hub that starts late fetches the chunks that the loaders of its domain already
        have. With only other hubs as sources, a hub that was killed together with its
        standby hub waited for 6 s beside loaders that held two thirds of the version.
        """
        peers = [*self.departed_gateways(), *plan.sources(self.local).values()]
        if self.local in plan.hubs:
            peers = [*self.loaders_that_may_hold(key), *peers]
        return {peer.name: peer for peer in peers if peer.name != self.local.name}

    def departed_gateways(self) -> list[Peer]:
        """Return the gateways of the local domain that may be stopping."""
        return self.announced.departed_from(self.local.domain)

    def record_addresses(self) -> Sequence[str]:
        """Return the addresses to request the store's records from, nearest first."""
        known_addresses = nearest_first(
            [*self.loaders(), *self.announced.known_gateways()], self.local
        )
        seed_addresses = make_seed_addresses(
            self.site.seeds, self.site.peer_ports[0] + 1
        )
        return list(dict.fromkeys([*known_addresses, *seed_addresses]))
