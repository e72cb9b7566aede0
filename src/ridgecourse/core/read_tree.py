"""Who reads the store for whom.

A decision crosses the link between two regions once for each process that reads it
from the store. So the gateways of a failure domain form a tree: the first of them reads
the store, each other one a gateway before it, and loaders one of the gateways. Whoever
hears nothing from there in time reads the store itself, but not all at once: where an
answer of the store takes longer than anybody waits, as with large configurations in a
burst, the link would carry a copy for each process, and all of them later still.
"""

from collections.abc import Collection, Sequence

from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import DomainName, TargetName
from ridgecourse.core.rendezvous import rendezvous_rank

FAN_OUT = 4
"""Gateways that read from one: on an instance with 20 Mbit/s, four copies of a
configuration of 54 KB take 90 ms. Three levels hold 85 gateways."""
TREE_KEY = "records"
PASSED_OVER = 2
"""Processes that are late with what the store tells which another one passes over, one
after the other, before it keeps to the last: with the first of the tree three read the
store then, of which one may be out of its reach and one frozen."""
READER_EACH_SECONDS = 1.5
"""For each of which without word of the store one more is passed over, and so one more
reads the store: all of the three may be out of its reach."""
LOADERS_THAT_READ = 2
"""Loaders of a domain that turn to the store when all gateways are out of date, so that
those have somebody to ask where the store turns them away: one may be frozen."""
LONGEST_AGE_SECONDS = 30.0
"""More says no more; who has heard nothing is infinitely late."""


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


def loader_parent(
    me: Peer,
    gateways: Collection[Peer],
    avoided: Collection[TargetName] = (),
    loaders: Collection[TargetName] = (),
) -> Peer | None:
    """Return whom a loader reads decisions from; None for the store.

    While the domain has gateways, two of its loaders read the store when none of those
    is up to date; the others go on asking. All of them at once kept the link between
    two regions so full that nobody had an answer in time.

    Args:
        me: The loader.
        gateways: The known ones.
        avoided: Gateways that are left alone for now.
        loaders: The domain's loaders, as far as they are listed.
    """
    near = {peer.name: peer for peer in gateways if peer.domain == me.domain}
    ranked = rendezvous_rank(f"{TREE_KEY}/{me.name}", near)
    for name in ranked:
        if name not in avoided:
            return near[TargetName(name)]
    readers = rendezvous_rank(f"{TREE_KEY}/loaders", {*loaders, me.name})
    if not ranked or me.name in readers[:LOADERS_THAT_READ]:
        return None
    return near[TargetName(ranked[0])]


def count_readers(domain: DomainName, gateways: Collection[Peer]) -> int:
    """Return how many processes of a domain may read the store, the caller among them.

    Args:
        domain: The domain.
        gateways: The other ones that are known.
    """
    near = sum(peer.domain == domain for peer in gateways)
    return 1 + near + LOADERS_THAT_READ


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


def may_pass_over(passed_over: int, age: float, receiving: bool) -> bool:
    """Tell whether one more process that is late is passed over.

    Args:
        passed_over: How many are, just now.
        age: Seconds since the next one heard of the store.
        receiving: Whether an answer of the store is on its way to one of them. Its own
            link may be the narrow one, so that one more process reads the store. If
            it is the common one, each more would make all answers later.
    """
    if receiving:
        return not passed_over
    return passed_over < PASSED_OVER + int(
        min(age, LONGEST_AGE_SECONDS) / READER_EACH_SECONDS
    )
