"""Asks loaders to report directly when distributed loads do not arrive."""

from collections.abc import Callable, Mapping

import eventlet

from ridgecourse.core.ids import Seconds, TargetId
from ridgecourse.core.load_distribution import DIRECT_WATCHERS
from ridgecourse.core.load_requests import LoadArrivals
from ridgecourse.core.target_list import ListedTarget
from ridgecourse.net.address import Address
from ridgecourse.net.clock import boottime
from ridgecourse.net.datagrams import DatagramSocket
from ridgecourse.net.events import EventStream
from ridgecourse.net.threads import spawn_loop
from ridgecourse.wire.control import DirectReportRequest

CHECK_SECONDS = 0.2
"""Interval between two checks of all engines."""


class LoadRequests:
    """Sends requests for direct reports to loaders.

    Attributes:
        engines: Returns the followed engines by the host of their loader.
        reported_at: Returns when the newest load of an engine was reported.
        count_gateways: Returns the number of gateways.
        socket: Socket on which reports are received and requests are sent.
        port: Port at which loaders receive datagrams.
        events: Receives metrics.
        arrivals: When distributed loads arrived.
        is_distributed: Whether there were enough gateways at the last check for loads
            to be distributed.
        thread: Thread that sends requests.
    """

    def __init__(
        self,
        engines: Callable[[], Mapping[str, ListedTarget]],
        reported_at: Callable[[ListedTarget], Seconds],
        count_gateways: Callable[[], int],
        socket: DatagramSocket,
        port: int,
        events: EventStream,
    ) -> None:
        self.engines = engines
        self.reported_at = reported_at
        self.count_gateways = count_gateways
        self.socket = socket
        self.port = port
        self.events = events
        self.arrivals = LoadArrivals()
        self.is_distributed = False
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start to check for loads that do not arrive."""
        self.thread = spawn_loop(self._run)

    def close(self) -> None:
        """Stop the thread."""
        if self.thread is not None:
            self.thread.kill()

    def record_arrival(self, target: TargetId, reported_at: Seconds) -> None:
        """Record a distributed load; see ``LoadArrivals``."""
        self.arrivals.record_arrival(target, reported_at)

    def _run(self) -> None:
        while True:
            eventlet.sleep(CHECK_SECONDS)
            self.check(boottime())

    def check(self, now: Seconds) -> None:
        """Ask the loaders whose distributed loads do not arrive."""
        self.is_distributed = self.count_gateways() > DIRECT_WATCHERS
        if not self.is_distributed:
            return
        engines = {target.target: target for target in self.engines().values()}
        self.arrivals.forget_unlisted(engines)
        reported_at = {
            target: self.reported_at(engine) for target, engine in engines.items()
        }
        request = DirectReportRequest(str(self.socket.address))
        for target in self.arrivals.take_due(reported_at, now):
            self.events.metrics.count("load_requests")
            self.socket.send(request, iter([Address(engines[target].host, self.port)]))
