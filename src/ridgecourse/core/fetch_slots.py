"""Fetch slots: which instance fetches which chunks over a scarce link.

The chunks of a version are divided into classes. For each class one instance at a time
fetches the chunks over the link, either from the origin or into a failure domain. All
instances rank the same candidates in the same order, so no agreement protocol is
needed. When a class makes no progress for some time, the next candidate starts to fetch
as well; in the worst case a chunk is fetched twice.
"""

from collections.abc import Container, Iterable, Mapping, Sequence
from itertools import zip_longest

from ridgecourse.core.ids import ChunkDigest, DomainName, Seconds, TargetName
from ridgecourse.core.rendezvous import rendezvous_rank

SMOOTHING = 0.3
"""Weight of the newest sample in the smoothed interval between chunks."""
STALL_INTERVALS = 4.0
"""Number of mean intervals without progress after which the next candidate fetches."""
MAX_STALL_FACTOR = 10.0
"""Upper limit of the stall time, as a multiple of the minimum stall time."""


def chunk_class(digest: ChunkDigest, classes: int) -> int:
    """Return the class of a chunk."""
    return int(digest[:8], 16) % classes


class FetchSlot:
    """The candidates and the progress of one class of chunks.

    Attributes:
        candidates: All members that may fetch, the preferred one first.
        last_progress: When the class last gained a chunk.
        mean_interval: Smoothed seconds between two gained chunks.
        has_taken_over: Whether this agent fetched the newest chunk, whatever its rank.
            The agent then continues until another agent is seen to fetch.
        min_stall: Shortest time without progress that counts as a stall, in seconds.
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
        """Restart the stall time, because no candidate could gain a chunk."""
        self.last_progress = now

    def stall_time(self) -> float:
        """Return the seconds without progress until the next candidate fetches."""
        if self.gain_count < 2:
            # The first chunks of all classes share one link.
            return self.min_stall * 3
        max_stall = MAX_STALL_FACTOR * self.min_stall
        return min(max_stall, max(self.min_stall, STALL_INTERVALS * self.mean_interval))

    def active_candidates(self, now: Seconds) -> Sequence[TargetName]:
        """Return the candidates that may fetch now, the lowest-ranked one last."""
        return self.candidates[: 1 + self.count_stalls(now)]

    def count_stalls(self, now: Seconds) -> int:
        """Return how many stall times have passed since the last progress."""
        return max(0, int((now - self.last_progress) / self.stall_time()))


def slot_candidates(
    key: str,
    members: Mapping[TargetName, DomainName],
    domain: DomainName,
    class_index: int,
    hubs: Container[str] = (),
) -> Sequence[TargetName]:
    """Return a domain's members in their order for a class of chunks.

    The members are ranked once, and each class rotates the ranking by one. This keeps
    one member from ranking first for two classes while another ranks first for none.

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

    The first members of all domains come first, in the domains' order for the class,
    then the second members, and so on. A member that fetches from the origin also
    imports the class into its own domain, and the loss of a domain does not remove
    several consecutive candidates.

    Args:
        key: Key of the version.
        members: The failure domain of each member.
        domains: The domains that share one copy.
        class_index: Index of the class.
        hubs: Members that rank before all others.
    """
    ranked = rotate(rendezvous_rank(key, domains), class_index)
    columns = [
        slot_candidates(key, members, DomainName(name), class_index, hubs)
        for name in ranked
    ]
    rows = zip_longest(*columns)
    return [target for row in rows for target in row if target is not None]


def rotate(ranked: Sequence[str], steps: int) -> Sequence[str]:
    """Return a ranking rotated to the left by some steps."""
    if not ranked:
        return ranked
    start = steps % len(ranked)
    return [*ranked[start:], *ranked[:start]]
