"""Ask the local engine for how long it stays cold, for the reports to gateways.

Health checks have a price, so the engine is asked only while gateways watch the loader,
only if its service limits requests to cold engines, and seldom once it is warm.
"""

from collections.abc import Callable

import eventlet

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.cold_engines import ColdStatement
from ridgecourse.core.ids import EngineStart, Seconds, ServiceName
from ridgecourse.loader.engine_control import EngineControl, EngineUnavailable
from ridgecourse.net.clock import boottime
from ridgecourse.net.threads import spawn_loop

COLD_INTERVAL_SECONDS = 0.5
"""Time between two health checks of an engine that is cold or new."""
WARM_INTERVAL_SECONDS = 2.0
"""Time between two health checks of an engine that is not cold. Gateways that infer
that an engine is cold, such as after an evacuation, wait for the next one."""
NEW_SECONDS = 5.0
"""How long an engine counts as new after it was first seen, or was unavailable."""
UNLIMITED_INTERVAL_SECONDS = 1.0
"""Time after which is checked again whether the engine is to be asked."""


class ColdFeed:
    """Tracks for how long the local engine stays cold.

    Attributes:
        engine: The engine.
        view: Configuration.
        service: Service of the engine.
        is_watched: Returns whether a gateway watches the loader.
        started: Start of the engine's latest incarnation; None if it is not known.
        remaining: Seconds for which the engine stays cold by its last answer; None if
            this incarnation has given none.
        asked_at: Time at which the engine was asked for that answer.
        new_until: End of the time for which the engine counts as new.
        thread: Thread that asks the engine.
    """

    def __init__(
        self,
        engine: EngineControl,
        view: ClusterView,
        service: ServiceName,
        is_watched: Callable[[], bool],
    ) -> None:
        self.engine = engine
        self.view = view
        self.service = service
        self.is_watched = is_watched
        self.started: EngineStart | None = None
        self.remaining: float | None = None
        self.asked_at = Seconds(0.0)
        self.new_until = Seconds(0.0)
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start to ask the engine."""
        self.thread = spawn_loop(self._ask_loop)

    def close(self) -> None:
        """Stop asking the engine."""
        if self.thread is not None:
            self.thread.kill()

    def statement(self, started: EngineStart | None) -> ColdStatement | None:
        """Return what an incarnation of the engine said; None if it said nothing.

        Args:
            started: Start of the engine's latest incarnation.
        """
        if started != self.started:
            self.started = started
            self.reset()
        if self.remaining is None:
            return None
        age = round(boottime() - self.asked_at, 3)
        return ColdStatement(round(self.remaining, 3), age)

    def reset(self) -> None:
        """Drop the last answer: the engine is not available, or has been restarted."""
        self.remaining = None
        self.new_until = Seconds(boottime() + NEW_SECONDS)

    def _ask_loop(self) -> None:
        while True:
            eventlet.sleep(self._ask())

    def _ask(self) -> float:
        """Ask the engine if needed; return the seconds until the next check."""
        path = self._health_path()
        if not path or not self.is_watched():
            self.remaining = None
            return UNLIMITED_INTERVAL_SECONDS
        started, asked_at = self.started, boottime()
        try:
            remaining = self.engine.cold_remaining(path)
        except EngineUnavailable:
            remaining = None
        if started != self.started:
            # An earlier incarnation may have answered.
            return 0.0
        self.remaining, self.asked_at = remaining, asked_at
        is_new = boottime() < self.new_until
        return COLD_INTERVAL_SECONDS if remaining or is_new else WARM_INTERVAL_SECONDS

    def _health_path(self) -> str:
        """Return the path of health checks; empty if the engine is not to be asked."""
        config = self.view.config
        service = config.services.get(self.service) if config else None
        if service is None or service.cold_per_s <= 0.0:
            return ""
        return service.health_path
