"""Hubs: the gateways that bring a version of weights into their failure domain.

An instance beside an engine has a small link, which its engine's answers share.
A gateway's link is some hundred times larger. So one gateway a domain draws the
version, and the loaders of the domain take it from there; no loader sends. The
next gateway in line holds the version as well, copied within the domain, so that
the loss of a hub costs no second copy from the origin or across a border.
"""

from collections.abc import Iterable, Mapping, Sequence

from msgspec import Struct

from ridgecourse.core.ids import DomainName, TargetName
from ridgecourse.core.rendezvous import rendezvous_rank
from ridgecourse.core.targets import ListedTarget

GATEWAYS_PATH = "/gateways"
"""Where a gateway tells which gateways there are."""
HOLDERS = 2
"""Gateways of a domain that bring a version in: the hub and the next in line."""
NEIGHBOURS = 3
"""Gateways of a domain that may hold a version: the hub, the next in line, and the
one that was pushed back by a gateway that came later."""


class Peer(Struct, frozen=True):
    """Where a process takes part in the exchange of weights.

    Attributes:
        name: Names it among the members of the exchange.
        domain: Its failure domain.
        address: HOST:PORT for chunks.
        control_address: HOST:PORT for control connections.
        link: Capacity of its instance's link, in bytes a second; 0 if not known.
    """

    name: TargetName
    domain: DomainName
    address: str
    control_address: str
    link: float = 0.0


def rank_gateways(
    key: str, gateways: Iterable[Peer]
) -> Mapping[DomainName, Sequence[Peer]]:
    """Return the gateways of each domain, its hub first, then who follows it.

    Those with the widest links go first: a hub sends a copy to each loader of its
    domain, and one with 20 Mbit/s takes some 15 s for ten copies of 2.4 MB.

    Args:
        key: Names the version; each has an order of its own.
        gateways: All known ones; who knows the same ones gets the same order.

    Returns:
        The domains, that of the hub first in line for the origin first.
    """
    by_name = {gateway.name: gateway for gateway in gateways}
    ranked: dict[DomainName, list[Peer]] = {}
    names = rendezvous_rank(key, by_name)
    placed = [by_name[TargetName(name)] for name in names]
    for gateway in sorted(placed, key=lambda gateway: -gateway.link):
        ranked.setdefault(gateway.domain, []).append(gateway)
    return ranked


def choose_hubs(key: str, gateways: Iterable[Peer]) -> Sequence[Peer]:
    """Return the hub of each domain, the first of them first in line for the origin.

    Args:
        key: Names the version.
        gateways: All known ones.
    """
    return [ranked[0] for ranked in rank_gateways(key, gateways).values()]


def loader_peers(
    targets: Iterable[ListedTarget], ports: tuple[int, int]
) -> Mapping[TargetName, Peer]:
    """Return where the loaders beside listed engines take part, by instance.

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


def seed_peers(seeds: Iterable[str], chunk_port: int) -> Sequence[str]:
    """Return HOST:PORT for records of the processes on some instances.

    Args:
        seeds: HOST:PORT of instances, for whatever purpose.
        chunk_port: Port for chunks and records of every process.
    """
    return [f"{seed.rpartition(':')[0]}:{chunk_port}" for seed in seeds]


def nearest_first(peers: Iterable[Peer], me: Peer) -> Sequence[str]:
    """Return the addresses of other processes, those of the own domain first."""
    others = {peer.address: peer for peer in peers if peer.name != me.name}
    return sorted(others, key=lambda address: others[address].domain != me.domain)


class HubPlan(Struct, frozen=True):
    """Who takes part in bringing a version in, as one gateway sees it.

    Attributes:
        hubs: The hub of each domain.
        near: Gateways of the own domain that may hold it, this one excluded.
        holds: Whether this gateway is one that brings it in.
    """

    hubs: Sequence[Peer]
    near: Sequence[Peer]
    holds: bool

    def sources(self, me: Peer) -> Mapping[TargetName, Peer]:
        """Return whom the gateway takes chunks from."""
        peers = {peer.name: peer for peer in [*self.hubs, *self.near]}
        peers.pop(me.name, None)
        return peers


def plan_hubs(key: str, gateways: Iterable[Peer], me: Peer) -> HubPlan:
    """Return who brings a version in.

    Args:
        key: Names the version.
        gateways: The known ones.
        me: The gateway that asks.
    """
    ranked = rank_gateways(key, [*gateways, me])
    order = ranked[me.domain]
    near = [peer for peer in order[:NEIGHBOURS] if peer != me]
    hubs = [domain[0] for domain in ranked.values()]
    return HubPlan(hubs, near, me in order[:HOLDERS])
