"""Which target gets a request: the least loaded, near ones first."""

from collections.abc import Collection
from random import Random
from time import monotonic

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.ids import ModelName, Seconds, ServiceName, TargetId
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
VERSION_MARGIN_SECONDS = 1.2
"""Before the bound on old weights, from when on only new ones are asked for:
covers what is queued at the engine and the way there."""


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
        free = [t for t in able if self.state(t.target).not_before <= now]
        if not free:
            return min(able, key=lambda t: self.state(t.target).not_before)
        return min(free, key=self._cost)

    def has_weights(self, service: Service, target: ListedTarget) -> bool:
        """Tell whether a target is listed with the weights that it needs."""
        if service.engine is None or not service.engine.layers:
            return True
        return target.holds_model(service.engine.layers)

    def _cost(self, target: ListedTarget) -> tuple[float, float]:
        load = self.state(target.target).outstanding / max(1, target.slots)
        near = self.site.region(target.domain) == self.site.region(self.site.domain)
        return load + (0.0 if near else REGION_PENALTY), self.random.random()

    def only_version(self, model: ModelName) -> bool:
        """Tell whether a request may only begin on the newest weights by now."""
        notice = self.view.versions.get(model)
        if notice is None:
            return False
        bound = self.site.bounds.version_seconds - VERSION_MARGIN_SECONDS
        return monotonic() - notice.learned_at >= bound

    def forget_gone(self) -> None:
        """Drop what was seen of targets that are no longer listed."""
        for name in list(self.states):
            if name not in self.view.targets.targets:
                if not self.states[name].outstanding:
                    del self.states[name]


def service_targets(view: ClusterView, service: ServiceName) -> int:
    """Return the number of a service's targets that may get requests."""
    return sum(1 for _ in view.serving(service))
