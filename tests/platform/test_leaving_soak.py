"""No request reaches an engine long after it left, whatever happens to the gateways.

Engines leave and join while gateways are stopped, killed, frozen and refused by the
store, in series and overlapping. Each arrival at an engine is compared with the time at
which the store took its leaving. The run is seeded; ``LEAVING_SOAK_SEEDS=1-50`` runs
others than the default seed.
"""

import socket
from collections import Counter
from collections.abc import Callable, Iterator
from os import environ
from pathlib import Path
from random import Random
from threading import Event, Lock, Thread
from time import monotonic, sleep
from typing import Any, NamedTuple

import pytest
from gateway_site import receive_response
from test_crashing_requests import MultiGatewaySite
from test_domain_reads import GATEWAYS

from ridgecourse_standins.platform.engine import (
    EngineStandIn,
    ReceivedRequest,
    send_response,
)

DRAIN_SECONDS = 2.0
"""Time for which an engine that leaves may get requests; drain_ms of the settings."""
CONTACT_SECONDS = 3.0
"""Time for which a gateway must have been left alone for its sends to count."""
LINGER_SECONDS = 3.0
"""Time beyond the drain bound for which an engine that leaves accepts requests."""
CONNECT_SECONDS = 3.0
RUN_SECONDS = 24.0
SETTLE_SECONDS = 3.0
ENGINE_COUNT = 4
CLIENTS_PER_GATEWAY = 2
ENGINE_INTERVAL_SECONDS = 0.9
"""Mean time between two engines that leave; another one joins each time."""
GATEWAY_INTERVAL_SECONDS = 1.5
"""Mean time between two disruptions of gateways, which may overlap."""
JOIN_SECONDS = 20.0
"""Longest wait for the end of each thread after the run."""
HEALTH_PATH = "/healthz"


def read_seeds() -> list[int]:
    """Return the seeds to run, from a range such as "1-50" in the environment."""
    first, _, last = environ.get("LEAVING_SOAK_SEEDS", "3").partition("-")
    return list(range(int(first), int(last or first) + 1))


class Arrival(NamedTuple):
    """A request that reached an engine.

    Attributes:
        at: Monotonic time.
        gateway: Host of the gateway that sent the request.
        request: Id of the request.
    """

    at: float
    gateway: str
    request: str


class LeavingEngine:
    """An engine that may leave, with or without saying so first.

    Attributes:
        name: Name of the target.
        left_at: Time at which the store took its leaving; None before.
        arrivals: All requests that reached the engine, without health checks.
    """

    def __init__(self, site: MultiGatewaySite, number: int) -> None:
        self.site = site
        self.name = f"i-soak-{number}"
        self.left_at: float | None = None
        self.arrivals: list[Arrival] = []
        self.stand_in = EngineStandIn(self.answer)
        self.stand_in.start()
        site.engines.append(self.stand_in)
        site.register_engine(self.stand_in, "app", self.name)

    def answer(self, request: ReceivedRequest) -> None:
        name = f"Instance-Id: {self.name}"
        if HEALTH_PATH in request.request_line:
            status = "200 OK" if self.left_at is None else "503 Service Unavailable"
            send_response(request, b"", status, signed=False, extra=(name,))
            return
        identity = request.header("Attempt-Id") or ""
        gateway = identity.partition("-")[0]
        self.arrivals.append(Arrival(monotonic(), gateway, identity))
        send_response(request)

    def leave(self, says_so: bool, pause: float) -> None:
        """Leave, and end some seconds later.

        Args:
            says_so: Whether the entry says that the engine leaves before it goes.
            pause: Seconds between the two.
        """
        if says_so:
            self.site.register_engine(self.stand_in, "app", self.name, state="draining")
            self.left_at = monotonic()
            sleep(pause)
        self.site.store.put_target(self.name, None)
        self.left_at = self.left_at or monotonic()
        sleep(DRAIN_SECONDS + LINGER_SECONDS)
        self.stand_in.kill()


class GatewayRecord:
    """A gateway of the run, and when something last happened to it.

    Attributes:
        host: Its host.
        lock: Held while something happens to it.
        disruptions: Start and end of each disruption, the time before the run included.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.lock = Lock()
        self.disruptions: list[tuple[float, float]] = [(0.0, monotonic())]

    def is_in_touch(self, at: float) -> bool:
        """Check whether nothing happened to the gateway before a time."""
        return not any(
            start <= at and end > at - CONTACT_SECONDS
            for start, end in self.disruptions
        )


class LeavingSoak:
    """Engines that leave, gateways to which things happen, and clients.

    Attributes:
        engines: All engines so far.
        gateways: The gateways.
        counts: What happened, by kind, and the answers of clients by status.
    """

    def __init__(self, site: MultiGatewaySite, seed: int) -> None:
        self.site = site
        self.random = Random(seed)
        self.stopped = Event()
        self.threads: list[Thread] = []
        self.engines: list[LeavingEngine] = []
        self.gateways = [GatewayRecord(host) for host in site.gateways]
        self.counts: Counter[str] = Counter()

    def start(self) -> None:
        for _ in range(ENGINE_COUNT):
            self.add_engine()
        self.site.start()
        for gateway in self.gateways:
            self.site.wait_until(lambda host=gateway.host: self.site.is_ready(host))
            gateway.disruptions.append((0.0, monotonic()))
            for number in range(CLIENTS_PER_GATEWAY):
                self.spawn(self.run_client, gateway.host, number)

    def spawn(self, function: Callable[..., None], *arguments: Any) -> None:
        thread = Thread(target=function, args=arguments, daemon=True)
        self.threads.append(thread)
        thread.start()

    def add_engine(self) -> None:
        self.engines.append(LeavingEngine(self.site, len(self.engines)))

    def run(self) -> None:
        """Let engines leave and things happen to gateways for the whole run."""
        end = monotonic() + RUN_SECONDS
        next_engine = next_gateway = monotonic()
        while (now := monotonic()) < end:
            if now >= next_engine:
                next_engine = now + self._draw_interval(ENGINE_INTERVAL_SECONDS)
                self._replace_engine()
            if now >= next_gateway:
                next_gateway = now + self._draw_interval(GATEWAY_INTERVAL_SECONDS)
                self._disrupt_gateway()
            sleep(0.02)
        sleep(SETTLE_SECONDS)

    def _draw_interval(self, mean: float) -> float:
        return mean * self.random.uniform(0.3, 1.7)

    def _replace_engine(self) -> None:
        staying = [engine for engine in self.engines if engine.left_at is None]
        leaving = self.random.choice(staying)
        says_so, pause = self.random.random() < 0.5, self.random.uniform(0.0, 3.0)
        self.counts["engines that say so" if says_so else "engines that do not"] += 1
        self.add_engine()
        self.spawn(leaving.leave, says_so, pause)
        # So that no engine is chosen twice.
        self.site.wait_until(lambda: leaving.left_at is not None)

    def _disrupt_gateway(self) -> None:
        gateway = self.random.choice(self.gateways)
        kinds = {
            "stop": self._stop,
            "kill": self._kill,
            "freeze": self._freeze,
            "refuse": self._refuse,
        }
        kind = self.random.choice(list(kinds))
        seconds = self.random.uniform(0.2, 1.6)
        if gateway.lock.acquire(blocking=False):
            self.counts[kind] += 1
            self.spawn(self._run_disruption, gateway, kinds[kind], seconds)

    def _run_disruption(
        self,
        gateway: GatewayRecord,
        disrupt: Callable[[str, float], None],
        seconds: float,
    ) -> None:
        started_at = monotonic()
        gateway.disruptions.append((started_at, float("inf")))
        try:
            disrupt(gateway.host, seconds)
        finally:
            gateway.disruptions[-1] = (started_at, monotonic())
            gateway.lock.release()

    def _stop(self, host: str, seconds: float) -> None:
        self.site.processes[host].stop()
        sleep(seconds)
        self._start_again(host)

    def _kill(self, host: str, seconds: float) -> None:
        self.site.processes[host].kill()
        sleep(seconds)
        self._start_again(host)

    def _start_again(self, host: str) -> None:
        self.site.processes[host].start()
        self.site.wait_until(lambda: self.site.is_ready(host))

    def _freeze(self, host: str, seconds: float) -> None:
        self.site.processes[host].pause()
        sleep(seconds)
        self.site.processes[host].resume()

    def _refuse(self, host: str, seconds: float) -> None:
        self.site.store.refused_readers.add(host)
        sleep(seconds)
        self.site.store.refused_readers.discard(host)

    def run_client(self, host: str, number: int) -> None:
        """Send requests on one connection for as long as it stays open."""
        connection = None
        for turn in range(1_000_000):
            if self.stopped.wait(0.03):
                return
            try:
                connection = connection or self._connect(host)
                head = self.site.head("/safe/x", deadline_ms=2000)
                identity = f"Attempt-Id: {host}-{number}-{turn}\r\n"
                first, _, others = head.partition("Attempt-Id:")
                connection.sendall(
                    (first + identity + others.partition("\r\n")[2]).encode()
                )
                status, headers, *_ = receive_response(connection)
            except (OSError, ValueError, IndexError):
                status, headers = 0, {}
            self.counts[f"status {status}"] += 1
            if not status or headers.get("connection", "").lower() == "close":
                if connection is not None:
                    connection.close()
                connection = None

    def _connect(self, host: str) -> socket.socket:
        address, _, port = self.site.listen_address(host, "frontend")
        return socket.create_connection((address, int(port)), CONNECT_SECONDS)

    def find_late(self) -> Iterator[str]:
        """Yield a description of each request that reached an engine too late."""
        gateways = {gateway.host: gateway for gateway in self.gateways}
        for engine in self.engines:
            for arrival in engine.arrivals:
                age = arrival.at - (engine.left_at or arrival.at)
                if age > DRAIN_SECONDS and gateways[arrival.gateway].is_in_touch(
                    arrival.at
                ):
                    yield f"{arrival.request} reached {engine.name} after {age:.2f} s"

    def find_unused(self) -> Iterator[str]:
        """Yield the engines that stay and got no request at the end of the run."""
        since = monotonic() - SETTLE_SECONDS
        for engine in self.engines:
            if engine.left_at is None:
                if not engine.arrivals or engine.arrivals[-1].at < since:
                    yield engine.name

    def close(self) -> None:
        self.stopped.set()
        for thread in self.threads:
            thread.join(JOIN_SECONDS)


@pytest.fixture
def site(tmp_path: Path) -> Iterator[MultiGatewaySite]:
    soak_site = MultiGatewaySite(tmp_path, gateways=GATEWAYS[:3])
    soak_site.paths[GATEWAYS[0]] = soak_site.path
    for host in soak_site.gateways:
        # A gateway that starts reads the list from the store.
        seeds = [f"{seed}:1" for seed in soak_site.gateways]
        soak_site.change_settings(host, seed_nodes=seeds)
    yield soak_site
    soak_site.close()


@pytest.mark.parametrize("seed", read_seeds())
def test_no_request_reaches_an_engine_that_left(site, seed: int) -> None:
    soak = LeavingSoak(site, seed)
    soak.start()
    try:
        soak.run()
        late, unused = list(soak.find_late()), list(soak.find_unused())
    finally:
        soak.close()
    print(f"seed {seed}: {dict(soak.counts)}")
    assert late == []
    assert unused == []
