"""A gateway process between stand-ins of the store and the engines, for tests."""

import socket
from collections.abc import Iterator
from contextlib import suppress
from http.client import IncompleteRead, RemoteDisconnected
from pathlib import Path
from time import monotonic, sleep
from typing import Any

import pytest
from msgspec.json import encode

from ridgecourse.net.answer_connection import AnswerResponse
from ridgecourse.net.head_reader import IncompleteHead
from ridgecourse_standins.managed_process import ManagedProcess
from ridgecourse_standins.platform.engine import (
    Behaviour,
    EngineStandIn,
    send_response,
)
from ridgecourse_standins.platform.sample_settings import (
    HOST,
    KEY,
    LARGE_ROUTES,
    LAYERS,
    MODEL,
    make_config,
    make_engine_entry,
    make_large_config,
    make_route,
    make_settings,
)
from ridgecourse_standins.platform.store import StoreStandIn

__all__ = [
    "HOST",
    "KEY",
    "LARGE_ROUTES",
    "LAYERS",
    "MODEL",
    "make_config",
    "make_engine_entry",
    "make_large_config",
    "make_route",
    "make_settings",
]

READ_BYTES = 64 * 1024

HttpResponse = tuple[int, dict[str, str], bytes, bool]


def receive_response(connection: socket.socket) -> HttpResponse:
    """Read an HTTP response.

    Returns:
        Status (0 if there was no response or its head was cut), headers by lower-case
        name, body, and whether the response was complete. One whose body only a close
        ends counts as incomplete, as the product does not frame any so.
    """
    response = AnswerResponse(connection)
    try:
        response.begin()
    except (RemoteDisconnected, IncompleteHead):
        return 0, {}, b"", False
    headers = {name.lower(): value for name, value in response.getheaders()}
    is_framed = response.chunked or response.length is not None
    body = b""
    with suppress(IncompleteRead):
        while piece := response.read1(READ_BYTES):
            body += piece
        is_complete = is_framed and not response.length
        return response.status, headers, body, is_complete
    return response.status, headers, body, False


class GatewaySite:
    """A gateway process with stand-ins of the store and of targets.

    Attributes:
        store: Stand-in of the store.
        settings: Settings of the gateway.
        path: File of the settings.
        gateway: The gateway process.
        engines: Stand-ins of the engines, in the order in which they were added.
        connections: Client connections that are closed after the test.
        attempt_count: Number of requests made so far; numbers the attempt ids.
    """

    def __init__(self, directory: Path) -> None:
        self.store = StoreStandIn()
        self.store.start()
        self.settings = make_settings(self.store.address)
        self.path = directory / "node.json"
        self.path.write_bytes(encode(self.settings))
        command = ["-m", "ridgecourse.platform.gateway_main", str(self.path)]
        self.gateway = ManagedProcess("gateway", command, directory)
        self.engines: list[EngineStandIn] = []
        self.connections: list[socket.socket] = []
        self.attempt_count = 0

    @property
    def frontend(self) -> tuple[str, int]:
        """Host and port on which the gateway accepts requests."""
        host, _, port = self.settings["listen"]["frontend"].rpartition(":")
        return host, int(port)

    def add_engine(
        self,
        service: str,
        behaviour: Behaviour = send_response,
        target: str = "",
        zone: str = "a",
        version: int = 1,
        host: str = "127.0.0.1",
    ) -> EngineStandIn:
        """Start an engine stand-in and put its target into the store."""
        engine = EngineStandIn(behaviour, host)
        engine.start()
        self.engines.append(engine)
        self.register_engine(engine, service, target, zone=zone, version=version)
        return engine

    def register_engine(
        self,
        engine: EngineStandIn,
        service: str,
        target: str = "",
        state: str = "ready",
        zone: str = "a",
        version: int = 1,
        cold_ms: int = 0,
    ) -> str:
        """Put a target of an engine into the store and return the target's name."""
        target = target or f"i-{self.engines.index(engine)}"
        entry: dict[str, Any] = {
            "service": service,
            "address": engine.address,
            "zone": zone,
            "version": "v1",
            "slots": 16,
            "state": state,
            "cold_remaining_ms": cold_ms,
            "sequence": 1,
        }
        if engine.born is not None:
            entry["born"] = engine.born
        if service == "llm":
            entry["models"] = [{"name": MODEL, "version": version, "adapters": []}]
            if version:
                layers = {"from": 0, "target_version": LAYERS, "version": version}
                entry["layers"] = layers
        self.store.put_target(target, entry)
        return target

    def start(self, config: dict[str, Any] | None = None) -> None:
        """Put a configuration, start the gateway and wait until it is ready."""
        self.store.put_config(config or make_config())
        self.gateway.start()
        self.wait_until(lambda: self.ready() == 200)

    def wait_until(self, condition: Any, seconds: float = 20.0) -> None:
        """Wait until a condition holds; fail after a number of seconds."""
        deadline = monotonic() + seconds
        while not condition():
            assert monotonic() < deadline, "the condition was not met in time"
            sleep(0.02)

    def ready(self) -> int:
        """Return the status of the readiness endpoint, or 0 if it does not answer."""
        host, _, port = self.settings["listen"]["readiness"].rpartition(":")
        try:
            with socket.create_connection((host, int(port)), 1.0) as connection:
                connection.sendall(
                    b"GET /ridgecourse/readyz HTTP/1.1\r\nHost: x\r\n"
                    b"Connection: close\r\n\r\n"
                )
                return receive_response(connection)[0]
        except OSError:
            return 0

    def open(self) -> socket.socket:
        """Open a client connection to the gateway."""
        connection = socket.create_connection(self.frontend, 10.0)
        self.connections.append(connection)
        return connection

    def head(
        self,
        target: str,
        method: str = "GET",
        key: str | None = KEY,
        deadline_ms: int | None = 4000,
        extra: tuple[str, ...] = (),
    ) -> str:
        """Return the head of a request with a new attempt id.

        Args:
            target: Path and query.
            method: HTTP method.
            key: API key of the client account; None for no key.
            deadline_ms: Deadline in milliseconds; None for no deadline.
            extra: Additional header lines.
        """
        self.attempt_count += 1
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: attempt-{self.attempt_count}",
        ]
        if key is not None:
            lines.append(f"Key: {key}")
        if deadline_ms is not None:
            lines.append(f"Deadline-Ms: {deadline_ms}")
        return "\r\n".join([*lines, *extra, "", ""])

    def send(
        self, connection: socket.socket, target: str, body: bytes = b"", **options: Any
    ) -> None:
        """Send a request without waiting for the response."""
        if body:
            length = f"Content-Length: {len(body)}"
            options["extra"] = (*options.get("extra", ()), length)
        connection.sendall(self.head(target, **options).encode() + body)

    def ask(self, target: str, body: bytes = b"", **options: Any) -> HttpResponse:
        """Send a request on a new connection and return the response."""
        connection = self.open()
        self.send(connection, target, body, **options)
        return receive_response(connection)

    def close(self) -> None:
        """Close all connections and end all processes and stand-ins."""
        for connection in self.connections:
            connection.close()
        if self.gateway.process is not None:
            self.gateway.kill()
        for engine in self.engines:
            engine.close()
        self.store.close()


@pytest.fixture
def front(tmp_path: Path) -> Iterator[GatewaySite]:
    """Return a gateway site; the test starts the gateway."""
    site = GatewaySite(tmp_path)
    yield site
    site.close()


@pytest.fixture
def engine() -> Iterator[EngineStandIn]:
    """Return a stand-in of an engine that answers each request."""
    stand_in = EngineStandIn(send_response)
    stand_in.start()
    yield stand_in
    stand_in.close()
