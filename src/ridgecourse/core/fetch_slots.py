"""Fetch slots: which instance fetches which chunks over a scarce link.

The link is the origin's link or the link into a failure domain. The chunks of a version
are divided into classes, each with a slot on the link: one instance at a time fetches
the chunks of the class over it. All instances rank the same candidates in the same
order, so no agreement protocol is needed. When a class makes no progress for some time,
the next candidate starts to fetch as well; in the worst case a chunk is fetched twice.

The candidates are members, that is, agents that exchange the version. A member is known
by its target name.
"""

from collections.abc import Container, Iterable, Mapping, Sequence
from itertools import zip_longest

from ridgecourse.core.ids import ChunkDigest, DomainName, Seconds, TargetName
from ridgecourse.core.rendezvous import rendezvous_rank

SMOOTHING = 0.3
"""Weight of the newest sample in the smoothed interval between chunks."""
STALL_INTERVALS = 4.0
"""Stall time as a multiple of the mean interval between chunks. After each stall time
without progress the next candidate starts to fetch."""
MAX_STALL_FACTOR = 10.0
"""Upper limit of the stall time, as a multiple of the minimum stall time."""


def chunk_class(digest: ChunkDigest, classes: int) -> int:
    """Return the index of a chunk's class, which all agents derive from the digest.

    Args:
        digest: Digest of the chunk, in hexadecimal digits.
        classes: Number of classes.
    """
    return int(digest[:8], 16) % classes


class FetchSlot:
    """The candidates and the progress of one class of chunks.

    The class gains a chunk when this agent first learns that the chunk has arrived over
    the link, at this agent or at another one.

    Attributes:
        candidates: All members that may fetch, the preferred one first.
        last_progress: When the class last gained a chunk, or when the stall time was
            last restarted.
        mean_interval: Smoothed seconds between two gained chunks.
        min_stall: Shortest time without progress that counts as a stall, in seconds.
        gain_count: Number of chunks that the class has gained.
        has_taken_over: Whether this agent itself fetched the chunk that the class
            gained last. It then continues to fetch, even if its rank does not allow it,
            until another agent is seen to fetch.
    """

    def __init__(
        self, candidates: Sequence[TargetName], now: Seconds, min_stall: float
    ) -> None:
        self.candidates = candidates
        self.last_progress = now
        self.mean_interval = 0.0
        self.min_stall = min_stall
        self.gain_count = 0
        self.has_taken_over = False

    def record_progress(self, now: Seconds) -> None:
        """Record that the class gained a chunk."""
        sample = now - self.last_progress
        if self.gain_count == 1:
            self.mean_interval = sample
        elif self.gain_count > 1:
            self.mean_interval += SMOOTHING * (sample - self.mean_interval)
        self.gain_count += 1
        self.last_progress = now

    def reset_stall_timer(self, now: Seconds) -> None:
        """Restart the stall time after a time in which no candidate could fetch."""
        self.last_progress = now

    def stall_time(self) -> float:
        """Return the seconds without progress until the next candidate fetches."""
        if self.gain_count < 2:
            # The mean interval is not known yet. The first chunks take longer, because
            # those of all classes share one link.
            return self.min_stall * 3
        max_stall = MAX_STALL_FACTOR * self.min_stall
        return min(max_stall, max(self.min_stall, STALL_INTERVALS * self.mean_interval))

    def active_candidates(self, now: Seconds) -> Sequence[TargetName]:
        """Return the candidates that may fetch now, the preferred one first.

        These are the first candidate and one more for each stall time without progress.
        """
        return self.candidates[: 1 + self.count_stalls(now)]

    def count_stalls(self, now: Seconds) -> int:
        """Return how many whole stall times have passed since the last progress."""
        return max(0, int((now - self.last_progress) / self.stall_time()))


def slot_candidates(
    key: str,
    members: Mapping[TargetName, DomainName],
    domain: DomainName,
    class_index: int,
    hubs: Container[str] = (),
) -> Sequence[TargetName]:
    """Return a domain's members in their order for a class of chunks.

    The members are ranked once, and each class rotates this ranking by one more place.
    If each class had an independent ranking, one member could rank first for two
    classes while another ranks first for none.

    Args:
        key: Key of the version.
        members: The failure domain of each member.
        domain: The domain whose members are ranked.
        class_index: Index of the class.
        hubs: Members that rank before all others.
    """
    domain_members = [
        target for target, member_domain in members.items() if member_domain == domain
    ]
    ranked = rotate(rendezvous_rank(f"{key}/{domain}", domain_members), class_index)
    # The sort is stable: hubs precede the others, each group in the order of the class.
    hubs_first = sorted(ranked, key=lambda target: target not in hubs)
    return [TargetName(target) for target in hubs_first]


def origin_candidates(
    key: str,
    members: Mapping[TargetName, DomainName],
    domains: Iterable[DomainName],
    class_index: int,
    hubs: Container[str] = (),
) -> Sequence[TargetName]:
    """Return the members that may fetch a class of chunks from the origin, in order.

    The first member of each domain comes first, in the domains' order for the class,
    then the second member of each domain, and so on. There are two reasons: the member
    that fetches a class from the origin is also the one that imports the class into its
    own domain, and the loss of a domain does not remove several consecutive candidates.

    Args:
        key: Key of the version.
        members: The failure domain of each member.
        domains: The domains that share one copy from the origin.
        class_index: Index of the class.
        hubs: Members that rank before all others.
    """
    ranked = rotate(rendezvous_rank(key, domains), class_index)
    domain_candidates = [
        slot_candidates(key, members, DomainName(name), class_index, hubs)
        for name in ranked
    ]
    candidates_by_rank = zip_longest(*domain_candidates)
    return [
        target
        for same_rank in candidates_by_rank
        for target in same_rank
        if target is not None
    ]


def rotate(ranked: Sequence[str], steps: int) -> Sequence[str]:
    """Return a ranking with its first members moved to the end, in the same order.

    Args:
        ranked: The ranking.
        steps: Number of members to move, modulo the length of the ranking.
    """
    if not ranked:
        return ranked
    start = steps % len(ranked)
    return [*ranked[start:], *ranked[:start]]
