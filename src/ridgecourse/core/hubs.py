"""Hubs: the gateways that bring a version of weights into their failure domain.

An instance beside an engine has a small link, which its engine's answers share.
A gateway's link is some hundred times larger. So one gateway a domain draws the
version, and the loaders of the domain take it from there; no loader sends.
"""

from collections.abc import Iterable, Sequence

from msgspec import Struct

from ridgecourse.core.ids import DomainName, TargetName
from ridgecourse.core.rendezvous import rendezvous_rank


class GatewayPlace(Struct, frozen=True):
    """Where a gateway takes part in the exchange of weights.

    Attributes:
        name: Names it among the members of the exchange.
        domain: Its failure domain.
        address: HOST:PORT for chunks.
        control_address: HOST:PORT for control connections.
    """

    name: TargetName
    domain: DomainName
    address: str
    control_address: str


def choose_hubs(key: str, gateways: Iterable[GatewayPlace]) -> Sequence[GatewayPlace]:
    """Return the hub of each domain, the first of them first in line for the origin.

    Args:
        key: Names the version; each has hubs of its own.
        gateways: All known ones; who knows the same ones gets the same hubs.
    """
    by_name = {gateway.name: gateway for gateway in gateways}
    hubs: dict[DomainName, GatewayPlace] = {}
    for name in rendezvous_rank(key, by_name):
        gateway = by_name[TargetName(name)]
        hubs.setdefault(gateway.domain, gateway)
    return list(hubs.values())
