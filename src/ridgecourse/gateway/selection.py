"""Select the target that can start a request first.

A target outside the gateway's own region has an extra cost, so that a target in the
region is chosen unless it would start the request much later.
"""

from collections.abc import Collection, Iterable, Iterator, Sequence
from random import Random

from msgspec import Struct

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.eligibility import (
    Exclusion,
    ExclusionReason,
    ExclusionSummary,
    TargetRequirements,
)
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.engine_load import EngineLoad, prefill_seconds
from ridgecourse.core.first_event_delay import FirstEventDelays
from ridgecourse.core.ids import (
    ModelName,
    Seconds,
    WeightsVersion,
)
from ridgecourse.core.old_weights import WithdrawalDelays, can_start_in_time
from ridgecourse.core.placement import ASSUMED_SENDERS, placement_cost
from ridgecourse.core.recent_peak import RecentPeak
from ridgecourse.core.site import Site
from ridgecourse.core.target_list import ListedTarget
from ridgecourse.core.target_states import TargetHealth, TargetHealthTable
from ridgecourse.core.weights import FIRST_VERSION
from ridgecourse.gateway.announcement_watch import AnnouncementWatch
from ridgecourse.gateway.constraints import make_eligibility
from ridgecourse.gateway.load_watcher import LoadWatcher
from ridgecourse.gateway.messages import ClientRequest
from ridgecourse.net.clock import boottime

PLAIN_REQUEST_SECONDS = 0.06
"""Estimated time, in seconds, that a target needs for a request of a service without
model engines. The targets of such a service report no loads."""
MISSING_WEIGHTS_PAUSE_SECONDS = 1.0
"""Seconds for which another target is preferred to one that answered that it lacks the
weights. The list of targets reflects this about one heartbeat later."""
MAX_LIMIT_DELAY_SECONDS = 0.25
"""Longest wait for a target's rate limit or rest, in seconds: about the time after
which a refused client would retry."""
REFUSED_PAUSE_SECONDS = 0.15
"""Seconds for which another target is preferred to one that refused a request."""


class VersionTerms(Struct, frozen=True):
    """Weights on which a request may run.

    Attributes:
        held: The version that the engine is assumed to have; None if it is not known.
        version: The version that the request names and that the engine must have; None
            if the request may run on the version that the engine has.
        begin_by: Time by which the request must have started on these weights; None if
            it may start at any time.
    """

    held: WeightsVersion | None
    version: WeightsVersion | None
    begin_by: Seconds | None


class Choice(Struct, frozen=True):
    """A target that is a candidate for a request.

    Attributes:
        target: The target.
        wait: Estimated seconds until the request would start at the target.
        prefill_time: Estimated seconds that the target needs to prefill the prompt.
        terms: Weights on which the request may run.
        hold: Seconds until the target's rate limit and rest allow the request.
    """

    target: ListedTarget
    wait: float
    prefill_time: float
    terms: VersionTerms
    hold: float = 0.0


class TargetSelector:
    """Selects the target for each attempt to send a request.

    Attributes:
        site: The settings in force.
        view: Configuration and listed targets.
        load_watcher: Provides the engines' loads.
        lag: Recent peak delay of timers in this process.
        announcements: Tracks what targets announce of themselves.
        eligibility: Decides which targets may get a request.
        random: Random number generator that spreads requests among similar targets.
        first_event_delays: By how much first events came later than estimated.
        states: Health observed for each target.
    """

    def __init__(
        self,
        site: Site,
        view: ClusterView,
        load_watcher: LoadWatcher,
        lag: RecentPeak,
        random: Random,
        announcements: AnnouncementWatch,
    ) -> None:
        self.site = site
        self.view = view
        self.load_watcher = load_watcher
        self.lag = lag
        self.announcements = announcements
        self.eligibility = make_eligibility(
            site,
            load_watcher,
            announcements,
            view.evacuation_records.evacuations,
            view.events.metrics,
        )
        self.random = random
        self.first_event_delays = FirstEventDelays()
        self.states = TargetHealthTable()

    def state(self, target: ListedTarget) -> TargetHealth:
        """Return the observed health of a target's latest incarnation."""
        return self.states.value_of(self.incarnation(target))

    def incarnation(self, target: ListedTarget) -> EngineIncarnation:
        """Return the latest incarnation of a target."""
        return self.load_watcher.incarnation(target)

    def load(self, target: ListedTarget) -> EngineLoad:
        """Return the known load of a target."""
        return self.load_watcher.load(target)

    def occupancy(self, target: ListedTarget, now: Seconds) -> float:
        """Return the number of requests at a target as a share of its slots."""
        return self.load(target).requests(now, ASSUMED_SENDERS) / max(1, target.slots)

    def choose(
        self,
        requirements: TargetRequirements,
        call: ClientRequest,
        avoided: Collection[EngineIncarnation] = (),
        by_wait: bool = False,
    ) -> Choice | ExclusionSummary:
        """Return the target for a request, or why no target is eligible.

        Args:
            requirements: What the request requires of its target.
            call: The request.
            avoided: Incarnations that get the request only if there is no other.
            by_wait: Whether the target with the shortest wait is chosen, whatever its
                region costs.
        """
        now = boottime()
        summary = ExclusionSummary()
        choices = [
            self._estimate(requirements, call, target, now)
            for target in self._eligible_targets(requirements, now, summary)
        ]
        choices = list(self._with_named_version(choices, now, summary))
        if not choices:
            return summary
        return self._choose_preferred(choices, avoided, now, by_wait)

    def explain_exclusions(
        self, requirements: TargetRequirements
    ) -> ExclusionSummary | None:
        """Return why no target is eligible for a request; None if a target is."""
        now = boottime()
        summary = ExclusionSummary()
        for _ in self._eligible_targets(requirements, now, summary):
            return None
        return summary

    def _eligible_targets(
        self,
        requirements: TargetRequirements,
        now: Seconds,
        summary: ExclusionSummary,
    ) -> Iterator[ListedTarget]:
        targets = self.view.serving_targets(requirements.service.name)
        return self.eligibility.eligible(requirements, targets, now, summary)

    def _choose_preferred(
        self,
        choices: Sequence[Choice],
        avoided: Collection[EngineIncarnation],
        now: Seconds,
        by_wait: bool,
    ) -> Choice:
        """Return the best of the choices, which are all eligible.

        These criteria apply in turn; each is ignored if no target meets it:

        1. The target has not announced that it leaves.
        2. The target's weights are known to be allowed. The others may have received
           allowed weights since the last report.
        3. The incarnation is not to be avoided.
        4. The target is not paused or ejected; else the first to become available is
           chosen.

        Among the remaining targets, the one with the lowest cost is chosen, or the one
        with the shortest wait.
        """
        staying = [
            choice
            for choice in choices
            if not self.announcements.is_leaving(self.incarnation(choice.target))
        ]
        choices = staying or choices
        known_allowed = [choice for choice in choices if choice.terms.version is None]
        choices = known_allowed or choices
        if avoided:
            not_avoided = [
                choice
                for choice in choices
                if self.incarnation(choice.target) not in avoided
            ]
            choices = not_avoided or choices
        available = [
            choice for choice in choices if self.state(choice.target).not_before <= now
        ]
        if not available:
            return min(choices, key=lambda choice: self.state(choice.target).not_before)
        if by_wait:
            return min(available, key=lambda choice: choice.wait)
        return min(available, key=self._cost)

    def _with_named_version(
        self, choices: Iterable[Choice], now: Seconds, summary: ExclusionSummary
    ) -> Iterator[Choice]:
        """Yield the choices whose engines may have the version that is named.

        This depends on the estimated wait, so that it is no ``Constraint``.
        """
        for choice in choices:
            if self._lacks_named_version(choice, now):
                summary.record(Exclusion(ExclusionReason.WEIGHTS))
            else:
                yield choice

    def _lacks_named_version(self, choice: Choice, now: Seconds) -> bool:
        """Check whether an engine is known to lack the version that a request names.

        A request is sent for a version other than the last known one only if no fresh
        report says which version the engine has.
        """
        if choice.terms.version is None:
            return False
        load = self.load(choice.target)
        if load.status is None:
            return False
        return load.is_fresh(now) and load.status.version != choice.terms.version

    def _estimate(
        self,
        requirements: TargetRequirements,
        call: ClientRequest,
        target: ListedTarget,
        now: Seconds,
    ) -> Choice:
        """Estimate when a request could start at a target, and on which weights."""
        service = requirements.service
        load = self.load(target)
        prefill_time = 0.0
        incarnation = self.incarnation(target)
        hold = max(
            self.announcements.rest_left(incarnation),
            self.announcements.limit_watch.wait(target, incarnation),
        )
        if service.engine is None:
            wait = load.outstanding * PLAIN_REQUEST_SECONDS / max(1, target.slots)
        else:
            wait = load.wait(service.engine, target.slots, now, ASSUMED_SENDERS)
            prefill_time = prefill_seconds(service.engine, call.prompt_tokens)
        terms = self._version_terms(requirements, call.model, target, now, wait)
        return Choice(target, max(wait, hold), prefill_time, terms, hold)

    def _cost(self, choice: Choice) -> float:
        """Return the placement cost of a choice, in seconds; the lowest is best."""
        target = choice.target
        is_near = self.site.region(target.domain) == self.site.region(self.site.domain)
        now = boottime()
        load = self.load(target)
        return placement_cost(
            load, choice.wait, target.slots, is_near, now, self.random
        )

    # Weights.

    def _held_version(
        self, model: ModelName, target: ListedTarget, now: Seconds
    ) -> WeightsVersion | None:
        """Return the version that an engine serves; None if it is not known.

        Without a fresh report of the engine, the list of targets is used, unless the
        list describes an earlier incarnation.
        """
        load = self.load(target)
        if load.status is not None and load.is_fresh(now):
            return load.status.version
        if target.incarnation.precedes(self.incarnation(target)):
            return None
        return target.models.get(model)

    def _version_terms(
        self,
        requirements: TargetRequirements,
        model: ModelName,
        target: ListedTarget,
        now: Seconds,
        wait: float,
    ) -> VersionTerms:
        """Return the weights on which a request may run at a target.

        If the request cannot start in time on the last known weights of an engine, the
        engine may have received newer weights since. The request then names the newest
        version, and the engine refuses the request if it lacks that version.
        """
        held = self._held_version(model, target, now)
        # An engine of which nothing is known may have the oldest weights.
        bound = self.view.history(model).start_deadline(held or FIRST_VERSION)
        if bound is None:
            return VersionTerms(held, None, None)
        network_delay = max(
            self.state(target).network_delays.decayed_peak(now),
            self.load(target).network_delay(now),
        )
        begin_by = WithdrawalDelays(
            network_delay, self.lag.decayed_peak(now)
        ).start_deadline(bound)
        delay = self.first_event_delays.expected_delay(
            target.service, requirements.regions, now
        )
        if can_start_in_time(now, wait, delay, begin_by):
            return VersionTerms(held, None, begin_by)
        return VersionTerms(held, self.view.wanted_version(model), None)

    def forget_unlisted(self) -> None:
        """Drop the announcements and the health of targets that are not listed."""
        self.announcements.forget_unlisted(self.view.targets.targets)
        self.states.retain(self.view.targets.targets, boottime())
