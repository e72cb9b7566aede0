"""Send requests to targets within the attempt limit, retry budget and deadline."""

from collections.abc import Callable, Collection
from random import Random

import eventlet
from msgspec import structs

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.cold_turns import Turn
from ridgecourse.core.eligibility import (
    Exclusion,
    ExclusionReason,
    ExclusionSummary,
    TargetRequirements,
)
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.engine_load import PendingRequest
from ridgecourse.core.load_shedding import AdmissionEstimate, excess_wait
from ridgecourse.core.outcome import Reason, is_unproven_refusal
from ridgecourse.core.recent_peak import RecentPeak
from ridgecourse.core.retry import ColdRefusals
from ridgecourse.core.site import Site
from ridgecourse.core.target_list import ListedTarget
from ridgecourse.gateway.announcement_watch import AnnouncementWatch, AttemptGuard
from ridgecourse.gateway.crash_watch import CrashWatch
from ridgecourse.gateway.load_watcher import LoadWatcher
from ridgecourse.gateway.protocol import RequestProtocol
from ridgecourse.gateway.retry_control import RetryControl
from ridgecourse.gateway.selection import (
    MAX_LIMIT_DELAY_SECONDS,
    Choice,
    TargetSelector,
)
from ridgecourse.gateway.send_recorder import Send, SendRecorder
from ridgecourse.gateway.sender import (
    NotRun,
    RoutedRequest,
    Sender,
    SendResult,
    Stream,
    Unknown,
    Whole,
    explain_refusal,
    time_left,
)
from ridgecourse.gateway.terms import Terms
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventStream
from ridgecourse.net.front_server import ClientDisconnected

MIN_ATTEMPT_SECONDS = 0.05
"""A request is not sent again with less time left than this."""


class Dispatcher:
    """Sends each request to one target after another until one answers.

    Attributes:
        site: The settings in force.
        view: The configuration in force.
        events: Receives events and metrics.
        count_gateways: Returns the number of known gateways.
        crash_watch: Holds back requests that may crash engines.
        announcements: Tracks what targets announce of themselves.
        selector: Chooses the target of each attempt.
        sender: Sends one request to one target.
        recorder: Records what the result of each send tells of its target.
        retries: Decides whether requests may be sent once more.
        cold_refusals: Spreads the retries while all targets of a service are cold.
    """

    def __init__(
        self,
        site: Site,
        view: ClusterView,
        protocol: RequestProtocol,
        load_watcher: LoadWatcher,
        events: EventStream,
        lag: RecentPeak,
        random: Random,
        count_gateways: Callable[[], int],
        crash_watch: CrashWatch,
        announcements: AnnouncementWatch,
        retries: RetryControl,
    ) -> None:
        self.site = site
        self.view = view
        self.events = events
        self.count_gateways = count_gateways
        self.crash_watch = crash_watch
        self.announcements = announcements
        self.selector = TargetSelector(
            site, view, load_watcher, lag, random, announcements
        )
        self.sender = Sender(protocol)
        self.recorder = SendRecorder(self.selector, crash_watch, announcements, events)
        self.retries = retries
        self.cold_refusals = ColdRefusals(random)

    def try_targets(
        self, routed: RoutedRequest, terms: Terms, tried: set[EngineIncarnation]
    ) -> SendResult:
        """Send a request until a target answers, or until it must not be sent again.

        Attempts, retry budget and deadline bound the sends. A proof that a target did
        not run the request lets any request go to another target. After an attempt with
        an unknown outcome, only a repeatable request is sent again. Such a request may
        have run, whatever later targets prove about their own attempts.

        Raises:
            CallerGone: The client disconnected before a send.
        """
        result: SendResult = NotRun(Reason.NO_TARGET, "no target", arrived=False)
        unknown: Unknown | None = None
        summary: ExclusionSummary | None = None
        while time_left(routed.deadline) > MIN_ATTEMPT_SECONDS:
            if refusal := self.crash_watch.admit(routed):
                result = refusal
                break
            avoided = self.crash_watch.avoided(routed)
            requirements = self._requirements(routed, terms, tried)
            choice = self.selector.choose(requirements, routed.call, avoided)
            if isinstance(choice, ExclusionSummary):
                summary = choice
                break
            if routed.send_count >= terms.route.max_attempts:
                break
            if routed.is_abandoned():
                raise ClientDisconnected(
                    "the client disconnected before the request was sent"
                )
            if not tried and (
                overload := self._check_load_shedding(routed, terms, choice)
            ):
                alternative = self._find_alternative(routed, terms, avoided)
                if alternative is None:
                    return overload
                choice = alternative
            if not self._allows_send(routed, terms):
                self.retries.record_denial(terms.service.name, routed.call.request_id)
                break
            result = self._send_once(routed, terms, choice, tried)
            if isinstance(result, (Whole, Stream)):
                return self._without_unproven_refusal(result, terms)
            if isinstance(result, Unknown):
                if result.late or not terms.route.repeatable:
                    break
                unknown = result
        if unknown is not None or not isinstance(result, NotRun):
            return unknown or result
        if summary is None:
            requirements = self._requirements(routed, terms, tried)
            summary = self.selector.explain_exclusions(requirements)
        if summary is not None and summary.counts[ExclusionReason.COLD]:
            targets = self.view.serving_targets(terms.service.name)
            self.announcements.record_refusal(terms.service.name, targets)
        if summary is not None and result.come_back is None:
            come_back = self.cold_refusals.retry_delay(
                terms.service,
                summary,
                self.count_gateways(),
                time_left(routed.deadline),
                boottime(),
            )
            result = structs.replace(result, come_back=come_back)
        return explain_refusal(result, summary, boottime(), self.selector.random)

    def _allows_send(self, routed: RoutedRequest, terms: Terms) -> bool:
        """Check whether the retry budget allows to send a request now."""
        return not routed.send_count or self.retries.allows_retry(terms.service.name)

    def _record_write(self, routed: RoutedRequest, terms: Terms) -> None:
        """Record that a request is written to a target.

        A request that reaches no target spends nothing of the budget.
        """
        if routed.send_count:
            self.retries.record_retry(terms.service.name, routed.call.request_id)
        routed.send_count += 1

    def _without_unproven_refusal(
        self, result: Whole | Stream, terms: Terms
    ) -> SendResult:
        """Return an answer, or an unknown outcome if it refuses without proof."""
        status = result.head.status
        if not is_unproven_refusal(status, terms.route.repeatable):
            return result
        self.events.metrics.count("unproven_refusals")
        return Unknown(f"status {status} without proof of not run", late=False)

    def _requirements(
        self,
        routed: RoutedRequest,
        terms: Terms,
        tried: Collection[EngineIncarnation],
        max_hold: float = MAX_LIMIT_DELAY_SECONDS,
    ) -> TargetRequirements:
        """Return what the next attempt requires of its target.

        The restriction to regions is looked up in the configuration in force, which may
        have changed since the request arrived.
        """
        if self.view.config is not None:
            routed.restriction.apply(self.view.config)
        regions = routed.restriction.regions
        return TargetRequirements(terms.service, tried, regions, max_hold)

    def _check_load_shedding(
        self, routed: RoutedRequest, terms: Terms, choice: Choice
    ) -> NotRun | None:
        """Return a refusal if the wait would be too long even at the best target."""
        engine = terms.service.engine
        if engine is None or not terms.route.objective:
            return None
        now = boottime()
        delay = self.selector.first_event_delays.expected_delay(
            terms.service.name, routed.restriction.regions, now
        )
        prospect = AdmissionEstimate(
            objective=terms.route.objective,
            waited=routed.waited,
            wait=choice.wait,
            prefill_time=choice.prefill_time,
            occupancy=self.selector.occupancy(choice.target, now),
            estimate_error=delay,
            remaining=time_left(routed.deadline),
        )
        excess = excess_wait(prospect)
        if excess is None:
            return None
        routed.excess = excess
        detail = (
            f"would wait {choice.wait:.2f} s and {delay:.2f} s at "
            f"{choice.target.target}, filled to {prospect.occupancy:.2f}, after "
            f"{routed.waited:.2f} s"
        )
        return NotRun(Reason.OVERLOADED, detail, arrived=False)

    def _find_alternative(
        self,
        routed: RoutedRequest,
        terms: Terms,
        avoided: Collection[EngineIncarnation],
    ) -> Choice | None:
        """Return another target of a request that would be shed; None if there is none.

        While a domain is evacuated, the others carry its traffic, and the cost of
        another region must not cause a refusal as long as there is room in the region.
        """
        if not self.selector.view.evacuation_records.evacuations.evacuated:
            return None
        requirements = self._requirements(routed, terms, ())
        choice = self.selector.choose(requirements, routed.call, avoided, by_wait=True)
        if isinstance(choice, ExclusionSummary):
            return None
        is_shed = self._check_load_shedding(routed, terms, choice) is not None
        return None if is_shed else choice

    def _send_once(
        self,
        routed: RoutedRequest,
        terms: Terms,
        choice: Choice,
        tried: set[EngineIncarnation],
    ) -> SendResult:
        target = choice.target
        incarnation = self.selector.incarnation(target)
        tried.add(incarnation)
        routed.version, routed.begin_by = choice.terms.version, choice.terms.begin_by
        # Load and state belong to the incarnation that gets the request, so that the
        # result does not affect a later one.
        load, state = self.selector.load(target), self.selector.state(target)
        turn = self._wait_for_limit(routed, choice, incarnation)
        sent_at = boottime()
        entry = self.view.entry_reading(target.target)
        load.outstanding += 1
        load.pending[routed.call.request_id] = PendingRequest(
            sent_at, choice.prefill_time
        )
        result: SendResult | None = None
        flight = self.crash_watch.begin(routed, target, incarnation)
        try:
            guard = AttemptGuard(
                self.announcements,
                incarnation,
                lambda: self._check_send(routed, terms, target),
                turn,
                lambda: self._record_write(routed, terms),
            )
            result = self.sender.send(routed, target, state.network_delays, guard)
            self.recorder.record_answer_end(flight, result)
        finally:
            load.pending.pop(routed.call.request_id, None)
            if isinstance(result, Stream):
                result.load, result.flight = load, flight
            else:
                load.outstanding -= 1
                self.crash_watch.finish(flight)
        send = Send(routed, choice, incarnation, state, sent_at, entry)
        self.recorder.record(send, result)
        return result

    def _check_send(
        self, routed: RoutedRequest, terms: Terms, target: ListedTarget
    ) -> Exclusion | None:
        """Return why a request must not be sent to its chosen target any more."""
        if not self.crash_watch.may_write(routed):
            return Exclusion(ExclusionReason.SUSPECT)
        if not self._allows_send(routed, terms):
            return Exclusion(ExclusionReason.RETRY_BUDGET)
        if not self.view.targets.is_serving(target.target):
            return Exclusion(ExclusionReason.LEAVING)
        requirements = self._requirements(routed, terms, (), max_hold=0.0)
        return self.selector.eligibility.check_send(requirements, target, boottime())

    def _wait_for_limit(
        self, routed: RoutedRequest, choice: Choice, incarnation: EngineIncarnation
    ) -> Turn | None:
        """Wait until the rate limit and the rest of a target allow a request.

        Returns:
            The turn of the request at a target that limits its requests.

        Raises:
            CallerGone: The client disconnected meanwhile.
        """
        turn = self.announcements.record_send(incarnation)
        if choice.hold:
            self.announcements.count_hold(incarnation)
            eventlet.sleep(choice.hold)
            if routed.is_abandoned():
                raise ClientDisconnected(
                    "the client disconnected before the request was sent"
                )
        return turn
