"""Follow the engines' loads as reported by the loaders beside the engines."""

import logging
from contextlib import closing
from random import random
from typing import Any

import eventlet

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.engine_load import EngineLoad, EngineStatus
from ridgecourse.core.ids import Seconds
from ridgecourse.core.known_loads import KnownLoads
from ridgecourse.core.report_rate import silence_limit
from ridgecourse.core.site import Site
from ridgecourse.core.target_list import ListedTarget
from ridgecourse.gateway.announcement_watch import AnnouncementWatch
from ridgecourse.gateway.hub import Hub
from ridgecourse.gateway.load_distributor import LoadDistributor
from ridgecourse.gateway.load_requests import LoadRequests
from ridgecourse.net.address import Address
from ridgecourse.net.clock import boottime
from ridgecourse.net.datagrams import Datagram, DatagramSocket
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.threads import kill_threads, spawn_loop
from ridgecourse.net.websocket import ChannelClosed, ControlChannel, open_channel
from ridgecourse.wire.control import (
    WATCH_PROTOCOL,
    DistributableReport,
    DistributionMessage,
    EngineReport,
    LoadBatch,
    LoaderReport,
    VersionAges,
    Watch,
)

logger = logging.getLogger(__name__)

RECONNECT_SECONDS = 0.7


class LoadWatcher:
    """Keeps a connection to the loader beside each listed engine.

    Attributes:
        site: The settings in force.
        hub: Records the gateways that loaders report.
        view: Configuration and listed targets.
        announcements: Tracks what engines announce of themselves.
        events: Receives events.
        loads: Known load of each engine.
        offers_weights: Whether loaders are to fetch weights from this gateway.
        engines: The followed engines, by the host of their loader.
        report_socket: Receives the loaders' reports as datagrams.
        distributor: Passes loads on while this gateway is a distributor.
        requests: Asks loaders for direct reports while distributors fail.
        threads: Threads that update followers and receive datagrams.
        followers: Thread that follows each engine, by the engine's address.
    """

    def __init__(
        self,
        site: Site,
        view: ClusterView,
        hub: Hub,
        announcements: AnnouncementWatch,
        events: EventStream,
    ) -> None:
        self.site = site
        self.hub = hub
        self.view = view
        self.announcements = announcements
        self.events = events
        self.loads = KnownLoads()
        self.offers_weights = True
        self.engines: dict[str, ListedTarget] = {}
        control_port = site.peer_ports[0]
        self.report_socket = DatagramSocket(Address(site.host, control_port))
        self.distributor = LoadDistributor(
            hub.local, hub.known_gateways, self.report_socket, events
        )
        self.requests = LoadRequests(
            lambda: self.engines,
            lambda target: self.load(target).reported_at,
            hub.count_gateways,
            self.report_socket,
            control_port,
            events,
        )
        self.threads: list[eventlet.greenthread.GreenThread] = []
        self.followers: dict[str, eventlet.greenthread.GreenThread] = {}

    def start(self) -> None:
        """Start to follow the listed engines."""
        self.report_socket.start()
        self.threads.append(spawn_loop(self._update_followers))
        self.threads.append(spawn_loop(self._receive_datagrams))
        self.distributor.start()
        self.requests.start()

    def close(self) -> None:
        """Stop following engines."""
        self.distributor.close()
        self.requests.close()
        kill_threads([*self.threads, *self.followers.values()])
        self.report_socket.close()

    def withdraw(self) -> None:
        """Direct the loaders to fetch weights from the next gateway in rank."""
        self.offers_weights = False
        self.distributor.close()
        followers, self.followers = self.followers, {}
        kill_threads(followers.values())
        self.view.changed.notify()

    def load(self, target: ListedTarget) -> EngineLoad:
        """Return the known load of an engine's latest incarnation."""
        return self.loads.value_of(target.incarnation)

    def incarnation(self, target: ListedTarget) -> EngineIncarnation:
        """Return an engine's latest incarnation, by the list and its reports."""
        return self.loads.latest(target.incarnation)

    def _update_followers(self) -> None:
        while True:
            listed = self.view.targets.targets
            self.loads.forget_unlisted(listed)
            # Of two targets at one address, the one that started later is running.
            by_start_time = sorted(
                listed.values(), key=lambda target: target.started or 0
            )
            engines = {
                target.address: target
                for target in by_start_time
                if self._is_engine(target)
            }
            self.engines = {target.host: target for target in engines.values()}
            for address in [
                address for address in self.followers if address not in engines
            ]:
                self.followers.pop(address).kill()
            for address, target in engines.items():
                if address not in self.followers:
                    self.followers[address] = spawn_loop(self._follow, target)
            self.view.changed.wait()

    def _receive_datagrams(self) -> None:
        """Apply each load that arrives in a datagram, unless it is outdated."""
        datagrams = self.report_socket.messages(EngineReport, DistributionMessage)
        for datagram in datagrams:
            if isinstance(datagram.message, LoadBatch):
                self._apply_batch(datagram, boottime())
                continue
            target = self.engines.get(datagram.host)
            if target is not None:
                self._apply_datagram(target, datagram)

    def _apply_datagram(self, target: ListedTarget, datagram: Datagram) -> None:
        """Apply a loader's report, and pass it on if the loader expects that."""
        report = datagram.message
        self.events.metrics.count("loads_direct")
        reported_at = Seconds(boottime() - datagram.waited)
        if isinstance(report, DistributableReport):
            self.distributor.record_report(target, report, reported_at)
            self.requests.record_arrival(target.target, reported_at)
        elif not self.requests.is_distributed:
            self._apply_report(target, report)
            return
        self._apply_distributed(target, report.status, report.number, reported_at)

    def _apply_batch(self, datagram: Datagram, now: Seconds) -> None:
        """Apply the loads that a distributor sent, and pass them on if needed."""
        batch: LoadBatch = datagram.message
        received_at = Seconds(now - datagram.waited)
        self.distributor.record_batch(datagram.host, batch, received_at)
        self.events.metrics.count("loads_distributed", len(batch.loads))
        listed = self.view.targets.targets
        for load in batch.loads:
            target = listed.get(load.target)
            if target is not None:
                reported_at = load.reported_at(received_at)
                self.requests.record_arrival(load.target, reported_at)
                self._apply_distributed(target, load.status, load.number, reported_at)

    def _is_engine(self, target: ListedTarget) -> bool:
        config = self.view.config
        service = config.services.get(target.service) if config else None
        return service is not None and service.engine is not None

    def _follow(self, target: ListedTarget) -> None:
        """Receive the reports on one engine; reconnect when the connection ends."""
        port = self.site.peer_ports[0]
        while True:
            try:
                self._receive_reports(target, f"{target.host}:{port}")
            except ChannelClosed as error:
                logger.debug(
                    "lost the report connection for %s: %s", target.target, error
                )
            finally:
                self.hub.forget_loader(target.address)
            eventlet.sleep(RECONNECT_SECONDS * (0.5 + random()))

    def _receive_reports(self, target: ListedTarget, control_address: str) -> None:
        # Each wait for a message is limited below, so that pings would detect nothing
        # earlier.
        channel = open_channel(control_address, "", self.site.host, keepalive=False)
        with closing(channel):
            # Another incarnation of the loader numbers its reports from the start.
            self.load(target).sequence_number = 0
            requested_at = boottime()
            channel.send(
                Watch(
                    WATCH_PROTOCOL,
                    self.site.process,
                    self._is_same_region(target),
                    self.hub.local if self.offers_weights else None,
                    str(self.report_socket.address),
                    hears_gateways=self._needs_gateways(target),
                )
            )
            while True:
                report = self._receive_message(channel, target)
                if isinstance(report, EngineReport):
                    self._apply_report(self.engines.get(target.host, target), report)
                elif isinstance(report, VersionAges):
                    self.view.apply_version_ages(report.versions, requested_at)
                    self.hub.record_gateways(target.address, ())
                else:
                    self.hub.record_gateways(target.address, report.came, report.gone)

    def _receive_message(self, channel: ControlChannel, target: ListedTarget) -> Any:
        """Return the next message of a loader.

        Where loads arrive through distributors, heartbeats are rare also within the
        region. A loader whose loads arrive is not silent there.

        Raises:
            ChannelClosed: The connection has ended, or the loader is silent.
        """
        limit = silence_limit(self._is_same_region(target))
        silent_at = boottime() + limit
        closed_at = boottime() + silence_limit(near=False)
        while (now := boottime()) < silent_at:
            message = channel.receive(LoaderReport, silent_at - now)
            if message is not None:
                return message
            if self.requests.is_distributed:
                heard_until = self.load(target).reported_at + limit
                silent_at = Seconds(min(closed_at, max(silent_at, heard_until)))
        raise ChannelClosed("silent")

    def _apply_report(self, target: ListedTarget, report: EngineReport) -> None:
        """Apply a report that came from the loader itself."""
        status, now = report.status, boottime()
        incarnation = EngineIncarnation(target.target, status.started)
        if status.leaving:
            self.announcements.record_leaving(incarnation, "report")
        self.announcements.record_cold(incarnation, status.cold)
        previous = self.loads.value_of(incarnation).status
        if self.loads.record_report(incarnation, status, now, report.number):
            self._report_weights(target, previous, status)

    def _apply_distributed(
        self,
        target: ListedTarget,
        status: EngineStatus,
        number: int,
        reported_at: Seconds,
    ) -> None:
        """Apply a load whose age is known, where loads are distributed."""
        incarnation = EngineIncarnation(target.target, status.started)
        if status.leaving:
            self.announcements.record_leaving(incarnation, "report")
        now = boottime()
        if status.cold is not None:
            aged = status.cold.with_added_age(now - reported_at)
            self.announcements.record_cold(incarnation, aged)
        previous = self.loads.value_of(incarnation).status
        if self.loads.record_distributed(incarnation, status, reported_at, now, number):
            self._report_weights(target, previous, status)

    def _report_weights(
        self, target: ListedTarget, previous: EngineStatus | None, status: EngineStatus
    ) -> None:
        """Emit an event if an engine's version or state has changed."""
        if previous is None or (previous.version, previous.busy) != (
            status.version,
            status.busy,
        ):
            self.events.emit(
                EventKind.TARGET_WEIGHTS,
                target=target.target,
                version=str(status.version),
                busy=status.busy,
                queued=status.queued,
                active=status.active,
            )

    def _needs_gateways(self, target: ListedTarget) -> bool:
        """Return whether a loader is to report which gateways exist.

        All loaders know the same gateways. Loaders of the own failure domain report
        them without using the links between regions. If the domain has no loader, the
        others report them.
        """
        domains = {engine.domain for engine in self.engines.values()}
        own_domain = self.site.domain
        return target.domain == own_domain or own_domain not in domains

    def _is_same_region(self, target: ListedTarget) -> bool:
        """Return whether a target is in the own region."""
        return self.site.region(target.domain) == self.site.region(self.site.domain)
