"""Draw slots: which instance brings which chunks over a scarce link.

The chunks of a version are divided into classes. For each class one instance
at a time draws its chunks over the link (from the origin, or into a failure
domain). Every instance ranks the same candidates the same way, so nothing has
to be agreed. When a class makes no progress for a while, the next candidate
draws as well; what that costs at worst is a chunk drawn twice.
"""

from collections.abc import Container, Iterable, Mapping, Sequence
from itertools import zip_longest

from ridgecourse.core.ids import ChunkDigest, DomainName, Seconds, TargetName
from ridgecourse.core.rendezvous import rendezvous_rank

SMOOTHING = 0.3
"""Share of the newest sample in the smoothed interval between chunks."""
PATIENCE = 4.0
"""Intervals without progress after which the next candidate draws."""
LONGEST_STALL = 10.0
"""The same at most, in multiples of the shortest time that counts as a stall."""


def chunk_class(digest: ChunkDigest, classes: int) -> int:
    """Return the class of a chunk."""
    return int(digest[:8], 16) % classes


class DrawSlot:
    """One class's candidates and its progress.

    Attributes:
        candidates: All that may draw, the preferred one first.
        last_progress: When the class last gained a chunk.
        interval: Smoothed seconds between two gains.
        taken_over: Whether this agent drew the newest chunk, whatever its rank;
            then it goes on until another is seen to draw.
        minimum: Shortest time without progress that counts as a stall, in
            seconds.
    """

    def __init__(
        self, candidates: Sequence[TargetName], now: Seconds, minimum: float
    ) -> None:
        self.candidates = candidates
        self.last_progress = now
        self.interval = 0.0
        self.minimum = minimum
        self.gains = 0
        self.taken_over = False

    def progress(self, now: Seconds) -> None:
        """Note that a chunk of the class was gained."""
        sample = now - self.last_progress
        if self.gains == 1:
            self.interval = sample
        elif self.gains > 1:
            self.interval += SMOOTHING * (sample - self.interval)
        self.gains += 1
        self.last_progress = now

    def restart(self, now: Seconds) -> None:
        """Give the first candidates their time anew; no chunk could be gained."""
        self.last_progress = now

    def stall_time(self) -> float:
        """Return the seconds without progress after which the next one draws."""
        if self.gains < 2:
            # The first chunk shares its link with all others' first ones.
            return self.minimum * 3
        longest = LONGEST_STALL * self.minimum
        return min(longest, max(self.minimum, PATIENCE * self.interval))

    def drawers(self, now: Seconds) -> Sequence[TargetName]:
        """Return the candidates that may draw now, the latest one last."""
        return self.candidates[: 1 + self.overdue(now)]

    def overdue(self, now: Seconds) -> int:
        """Return how many times over the class has stalled."""
        return max(0, int((now - self.last_progress) / self.stall_time()))


def slot_candidates(
    key: str,
    members: Mapping[TargetName, DomainName],
    domain: DomainName,
    number: int,
    hubs: Container[str] = (),
) -> Sequence[TargetName]:
    """Return a domain's members in their order for a class of chunks.

    The members are ranked once; each class starts one further on, so that no
    member comes first for two classes while another does for none.

    Args:
        key: Names the version.
        members: Each member's failure domain.
        domain: The domain whose members are ranked.
        number: The class.
        hubs: Members that draw before all others.
    """
    local = [target for target, where in members.items() if where == domain]
    ranked = rotate(rendezvous_rank(f"{key}/{domain}", local), number)
    # The sort is stable: hubs go before all others, each in the class's order.
    first = sorted(ranked, key=lambda target: target not in hubs)
    return [TargetName(target) for target in first]


def origin_candidates(
    key: str,
    members: Mapping[TargetName, DomainName],
    domains: Iterable[DomainName],
    number: int,
    hubs: Container[str] = (),
) -> Sequence[TargetName]:
    """Return who draws a class of chunks from the origin, in order.

    The first of each domain come first, in the domains' order for the class,
    then the second ones, and so on: whoever draws from the origin also brings
    the class into its own domain, and a lost domain does not take several
    candidates in a row with it.

    Args:
        key: Names the version.
        members: Each member's failure domain.
        domains: The domains that share one copy.
        number: The class.
        hubs: Members that draw before all others.
    """
    ranked = rotate(rendezvous_rank(key, domains), number)
    columns = [
        slot_candidates(key, members, DomainName(name), number, hubs) for name in ranked
    ]
    rows = zip_longest(*columns)
    return [target for row in rows for target in row if target is not None]


def rotate(ranked: Sequence[str], steps: int) -> Sequence[str]:
    """Return a ranking begun some steps further on."""
    if not ranked:
        return ranked
    start = steps % len(ranked)
    return [*ranked[start:], *ranked[:start]]
