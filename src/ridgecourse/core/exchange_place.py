"""An agent's place in the exchange of one version.

Which domains share a copy from the origin, who draws from it and who brings
chunks into a domain, and whose holdings an agent follows. Every agent works the
same out of the same members, so that nothing has to be agreed.
"""

from collections.abc import Iterable, Iterator, Sequence

from ridgecourse.core.fetches import Member, PlanPolicy
from ridgecourse.core.ids import DomainName, RootDigest, Seconds, TargetName
from ridgecourse.core.rendezvous import rendezvous_rank
from ridgecourse.core.slots import DrawSlot, origin_candidates, slot_candidates

STANDBY = 2
"""Candidates of a class that follow what the others of it hold."""


class ExchangePlace:
    """One agent among the members that exchange a version.

    Attributes:
        me: This agent.
        root: The version.
        members: The domain of each member, this agent included.
        hubs: Members that draw and import before all others.
        origin_domain: Where the origin stands; its members draw from it first,
            for across a border a chunk is brought in once anyway.
        origin_copies: Copies that the origin gives.
        group: Domains that share one copy from the origin.
    """

    def __init__(
        self,
        me: Member,
        root: RootDigest,
        members: Iterable[Member],
        policy: PlanPolicy,
        origin_copies: int,
        hubs: Iterable[TargetName],
        origin_domain: DomainName | None,
    ) -> None:
        self.me = me
        self.root = root
        self.policy = policy
        self.hubs = frozenset(hubs)
        self.origin_domain = origin_domain
        self.members = {member.target: member.domain for member in members}
        self.members[me.target] = me.domain
        self.origin_copies = origin_copies
        self.group = self._origin_group()

    def origin_slot(self, number: int, now: Seconds) -> DrawSlot:
        """Return a class's slot for what is drawn from the origin."""
        candidates = origin_candidates(
            self.root, self.members, self.group, number, self.hubs
        )
        # Hubs first, also for a member of a domain that has none now.
        ranked = sorted(
            candidates,
            key=lambda name: (
                name not in self.hubs,
                self.members[name] != self.origin_domain,
            ),
        )
        return DrawSlot(ranked, now, self.policy.stall_seconds)

    def _origin_group(self) -> frozenset[DomainName]:
        """Return the domains that share one copy from the origin with this one."""
        ranked = rendezvous_rank(str(self.root), set(self.members.values()))
        copies = min(self.origin_copies, len(ranked))
        mine = ranked.index(self.me.domain) % copies
        return frozenset(DomainName(name) for name in ranked[mine::copies])

    def import_slot(self, number: int, now: Seconds) -> DrawSlot:
        """Return a class's slot for what is brought into the own domain."""
        domain = self.me.domain
        candidates = slot_candidates(self.root, self.members, domain, number, self.hubs)
        return DrawSlot(candidates, now, self.policy.stall_seconds)

    def neighbours(self, import_slots: Iterable[DrawSlot]) -> Sequence[TargetName]:
        """Return the agents whose holdings this one follows.

        Some of the own domain; and for an agent among a class's first
        candidates, the first candidates of that class in every domain.
        """
        local = slot_candidates(
            f"{self.root}/{self.me.target}", self.members, self.me.domain, 0
        )
        others = [target for target in local if target != self.me.target]
        followed = others[: self.policy.neighbours]
        for number, slot in enumerate(import_slots):
            if self._is_fed_by_hub():
                break
            if self.me.target in slot.candidates[:STANDBY]:
                followed.extend(self._first_candidates(number))
        unique = dict.fromkeys(followed)
        unique.pop(self.me.target, None)
        return list(unique)

    def _is_fed_by_hub(self) -> bool:
        """Tell whether another member brings chunks into the own domain."""
        if self.me.target in self.hubs:
            return False
        return any(self.members.get(hub) == self.me.domain for hub in self.hubs)

    def _first_candidates(self, number: int) -> Iterator[TargetName]:
        for domain in sorted(set(self.members.values())):
            ranked = slot_candidates(self.root, self.members, domain, number, self.hubs)
            yield from ranked[:STANDBY]
