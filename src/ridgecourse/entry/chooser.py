"""Chooses the target for each try of a request."""

from collections.abc import Iterator
from typing import NamedTuple

from ridgecourse.core.config_objects import Service, Target
from ridgecourse.core.ids import DomainName, TargetName
from ridgecourse.core.rendezvous import rendezvous_rank
from ridgecourse.core.routing import Router, TargetLoad
from ridgecourse.entry.call import Call
from ridgecourse.entry.context import EntryContext
from ridgecourse.entry.links import AgentLinks, AgentView
from ridgecourse.net.clock import boottime

FAR_TARGETS = 8
"""Targets of each other failure domain that an entry considers."""


class Chosen(NamedTuple):
    """A target chosen for a try."""

    target: Target
    view: AgentView


class Subset(NamedTuple):
    """An entry's share of a service's targets.

    Attributes:
        made: Offset of the configuration, and state of the links, it is from.
        targets: The share.
    """

    made: tuple[int, int]
    targets: list[Target]


class TargetChooser:
    """Puts what is known of targets before the router.

    Attributes:
        router: Decides.
    """

    def __init__(self, context: EntryContext, links: AgentLinks) -> None:
        self.context = context
        self.links = links
        self.router = Router(context.domain, context.random)
        self.subsets: dict[tuple[str, str], Subset] = {}

    def _candidates(self, call: Call, tried: set[TargetName]) -> list[Chosen]:
        """Return the targets that may serve a request, as far as known here.

        Targets that report ready; without any, all that are not leaving, since
        a report may be a moment old and a refusal costs little.
        """
        staying = [
            Chosen(target, self.links.view(target))
            for target in self._subset(call.service)
            if target.target not in tried
        ]
        now = boottime()
        return [c for c in staying if self._seems_ready(c, now)] or staying

    def _subset(self, service: Service) -> list[Target]:
        """Return this entry's share of a service's targets, made anew on change.

        Of its own domain those that it is linked to, of others a few, chosen
        differently by each entry: what a request costs does not grow with the
        fleet, and every target is some entries' choice.
        """
        key = (service.fleet, service.service)
        made = (self.context.config.offset, self.links.changes)
        known = self.subsets.get(key)
        if known is None or known.made != made:
            known = Subset(made, list(self._choose_subset(service)))
            self.subsets[key] = known
        return known.targets

    def _choose_subset(self, service: Service) -> Iterator[Target]:
        by_domain: dict[DomainName, dict[str, Target]] = {}
        targets = self.context.config.state.service_targets(
            service.fleet, service.service
        )
        for target in targets:
            if not target.leaving:
                by_domain.setdefault(target.domain, {})[target.target] = target
        for domain, found in by_domain.items():
            if domain == self.context.domain:
                linked = [t for t in found.values() if self.links.is_linked(t)]
                yield from linked or found.values()
            else:
                ranked = rendezvous_rank(self.context.process, found)
                yield from (found[name] for name in ranked[:FAR_TARGETS])

    def _seems_ready(self, chosen: Chosen, now: float) -> bool:
        """Tell whether a target is likely to take a request.

        Targets of other domains have no link to this entry as a rule, and one
        just joined has none yet; one whose reports stopped is likely gone.
        """
        report = chosen.view.fresh_report(now)
        if report is None:
            return chosen.view.report is None
        return report.ready

    def choose(self, call: Call, tried: set[TargetName]) -> Chosen | None:
        """Return the target for the next try."""
        now = boottime()
        chosen = {c.target.target: c for c in self._candidates(call, tried)}
        loads: list[TargetLoad] = [c.view.load for c in chosen.values()]
        load = self.router.choose(loads, call.service.traffic, call.affinity(), now)
        return None if load is None else chosen[load.target]
