"""Chooses the target for each try of a request."""

from time import monotonic
from typing import NamedTuple

from ridgecourse.core.config import Target
from ridgecourse.core.ids import Seconds, TargetName
from ridgecourse.core.routing import Router, TargetLoad
from ridgecourse.entry.call import Call
from ridgecourse.entry.context import EntryContext
from ridgecourse.entry.links import AgentLinks, AgentView


class Chosen(NamedTuple):
    """A target chosen for a try."""

    target: Target
    view: AgentView


class TargetChooser:
    """Puts what is known of targets before the router.

    Attributes:
        router: Decides.
    """

    def __init__(self, context: EntryContext, links: AgentLinks) -> None:
        self.context = context
        self.links = links
        self.router = Router(context.domain, context.random)

    def _candidates(self, call: Call, tried: set[TargetName]) -> list[Chosen]:
        """Return the targets that may serve a request, as far as known here.

        Targets that report ready; without any, all that are not leaving, since
        a report may be a moment old and a refusal costs little.
        """
        service = call.service
        targets = self.context.config.state.service_targets(
            service.fleet, service.service
        )
        staying = [
            Chosen(target, self.links.view(target))
            for target in targets
            if not target.leaving and target.target not in tried
        ]
        now = monotonic()
        return [c for c in staying if self._seems_ready(c, now)] or staying

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
        now = Seconds(monotonic())
        chosen = {c.target.target: c for c in self._candidates(call, tried)}
        loads: list[TargetLoad] = [c.view.load for c in chosen.values()]
        load = self.router.choose(loads, call.service.traffic, call.affinity(), now)
        return None if load is None else chosen[load.target]
