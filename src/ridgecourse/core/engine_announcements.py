"""What engines announce of themselves: that they leave, or want no requests for a time.

The list of targets names leaving engines too, but later, and not while the store is
unavailable. An announcement holds until the end of the engine's incarnation; no entry
of the list withdraws it.
"""

from collections.abc import Container
from math import inf

from msgspec import Struct

from ridgecourse.core.engine_incarnation import EngineIncarnation, LatestIncarnations
from ridgecourse.core.ids import Seconds, TargetId
from ridgecourse.core.target_list import MAX_UNLISTED


class AnnouncedState(Struct):
    """What one incarnation of an engine has announced.

    Attributes:
        leaving_since: Time at which its first announcement that it leaves was received;
            None if it has made none.
        rests_until: End of the time for which it wants no requests.
    """

    leaving_since: Seconds | None = None
    rests_until: Seconds = Seconds(-inf)


class EngineAnnouncements:
    """The announcements of all engines that one gateway knows.

    Attributes:
        states: Announcements of the latest incarnation of each engine that has made
            one.
    """

    def __init__(self) -> None:
        self.states: LatestIncarnations[AnnouncedState] = LatestIncarnations(
            lambda incarnation: AnnouncedState()
        )

    def record_leaving(self, incarnation: EngineIncarnation, now: Seconds) -> bool:
        """Record that an engine leaves; return whether this was not known.

        Args:
            incarnation: Incarnation of the engine.
            now: Current time.
        """
        state = self._writable_state(incarnation)
        if state is None or state.leaving_since is not None:
            return False
        state.leaving_since = now
        return True

    def record_rest(
        self, incarnation: EngineIncarnation, seconds: float, now: Seconds
    ) -> bool:
        """Record that an engine wants no requests; return whether its rest begins.

        A rest is never shortened by a later one.

        Args:
            incarnation: Incarnation of the engine.
            seconds: How long it wants none.
            now: Current time.
        """
        state = self._writable_state(incarnation)
        if state is None or seconds <= 0:
            return False
        begins = state.rests_until <= now
        state.rests_until = Seconds(max(state.rests_until, now + seconds))
        return begins

    def _writable_state(self, incarnation: EngineIncarnation) -> AnnouncedState | None:
        """Return the state of an incarnation; None if a later incarnation is known."""
        if incarnation.precedes(self.states.latest(incarnation)):
            return None
        return self.states.value_of(incarnation)

    def _state(self, incarnation: EngineIncarnation) -> AnnouncedState | None:
        """Return what an incarnation has announced; None for nothing."""
        if incarnation.target not in self.states.incarnations:
            return None
        return self.states.value_of(incarnation)

    def leaving_seconds(
        self, incarnation: EngineIncarnation, now: Seconds
    ) -> float | None:
        """Return for how many seconds an engine is known to leave; None if it stays.

        Args:
            incarnation: Incarnation of the engine.
            now: Current time.
        """
        state = self._state(incarnation)
        if state is None or state.leaving_since is None:
            return None
        return now - state.leaving_since

    def rest_left(self, incarnation: EngineIncarnation, now: Seconds) -> float:
        """Return for how many more seconds an engine wants no requests.

        Args:
            incarnation: Incarnation of the engine.
            now: Current time.
        """
        state = self._state(incarnation)
        return 0.0 if state is None else max(0.0, state.rests_until - now)

    def end_rest(self, incarnation: EngineIncarnation, now: Seconds) -> bool:
        """Return whether a rest has ended since the last call.

        Args:
            incarnation: Incarnation of the engine.
            now: Current time.
        """
        state = self._state(incarnation)
        if state is None or not -inf < state.rests_until <= now:
            return False
        state.rests_until = Seconds(-inf)
        return True

    def forget_unlisted(self, listed: Container[TargetId]) -> None:
        """Drop the oldest announcements of engines that are not listed.

        An engine whose entry lapsed in an outage of the store may be listed again.
        """
        self.states.forget_unlisted(listed, MAX_UNLISTED)
