"""Which target gets a request: where it begins soonest, near ones first."""

from collections import defaultdict
from collections.abc import Collection
from random import Random

from msgspec import Struct

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.engine_life import EngineLife
from ridgecourse.core.engine_load import EngineLoad, prompt_seconds
from ridgecourse.core.first_events import FirstEventDelay
from ridgecourse.core.ids import (
    ModelName,
    Seconds,
    ServiceName,
    WeightsVersion,
)
from ridgecourse.core.old_weights import TakeBack, may_wait
from ridgecourse.core.placement import SENDERS, placement_cost
from ridgecourse.core.recent_peak import RecentPeak
from ridgecourse.core.routes import Service
from ridgecourse.core.site import Site
from ridgecourse.core.target_states import TargetState, TargetStates
from ridgecourse.core.targets import ListedTarget
from ridgecourse.core.weights import FIRST_VERSION
from ridgecourse.gateway.limit_watch import LimitWatch
from ridgecourse.gateway.loads import LoadWatcher
from ridgecourse.gateway.messages import CallerRequest
from ridgecourse.net.clock import boottime

PLAIN_REQUEST_SECONDS = 0.06
"""Estimated time of a plain service's request, until its targets report loads."""
MISSING_WEIGHTS_SECONDS = 1.0
"""How long a target is left alone after it said that it lacks the weights; its
entry in the list lags by about a heartbeat."""
HOLD_SECONDS = 0.25
"""Longest wait for a target's limit: about as soon a caller that is refused would be
back."""
REFUSED_SECONDS = 0.15
"""How long a target is left alone after it refused a request, unless it reports."""


class VersionTerms(Struct, frozen=True):
    """On which weights a request may run.

    Attributes:
        held: The version that the engine is taken to have; None if it is not known.
        version: The only version; None for the one that the engine has.
        begin_by: When it must have begun on that; None for any time.
    """

    held: WeightsVersion | None
    version: WeightsVersion | None
    begin_by: Seconds | None


class Choice(Struct, frozen=True):
    """A target for a request.

    Attributes:
        target: The target.
        wait: Estimated seconds until the request would begin there.
        reading: Seconds that the target would read its prompt for.
        terms: On which weights it may run.
        hold: Seconds until it may be sent, where the target names a limit.
    """

    target: ListedTarget
    wait: float
    reading: float
    terms: VersionTerms
    hold: float = 0.0


class TargetSelector:
    """Chooses targets.

    Attributes:
        states: What was seen of each target.
        watcher: Knows the engines' loads.
        lag: By how much this process is late for its timers.
        limits: Knows which targets name a limit.
        delays: By how much first events are late against the estimates, by service.
    """

    def __init__(
        self,
        site: Site,
        view: ClusterView,
        watcher: LoadWatcher,
        lag: RecentPeak,
        random: Random,
        limits: LimitWatch,
    ) -> None:
        self.site = site
        self.view = view
        self.watcher = watcher
        self.lag = lag
        self.limits = limits
        self.random = random
        self.delays: dict[ServiceName, FirstEventDelay] = defaultdict(FirstEventDelay)
        self.states = TargetStates()

    def state(self, target: ListedTarget) -> TargetState:
        """Return what was seen of the latest life of a target."""
        return self.states.of(self.life(target))

    def life(self, target: ListedTarget) -> EngineLife:
        """Return the latest life of a target."""
        return self.watcher.life(target)

    def load(self, target: ListedTarget) -> EngineLoad:
        """Return what is known of a target's load."""
        return self.watcher.load(target)

    def fill(self, target: ListedTarget, now: Seconds) -> float:
        """Return the requests at a target as a share of its slots."""
        return self.load(target).requests(now, SENDERS) / max(1, target.slots)

    def choose(
        self,
        service: Service,
        call: CallerRequest,
        tried: Collection[EngineLife],
        avoided: Collection[EngineLife] = (),
    ) -> Choice | None:
        """Return the target for a request, or None where there is none.

        Where all name limits, that is one whose ``hold`` is too long to wait for.

        Args:
            service: The service that answers.
            call: The request.
            tried: Lives of targets that have had the request.
            avoided: Lives that get it only where there is no other.
        """
        now = boottime()
        able = [
            target
            for target in self.view.serving(service.name)
            if not (tried and self.life(target) in tried)
            and self._is_able(service, target, now)
        ]
        choices = [self._weigh(service, call, target, now) for target in able]
        choices = [choice for choice in choices if not self._is_outdated(choice, now)]
        ready = [choice for choice in choices if choice.hold <= HOLD_SECONDS]
        if choices and not ready:
            return min(choices, key=lambda choice: choice.hold)
        choices = ready
        # Those with weights that may serve now go before those that may have them.
        current = [choice for choice in choices if choice.terms.version is None]
        choices = current or choices
        if avoided:
            apart = [c for c in choices if self.life(c.target) not in avoided]
            choices = apart or choices
        free = [c for c in choices if self.state(c.target).not_before <= now]
        if not free:
            return min(
                choices,
                key=lambda choice: self.state(choice.target).not_before,
                default=None,
            )
        return min(free, key=self._cost)

    def _is_able(self, service: Service, target: ListedTarget, now: Seconds) -> bool:
        """Tell whether a target has weights and takes new requests."""
        if service.engine is None or not service.engine.layers:
            return True
        load = self.load(target)
        if load.status is not None and load.is_fresh(now):
            return load.status.version > 0 and not load.status.busy
        # A new life holds nothing of what the list says of the one before.
        return not target.life.is_before(self.life(target)) and target.holds_model(
            service.engine.layers
        )

    def _is_outdated(self, choice: Choice, now: Seconds) -> bool:
        """Tell whether an engine has just reported weights that are too old.

        Only without a fresh report is it worth asking whether it has others.
        """
        if choice.terms.version is None:
            return False
        load = self.load(choice.target)
        if load.status is None:
            return False
        return load.is_fresh(now) and load.status.version != choice.terms.version

    def _weigh(
        self, service: Service, call: CallerRequest, target: ListedTarget, now: Seconds
    ) -> Choice:
        load = self.load(target)
        reading = 0.0
        hold = self.limits.wait(target, self.life(target))
        if service.engine is None:
            wait = load.outstanding * PLAIN_REQUEST_SECONDS / max(1, target.slots)
        else:
            wait = load.wait(service.engine, target.slots, now, SENDERS)
            reading = prompt_seconds(service.engine, call.prompt_tokens)
        terms = self._version_terms(call.model, target, now, wait)
        return Choice(target, max(wait, hold), reading, terms, hold)

    def _cost(self, choice: Choice) -> float:
        target = choice.target
        near = self.site.region(target.domain) == self.site.region(self.site.domain)
        now = boottime()
        load = self.load(target)
        return placement_cost(load, choice.wait, target.slots, near, now, self.random)

    # Weights.

    def _held_version(
        self, model: ModelName, target: ListedTarget, now: Seconds
    ) -> WeightsVersion | None:
        """Return the version that an engine serves, by its report or the list."""
        load = self.load(target)
        if load.status is not None and load.is_fresh(now):
            return load.status.version
        if target.life.is_before(self.life(target)):
            return None
        return target.models.get(model)

    def _version_terms(
        self, model: ModelName, target: ListedTarget, now: Seconds, wait: float
    ) -> VersionTerms:
        """Return on which weights a request may run at a target.

        An engine whose weights are too old by what is known may have newer ones
        by now; it is asked for the newest and refuses if it has not.
        """
        held = self._held_version(model, target, now)
        # Of which nothing is known may have the oldest weights.
        bound = self.view.history(model).begin_by(held or FIRST_VERSION)
        if bound is None:
            return VersionTerms(held, None, None)
        way = max(self.state(target).ways.expect(now), self.load(target).way(now))
        begin_by = TakeBack(way, self.lag.expect(now)).begin_by(bound)
        delay = self.delays[target.service].expect(now)
        if may_wait(now, wait, delay, begin_by):
            return VersionTerms(held, None, begin_by)
        return VersionTerms(held, self.view.wanted_version(model), None)

    def forget_gone(self) -> None:
        """Drop what was seen of targets that are no longer listed."""
        self.limits.forget_gone(self.view.targets.targets)
        self.states.retain(self.view.targets.targets, boottime())
