"""Tells gateways the load of the engine."""

from collections import Counter
from time import monotonic

import eventlet

from ridgecourse.core.engine_load import EngineStatus
from ridgecourse.core.hubs import Peer
from ridgecourse.loader.protocol import EngineControl, EngineUnavailable
from ridgecourse.loader.rollout import Rollout
from ridgecourse.net.broadcast import Broadcast
from ridgecourse.net.threads import spawn_loop
from ridgecourse.net.websocket import ControlChannel
from ridgecourse.wire.control import EngineReport, Gateways, Watch

CROWDED_SECONDS = 0.05
"""Between two looks at an engine whose batch is half full. By ``python -m bench
placement``, 0.05 s in place of 0.1 s raises the credit from 0.65 to 0.71 at 65
requests a second on 6 engines, and changes little where engines are idle."""
BUSY_SECONDS = 0.1
"""The same at one with fewer requests."""
CROWDED_SHARE = 0.5
IDLE_SECONDS = 0.4
HEARTBEAT_SECONDS = 1.0
"""Between two reports without a change."""
SHORTEST_INTERVAL_SECONDS = 0.05


class StatusFeed:
    """Looks at the engine and tells those who watch.

    Attributes:
        status: The newest load; None while the engine does not answer.
        gateways: Those that bring weights in, with the number of their connections.
        watchers: Connections of gateways that are told.
    """

    def __init__(
        self,
        engine: EngineControl,
        rollout: Rollout,
        gateways: Counter[Peer],
    ) -> None:
        self.engine = engine
        self.rollout = rollout
        self.status: EngineStatus | None = None
        self.changed = Broadcast()
        self.gateways = gateways
        self.watchers = 0
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Begin to look."""
        self.thread = spawn_loop(self._look)

    def close(self) -> None:
        """Stop."""
        if self.thread is not None:
            self.thread.kill()

    def _look(self) -> None:
        while True:
            eventlet.sleep(self._look_once())

    def _look_once(self) -> float:
        """Look if anybody is told; return the seconds until the next look."""
        if not self.watchers:
            return IDLE_SECONDS
        try:
            status = self.rollout.describe(self.engine.report())
        except EngineUnavailable:
            # The rollout logs it; those who watch hear nothing new.
            self.status = None
            return IDLE_SECONDS
        if status != self.status:
            self.status = status
            self.changed.notify()
        if status.active + status.queued >= CROWDED_SHARE * self.rollout.slots():
            return CROWDED_SECONDS
        return BUSY_SECONDS if status.active or status.busy else IDLE_SECONDS

    def tell(self, channel: ControlChannel, watch: Watch) -> None:
        """Tell a gateway the load until it goes away.

        Raises:
            ChannelClosed: It went away.
        """
        interval = max(SHORTEST_INTERVAL_SECONDS, watch.interval)
        self._count(watch.gateway, +1)
        told: list[Peer] = []
        try:
            while True:
                sent = monotonic()
                if told != list(self.gateways):
                    told = list(self.gateways)
                    channel.send(Gateways(told))
                if self.status is not None:
                    channel.send(EngineReport(self.status))
                self.changed.wait(HEARTBEAT_SECONDS)
                eventlet.sleep(max(0.0, sent + interval - monotonic()))
        finally:
            self._count(watch.gateway, -1)

    def _count(self, gateway: Peer | None, change: int) -> None:
        """Note that a gateway connected or went away."""
        self.watchers += change
        if gateway is None:
            return
        before = len(self.gateways)
        self.gateways[gateway] += change
        if self.gateways[gateway] <= 0:
            del self.gateways[gateway]
        if len(self.gateways) != before:
            self.rollout.note_gateways()
        self.changed.notify()
