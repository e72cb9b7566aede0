"""Tells gateways the load of the engine."""

from collections.abc import Iterator

import eventlet
from msgspec import Struct

from ridgecourse.core.engine_load import EngineStatus, UnreadEstimate
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import EngineStart, Seconds, WeightsVersion
from ridgecourse.core.report_rate import (
    NEAR_INTERVAL_SECONDS,
    heartbeat_interval,
    report_interval,
    tells_more,
)
from ridgecourse.loader.gateways import KnownGateways
from ridgecourse.loader.protocol import EngineControl, EngineUnavailable
from ridgecourse.loader.protocol import EngineReport as LocalReport
from ridgecourse.loader.rollout import Rollout
from ridgecourse.net.address import Address, parse_address
from ridgecourse.net.broadcast import Broadcast
from ridgecourse.net.clock import boottime
from ridgecourse.net.datagrams import DatagramSocket
from ridgecourse.net.threads import spawn_loop
from ridgecourse.net.websocket import ChannelClosed, ControlChannel
from ridgecourse.wire.control import EngineReport, GatewaysChanged, Named, Watch

CROWDED_SECONDS = NEAR_INTERVAL_SECONDS
"""Between two looks at an engine whose batch is half full. By ``python -m bench
placement``, 0.05 s in place of 0.1 s raises the credit from 0.65 to 0.71 at 65
requests a second on 6 engines, and changes little where engines are idle."""
BUSY_SECONDS = 0.1
"""The same at one with fewer requests."""
CROWDED_SHARE = 0.5
IDLE_SECONDS = 0.4
UNCHANGED_SECONDS = 0.9
"""Between two reports of a load that does not change: gateways count one as out of date
after 1.5 s."""
GATHER_SECONDS = 0.25
"""Shortest time between two changes that one gateway is told, apart from the list that
it gets first: a start of all brings 39 gateways within a second. A single change is
told at once, for until then two gateways may each take themselves for the hub."""
EARLY_SHARE = 0.9
"""Share of a watcher's interval after which a report is due: looks are as far apart
as the interval and do not come to the millisecond."""


class Watcher(Struct):
    """A gateway that is told the load.

    Attributes:
        address: Where it takes reports.
        near: Whether it stands in the engine's region.
        told_at: When it was told last.
        change: Which change of the load it was told last.
    """

    address: Address
    near: bool
    told_at: float = 0.0
    change: int = -1


class StatusFeed:
    """Looks at the engine and tells those who watch.

    Attributes:
        status: The newest load; None while the engine does not answer.
        gateways: Those that bring weights in.
        watchers: Those that are told the load, one for each connection.
        unread: Of the engine's latest life.
        started: When that started; None if it does not tell.
        number: Of the newest report.
        change: Counts the looks that found another load than gateways reckon with.
        told: The load at the last of them.
        told_at: When that was.
    """

    def __init__(
        self,
        engine: EngineControl,
        rollout: Rollout,
        gateways: KnownGateways,
        reports: DatagramSocket,
    ) -> None:
        self.engine = engine
        self.rollout = rollout
        self.status: EngineStatus | None = None
        self.changed = Broadcast()
        self.gateways = gateways
        self.reports = reports
        self.watchers: list[Watcher] = []
        self.unread = UnreadEstimate()
        self.started: EngineStart | None = None
        self.number = 0
        self.change = 0
        self.told: EngineStatus | None = None
        self.told_at = Seconds(0.0)
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
            status = self.describe(self.engine.report())
        except EngineUnavailable:
            # The rollout logs it; those who watch hear nothing new.
            self.status = None
            return IDLE_SECONDS
        self.status = status
        self._report(status, boottime())
        if status.active + status.queued >= CROWDED_SHARE * self._slots():
            return CROWDED_SECONDS
        return BUSY_SECONDS if status.active or status.busy else IDLE_SECONDS

    def describe(self, report: LocalReport) -> EngineStatus:
        """Return what gateways are told of the engine."""
        held = report.layers
        found = self.rollout.find_model()
        layers = found[0].layers if found else 0
        whole = held is not None and report.serves(held.version, layers)
        return EngineStatus(
            version=held.version if held and whole else WeightsVersion(0),
            busy=report.busy,
            queued=report.queued,
            active=report.active,
            cache_used=report.cache_used,
            cache_total=report.cache_total,
            pace=report.pace,
            link=self._link_share(),
            unread=self._unread(report),
            started=report.started,
        )

    def _slots(self) -> int:
        """Return how many requests the engine runs at once."""
        found = self.rollout.find_model()
        return found[0].slots if found else 1

    def _unread(self, report: LocalReport) -> float:
        found = self.rollout.find_model()
        if found is None:
            return 0.0
        if report.started != self.started:
            # The prompts went with the engine's earlier life.
            self.started, self.unread = report.started, UnreadEstimate()
        requests = report.queued + report.active
        return self.unread.look(found[0], requests, boottime())

    def _link_share(self) -> float:
        """Return the share of its usual rate that the instance's link brings."""
        rate, transfer = self.rollout.context.rate, self.rollout.transfer
        if rate is None or transfer is None or not transfer.peer_fetches():
            return 1.0
        return round(rate.current / rate.limit, 1)

    def _report(self, status: EngineStatus, now: Seconds) -> None:
        """Tell all whose interval is over, and who have been told nothing for long."""
        if tells_more(self.told, self.told_at, status, now):
            self.change += 1
            self.told, self.told_at = status, now
        due = list(self._due(now))
        if not due:
            return
        self.number += 1
        self.reports.send(EngineReport(status, self.number), iter(due))

    def _due(self, now: Seconds) -> Iterator[Address]:
        far = sum(not watcher.near for watcher in self.watchers)
        shortest = {near: report_interval(near, far) for near in (True, False)}
        for watcher in self.watchers:
            # What does not change is told all the same, or it would be out of date.
            known = watcher.change == self.change
            interval = UNCHANGED_SECONDS if known else shortest[watcher.near]
            if now - watcher.told_at >= interval * EARLY_SHARE:
                watcher.told_at, watcher.change = now, self.change
                yield watcher.address

    def tell(self, channel: ControlChannel, watch: Watch) -> None:
        """Tell a gateway the load until it goes away.

        Raises:
            ChannelClosed: It went away, or its address is none.
        """
        try:
            address = parse_address(watch.reports_to)
        except ValueError as error:
            raise ChannelClosed(str(error)) from error
        watcher = Watcher(address, watch.near)
        self.watchers.append(watcher)
        self._count(watch.gateway, +1)
        channel.send(Named(list(self.rollout.view.version_ages())))
        try:
            if watch.hears_gateways:
                self._tell_gateways(channel, heartbeat_interval(watch.near))
            while True:
                self._send_heartbeat(channel)
                eventlet.sleep(heartbeat_interval(watch.near))
        finally:
            self.watchers.remove(watcher)
            self._count(watch.gateway, -1)

    def _tell_gateways(self, channel: ControlChannel, interval: float) -> None:
        """Tell a gateway of the others, and go on with heartbeats meanwhile.

        Each change is told once, not the whole list: with the list, a start of 39
        gateways put 150 MB on the links between regions, and requests waited there.
        """
        told = frozenset(self.gateways.connected)
        channel.send(list_changes(frozenset(), told))
        told_at = beat_at = 0.0
        while True:
            connected = frozenset(self.gateways.connected)
            if connected != told:
                channel.send(list_changes(told, connected))
                told, told_at = connected, boottime()
            if boottime() >= beat_at:
                self._send_heartbeat(channel)
                beat_at = boottime() + interval
            if self.changed.wait(max(0.0, beat_at - boottime())):
                eventlet.sleep(max(0.0, told_at + GATHER_SECONDS - boottime()))

    def _send_heartbeat(self, channel: ControlChannel) -> None:
        if self.status is not None:
            channel.send(EngineReport(self.status))

    def _count(self, gateway: Peer | None, change: int) -> None:
        """Note that a gateway connected or went away."""
        if self.gateways.count(gateway, change):
            self.changed.notify()


def list_changes(before: frozenset[Peer], after: frozenset[Peer]) -> GatewaysChanged:
    """Return how the gateways that watch a loader changed."""
    names = {peer.name for peer in after}
    gone = sorted({peer.name for peer in before} - names)
    came = sorted(after - before, key=lambda peer: peer.name)
    return GatewaysChanged(came, gone)
