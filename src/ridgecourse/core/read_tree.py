"""Choose the process from which each process reads the store's decisions.

A decision crosses the link between two regions once for each process that reads it from
the store. Therefore the gateways of a failure domain form a tree: the first gateway
reads the store, every other gateway reads from its parent, and each loader reads from
one of the gateways. A process that receives nothing from its parent in time reads the
store itself, but the number of such processes is limited. If an answer of the store
takes longer than every timeout, as with bursts of large configurations, the link would
otherwise carry one copy for each process and delay all of them further.
"""

from collections.abc import Collection, Sequence
from math import inf

from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import DomainName, Seconds, TargetName
from ridgecourse.core.rendezvous import rendezvous_rank

FAN_OUT = 4
"""Number of gateways that read from one gateway. On an instance with 20 Mbit/s, four
copies of a configuration of 54 KB take 90 ms. Three levels hold 85 gateways."""
TREE_KEY = "records"
MAX_SKIPPED = 2
"""Number of late processes that a process skips one after the other before it stays
with the last. Together with the root of the tree, three processes then read the store,
of which one may be unable to reach the store and one may be frozen."""
SECONDS_PER_EXTRA_READER = 1.5
"""Seconds without an answer of the store for which one more process is skipped, so that
one more process reads the store: all three readers may be unable to reach it."""
READING_LOADERS = 2
"""Number of loaders of a domain that read the store when all gateways are out of date.
If the store rejects the gateways, they can read from these loaders; one of the two may
be frozen."""
MAX_AGE_SECONDS = 30.0
"""Upper limit of the age that is taken into account. A process that has received
nothing is infinitely late."""
MAX_LINK_YIELD_SECONDS = 1.0
"""Longest pause in which a reader leaves its link to others. Where answers take that
long, the time limit for a decision to be in force is 3 s or more."""
LONG_TRANSFER_SECONDS = 0.1
"""Transfer time from which idle time before the transfer counts. The pause after a
shorter transfer delays no decision noticeably."""
MAX_LIST_AGE_SECONDS = 1.1
"""Intended largest age of the target list at the process that reads it for a domain.
Other processes avoid that reader from 1.4 s on. At 1.3 s they did so whenever processes
waited 0.1 s for a processor."""
MIN_LIST_PAUSE_SECONDS = 0.2
"""Shortest pause between two reads of the target list: a store that takes longer than
about 0.4 s to answer is not loaded further."""


def gateway_parent(local: Peer, gateways: Collection[Peer]) -> Peer | None:
    """Return the peer from which a gateway reads decisions; None for the store.

    Args:
        local: The gateway.
        gateways: Known gateways, without those that are skipped for now. Gateways that
            know different sets rank the common members alike, so no two gateways read
            from each other.
    """
    domain_gateways = {
        peer.name: peer for peer in gateways if peer.domain == local.domain
    }
    ranked = rendezvous_rank(TREE_KEY, {*domain_gateways, local.name})
    position = ranked.index(local.name)
    return (
        domain_gateways[TargetName(ranked[(position - 1) // FAN_OUT])]
        if position
        else None
    )


def loader_parent(
    local: Peer,
    gateways: Collection[Peer],
    avoided: Collection[TargetName] = (),
    loaders: Collection[TargetName] = (),
) -> Peer | None:
    """Return the peer from which a loader reads decisions; None for the store.

    If the domain has gateways but none of them is up to date, two loaders of the domain
    read the store, and the others keep asking a gateway. When all loaders read the
    store at once, the link between two regions was so congested that no process
    received an answer in time.

    Args:
        local: The loader.
        gateways: The known gateways.
        avoided: Gateways that are skipped for now.
        loaders: The listed loaders of the domain.
    """
    domain_gateways = {
        peer.name: peer for peer in gateways if peer.domain == local.domain
    }
    ranked = rendezvous_rank(f"{TREE_KEY}/{local.name}", domain_gateways)
    for name in ranked:
        if name not in avoided:
            return domain_gateways[TargetName(name)]
    readers = rendezvous_rank(f"{TREE_KEY}/loaders", {*loaders, local.name})
    if not ranked or local.name in readers[:READING_LOADERS]:
        return None
    return domain_gateways[TargetName(ranked[0])]


def count_readers(domain: DomainName, gateways: Collection[Peer]) -> int:
    """Return how many processes of a domain may read the store, the caller included.

    Args:
        domain: The domain.
        gateways: The other known gateways.
    """
    other_gateways = sum(peer.domain == domain for peer in gateways)
    return 1 + other_gateways + READING_LOADERS


def choose_seed(host: str, seeds: Sequence[str]) -> str | None:
    """Return the seed that a process asks when it starts; None for a seed itself.

    Args:
        host: IP address of the process's instance.
        seeds: HOST:PORT of the seeds, for records.
    """
    if any(seed.rpartition(":")[0] == host for seed in seeds):
        return None
    ranked = rendezvous_rank(f"{TREE_KEY}/{host}", seeds)
    return ranked[0] if ranked else None


def may_skip(skipped: int, age: float, receiving: bool) -> bool:
    """Check whether one more late process may be skipped.

    Args:
        skipped: Number of processes skipped at present.
        age: Seconds since the data of the next process was confirmed by the store.
        receiving: Whether one of the skipped processes is receiving an answer of the
            store. The link of this process may be the bottleneck, so one more process
            may read the store. If the shared link is the bottleneck, every further
            reader would delay all answers.
    """
    if receiving:
        return not skipped
    return skipped < MAX_SKIPPED + int(
        min(age, MAX_AGE_SECONDS) / SECONDS_PER_EXTRA_READER
    )


def list_pause(pause: float, answer_seconds: float) -> float:
    """Return the pause before the next read of the target list, in seconds.

    The list is as old as the last answer took when the pause starts, and by the pause
    and one more answer older when the next answer arrives. The pause is shortened, so
    that the list of a slow store stays fresh enough for downstream processes.

    Args:
        pause: Pause while the store answers quickly, in seconds. A pause above
            ``MAX_LIST_AGE_SECONDS`` is not shortened: such a process reads the list
            for itself only.
        answer_seconds: Time from the last request to the answer.
    """
    if pause > MAX_LIST_AGE_SECONDS:
        return pause
    longest = MAX_LIST_AGE_SECONDS - 2.0 * answer_seconds
    return min(pause, max(MIN_LIST_PAUSE_SECONDS, longest))


class LinkYield:
    """Balances the time in which a reader uses its link with idle time.

    In a burst of large decisions a single reader without pauses uses the entire
    capacity of the link, and weights and requests pass no more. After a long transfer
    the reader therefore leaves the link to others for as long as the transfer took.
    Idle time before the transfer counts, up to the length of the transfer: a reader
    that always paused read the decision that followed late by up to the longest pause,
    and its data became older than other processes accept from a reader.

    Attributes:
        debt: Seconds of idle time that the reader still owed to other users of the link
            at the end of the last long transfer.
        ended_at: End of the last long transfer.
    """

    def __init__(self) -> None:
        self.debt = 0.0
        self.ended_at = Seconds(-inf)

    def record_transfer(self, transfer_seconds: float, now: Seconds) -> float:
        """Record a transfer that has just ended; return the pause after it, in seconds.

        Args:
            transfer_seconds: Duration of the transfer.
            now: Current time.
        """
        if transfer_seconds < LONG_TRANSFER_SECONDS:
            return transfer_seconds
        idle = max(0.0, now - transfer_seconds - self.ended_at)
        credit = min(idle - self.debt, transfer_seconds)
        self.debt = min(transfer_seconds - credit, MAX_LINK_YIELD_SECONDS)
        self.ended_at = now
        return self.debt
