"""Feed of the engine's load to gateways.

Polls the engine while gateways watch the loader, reports load changes to them by
datagram, and announces to each gateway which other gateways watch the loader.
"""

from collections.abc import Iterator

import eventlet

from ridgecourse.core.engine_load import EngineStatus, PrefillBacklogEstimate
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import EngineStart, Seconds, WeightsVersion
from ridgecourse.core.report_rate import (
    FAR_HEARTBEAT_SECONDS,
    NEAR_INTERVAL_SECONDS,
    differs_from_reported,
    heartbeat_interval,
    report_interval,
)
from ridgecourse.loader.cold_feed import ColdFeed
from ridgecourse.loader.engine_control import EngineControl, EngineUnavailable
from ridgecourse.loader.engine_control import EngineReport as LocalReport
from ridgecourse.loader.known_gateways import KnownGateways
from ridgecourse.loader.report_receivers import DistributorReceivers, Receiver
from ridgecourse.loader.rollout import Rollout
from ridgecourse.net.address import Address, parse_address
from ridgecourse.net.clock import boottime
from ridgecourse.net.datagrams import DatagramSocket
from ridgecourse.net.threads import Broadcast, kill_threads, spawn_loop
from ridgecourse.net.websocket import ChannelClosed, ControlChannel
from ridgecourse.wire.control import (
    WATCH_PROTOCOL,
    DirectReportRequest,
    DistributableReport,
    EngineReport,
    GatewaysChanged,
    VersionAges,
    Watch,
)

CROWDED_POLL_SECONDS = NEAR_INTERVAL_SECONDS
"""Poll interval of an engine whose batch is at least half full, in seconds.
In ``python -m bench placement``, 0.05 s instead of 0.1 s raises the credit from 0.65 to
0.71 at 65 requests a second on 6 engines, and changes little if engines are idle."""
BUSY_POLL_SECONDS = 0.1
"""Poll interval of an engine with fewer requests, in seconds."""
CROWDED_SHARE = 0.5
"""Share of batch slots in use from which the engine is polled more often."""
IDLE_POLL_SECONDS = 0.4
"""Poll interval of an idle or unavailable engine, in seconds."""
UNCHANGED_REPORT_SECONDS = 0.9
"""Interval of reports of an unchanged load, in seconds: gateways treat a report as out
of date after 1.5 s."""
CHANGE_INTERVAL_SECONDS = 0.25
"""Minimum interval, in seconds, between changes of the gateway list that are announced
to one gateway after the initial list: when all processes start, 39 gateways connect
within 1 s. A single change is announced at once, because until then two gateways may
each act as the hub."""
NUMBERS_PER_SECOND = 100
"""Factor between the clock and the number of the first report. It is above the rate of
reports, so that a restarted loader continues with higher numbers."""


class Watcher(Receiver):
    """A gateway that watches the loader.

    Attributes:
        gateway: The gateway, if it can distribute loads; None if it is about to stop or
            of an earlier release. Such a gateway always receives reports directly.
    """

    gateway: Peer | None = None


class StatusFeed:
    """Polls the engine and reports its load to watching gateways.

    Attributes:
        status: Newest load; None while the engine does not answer.
        changed: Notified when a gateway connects or disconnects.
        gateways: Gateways that fetch weights into the domain.
        cold: Tracks for how long the engine stays cold; None for never.
        watchers: Watching gateways, one for each connection.
        receivers: The distributors and other gateways that reports are sent to while
            many gateways watch.
        unread: Estimate of unread prompts in the engine's latest incarnation.
        started: Start time of that incarnation; None if the engine does not report it.
        number: Sequence number of the newest report.
        change: Number of polls whose load differed from the gateways' estimate.
        announced: Load at the last of these polls.
        announced_at: When the last of these polls took place.
    """

    def __init__(
        self,
        engine: EngineControl,
        rollout: Rollout,
        gateways: KnownGateways,
        reports: DatagramSocket,
        cold: ColdFeed | None = None,
    ) -> None:
        self.engine = engine
        self.rollout = rollout
        self.status: EngineStatus | None = None
        self.changed = Broadcast()
        self.gateways = gateways
        self.reports = reports
        self.cold = cold
        self.watchers: list[Watcher] = []
        self.receivers = DistributorReceivers()
        self.unread = PrefillBacklogEstimate()
        self.started: EngineStart | None = None
        self.number = int(boottime() * NUMBERS_PER_SECOND)
        self.change = 0
        self.announced: EngineStatus | None = None
        self.announced_at = Seconds(0.0)
        self.threads: list[eventlet.greenthread.GreenThread] = []

    def start(self) -> None:
        """Start to poll the engine and to receive requests for direct reports."""
        self.threads.append(spawn_loop(self._poll_loop))
        self.threads.append(spawn_loop(self._receive_requests))

    def close(self) -> None:
        """Stop all threads."""
        kill_threads(self.threads)

    def _poll_loop(self) -> None:
        while True:
            eventlet.sleep(self._poll())

    def _poll(self) -> float:
        """Poll the engine if a gateway watches; return the seconds to the next poll."""
        if not self.watchers:
            return IDLE_POLL_SECONDS
        try:
            status = self.describe(self.engine.report())
        except EngineUnavailable:
            # The rollout logs the error; watchers receive no new load.
            self.status = None
            if self.cold is not None:
                self.cold.reset()
            return IDLE_POLL_SECONDS
        self.status = status
        self._send_reports(status, boottime())
        if status.active + status.queued >= CROWDED_SHARE * self._engine_slots():
            return CROWDED_POLL_SECONDS
        return BUSY_POLL_SECONDS if status.active or status.busy else IDLE_POLL_SECONDS

    def describe(self, report: LocalReport) -> EngineStatus:
        """Return the load of the engine as reported to gateways."""
        held_layers = report.layers
        configured = self.rollout.find_model()
        layers = configured[0].layers if configured else 0
        is_complete = held_layers is not None and report.serves(
            held_layers.version, layers
        )
        return EngineStatus(
            version=held_layers.version
            if held_layers and is_complete
            else WeightsVersion(0),
            busy=report.busy,
            queued=report.queued,
            active=report.active,
            cache_used=report.cache_used,
            cache_total=report.cache_total,
            slowdown=report.pace,
            link_share=self._link_share(),
            prefill_backlog=self._estimate_unread(report),
            started=report.started,
            leaving=report.leaving,
            cold=self.cold.statement(report.started) if self.cold else None,
        )

    def _engine_slots(self) -> int:
        """Return the number of requests that the engine runs concurrently."""
        configured = self.rollout.find_model()
        return configured[0].slots if configured else 1

    def _estimate_unread(self, report: LocalReport) -> float:
        """Return the estimate of unread prompts; 0 if the model is unknown."""
        configured = self.rollout.find_model()
        if configured is None:
            return 0.0
        if report.started != self.started:
            # The prompts were lost with the earlier incarnation of the engine.
            self.started, self.unread = report.started, PrefillBacklogEstimate()
        requests = report.queued + report.active
        return self.unread.update(configured[0], requests, boottime())

    def _link_share(self) -> float:
        """Return the instance's link rate as a share of its usual rate.

        The share is 1 if no transfer is fetching from peers.
        """
        rate, transfer = self.rollout.context.rate, self.rollout.transfer
        if rate is None or transfer is None or not transfer.peer_fetches():
            return 1.0
        return round(rate.current / rate.limit, 1)

    def _send_reports(self, status: EngineStatus, now: Seconds) -> None:
        """Send the load to every watcher whose report is due."""
        if differs_from_reported(self.announced, self.announced_at, status, now):
            self.change += 1
            self.announced, self.announced_at = status, now
        direct = [
            *self._due_watchers(now),
            *self.receivers.due_requesters(self.change, now),
        ]
        distributors = list(self.receivers.due_distributors(self.change, now))
        if not direct and not distributors:
            return
        self.number += 1
        if direct:
            self.reports.send(EngineReport(status, self.number), iter(direct))
        if distributors:
            report = DistributableReport(status, self.number)
            self.reports.send(report, iter(distributors))

    def _due_watchers(self, now: Seconds) -> Iterator[Address]:
        """Yield the addresses of watchers whose report is due; record the reports."""
        watchers = self.watchers
        if self.receivers.is_active():
            watchers = [watcher for watcher in watchers if watcher.gateway is None]
        far_watchers = sum(not watcher.near for watcher in watchers)
        intervals = {
            near: report_interval(near, far_watchers) for near in (True, False)
        }
        for watcher in watchers:
            # An unchanged load is reported as well, so that it does not become out of
            # date.
            interval = intervals[watcher.near]
            if watcher.take_due(self.change, interval, UNCHANGED_REPORT_SECONDS, now):
                yield watcher.address

    def _choose_distributors(self) -> None:
        """Choose the receivers of reports after a gateway connected or disconnected."""
        gateways = {watcher.gateway for watcher in self.watchers if watcher.gateway}
        watching = len({watcher.address for watcher in self.watchers})
        self.receivers.choose(self.rollout.site.domain, gateways, watching)

    def _receive_requests(self) -> None:
        """Record the gateways that ask for direct reports."""
        for datagram in self.reports.messages(None, packed=DirectReportRequest):
            try:
                address = parse_address(datagram.message.reports_to)
            except ValueError:
                self.reports.rejected += 1
                continue
            near = any(
                watcher.near for watcher in self.watchers if watcher.address == address
            )
            self.receivers.add_requester(address, near, boottime())

    def serve_watcher(self, channel: ControlChannel, watch: Watch) -> None:
        """Serve a watching gateway until it disconnects.

        Args:
            channel: Control connection of the gateway.
            watch: First message of the gateway.

        Raises:
            ChannelClosed: The gateway disconnected, or its report address is invalid.
        """
        try:
            address = parse_address(watch.reports_to)
        except ValueError as error:
            raise ChannelClosed(str(error)) from error
        distributes = watch.protocol >= WATCH_PROTOCOL
        gateway = watch.gateway if distributes else None
        watcher = Watcher(address, watch.near, gateway=gateway)
        self.watchers.append(watcher)
        self._choose_distributors()
        self._record_connection(watch.gateway, +1)
        channel.send(VersionAges(list(self.rollout.view.version_ages())))
        try:
            if watch.hears_gateways:
                self._announce_gateways(channel, watcher)
            while True:
                self._send_heartbeat(channel)
                self._wait_for_heartbeat(watcher)
        finally:
            self.watchers.remove(watcher)
            self._choose_distributors()
            self._record_connection(watch.gateway, -1)

    def _wait_for_heartbeat(self, watcher: Watcher) -> None:
        """Wait until the next heartbeat, whose time changes if gateways come or go."""
        sent_at = boottime()
        while (
            remaining := sent_at + self._heartbeat_interval(watcher) - boottime()
        ) > 0.0:
            self.changed.wait(remaining)

    def _heartbeat_interval(self, watcher: Watcher) -> float:
        """Return the seconds between two heartbeats to a watcher.

        A gateway that receives loads through distributors notices from their absence
        that the loader has ended.
        """
        if self.receivers.is_active() and watcher.gateway is not None:
            return FAR_HEARTBEAT_SECONDS
        return heartbeat_interval(watcher.near)

    def _announce_gateways(self, channel: ControlChannel, watcher: Watcher) -> None:
        """Announce the connected gateways to a gateway, and send heartbeats.

        Changes are announced instead of the whole list: with the whole list, a start of
        39 gateways sent 150 MB over the links between regions, and delayed requests
        there.
        """
        announced = frozenset(self.gateways.connected)
        channel.send(list_changes(frozenset(), announced))
        announced_at = sent_at = 0.0
        while True:
            connected = frozenset(self.gateways.connected)
            if connected != announced:
                channel.send(list_changes(announced, connected))
                announced, announced_at = connected, boottime()
            heartbeat_at = sent_at + self._heartbeat_interval(watcher)
            if boottime() >= heartbeat_at:
                self._send_heartbeat(channel)
                sent_at = boottime()
                heartbeat_at = sent_at + self._heartbeat_interval(watcher)
            if self.changed.wait(max(0.0, heartbeat_at - boottime())):
                eventlet.sleep(
                    max(0.0, announced_at + CHANGE_INTERVAL_SECONDS - boottime())
                )

    def _send_heartbeat(self, channel: ControlChannel) -> None:
        """Send the newest load, if there is one."""
        if self.status is not None:
            channel.send(EngineReport(self.status))

    def _record_connection(self, gateway: Peer | None, change: int) -> None:
        """Record an opened or closed connection; notify if the gateways changed."""
        if self.gateways.record_connection(gateway, change):
            self.changed.notify()


def list_changes(before: frozenset[Peer], after: frozenset[Peer]) -> GatewaysChanged:
    """Return the difference between two sets of gateways that watch a loader."""
    names = {peer.name for peer in after}
    removed = sorted({peer.name for peer in before} - names)
    added = sorted(after - before, key=lambda peer: peer.name)
    return GatewaysChanged(added, removed)
