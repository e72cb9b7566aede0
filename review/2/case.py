"""A leaving engine's heartbeat from before its leaving takes effect late.

An engine is cut off for some seconds. One of its heartbeats is held up on the way and
reaches the store late, when the sender's TCP tries once more: it doubles the time
between two attempts, so that the next one may come seconds after the end of the cut. In
between, when all links have been sound for ``contact_ms``, the engine leaves: its entry
is removed, and it serves on for its time. The store is sound all the while. Clients
send requests that may run only once. With TROUBLE=0 the engine is not cut off, and each
of its heartbeats arrives when it is written.
"""

import sys
from itertools import count
from pathlib import Path
from socket import SHUT_RDWR, SO_LINGER, SOL_SOCKET, create_connection, create_server
from socket import socket as Socket
from struct import pack
from threading import Event, Lock, Thread
from time import monotonic, sleep
from typing import Any

from harness import (
    BOUNDS,
    KEY,
    Deployment,
    Program,
    has_trouble,
    is_ready,
    run_case,
    wait_for,
)

from ridgecourse_standins.platform.store import StoreStandIn

ZONE = "ahmedabad-a"
GATEWAY_HOST = "127.0.0.11"
HOST = "shop.example"
SERVICE = "app"
ENGINES = 3
HEARTBEAT_SECONDS = 1.2
WORK_SECONDS = 0.09
LINGER_SECONDS = 1.5
"""Time beyond ``drain_ms`` for which a leaving engine serves on."""
DRAIN_SECONDS = BOUNDS["drain_ms"] / 1000
CUT_SECONDS = 8.0
"""Length of the cut (``node_cut``)."""
HELD_UP_SECONDS = 0.4
"""When the heartbeat that is held up is written, after the beginning of the cut."""
RETRANSMIT_SECONDS = 0.2
"""Time after which TCP sends again for the first time; each next time is doubled."""
ATTEMPTS = 6
"""Number of the attempt that arrives; the five before it fall into the cut."""
LATE_SECONDS = RETRANSMIT_SECONDS * (2**ATTEMPTS - 1)
"""By how much the heartbeat takes effect late: 12.6 s."""
LEAVE_SECONDS = CUT_SECONDS + BOUNDS["contact_ms"] / 1000 + 0.1
"""When the engine's entry is removed, after the beginning of the cut."""
LAPSE_SECONDS = 3 * HEARTBEAT_SECONDS
"""Time without a heartbeat after which the platform removes the entry of an engine."""
RATE = 40.0
"""Requests a second of all clients together."""
REQUEST_SECONDS = 4.0


class Engine:
    """An engine of a plain service, which records itself in the store.

    Attributes:
        name: Identity of this incarnation.
        sequence: Number of the last heartbeat.
        reachable: Cleared while the engine is cut off.
        ended: Set when the engine ends.
        arrivals: Time and attempt of each request.
        open: Requests being worked on, by connection.
    """

    def __init__(self, name: str, host: str, store: StoreStandIn, record: Any) -> None:
        self.name = name
        self.store = store
        self.record = record
        self.sequence = 0
        self.reachable = Event()
        self.reachable.set()
        self.ended = Event()
        self.arrivals: list[tuple[float, str]] = []
        self.open: dict[Socket, str] = {}
        self.lock = Lock()
        self.listener = create_server((host, 0), backlog=128)
        self.address = f"{host}:{self.listener.getsockname()[1]}"
        Thread(target=self.accept, daemon=True).start()

    def entry(self) -> dict[str, Any]:
        """Return the next heartbeat."""
        self.sequence += 1
        return {
            "service": SERVICE,
            "address": self.address,
            "zone": ZONE,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
        }

    def write(self, entry: dict[str, Any], note: str = "") -> None:
        """Write a heartbeat to the store."""
        self.store.put_target(self.name, entry)
        self.record.write(
            f"store: {self.name} {entry['state']}, sequence {entry['sequence']}{note}"
        )

    def accept(self) -> None:
        """Serve connections until the engine ends."""
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection: Socket) -> None:
        """Serve one request; the gateway opens a connection for each."""
        try:
            self.reachable.wait()
            head, fields = read_head(connection)
            attempt = fields.get("attempt-id", "")
            if not head:
                return
            if fields.get("expected-instance") != self.name:
                connection.sendall(
                    b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"
                    + f"Attempt-Id: {attempt}\r\n\r\n".encode()
                )
                return
            with self.lock:
                self.arrivals.append((monotonic(), attempt))
                self.open[connection] = attempt
            self.record.write(f"{self.name}: {attempt} runs")
            if self.ended.wait(WORK_SECONDS):
                return
            with self.lock:
                del self.open[connection]
            connection.sendall(
                f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
                "Response-Signature: signed\r\nContent-Length: 2\r\n\r\nok".encode()
            )
        except OSError:
            return
        finally:
            connection.close()

    def end(self) -> None:
        """End, as an engine does that has been given its time to leave."""
        self.listener.shutdown(SHUT_RDWR)
        self.listener.close()
        with self.lock:
            for connection, attempt in self.open.items():
                self.record.write(f"{self.name}: ends while {attempt} runs")
                connection.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
            self.ended.set()
        self.record.write(f"{self.name}: ended")

    def close(self) -> None:
        """Stop listening."""
        if not self.ended.is_set():
            self.end()


def read_head(connection: Socket) -> tuple[str, dict[str, str]]:
    """Return the first line of a message and its headers."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(65536)
        if not piece:
            return "", {}
        data += piece
    line, *rest = data.partition(b"\r\n\r\n")[0].decode("latin1").split("\r\n")
    pairs = (text.partition(":") for text in rest)
    return line, {name.lower(): value.strip() for name, _, value in pairs}


def make_config() -> dict[str, Any]:
    """Return the configuration: one route, whose requests may run only once."""
    route = {
        "name": "r-1",
        "hostname": HOST,
        "path_prefix": "/once/",
        "type": "unsafe",
        "timeout_ms": 4000,
        "target_latency_ms": 407,
        "priority": 2,
        "service": SERVICE,
        "max_attempts": 1,
        "public": False,
    }
    return {
        "version": 1,
        "routes": [route],
        "services": [{"name": SERVICE, "health_path": "/healthz"}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 10000,
        },
        "tenants": [{"name": "t-1", "api_keys": [KEY]}],
    }


class Clients:
    """Clients that send requests at a constant rate.

    Attributes:
        answers: First line of the answer to each attempt; empty for none.
        stopped: Set to stop sending.
    """

    def __init__(self, deployment: Deployment, gateway: Program) -> None:
        host, _, port = gateway.settings["listen"]["frontend"].rpartition(":")
        self.frontend = host, int(port)
        self.record = deployment.record
        self.answers: dict[str, str] = {}
        self.stopped = Event()
        deployment.closers.append(self.stopped.set)

    def run(self) -> None:
        """Send requests until stopped."""
        for number in count(1):
            if self.stopped.wait(1.0 / RATE):
                return
            Thread(target=self.ask, args=(f"a-{number}",), daemon=True).start()

    def ask(self, attempt: str) -> None:
        """Send one request and record the answer."""
        self.record.write(f"client: {attempt} sent")
        line = ""
        try:
            with create_connection(self.frontend, 1.0) as connection:
                connection.settimeout(REQUEST_SECONDS)
                connection.sendall(
                    f"POST /once/x HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Attempt-Id: {attempt}\r\nKey: {KEY}\r\nDeadline-Ms: 4000\r\n"
                    "Connection: close\r\nContent-Length: 2\r\n\r\nhi".encode()
                )
                line, _ = read_head(connection)
        except OSError as error:
            self.record.write(f"client: {attempt} {error}")
        self.answers[attempt] = line
        self.record.write(f"client: {attempt} answered {line!r}")


def play(deployment: Deployment) -> list[str]:
    """Play the case; return what broke the rule."""
    record = deployment.record
    store = StoreStandIn()
    store.start()
    deployment.closers.append(store.close)
    store.put_config(make_config())
    engines = [
        Engine(f"i-{number}", f"127.0.0.{31 + number}", store, record)
        for number in range(ENGINES)
    ]
    for engine in engines:
        deployment.closers.append(engine.close)
        engine.write(engine.entry())
    gateway = deployment.gateway("edge-1", GATEWAY_HOST, ZONE, store.address)
    wait_for("the gateway is ready", lambda: is_ready(gateway), 20.0)
    clients = Clients(deployment, gateway)
    Thread(target=clients.run, daemon=True).start()
    for engine in engines[1:]:
        Thread(target=beat, args=(engine, deployment), daemon=True).start()
    sleep(BOUNDS["contact_ms"] / 1000)
    is_cut = has_trouble()
    record.write(f"TROUBLE: the engine is {'' if is_cut else 'not '}cut off")
    acknowledged_at = leave(engines[0], is_cut)
    sleep(2.0)
    clients.stopped.set()
    sleep(REQUEST_SECONDS)
    late = [
        (round(at - acknowledged_at, 2), attempt, clients.answers.get(attempt, ""))
        for at, attempt in engines[0].arrivals
        if at - acknowledged_at > DRAIN_SECONDS
    ]
    lost = [attempt for _, attempt, line in late if " 200 " not in line]
    if not late:
        return []
    return [
        f"DRAIN: {len(late)} requests reached {engines[0].name} more than "
        f"{DRAIN_SECONDS} s after the store had taken that it is gone, the last after "
        f"{late[-1][0]} s; of these {len(lost)} were not answered with success: {lost}"
    ]


def beat(engine: Engine, deployment: Deployment) -> None:
    """Write an engine's heartbeats."""
    while not engine.ended.wait(HEARTBEAT_SECONDS):
        engine.write(engine.entry())


def leave(engine: Engine, is_cut: bool) -> float:
    """Play the life of the engine that leaves; return when the store took its state.

    Args:
        engine: The engine.
        is_cut: Whether the engine is cut off before.
    """
    record = engine.record
    started_at = monotonic() + 3 * HEARTBEAT_SECONDS

    def wait_until(seconds: float) -> None:
        sleep(max(0.0, started_at + seconds - monotonic()))

    for number in (2, 1):
        wait_until(HELD_UP_SECONDS - number * HEARTBEAT_SECONDS)
        engine.write(engine.entry())
    wait_until(0.0)
    if is_cut:
        engine.reachable.clear()
        record.write(f"{engine.name}: cut off from all machines")
    wait_until(HELD_UP_SECONDS)
    held_up = engine.entry()
    if is_cut:
        record.write(f"{engine.name}: the call with {held_up} gets no answer")
        wait_until(HELD_UP_SECONDS - HEARTBEAT_SECONDS + LAPSE_SECONDS)
        engine.store.put_target(engine.name, None)
        record.write(f"store: {engine.name} removed, three heartbeats are missing")
        wait_until(CUT_SECONDS)
        engine.reachable.set()
        record.write(f"{engine.name}: reached again")
    else:
        engine.write(held_up)
    for number in range(7, 9):
        wait_until(HELD_UP_SECONDS + number * HEARTBEAT_SECONDS)
        engine.write(engine.entry())
    wait_until(LEAVE_SECONDS)
    engine.store.put_target(engine.name, None)
    acknowledged_at = monotonic()
    record.write(f"store: {engine.name} removed, it leaves")
    wait_until(HELD_UP_SECONDS + LATE_SECONDS)
    if is_cut:
        engine.write(held_up, f", written {LATE_SECONDS:.1f} s late")
    wait_until(LEAVE_SECONDS + DRAIN_SECONDS + LINGER_SECONDS)
    engine.end()
    wait_until(HELD_UP_SECONDS + LATE_SECONDS + LAPSE_SECONDS)
    engine.store.put_target(engine.name, None)
    record.write(f"store: {engine.name} removed, it writes no heartbeats")
    return acknowledged_at


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
