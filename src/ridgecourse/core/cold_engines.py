"""Until when each engine is cold, from what the engine says and from what happened.

An engine that has started, or has come back, handles few requests per second for some
time. It says so in its entry of the list of targets, which may be 2 s old, and in its
health answers, which the loader beside it reports. Before the engine says anything, a
gateway infers from an event that the engine is cold.
"""

from collections.abc import Container
from enum import Enum
from math import floor, inf

from msgspec import Struct

from ridgecourse.core.cold_turns import ColdLimit
from ridgecourse.core.engine_incarnation import EngineIncarnation, LatestIncarnations
from ridgecourse.core.ids import DomainName, Seconds, ServiceName, TargetId
from ridgecourse.core.routes import Service
from ridgecourse.core.site import Bounds
from ridgecourse.core.target_list import MAX_UNLISTED, ListedTarget

ENTRY_AGE_SECONDS = 2.0
"""Largest age of an entry when it is read: entries are written every 1.2 s, and the
list lags by up to 0.8 s."""


class ColdCause(Enum):
    """What shows that an engine is cold.

    ENTRY: Its entry in the list of targets.
    HEALTH: Its health answer.
    STARTED: A new incarnation was seen.
    UNREACHABLE: It was unreachable and may have restarted.
    RETURNED: The evacuation of its failure domain ended.
    """

    ENTRY = "entry"
    HEALTH = "health"
    STARTED = "started"
    UNREACHABLE = "unreachable"
    RETURNED = "returned"


class ColdStatement(Struct, frozen=True, array_like=True):
    """What an engine said in a health answer, as its loader reports it.

    Attributes:
        remaining: Seconds for which the engine stays cold, as of the answer; 0 if it is
            not cold.
        age: Seconds since the loader asked the engine.
    """

    remaining: float
    age: float = 0.0

    def with_added_age(self, seconds: float) -> "ColdStatement":
        """Return the statement as of a later time.

        Args:
            seconds: Time since the loader reported the statement.
        """
        return ColdStatement(self.remaining, self.age + seconds)


def make_cold_limit(service: Service, bounds: Bounds) -> ColdLimit | None:
    """Return the limit of a service's cold engines; None if it has none."""
    rate = service.cold_per_s
    if rate <= 0.0:
        return None
    bound = floor(rate * bounds.cold_overage + bounds.cold_slack)
    return ColdLimit(min(rate, bound), bound)


class ColdState(Struct):
    """Until when one incarnation of an engine is cold.

    Attributes:
        until: End of the time for which it is cold.
        known_at: Time of the newest event or health answer that decided ``until``.
        cause: What shows that the engine is cold, or last showed it.
        entry: The entry that was recorded last; None before the first.
        was_cold: Whether the last call of ``ColdEngines.poll_change`` found it cold.
        is_unreachable: Whether the engine has not answered since it was unreachable.
    """

    until: Seconds = Seconds(-inf)
    known_at: Seconds = Seconds(-inf)
    cause: ColdCause = ColdCause.ENTRY
    entry: ListedTarget | None = None
    was_cold: bool = False
    is_unreachable: bool = False

    def infer(self, cause: ColdCause, happened_at: Seconds, seconds: float) -> None:
        """Record an event after which the engine is cold for a time.

        Args:
            cause: The event.
            happened_at: Time of the event.
            seconds: For how long it stays cold unless it says otherwise.
        """
        if happened_at < self.known_at:
            return
        self.known_at = happened_at
        self._extend(cause, Seconds(happened_at + seconds))

    def _extend(self, cause: ColdCause, until: Seconds) -> None:
        if until > self.until:
            self.until, self.cause = until, cause

    def apply_entry(self, entry: ListedTarget, read_at: Seconds) -> None:
        """Record the engine's entry of the list.

        An entry that may be older than the newest event only prolongs the time.

        Args:
            entry: The entry.
            read_at: Time at which it was read.
        """
        self.entry = entry
        until = Seconds(read_at + entry.cold_remaining)
        if read_at - self.known_at < ENTRY_AGE_SECONDS:
            if self.cause is not ColdCause.HEALTH and entry.cold_remaining:
                self._extend(ColdCause.ENTRY, until)
        elif until > read_at or self.until > read_at:
            self.until, self.cause = until, ColdCause.ENTRY

    def apply_statement(self, statement: ColdStatement, now: Seconds) -> bool:
        """Record a health answer; return whether no newer event or answer is known.

        Args:
            statement: What the engine said.
            now: Current time.
        """
        stated_at = Seconds(now - statement.age)
        if stated_at < self.known_at:
            return False
        self.known_at = stated_at
        self.until = Seconds(stated_at + statement.remaining)
        self.cause = ColdCause.HEALTH
        return True


class ColdChange(Struct, frozen=True):
    """An engine that became cold, or is not cold any more.

    Attributes:
        target: The engine.
        seconds: Seconds for which it stays cold; 0 if it is not cold any more.
        cause: What shows that it is cold.
    """

    target: TargetId
    seconds: float
    cause: ColdCause


class ColdEngines:
    """Which engines of services with a limit for cold engines are cold.

    Attributes:
        states: State of the latest incarnation of each engine that was seen.
        known_services: Services whose engines have been recorded once. The engines that
            are recorded first, at the start of the gateway, are not new ones.
        returned: When the last evacuation of each failure domain ended.
    """

    def __init__(self) -> None:
        self.states: LatestIncarnations[ColdState] = LatestIncarnations(
            lambda incarnation: ColdState()
        )
        self.known_services: set[ServiceName] = set()
        self.returned: dict[DomainName, Seconds] = {}

    def observe(
        self,
        target: ListedTarget,
        incarnation: EngineIncarnation,
        service: Service,
        now: Seconds,
    ) -> ColdState:
        """Record what the list of targets says of an engine, and return its state.

        Args:
            target: Entry of the engine.
            incarnation: Latest incarnation of the engine, which a report may have named
                before the list does.
            service: Service of the engine.
            now: Current time.
        """
        known = self.states.incarnations.get(target.target)
        state = self.states.value_of(incarnation)
        latest = self.states.incarnations[target.target]
        is_new = known is None or known.precedes(latest)
        if is_new and service.name in self.known_services:
            state.infer(ColdCause.STARTED, now, service.cold_start_seconds)
        ended_at = self.returned.get(target.domain)
        if ended_at is not None and ended_at > state.known_at:
            state.infer(ColdCause.RETURNED, ended_at, service.cold_start_seconds)
        if target is not state.entry and not target.incarnation.precedes(latest):
            state.apply_entry(target, now)
        return state

    def record_statement(
        self, incarnation: EngineIncarnation, statement: ColdStatement, now: Seconds
    ) -> bool:
        """Record a health answer; return whether it was newer than what is known.

        Args:
            incarnation: Incarnation that answered; must have been observed.
            statement: What it said.
            now: Current time.
        """
        if incarnation.precedes(self.states.latest(incarnation)):
            return False
        return self.states.value_of(incarnation).apply_statement(statement, now)

    def record_unreachable(
        self, incarnation: EngineIncarnation, service: Service, now: Seconds
    ) -> None:
        """Record that an engine cannot be reached; it may be restarting.

        The engine counts as cold at once, since the request that finds it running again
        must be within the limit.
        """
        if not incarnation.precedes(self.states.latest(incarnation)):
            state = self.states.value_of(incarnation)
            state.is_unreachable = True
            state.infer(ColdCause.UNREACHABLE, now, service.cold_start_seconds)

    def record_answer(
        self, incarnation: EngineIncarnation, service: Service, now: Seconds
    ) -> None:
        """Record that an engine has answered, after which it may be cold."""
        if incarnation.precedes(self.states.latest(incarnation)):
            return
        state = self.states.value_of(incarnation)
        if state.is_unreachable:
            state.is_unreachable = False
            state.infer(ColdCause.UNREACHABLE, now, service.cold_start_seconds)

    def record_evacuation_end(self, domain: DomainName, ended_at: Seconds) -> None:
        """Record that the evacuation of a failure domain ended.

        Its engines count as cold until they have said after this time that they are
        not, at most for the start time of their service.

        Args:
            domain: The failure domain.
            ended_at: Time at which this gateway learned of the end.
        """
        self.returned[domain] = ended_at

    def poll_change(
        self, incarnation: EngineIncarnation, now: Seconds
    ) -> ColdChange | None:
        """Return whether an engine has become cold or warm since the last call."""
        state = self.states.value_of(incarnation)
        is_cold = now < state.until
        if is_cold == state.was_cold:
            return None
        state.was_cold = is_cold
        seconds = max(0.0, state.until - now)
        return ColdChange(incarnation.target, seconds, state.cause)

    def forget_unlisted(self, listed: Container[TargetId]) -> None:
        """Drop the oldest states of engines that are not listed.

        An engine whose entry lapsed in an outage of the store is not a new one when it
        is listed again.
        """
        self.states.forget_unlisted(listed, MAX_UNLISTED)
