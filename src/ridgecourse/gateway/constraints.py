"""The constraints on the targets of a gateway's requests, and their assembly.

A part that adds a constraint implements ``Constraint`` and adds an instance to the list
in ``make_eligibility``. Nothing else has to change for the constraint to apply to each
attempt, retry and resumption, and to be reported in refusals.
"""

from collections.abc import Callable
from math import isfinite

from ridgecourse.core.allowed_regions import RegionConstraint
from ridgecourse.core.eligibility import (
    Constraint,
    Eligibility,
    Exclusion,
    ExclusionReason,
    TargetRequirements,
)
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.evacuations import Evacuations
from ridgecourse.core.ids import Seconds
from ridgecourse.core.outcome import Reason
from ridgecourse.core.site import Site
from ridgecourse.core.target_list import ListedTarget
from ridgecourse.gateway.announcement_watch import AnnouncementWatch
from ridgecourse.gateway.load_watcher import LoadWatcher
from ridgecourse.net.figures import ProcessMetrics

HOLD_REASONS = frozenset(
    {ExclusionReason.REST, ExclusionReason.RATE_LIMIT, ExclusionReason.COLD}
)
"""Reasons of targets that could serve the request, but not yet."""


def make_eligibility(
    site: Site,
    load_watcher: LoadWatcher,
    announcements: AnnouncementWatch,
    evacuations: Evacuations,
    metrics: ProcessMetrics,
) -> Eligibility:
    """Return the constraints on targets, in the order in which they are evaluated.

    The order matters only for a target that several constraints exclude: the first one
    gives the reason. An evacuated target is reported as such, since it does not become
    eligible at the end of its rest or limit. A target that rests is reported as resting
    even if it was tried, since the end of the rest tells the client when to retry. A
    target that was tried or that lacks the weights is not reported as rate limited,
    since clients would retry too early.
    """
    incarnation = load_watcher.incarnation
    return Eligibility(
        [
            RegionConstraint(site),
            EvacuatedConstraint(evacuations, metrics),
            LeavingConstraint(announcements, incarnation),
            RestConstraint(announcements, incarnation),
            TriedConstraint(incarnation),
            WeightsConstraint(load_watcher),
            ColdConstraint(announcements, incarnation),
            RateLimitConstraint(announcements, incarnation),
        ]
    )


def refusal_reason(exclusion: ExclusionReason) -> Reason:
    """Return the reason that is reported if a request is refused for an exclusion."""
    if exclusion in HOLD_REASONS or exclusion is ExclusionReason.RETRY_BUDGET:
        return Reason.OVERLOADED
    if exclusion is ExclusionReason.LEAVING:
        return Reason.LEAVING
    if exclusion is ExclusionReason.SUSPECT:
        return Reason.CRASHES_ENGINES
    return Reason.NO_TARGET


IncarnationOf = Callable[[ListedTarget], EngineIncarnation]


class EvacuatedConstraint(Constraint):
    """Excludes the targets of evacuated failure domains.

    No end of an evacuation is known before the operators' decision.

    Attributes:
        evacuations: The evacuated domains.
        metrics: Counts the exclusions.
    """

    def __init__(self, evacuations: Evacuations, metrics: ProcessMetrics) -> None:
        self.evacuations = evacuations
        self.metrics = metrics

    def is_active(self, request: TargetRequirements) -> bool:
        """Return whether any domain is evacuated."""
        return bool(self.evacuations.evacuated)

    def check(
        self, request: TargetRequirements, target: ListedTarget, now: Seconds
    ) -> Exclusion | None:
        """Exclude a target of an evacuated domain; see ``Constraint``."""
        if not self.evacuations.is_evacuated(target.domain):
            return None
        self.metrics.count("evacuated_choices")
        return Exclusion(ExclusionReason.EVACUATED)


class LeavingConstraint(Constraint):
    """Excludes targets that have been leaving for as long as operators allow.

    Attributes:
        announcements: Tracks what targets announce of themselves.
        incarnation: Returns the latest incarnation of a target.
    """

    def __init__(
        self, announcements: AnnouncementWatch, incarnation: IncarnationOf
    ) -> None:
        self.announcements = announcements
        self.incarnation = incarnation

    def is_active(self, request: TargetRequirements) -> bool:
        """Return whether any target has announced that it leaves or rests."""
        return self.announcements.has_announcements()

    def check(
        self, request: TargetRequirements, target: ListedTarget, now: Seconds
    ) -> Exclusion | None:
        """Exclude a target that accepts no requests any more; see ``Constraint``."""
        if self.announcements.accepts_requests(self.incarnation(target)):
            return None
        return Exclusion(ExclusionReason.LEAVING)


class RestConstraint(LeavingConstraint):
    """Excludes targets that rest for longer than the request may wait."""

    def check(
        self, request: TargetRequirements, target: ListedTarget, now: Seconds
    ) -> Exclusion | None:
        """Exclude a resting target until the end of its rest; see ``Constraint``."""
        rest = self.announcements.rest_left(self.incarnation(target))
        if rest <= request.max_hold:
            return None
        return Exclusion(ExclusionReason.REST, Seconds(now + rest))


class TriedConstraint(Constraint):
    """Excludes targets that have received the request.

    Attributes:
        incarnation: Returns the latest incarnation of a target.
    """

    checked_at_send = False

    def __init__(self, incarnation: IncarnationOf) -> None:
        self.incarnation = incarnation

    def is_active(self, request: TargetRequirements) -> bool:
        """Return whether any target has received the request."""
        return bool(request.tried)

    def check(
        self, request: TargetRequirements, target: ListedTarget, now: Seconds
    ) -> Exclusion | None:
        """Exclude a tried target; a retry by the client may go there at once."""
        if self.incarnation(target) not in request.tried:
            return None
        return Exclusion(ExclusionReason.TRIED, now)


class WeightsConstraint(Constraint):
    """Excludes targets that have no complete weights, or do not accept requests.

    A target of a service without weights can always serve.

    Attributes:
        load_watcher: Provides the engines' loads.
    """

    checked_at_send = False

    def __init__(self, load_watcher: LoadWatcher) -> None:
        self.load_watcher = load_watcher

    def is_active(self, request: TargetRequirements) -> bool:
        """Return whether the service has weights."""
        engine = request.service.engine
        return engine is not None and bool(engine.layers)

    def check(
        self, request: TargetRequirements, target: ListedTarget, now: Seconds
    ) -> Exclusion | None:
        """Exclude a target without weights; see ``Constraint``."""
        if self._can_serve(request, target, now):
            return None
        return Exclusion(ExclusionReason.WEIGHTS)

    def _can_serve(
        self, request: TargetRequirements, target: ListedTarget, now: Seconds
    ) -> bool:
        engine = request.service.engine
        assert engine is not None
        load = self.load_watcher.load(target)
        if load.status is not None and load.is_fresh(now):
            return load.status.version > 0 and not load.status.busy
        # If the list describes an earlier incarnation, the latest one lacks the weights
        # that are listed.
        return not target.incarnation.precedes(
            self.load_watcher.incarnation(target)
        ) and target.holds_model(engine.layers)


class RateLimitConstraint(Constraint):
    """Excludes targets whose rate limit delays the request for too long.

    Attributes:
        announcements: Tracks what targets announce of themselves.
        incarnation: Returns the latest incarnation of a target.
    """

    checked_at_send = False

    def __init__(
        self, announcements: AnnouncementWatch, incarnation: IncarnationOf
    ) -> None:
        self.announcements = announcements
        self.incarnation = incarnation

    def is_active(self, request: TargetRequirements) -> bool:
        """Return whether any target has a rate limit."""
        return self.announcements.limit_watch.has_limits()

    def check(
        self, request: TargetRequirements, target: ListedTarget, now: Seconds
    ) -> Exclusion | None:
        """Exclude a target whose next turn is too late; see ``Constraint``.

        The turn is this gateway's. Another gateway, which a retry of the client may
        reach, may have its turn at any time, unless this one has none at all.
        """
        wait = self.announcements.limit_watch.wait(target, self.incarnation(target))
        if wait <= request.max_hold:
            return None
        return Exclusion(ExclusionReason.RATE_LIMIT, now if isfinite(wait) else None)


class ColdConstraint(RateLimitConstraint):
    """Excludes cold targets whose limit delays the request for too long."""

    def is_active(self, request: TargetRequirements) -> bool:
        """Return whether the service has a limit for cold targets."""
        return request.service.cold_per_s > 0.0

    def check(
        self, request: TargetRequirements, target: ListedTarget, now: Seconds
    ) -> Exclusion | None:
        """Exclude a cold target until this gateway's turn; see ``Constraint``."""
        incarnation = self.incarnation(target)
        limit_watch = self.announcements.limit_watch
        wait = limit_watch.wait(target, incarnation)
        if wait <= request.max_hold or not limit_watch.limits.is_cold(incarnation):
            return None
        until = Seconds(now + wait) if isfinite(wait) else None
        return Exclusion(ExclusionReason.COLD, until)
