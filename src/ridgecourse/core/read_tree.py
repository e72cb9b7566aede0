"""Who reads the store for whom.

A decision crosses the link between two regions once for each process that reads it
from the store. So the gateways of a failure domain form a tree: the first of them reads
the store, each other one a gateway before it, and loaders one of the gateways. Whoever
hears nothing from there in time reads the store itself.
"""

from collections.abc import Collection, Sequence

from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import TargetName
from ridgecourse.core.rendezvous import rendezvous_rank

FAN_OUT = 4
"""Gateways that read from one: on an instance with 20 Mbit/s, four copies of a
configuration of 54 KB take 90 ms. Three levels hold 85 gateways."""
TREE_KEY = "records"


def gateway_parent(me: Peer, gateways: Collection[Peer]) -> Peer | None:
    """Return whom a gateway reads decisions from; None for the store.

    Args:
        me: The gateway.
        gateways: Known gateways that are not left out for now. Who knows others ranks
            those in common alike, so that no two gateways read from each other.
    """
    near = {peer.name: peer for peer in gateways if peer.domain == me.domain}
    ranked = rendezvous_rank(TREE_KEY, {*near, me.name})
    place = ranked.index(me.name)
    return near[TargetName(ranked[(place - 1) // FAN_OUT])] if place else None


def loader_parent(me: Peer, gateways: Collection[Peer]) -> Peer | None:
    """Return whom a loader reads decisions from; None for the store."""
    near = {peer.name: peer for peer in gateways if peer.domain == me.domain}
    ranked = rendezvous_rank(f"{TREE_KEY}/{me.name}", near)
    return near[TargetName(ranked[0])] if ranked else None


def choose_seed(host: str, seeds: Sequence[str]) -> str | None:
    """Return which seed a process asks when it starts; None for a seed itself.

    Args:
        host: IP number of the process's instance.
        seeds: HOST:PORT for records of the seeds.
    """
    if any(seed.rpartition(":")[0] == host for seed in seeds):
        return None
    ranked = rendezvous_rank(f"{TREE_KEY}/{host}", seeds)
    return ranked[0] if ranked else None
