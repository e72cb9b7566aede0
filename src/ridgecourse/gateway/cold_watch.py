"""Track which engines are cold, from the list of targets, loaders and requests.

Nothing is recorded for the engines of services without a limit for cold engines.
"""

from collections.abc import Container

import eventlet

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.cold_engines import ColdEngines, ColdStatement, make_cold_limit
from ridgecourse.core.cold_turns import ColdLimit
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.ids import Seconds, ServiceName, TargetId
from ridgecourse.core.routes import Service
from ridgecourse.core.site import Site
from ridgecourse.core.target_list import ListedTarget
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.threads import spawn_loop

UPDATE_SECONDS = 0.5
"""Longest time after which an engine that is not cold any more is reported as such."""


class ColdWatch:
    """Tracks the cold engines of services that limit requests to them.

    Attributes:
        site: The settings in force.
        view: Configuration and listed targets.
        events: Receives events and metrics.
        engines: Until when each engine is cold.
        thread: Thread that records the listed engines.
    """

    def __init__(self, site: Site, view: ClusterView, events: EventStream) -> None:
        self.site = site
        self.view = view
        self.events = events
        self.engines = ColdEngines()
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start to record the listed engines."""
        self.thread = spawn_loop(self._update_loop)

    def close(self) -> None:
        """Stop recording."""
        if self.thread is not None:
            self.thread.kill()

    def limited_service(self, name: ServiceName) -> Service | None:
        """Return a service if it has a limit for cold engines."""
        config = self.view.config
        service = config.services.get(name) if config else None
        return service if service is not None and service.cold_per_s > 0.0 else None

    def limit(
        self, target: ListedTarget, incarnation: EngineIncarnation
    ) -> ColdLimit | None:
        """Return the limit of an engine that is cold; None if it is not.

        Args:
            target: Entry of the engine.
            incarnation: Latest incarnation of the engine.
        """
        service = self.limited_service(target.service)
        if service is None:
            return None
        now = boottime()
        evacuations = self.view.evacuation_records.evacuations
        ended_at = evacuations.returned_at(target.domain)
        if ended_at is not None:
            self.engines.record_evacuation_end(target.domain, ended_at)
        state = self.engines.observe(target, incarnation, service, now)
        self._emit_change(incarnation, now)
        if now >= state.until:
            return None
        return make_cold_limit(service, self.site.bounds)

    def record_statement(
        self, incarnation: EngineIncarnation, statement: ColdStatement
    ) -> None:
        """Record what an engine said in a health answer, as its loader reports it."""
        now = boottime()
        self.engines.record_statement(incarnation, statement, now)
        self._emit_change(incarnation, now)

    def record_contact(
        self, target: ListedTarget, incarnation: EngineIncarnation, answered: bool
    ) -> None:
        """Record that an engine has answered a request or could not be reached."""
        service = self.limited_service(target.service)
        if service is None:
            return
        now = boottime()
        if answered:
            self.engines.record_answer(incarnation, service, now)
        else:
            self.engines.record_unreachable(incarnation, service, now)
        self._emit_change(incarnation, now)

    def forget_unlisted(self, listed: Container[TargetId]) -> None:
        """Drop the states of engines that are not listed."""
        self.engines.forget_unlisted(listed)

    def _update_loop(self) -> None:
        while True:
            if self.view.targets_loaded and self._has_limits():
                self._update()
                self.view.changed.wait(UPDATE_SECONDS)
            else:
                self.view.changed.wait()

    def _has_limits(self) -> bool:
        config = self.view.config
        return config is not None and any(
            service.cold_per_s > 0.0 for service in config.services.values()
        )

    def _update(self) -> None:
        """Record all listed engines, and count those that are cold."""
        cold_count = 0
        services = set()
        for target in list(self.view.targets.targets.values()):
            if self.limited_service(target.service) is not None:
                cold_count += self.limit(target, target.incarnation) is not None
                services.add(target.service)
        self.engines.known_services |= services
        self.events.metrics.gauge("cold_engines", cold_count)

    def _emit_change(self, incarnation: EngineIncarnation, now: Seconds) -> None:
        change = self.engines.poll_change(incarnation, now)
        if change is None:
            return
        if change.seconds:
            self.events.emit(
                EventKind.ENGINE_COLD,
                target=change.target,
                seconds=round(change.seconds, 2),
                cause=change.cause.value,
            )
        else:
            self.events.emit(EventKind.ENGINE_WARM, target=change.target)
