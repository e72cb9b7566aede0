"""Sends requests to targets, within their attempts, the retry budget and their time."""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

import eventlet
from msgspec import structs

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.engine_life import EngineLife
from ridgecourse.core.engine_load import Pending
from ridgecourse.core.ids import Seconds, ServiceName
from ridgecourse.core.letting_in import Prospect, excess_wait
from ridgecourse.core.outcome import Reason
from ridgecourse.core.placement import FIRST_EVENT_SECONDS
from ridgecourse.core.recent_peak import RecentPeak
from ridgecourse.core.retry import RetryBudget
from ridgecourse.core.site import Site
from ridgecourse.core.suspect import (
    Flight,
)
from ridgecourse.core.target_states import TargetState
from ridgecourse.core.targets import ListedTarget
from ridgecourse.gateway.crash_watch import CrashWatch
from ridgecourse.gateway.limit_watch import LimitWatch
from ridgecourse.gateway.loads import LoadWatcher
from ridgecourse.gateway.messages import AnswerHead
from ridgecourse.gateway.protocol import RequestProtocol
from ridgecourse.gateway.selection import (
    HOLD_SECONDS,
    MISSING_WEIGHTS_SECONDS,
    REFUSED_SECONDS,
    Choice,
    TargetSelector,
)
from ridgecourse.gateway.sender import (
    NotRun,
    Order,
    Sender,
    SendResult,
    Stream,
    Unknown,
    Whole,
    time_left,
)
from ridgecourse.gateway.terms import Terms
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.front_server import CallerGone

SHORTEST_ATTEMPT_SECONDS = 0.05
"""A request is not sent once more with less time left than this."""
RETRY_SAFETY = 0.9
"""Share of the allowed repeats that is used: entries count apart."""
FEWEST_GATEWAYS = 12
"""Gateways among which the slack of the retry budget is divided at least, for some
may not be known yet; with more the known ones count."""


class Dispatcher:
    """Sends requests.

    Attributes:
        budgets: Bounds repeated sends, by service.
        crashes: Holds back requests that may crash engines.
        limits: Knows which targets name a limit.
    """

    def __init__(
        self,
        site: Site,
        view: ClusterView,
        protocol: RequestProtocol,
        watcher: LoadWatcher,
        events: EventStream,
        lag: RecentPeak,
        random: Random,
        count_gateways: Callable[[], int],
        crashes: CrashWatch,
        limits: LimitWatch,
    ) -> None:
        self.site = site
        self.events = events
        self.count_gateways = count_gateways
        self.crashes = crashes
        self.limits = limits
        self.selector = TargetSelector(site, view, watcher, lag, random, limits)
        self.sender = Sender(protocol)
        self.budgets: dict[ServiceName, RetryBudget] = {}

    def budget(self, service: ServiceName) -> RetryBudget:
        """Return the bound on a service's repeated sends.

        Each gateway has its share of what all may send together.
        """
        bounds = self.site.bounds
        share = bounds.retry_slack / max(FEWEST_GATEWAYS, self.count_gateways())
        if service not in self.budgets:
            ratio = bounds.retry_ratio * RETRY_SAFETY
            self.budgets[service] = RetryBudget(ratio, share)
        budget = self.budgets[service]
        budget.limit(share)
        return budget

    def try_targets(
        self, order: Order, terms: Terms, tried: set[EngineLife]
    ) -> SendResult:
        """Send until a target answers, within attempts, budget and deadline.

        A proof that nothing ran lets any request go on to another target; after
        a loss only one that may be repeated goes on. It may have run then, whatever
        later targets prove of themselves.
        """
        result: SendResult = NotRun(Reason.NO_TARGET, "no target", arrived=False)
        lost: Unknown | None = None
        sends = len(tried)
        while time_left(order.deadline) > SHORTEST_ATTEMPT_SECONDS:
            if held_back := self.crashes.admit(order):
                result = held_back
                break
            avoided = self.crashes.avoided(order)
            choice = self.selector.choose(terms.service, order.call, tried, avoided)
            if choice is None or sends >= terms.route.max_attempts:
                break
            if choice.hold > HOLD_SECONDS:
                detail = f"{choice.target.target} takes no more for now"
                result = NotRun(Reason.OVERLOADED, detail, arrived=False)
                break
            if order.is_abandoned():
                raise CallerGone("the connection ended before a send")
            if not tried and (hopeless := self._hopeless(order, terms, choice)):
                return hopeless
            if sends and not self.budget(terms.service.name).take_retry():
                break
            result = self._send_once(order, choice, tried)
            if isinstance(result, (Whole, Stream)):
                return result
            if isinstance(result, Unknown):
                if result.late or not terms.route.repeatable:
                    break
                lost = result
                sends += 1
            elif result.arrived:
                sends += 1
        return lost or result

    def _hopeless(self, order: Order, terms: Terms, choice: Choice) -> NotRun | None:
        """Refuse what is not to be let in even where it would begin soonest."""
        engine = terms.service.engine
        if engine is None or not terms.route.objective:
            return None
        now = boottime()
        delay = self.selector.delays[terms.service.name].expect(now)
        prospect = Prospect(
            objective=terms.route.objective,
            waited=order.waited,
            wait=choice.wait,
            reading=choice.reading,
            fill=self.selector.fill(choice.target, now),
            delay=delay,
            left=time_left(order.deadline),
        )
        excess = excess_wait(prospect)
        if excess is None:
            return None
        order.excess = excess
        detail = (
            f"would wait {choice.wait:.2f} s and {delay:.2f} s at "
            f"{choice.target.target}, filled to {prospect.fill:.2f}, after "
            f"{order.waited:.2f} s"
        )
        return NotRun(Reason.OVERLOADED, detail, arrived=False)

    def _send_once(
        self, order: Order, choice: Choice, tried: set[EngineLife]
    ) -> SendResult:
        target = choice.target
        life = self.selector.life(target)
        tried.add(life)
        order.version, order.begin_by = choice.terms.version, choice.terms.begin_by
        # Of the life that gets the request: what becomes of it concerns no later one.
        load, state = self.selector.load(target), self.selector.state(target)
        self._hold(order, choice, life)
        begun = boottime()
        load.outstanding += 1
        load.waiting[order.call.request_id] = Pending(begun, choice.reading)
        result: SendResult | None = None
        flight = self.crashes.begin(order, target, life)
        try:
            note_head = partial(self._note_head, life)
            result = self.sender.send(order, target, state.ways, note_head)
            self._note_fate(flight, result)
        finally:
            load.waiting.pop(order.call.request_id, None)
            if isinstance(result, Stream):
                result.load, result.flight = load, flight
            else:
                load.outstanding -= 1
                self.crashes.finish(flight)
        self._learn(result, target, state)
        if isinstance(result, Stream):
            now = boottime()
            expected = choice.wait + choice.reading + FIRST_EVENT_SECONDS
            self.selector.delays[target.service].observe(now - begun - expected, now)
        self._note_send(order, choice, result, boottime() - begun)
        return result

    def _hold(self, order: Order, choice: Choice, life: EngineLife) -> None:
        """Wait until a target that names a limit may get a request.

        Raises:
            CallerGone: The caller went away meanwhile.
        """
        self.limits.limits.take(life, boottime())
        if choice.hold:
            eventlet.sleep(choice.hold)
            if order.is_abandoned():
                raise CallerGone("the connection ended before a send")

    def _note_head(self, life: EngineLife, head: AnswerHead) -> None:
        """Take in what the head of an answer tells of its target."""
        if not head.other_target:
            self.limits.note_answer(life, head)

    def _note_fate(self, flight: Flight, result: SendResult) -> None:
        """Take in whether a request ended its engine."""
        if isinstance(result, Whole):
            self.crashes.note_success(flight)
        elif isinstance(result, Unknown) and result.disconnected:
            self.crashes.note_disconnect(flight)

    def _learn(
        self, result: SendResult, target: ListedTarget, state: TargetState
    ) -> None:
        """Take in what a result says of the target's health."""
        now = boottime()
        if isinstance(result, NotRun) and result.reason is Reason.WRONG_TARGET:
            state.not_before = Seconds(now + MISSING_WEIGHTS_SECONDS)
            return
        if isinstance(result, NotRun) and result.arrived:
            state.not_before = Seconds(now + REFUSED_SECONDS)
            return
        if isinstance(result, (Whole, Stream)):
            state.succeeded()
        elif state.failed(now):
            self.events.emit(EventKind.TARGET_EJECTED, target=target.target)

    def _note_send(
        self, order: Order, choice: Choice, result: SendResult, seconds: float
    ) -> None:
        target = choice.target
        load = self.selector.load(target)
        begin_by = choice.terms.begin_by
        self.events.figures.observe("first_answer", seconds)
        detail: dict[str, Any] = (
            structs.asdict(result) if isinstance(result, (NotRun, Unknown)) else {}
        )
        self.events.emit(
            EventKind.REQUEST_DISPATCHED,
            request=order.call.request_id,
            target=target.target,
            took=round(seconds, 4),
            expected_wait=round(choice.wait, 3),
            load_age=round(boottime() - load.reported_at, 2),
            outstanding=load.outstanding,
            result=type(result).__name__,
            signature=order.signature.hex() if isinstance(result, Unknown) else None,
            held=choice.terms.held,
            only_version=order.version,
            begin_left=None if begin_by is None else round(begin_by - boottime(), 3),
            detail={name: str(value) for name, value in detail.items()},
        )
