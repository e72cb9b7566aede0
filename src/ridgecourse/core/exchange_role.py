"""Determine an agent's role in the exchange of one version.

The role covers which domains share a copy from the origin, which agents fetch from the
origin, which agents import chunks into a domain, and whose holdings an agent follows.
Every agent derives the same roles from the same members, so no agreement protocol is
needed.
"""

from collections.abc import Iterable, Iterator, Sequence

from ridgecourse.core.fetch_slots import FetchSlot, origin_candidates, slot_candidates
from ridgecourse.core.fetch_types import Member, PlanPolicy
from ridgecourse.core.ids import DomainName, RootDigest, Seconds, TargetName
from ridgecourse.core.rendezvous import rendezvous_rank

FOLLOWING_CANDIDATES = 2
"""Number of first candidates of a class that follow the holdings of the class's first
candidates in all domains."""


class ExchangeRole:
    """The role of one agent among the members that exchange a version.

    Attributes:
        local: The local agent.
        root: Root digest of the version.
        members: The domain of each member, the local agent included.
        hubs: Members that fetch from the origin and import before all others.
        origin_domain: Domain of the origin. Its members come first at the origin,
            because across a domain border a chunk has to be imported once anyway.
        origin_copies: Number of copies that the origin sends.
        group: Domains that share one copy from the origin.
    """

    def __init__(
        self,
        local: Member,
        root: RootDigest,
        members: Iterable[Member],
        policy: PlanPolicy,
        origin_copies: int,
        hubs: Iterable[TargetName],
        origin_domain: DomainName | None,
    ) -> None:
        self.local = local
        self.root = root
        self.policy = policy
        self.hubs = frozenset(hubs)
        self.origin_domain = origin_domain
        self.members = {member.target: member.domain for member in members}
        self.members[local.target] = local.domain
        self.origin_copies = origin_copies
        self.group = self._origin_group()

    def origin_slot(self, class_index: int, now: Seconds) -> FetchSlot:
        """Return the slot of a class for fetches from the origin."""
        candidates = origin_candidates(
            self.root, self.members, self.group, class_index, self.hubs
        )
        # Hubs come first, also for a member of a domain that has no hub at present.
        ranked = sorted(
            candidates,
            key=lambda target: (
                target not in self.hubs,
                self.members[target] != self.origin_domain,
            ),
        )
        return FetchSlot(ranked, now, self.policy.stall_seconds)

    def _origin_group(self) -> frozenset[DomainName]:
        """Return the domains that share one copy from the origin with the local one."""
        ranked = rendezvous_rank(str(self.root), set(self.members.values()))
        copies = min(self.origin_copies, len(ranked))
        group_index = ranked.index(self.local.domain) % copies
        return frozenset(DomainName(name) for name in ranked[group_index::copies])

    def import_slot(self, class_index: int, now: Seconds) -> FetchSlot:
        """Return the slot of a class for imports into the local domain."""
        domain = self.local.domain
        candidates = slot_candidates(
            self.root, self.members, domain, class_index, self.hubs
        )
        return FetchSlot(candidates, now, self.policy.stall_seconds)

    def neighbours(self, import_slots: Iterable[FetchSlot]) -> Sequence[TargetName]:
        """Return the agents whose holdings the local agent follows.

        These are some agents of the local domain. An agent among the first candidates
        of a class also follows the first candidates of this class in every domain.
        """
        domain_members = slot_candidates(
            f"{self.root}/{self.local.target}", self.members, self.local.domain, 0
        )
        other_members = [
            target for target in domain_members if target != self.local.target
        ]
        followed = other_members[: self.policy.neighbours]
        for class_index, slot in enumerate(import_slots):
            if self._has_other_local_hub():
                break
            if self.local.target in slot.candidates[:FOLLOWING_CANDIDATES]:
                followed.extend(self._first_candidates(class_index))
        unique = dict.fromkeys(followed)
        unique.pop(self.local.target, None)
        return list(unique)

    def _has_other_local_hub(self) -> bool:
        """Check whether another member is a hub that imports into the local domain."""
        if self.local.target in self.hubs:
            return False
        return any(self.members.get(hub) == self.local.domain for hub in self.hubs)

    def _first_candidates(self, class_index: int) -> Iterator[TargetName]:
        for domain in sorted(set(self.members.values())):
            ranked = slot_candidates(
                self.root, self.members, domain, class_index, self.hubs
            )
            yield from ranked[:FOLLOWING_CANDIDATES]
