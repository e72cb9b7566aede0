"""Which target gets a request: the least loaded, near ones first."""

from collections.abc import Collection
from random import Random
from time import monotonic

from msgspec import Struct

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.ids import (
    ModelName,
    Seconds,
    ServiceName,
    TargetId,
    WeightsVersion,
)
from ridgecourse.core.routes import Service
from ridgecourse.core.site import Site
from ridgecourse.core.targets import ListedTarget

REGION_PENALTY = 0.15
"""Load, in shares of a target's slots, by which a target of the own region may
be fuller than one elsewhere: bytes between regions are dear."""
MISSING_WEIGHTS_SECONDS = 1.0
"""How long a target is left alone after it said that it lacks the weights; its
entry in the list lags by about a heartbeat."""
FAILURES_IN_A_ROW = 2
FIRST_EJECTION_SECONDS = 1.0
LONGEST_EJECTION_SECONDS = 8.0
VERSION_MARGIN_SECONDS = 0.3
"""Before the bound on old weights, by when a request must have begun on them: the
bound runs from the name, which was learned of a little later, and a request that
is taken back must reach the engine in time."""
QUEUE_SECONDS = 0.7
"""A request is sent to an engine with old weights up to this long before it must
have begun there: more than most wait in an engine's queue."""


class VersionTerms(Struct, frozen=True):
    """On which weights a request may run.

    Attributes:
        version: The only version; None for the one that the engine has.
        begin_by: When it must have begun on that; None for any time.
    """

    version: WeightsVersion | None
    begin_by: Seconds | None


class TargetState:
    """What this gateway has seen of a target.

    Attributes:
        outstanding: Requests in progress there.
        failures: Failures in a row.
        ejections: Times in a row that it was ejected.
        not_before: When it may be chosen again.
    """

    def __init__(self) -> None:
        self.outstanding = 0
        self.failures = 0
        self.ejections = 0
        self.not_before = Seconds(0.0)

    def succeeded(self) -> None:
        """Take in a request that was served."""
        self.failures = 0
        self.ejections = 0

    def failed(self, now: Seconds) -> bool:
        """Take in a failure; tell whether the target is ejected by it."""
        self.failures += 1
        if self.failures < FAILURES_IN_A_ROW:
            return False
        span = FIRST_EJECTION_SECONDS * 2.0**self.ejections
        self.not_before = Seconds(now + min(LONGEST_EJECTION_SECONDS, span))
        self.ejections += 1
        self.failures = 0
        return True


class TargetSelector:
    """Chooses targets.

    Attributes:
        states: What was seen of each target.
    """

    def __init__(self, site: Site, view: ClusterView, random: Random) -> None:
        self.site = site
        self.view = view
        self.random = random
        self.states: dict[TargetId, TargetState] = {}

    def state(self, target: TargetId) -> TargetState:
        """Return what was seen of a target."""
        return self.states.setdefault(target, TargetState())

    def choose(
        self, service: Service, model: ModelName, tried: Collection[TargetId]
    ) -> ListedTarget | None:
        """Return the target for a request, or None where there is none.

        Args:
            service: The service that answers.
            model: The model asked for.
            tried: Targets that have had the request.
        """
        now = Seconds(monotonic())
        able = [
            target
            for target in self.view.serving(service.name)
            if target.target not in tried and self.has_weights(service, target)
        ]
        if not able:
            return None
        able = self._current(able, model, now) or able
        free = [t for t in able if self.state(t.target).not_before <= now]
        if not free:
            return min(able, key=lambda t: self.state(t.target).not_before)
        return min(free, key=self._cost)

    def _current(
        self, targets: list[ListedTarget], model: ModelName, now: Seconds
    ) -> list[ListedTarget]:
        """Return the targets listed with weights on which a request may begin."""
        return [
            target
            for target in targets
            if self.version_terms(model, target, now).version is None
        ]

    def has_weights(self, service: Service, target: ListedTarget) -> bool:
        """Tell whether a target is listed with the weights that it needs."""
        if service.engine is None or not service.engine.layers:
            return True
        return target.holds_model(service.engine.layers)

    def _cost(self, target: ListedTarget) -> tuple[float, float]:
        load = self.state(target.target).outstanding / max(1, target.slots)
        near = self.site.region(target.domain) == self.site.region(self.site.domain)
        return load + (0.0 if near else REGION_PENALTY), self.random.random()

    def begin_by(self, model: ModelName, target: ListedTarget) -> Seconds | None:
        """Return until when a request may begin there; None for any time."""
        held = target.models.get(model)
        if held is None:
            return None
        bound = self.view.history(model).begin_by(held)
        return None if bound is None else Seconds(bound - VERSION_MARGIN_SECONDS)

    def version_terms(
        self, model: ModelName, target: ListedTarget, now: Seconds
    ) -> VersionTerms:
        """Return on which weights a request may run at a target.

        An engine that is listed with weights too old may have newer ones by now,
        since the list lags; it is asked for the newest and refuses if it has not.
        """
        begin_by = self.begin_by(model, target)
        if begin_by is None or now < begin_by - QUEUE_SECONDS:
            return VersionTerms(None, begin_by)
        return VersionTerms(self.view.wanted_version(model), None)

    def forget_gone(self) -> None:
        """Drop what was seen of targets that are no longer listed."""
        for name in list(self.states):
            if name not in self.view.targets.targets:
                if not self.states[name].outstanding:
                    del self.states[name]


def service_targets(view: ClusterView, service: ServiceName) -> int:
    """Return the number of a service's targets that may get requests."""
    return sum(1 for _ in view.serving(service))
