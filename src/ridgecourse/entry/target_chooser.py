"""Chooses the target for each attempt of a request.

The chooser reduces a service's targets to this entry's subset, drops the targets
that were tried and those that report that they are not ready, and lets the router
pick one of the remaining targets by load.
"""

from collections.abc import Iterator
from typing import NamedTuple

from ridgecourse.core.config_objects import Service, Target
from ridgecourse.core.ids import DomainName, TargetName
from ridgecourse.core.rendezvous import rendezvous_rank
from ridgecourse.core.routing import Router, TargetLoad
from ridgecourse.entry.agent_links import AgentLinks, AgentView
from ridgecourse.entry.call import Call
from ridgecourse.entry.context import EntryContext
from ridgecourse.net.clock import boottime

REMOTE_TARGETS_PER_DOMAIN = 8
"""Number of targets that an entry considers in each other failure domain."""


class Candidate(NamedTuple):
    """A target and this entry's state of the target's agent."""

    target: Target
    view: AgentView


class TargetSubset(NamedTuple):
    """The subset of a service's targets that an entry routes to.

    Attributes:
        built_from: Offset of the configuration, and change count of the links,
            that the subset was computed from.
        targets: The targets of the subset.
    """

    built_from: tuple[int, int]
    targets: list[Target]


class TargetChooser:
    """Selects candidate targets and lets the router choose among them.

    Attributes:
        router: Chooses a target by load and affinity.
        subsets: Cached subsets, by fleet and service.
    """

    def __init__(self, context: EntryContext, links: AgentLinks) -> None:
        self.context = context
        self.links = links
        self.router = Router(context.domain, context.random)
        self.subsets: dict[tuple[str, str], TargetSubset] = {}

    def _candidates(self, call: Call, tried: set[TargetName]) -> list[Candidate]:
        """Return the targets that may serve a request.

        These are the targets that report that they are ready. If there are
        none, all targets that are not leaving are returned, since a report may
        be slightly out of date and a refusal costs little.
        """
        untried = [
            Candidate(target, self.links.view(target))
            for target in self._subset(call.service)
            if target.target not in tried
        ]
        now = boottime()
        return [
            candidate for candidate in untried if self._is_likely_ready(candidate, now)
        ] or untried

    def _subset(self, service: Service) -> list[Target]:
        """Return this entry's subset of a service's targets.

        The subset has the linked targets of the entry's own failure domain, and
        a few targets of each other domain, ranked differently by each entry.
        The cost of a request thus does not grow with the fleet, and every target
        is in the subset of some entries. The subset is cached until the
        configuration or the set of links changes.
        """
        key = (service.fleet, service.service)
        built_from = (self.context.config.offset, self.links.change_count)
        cached = self.subsets.get(key)
        if cached is None or cached.built_from != built_from:
            cached = TargetSubset(built_from, list(self._choose_subset(service)))
            self.subsets[key] = cached
        return cached.targets

    def _choose_subset(self, service: Service) -> Iterator[Target]:
        by_domain: dict[DomainName, dict[str, Target]] = {}
        targets = self.context.config.state.service_targets(
            service.fleet, service.service
        )
        for target in targets:
            if not target.leaving:
                by_domain.setdefault(target.domain, {})[target.target] = target
        for domain, domain_targets in by_domain.items():
            if domain == self.context.domain:
                linked = [
                    target
                    for target in domain_targets.values()
                    if self.links.is_linked(target)
                ]
                yield from linked or domain_targets.values()
            else:
                ranked = rendezvous_rank(self.context.process, domain_targets)
                yield from (
                    domain_targets[name] for name in ranked[:REMOTE_TARGETS_PER_DOMAIN]
                )

    def _is_likely_ready(self, candidate: Candidate, now: float) -> bool:
        """Check whether a target is likely to accept a request.

        Without any report a target counts as ready: targets of other failure
        domains usually have no link to this entry, and a target that has just
        joined has no link yet. A target whose reports stopped is likely gone.
        """
        report = candidate.view.fresh_report(now)
        if report is None:
            return candidate.view.report is None
        return report.ready

    def choose(self, call: Call, tried: set[TargetName]) -> Candidate | None:
        """Return the target for the next attempt, None if there is no candidate."""
        now = boottime()
        candidates = {
            candidate.target.target: candidate
            for candidate in self._candidates(call, tried)
        }
        loads: list[TargetLoad] = [
            candidate.view.load for candidate in candidates.values()
        ]
        load = self.router.choose(loads, call.service.traffic, call.affinity_key(), now)
        return None if load is None else candidates[load.target]
