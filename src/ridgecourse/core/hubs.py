"""Choose hubs: the gateways that fetch a version of weights into their failure domain.

The instance of an engine has a narrow link, which it shares with the engine's
responses. The link of a gateway is about 100 times wider. Therefore one gateway of each
domain, the hub, fetches the version, and the loaders of the domain fetch it from the
hub; loaders send nothing. A standby hub holds the version as well, copied within the
domain, so that the loss of a hub costs no second copy from the origin or across a
domain border.
"""

from collections.abc import Iterable, Mapping, Sequence

from msgspec import Struct

from ridgecourse.core.ids import DomainName, TargetName
from ridgecourse.core.rendezvous import rendezvous_rank
from ridgecourse.core.target_list import ListedTarget

GATEWAYS_PATH = "/gateways"
"""URL path under which a gateway lists the known gateways."""
HUBS_PER_DOMAIN = 2
"""Number of gateways of a domain that fetch a version: the hub and the standby hub."""
SOURCES_PER_DOMAIN = 3
"""Number of gateways of a domain that may hold a version: the hub, the standby hub, and
the former standby hub that a newly joined gateway displaced."""


class Peer(Struct, frozen=True):
    """The addresses of a process in the exchange of weights.

    Attributes:
        name: Name of the process among the members of the exchange.
        domain: Failure domain of the process.
        address: HOST:PORT for chunks.
        control_address: HOST:PORT for control connections.
        link: Link capacity of the process's instance, in bytes per second; 0 if
            unknown.
    """

    name: TargetName
    domain: DomainName
    address: str
    control_address: str
    link: float = 0.0


def rank_gateways(
    key: str, gateways: Iterable[Peer]
) -> Mapping[DomainName, Sequence[Peer]]:
    """Return the gateways of each domain, the hub first, then its successors in order.

    Gateways with the widest links come first: a hub sends a copy to each loader of its
    domain, and a hub with 20 Mbit/s takes about 15 s for ten copies of 2.4 MB.

    Args:
        key: Key of the version; each version has its own order.
        gateways: All known gateways. Processes that know the same gateways compute the
            same order.

    Returns:
        The gateways by domain. The domain whose hub has priority at the origin comes
        first.
    """
    by_name = {gateway.name: gateway for gateway in gateways}
    ranked: dict[DomainName, list[Peer]] = {}
    names = rendezvous_rank(key, by_name)
    ordered = [by_name[TargetName(name)] for name in names]
    for gateway in sorted(ordered, key=lambda gateway: -gateway.link):
        ranked.setdefault(gateway.domain, []).append(gateway)
    return ranked


def choose_hubs(key: str, gateways: Iterable[Peer]) -> Sequence[Peer]:
    """Return the hub of each domain; the first one has priority at the origin.

    Args:
        key: Key of the version.
        gateways: All known gateways.
    """
    return [ranked[0] for ranked in rank_gateways(key, gateways).values()]


def loader_peers(
    targets: Iterable[ListedTarget], ports: tuple[int, int]
) -> Mapping[TargetName, Peer]:
    """Return the loaders beside listed engines as peers, by instance.

    Args:
        targets: The engines.
        ports: Ports of every loader, for chunks and for control connections.
    """
    chunk_port, control_port = ports
    return {
        TargetName(target.host): Peer(
            TargetName(target.host),
            target.domain,
            f"{target.host}:{chunk_port}",
            f"{target.host}:{control_port}",
        )
        for target in targets
    }


def make_seed_addresses(seeds: Iterable[str], chunk_port: int) -> Sequence[str]:
    """Return the HOST:PORT addresses for records of the processes on some instances.

    Args:
        seeds: HOST:PORT of the instances, with any port.
        chunk_port: Port of every process for chunks and records.
    """
    return [f"{seed.rpartition(':')[0]}:{chunk_port}" for seed in seeds]


def nearest_first(peers: Iterable[Peer], local: Peer) -> Sequence[str]:
    """Return the addresses of other processes, those of the local domain first."""
    others = {peer.address: peer for peer in peers if peer.name != local.name}
    return sorted(others, key=lambda address: others[address].domain != local.domain)


class HubPlan(Struct, frozen=True):
    """The gateways that fetch a version, as one gateway computes them.

    Attributes:
        hubs: The hub of each domain.
        local_gateways: Other gateways of the local domain that may hold the version.
        fetches_version: Whether the local gateway is a hub or standby hub that fetches
            the version.
    """

    hubs: Sequence[Peer]
    local_gateways: Sequence[Peer]
    fetches_version: bool

    def sources(self, local: Peer) -> Mapping[TargetName, Peer]:
        """Return the peers from which the local gateway fetches chunks, by name."""
        peers = {peer.name: peer for peer in [*self.hubs, *self.local_gateways]}
        peers.pop(local.name, None)
        return peers


def plan_hubs(key: str, gateways: Iterable[Peer], local: Peer) -> HubPlan:
    """Return the gateways that fetch a version.

    Args:
        key: Key of the version.
        gateways: The known gateways.
        local: The local gateway.
    """
    ranked = rank_gateways(key, [*gateways, local])
    local_ranking = ranked[local.domain]
    local_gateways = [
        peer for peer in local_ranking[:SOURCES_PER_DOMAIN] if peer != local
    ]
    hubs = [domain[0] for domain in ranked.values()]
    return HubPlan(hubs, local_gateways, local in local_ranking[:HUBS_PER_DOMAIN])
