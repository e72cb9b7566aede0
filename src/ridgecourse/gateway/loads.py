"""Follows the engines' loads, as the loaders beside them tell."""

import logging
from contextlib import closing
from random import random

import eventlet

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.engine_life import EngineLife
from ridgecourse.core.engine_load import EngineLoad
from ridgecourse.core.known_loads import KnownLoads
from ridgecourse.core.report_rate import silence_limit
from ridgecourse.core.site import Site
from ridgecourse.core.targets import ListedTarget
from ridgecourse.gateway.hub import Hub
from ridgecourse.net.address import Address
from ridgecourse.net.clock import boottime
from ridgecourse.net.datagrams import DatagramSocket
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.threads import spawn_loop
from ridgecourse.net.websocket import ChannelClosed, open_channel
from ridgecourse.wire.control import (
    PROTOCOL_VERSION,
    EngineReport,
    LoaderReport,
    Named,
    Watch,
)

logger = logging.getLogger(__name__)

RECONNECT_SECONDS = 0.7


class LoadWatcher:
    """Keeps a connection to the loader beside each listed engine.

    Attributes:
        loads: What is known of each engine's load.
        brings_weights: Whether loaders are told to take weights from here.
        engines: The followed engines, by the host of their loader.
        reports: Takes the loaders' reports.
    """

    def __init__(
        self, site: Site, view: ClusterView, hub: Hub, events: EventStream
    ) -> None:
        self.site = site
        self.hub = hub
        self.view = view
        self.events = events
        self.loads = KnownLoads()
        self.brings_weights = True
        self.engines: dict[str, ListedTarget] = {}
        control_port = site.peer_ports[0]
        self.reports = DatagramSocket(Address(site.host, control_port))
        self.threads: list[eventlet.greenthread.GreenThread] = []
        self.followers: dict[str, eventlet.greenthread.GreenThread] = {}

    def start(self) -> None:
        """Begin to follow."""
        self.reports.start()
        self.threads.append(spawn_loop(self._keep_followers))
        self.threads.append(spawn_loop(self._take_datagrams))

    def close(self) -> None:
        """Stop following."""
        for thread in [*self.threads, *self.followers.values()]:
            thread.kill()
        self.reports.close()

    def withdraw(self) -> None:
        """Tell the loaders to take weights from the next gateway in line."""
        self.brings_weights = False
        followers, self.followers = self.followers, {}
        for follower in followers.values():
            follower.kill()
        self.view.changed.notify()

    def load(self, target: ListedTarget) -> EngineLoad:
        """Return what is known of the load of an engine's latest life."""
        return self.loads.of(target.life)

    def life(self, target: ListedTarget) -> EngineLife:
        """Return the latest life of an engine, by the list and by its reports."""
        return self.loads.latest(target.life)

    def _keep_followers(self) -> None:
        while True:
            listed = self.view.targets.targets
            self.loads.forget_unlisted(listed)
            # Of two at one address the later one is there.
            by_start = sorted(listed.values(), key=lambda target: target.started or 0)
            engines = {
                target.address: target for target in by_start if self._is_engine(target)
            }
            self.engines = {target.host: target for target in engines.values()}
            for address in [a for a in self.followers if a not in engines]:
                self.followers.pop(address).kill()
            for address, target in engines.items():
                if address not in self.followers:
                    self.followers[address] = spawn_loop(self._follow, target)
            self.view.changed.wait()

    def _take_datagrams(self) -> None:
        """Take in reports, each newer than the one before."""
        for host, report in self.reports.messages(EngineReport):
            target = self.engines.get(host)
            if target is not None:
                self._take(target, report)

    def _is_engine(self, target: ListedTarget) -> bool:
        config = self.view.config
        service = config.services.get(target.service) if config else None
        return service is not None and service.engine is not None

    def _follow(self, target: ListedTarget) -> None:
        """Take in one engine's reports, over one connection after another."""
        port = self.site.peer_ports[0]
        while True:
            try:
                self._take_reports(target, f"{target.host}:{port}")
            except ChannelClosed as error:
                logger.debug("no reports of %s: %s", target.target, error)
            finally:
                self.hub.forget(target.address)
            eventlet.sleep(RECONNECT_SECONDS * (0.5 + random()))

    def _take_reports(self, target: ListedTarget, control_address: str) -> None:
        limit = silence_limit(self._is_near(target))
        channel = open_channel(control_address, "", self.site.host)
        with closing(channel):
            # Another life of the loader numbers its reports anew.
            self.load(target).number = 0
            asked_at = boottime()
            channel.send(
                Watch(
                    PROTOCOL_VERSION,
                    self.site.process,
                    self._is_near(target),
                    self.hub.place if self.brings_weights else None,
                    str(self.reports.address),
                    hears_gateways=self._tells_gateways(target),
                )
            )
            while True:
                report = channel.receive(LoaderReport, limit)
                if report is None:
                    raise ChannelClosed("silent")
                if isinstance(report, EngineReport):
                    self._take(self.engines.get(target.host, target), report)
                elif isinstance(report, Named):
                    self.view.date_versions(report.versions, asked_at)
                    self.hub.learn(target.address, ())
                else:
                    self.hub.learn(target.address, report.came, report.gone)

    def _take(self, target: ListedTarget, report: EngineReport) -> None:
        status, now = report.status, boottime()
        life = EngineLife(target.target, status.started)
        before = self.loads.of(life).status
        if not self.loads.report(life, status, now, report.number):
            return
        if before is None or (before.version, before.busy) != (
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

    def _tells_gateways(self, target: ListedTarget) -> bool:
        """Tell whether a loader is to tell which gateways there are.

        All loaders know the same ones. Those of the own domain tell it without the
        links between regions; where there is none, the others have to.
        """
        domains = {engine.domain for engine in self.engines.values()}
        own = self.site.domain
        return target.domain == own or own not in domains

    def _is_near(self, target: ListedTarget) -> bool:
        """Tell whether a target stands in the own region."""
        return self.site.region(target.domain) == self.site.region(self.site.domain)
