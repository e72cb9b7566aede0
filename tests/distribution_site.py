"""Gateways and loaders that exchange loads over a simulated network, for tests.

The real components run on a simulated clock; channels are not simulated.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest

from ridgecourse.core.engine_load import EngineLoad, EngineStatus
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import (
    DomainName,
    EngineStart,
    Seconds,
    ServiceName,
    TargetId,
    TargetName,
    WeightsVersion,
)
from ridgecourse.core.target_list import ListedTarget
from ridgecourse.gateway import load_distributor, load_requests, load_watcher
from ridgecourse.gateway.load_watcher import LoadWatcher
from ridgecourse.loader import status as loader_status
from ridgecourse.loader.status import StatusFeed, Watcher
from ridgecourse.net.address import Address
from ridgecourse.net.datagrams import Datagram
from ridgecourse.wire.codec import encode_message, encode_packed
from ridgecourse.wire.control import LoadBatch, PackedMessage

PORT = 7000
STEP_SECONDS = 0.01
POLL_STEPS = 5
TICK_STEPS = 5
CHECK_STEPS = 20
READ_STEPS = 2
"""Steps between two polls of an engine, runs of a distributor, checks for missing loads
and reads of datagrams."""
LATENCY_SECONDS = 0.001


class SimulatedNetwork:
    """Delivers datagrams on a simulated clock.

    Attributes:
        now: Current time.
        queues: Datagrams in the socket of each host: arrival, sender and message.
        is_cut: Whether datagrams from one host to another are lost.
        loss: Share of the datagrams that are lost.
        received: Number of datagrams that arrived at each host.
        sizes: Sizes of all datagrams in bytes.
    """

    def __init__(self) -> None:
        self.now = 1000.0
        self.queues: dict[str, list[tuple[float, str, Any]]] = defaultdict(list)
        self.is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.loss = 0.0
        self.random = Random(1)
        self.received: Counter[str] = Counter()
        self.sizes: Counter[int] = Counter()

    def make_socket(self, host: str) -> Any:
        """Return a socket of a host."""

        def send(message: Any, addresses: Iterable[Address]) -> None:
            packed = isinstance(message, PackedMessage)
            encode = encode_packed if packed else encode_message
            for address in addresses:
                self.sizes[len(encode(message))] += 1
                self.send(host, address.host, message)

        return SimpleNamespace(address=Address(host, PORT), send=send, rejected=0)

    def send(self, sender: str, receiver: str, message: Any) -> None:
        """Send a datagram, which may get lost."""
        if self.random.random() < self.loss or self.is_cut(sender, receiver):
            return
        self.received[receiver] += 1
        arrival = self.now + LATENCY_SECONDS
        self.queues[receiver].append((arrival, sender, message))

    def take(self, host: str, delay: float = 0.0) -> Iterator[Datagram]:
        """Yield the datagrams that a host can read.

        Args:
            host: The host.
            delay: Seconds that each datagram waits in the socket of the host.
        """
        queue = self.queues[host]
        while queue and queue[0][0] + delay <= self.now:
            arrival, sender, message = queue.pop(0)
            yield Datagram(sender, message, self.now - arrival)


class SimulatedGateway:
    """A gateway's load watcher.

    Attributes:
        peer: The gateway as a peer.
        known: The other gateways that it knows.
        delay: Seconds that datagrams wait before the gateway reads them.
        is_stopped: Whether the gateway does nothing, killed or frozen.
    """

    def __init__(
        self, peer: Peer, network: SimulatedNetwork, engines: list[ListedTarget]
    ) -> None:
        self.peer = peer
        self.host = str(peer.name)
        self.known: list[Peer] = []
        self.delay = 0.0
        self.is_stopped = False
        self.network = network
        hub: Any = SimpleNamespace(
            local=peer,
            known_gateways=lambda: self.known,
            count_gateways=lambda: len(self.known) + 1,
        )
        view = Mock()
        view.targets.targets = {engine.target: engine for engine in engines}
        site = Mock(host=self.host, peer_ports=(PORT, PORT + 9))
        self.counts: Counter[str] = Counter()
        events = Mock()
        events.metrics.count = self.count
        self.watcher = LoadWatcher(site, view, hub, Mock(), events)
        self.watcher.engines = {engine.host: engine for engine in engines}
        socket = network.make_socket(self.host)
        self.watcher.report_socket = socket
        self.watcher.distributor.socket = socket
        self.watcher.requests.socket = socket

    def count(self, name: str, value: int = 1) -> None:
        self.counts[name] += value

    def read(self) -> None:
        """Read the datagrams that have arrived."""
        for datagram in self.network.take(self.host, self.delay):
            if isinstance(datagram.message, LoadBatch):
                self.watcher._apply_batch(datagram, Seconds(self.network.now))
            elif datagram.host in self.watcher.engines:
                engine = self.watcher.engines[datagram.host]
                self.watcher._apply_datagram(engine, datagram)

    def tick(self) -> None:
        """Run the distributor once, as its thread does."""
        distributor = self.watcher.distributor
        if distributor.is_working(Seconds(self.network.now)):
            distributor._send_due(Seconds(self.network.now))

    def check(self) -> None:
        """Ask for missing loads, as the thread for that does."""
        self.watcher.requests.check(Seconds(self.network.now))

    def load(self, engine: ListedTarget) -> EngineLoad:
        """Return the load of an engine as this gateway knows it."""
        return self.watcher.load(engine)


class SimulatedLoader:
    """A loader's feed and its engine.

    Attributes:
        engine: The engine.
        feed: Reports the load.
        is_changing: Whether the load changes with each poll.
        queued: Number of requests that the engine has.
        reported_at: When each number of requests was reported first and last.
    """

    def __init__(self, engine: ListedTarget, network: SimulatedNetwork) -> None:
        self.engine = engine
        self.network = network
        self.is_changing = True
        self.queued = 0
        self.reported_at: dict[int, tuple[float, float]] = {}
        rollout = Mock()
        rollout.site.domain = engine.domain
        socket = network.make_socket(engine.host)
        self.feed = StatusFeed(Mock(), rollout, Mock(), socket)

    def watch(self, gateways: Iterable[SimulatedGateway]) -> None:
        """Record the gateways that watch this loader."""
        self.feed.watchers = [
            Watcher(
                Address(gateway.host, PORT),
                gateway.peer.domain == self.engine.domain,
                gateway=gateway.peer,
            )
            for gateway in gateways
        ]
        self.feed._choose_distributors()

    def poll(self) -> None:
        """Poll the engine and report its load."""
        for datagram in self.network.take(self.engine.host):
            address = Address(datagram.host, PORT)
            near = any(
                watcher.near
                for watcher in self.feed.watchers
                if watcher.address == address
            )
            now = Seconds(self.network.now)
            self.feed.receivers.add_requester(address, near, now)
        self.queued += self.is_changing
        status = EngineStatus(
            WeightsVersion(1), False, self.queued, 3, 0, 9, started=EngineStart(5)
        )
        first, _ = self.reported_at.get(self.queued, (self.network.now, 0.0))
        self.reported_at[self.queued] = first, self.network.now
        self.feed._send_reports(status, Seconds(self.network.now))


class DistributionSite:
    """Gateways and loaders in several domains.

    Attributes:
        network: The network with the clock.
        gateways: The gateways of all domains.
        loaders: The loaders of all domains.
        oldest: Highest age of a load at each gateway since ``reset``.
    """

    def __init__(
        self, gateways: Iterable[str], loaders: Iterable[str], name: str = "i-{}"
    ) -> None:
        self.network = SimulatedNetwork()
        self.step_count = 0
        engines = [
            ListedTarget(
                TargetId(name.format(number)),
                ServiceName("llm"),
                f"10.9.{number // 250}.{number % 250}:8000",
                DomainName(domain),
                16,
                False,
                {},
                None,
                EngineStart(5),
            )
            for number, domain in enumerate(loaders)
        ]
        peers = [make_peer(number, domain) for number, domain in enumerate(gateways)]
        self.gateways = [
            SimulatedGateway(peer, self.network, engines) for peer in peers
        ]
        self.loaders = [SimulatedLoader(engine, self.network) for engine in engines]
        for gateway in self.gateways:
            gateway.known = [peer for peer in peers if peer != gateway.peer]
        for loader in self.loaders:
            loader.watch(self.gateways)
        self.oldest: dict[str, float] = {}

    def in_domain(self, domain: str) -> list[SimulatedGateway]:
        """Return the gateways of a domain in the order of distribution."""
        peers = [gateway.peer for gateway in self.gateways]
        ranked = load_distributor.rank_distributors(peers)[DomainName(domain)]
        by_peer = {gateway.peer: gateway for gateway in self.gateways}
        return [by_peer[peer] for peer in ranked]

    def run(self, seconds: float) -> None:
        """Let time pass, and record the highest age of a load at each gateway."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step_count += 1
            self.network.now += STEP_SECONDS
            self._step()
            self._record_ages()

    def _step(self) -> None:
        for number, loader in enumerate(self.loaders):
            if (self.step_count + number) % POLL_STEPS == 0:
                loader.poll()
        for number, gateway in enumerate(self.gateways):
            step = self.step_count + number
            if gateway.is_stopped:
                continue
            if step % READ_STEPS == 0:
                gateway.read()
            if step % TICK_STEPS == 0:
                gateway.tick()
            if step % CHECK_STEPS == 0:
                gateway.check()

    def _record_ages(self) -> None:
        for gateway in self.gateways:
            for loader in self.loaders:
                if gateway.is_stopped:
                    continue
                age = self.age(gateway, loader)
                key = f"{gateway.host} {loader.engine.host}"
                self.oldest[key] = max(self.oldest.get(key, 0.0), age)

    def age(self, gateway: SimulatedGateway, loader: SimulatedLoader) -> float:
        """Return the true age of a load that a gateway knows, in seconds."""
        status = gateway.load(loader.engine).status
        if status is None:
            return 99.0
        # When the load was last known to be the newest one.
        return self.network.now - loader.reported_at[status.queued][1]

    def reset(self) -> None:
        """Forget the ages and counts recorded so far."""
        self.oldest.clear()
        self.network.received.clear()
        for gateway in self.gateways:
            gateway.counts.clear()

    def max_age(
        self, gateways: Iterable[SimulatedGateway] | None = None, domain: str = ""
    ) -> float:
        """Return the highest age of a load that was recorded since ``reset``.

        Args:
            gateways: The gateways to consider; None for all.
            domain: Domain of the engines to consider; empty for all.
        """
        hosts = {gateway.host for gateway in gateways or self.gateways}
        engines = {
            loader.engine.host
            for loader in self.loaders
            if not domain or loader.engine.domain == domain
        }
        return max(
            age
            for key, age in self.oldest.items()
            if key.split()[0] in hosts and key.split()[1] in engines
        )

    def count(self, name: str) -> int:
        """Return the sum of a counter of all gateways."""
        return sum(gateway.counts[name] for gateway in self.gateways)


def make_peer(number: int, domain: str) -> Peer:
    """Return a gateway as a peer."""
    host = f"10.1.{number // 250}.{number % 250}"
    address = f"{host}:{PORT}"
    return Peer(TargetName(host), DomainName(domain), f"{host}:7001", address, 1e6)


SiteMaker = Callable[..., DistributionSite]


@pytest.fixture
def make_site(monkeypatch: pytest.MonkeyPatch) -> SiteMaker:
    """Return a function that creates a site whose clock all components use."""

    def make(
        gateways: str | Iterable[str], loaders: str | Iterable[str], **options: Any
    ) -> DistributionSite:
        clock = SimpleNamespace(network=SimpleNamespace(now=1000.0))
        for module in (load_distributor, load_requests, load_watcher, loader_status):
            monkeypatch.setattr(module, "boottime", lambda: clock.network.now)
        site = DistributionSite(gateways, loaders, **options)
        clock.network = site.network
        return site

    return make
