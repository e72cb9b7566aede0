import socket
from collections.abc import Iterator
from pathlib import Path
from time import monotonic, sleep
from typing import Any

import pytest
from msgspec.json import encode

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

Answer = tuple[int, dict[str, str], bytes, bool]


def receive_answer(connection: socket.socket) -> Answer:
    """Return status, headers, body, and whether the answer came to its end."""
    file = connection.makefile("rb")
    line = file.readline().decode()
    if not line:
        return 0, {}, b"", False
    headers = {}
    while (text := file.readline().decode().strip()) != "":
        name, _, value = text.partition(":")
        headers[name.lower()] = value.strip()
    status = int(line.split()[1])
    if "content-length" in headers:
        length = int(headers["content-length"])
        body = file.read(length)
        return status, headers, body, len(body) == length
    body = b""
    while size := file.readline().strip():
        piece = file.read(int(size, 16))
        file.readline()
        body += piece
        if not piece:
            return status, headers, body, True
    return status, headers, body, False


class GatewaySite:
    """A gateway process with a store and targets around it."""

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
        self.attempts = 0

    @property
    def frontend(self) -> tuple[str, int]:
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
        engine = EngineStandIn(behaviour, host)
        engine.start()
        self.engines.append(engine)
        self.list_engine(engine, service, target, zone=zone, version=version)
        return engine

    def list_engine(
        self,
        engine: EngineStandIn,
        service: str,
        target: str = "",
        state: str = "ready",
        zone: str = "a",
        version: int = 1,
    ) -> str:
        target = target or f"i-{self.engines.index(engine)}"
        entry: dict[str, Any] = {
            "service": service,
            "address": engine.address,
            "zone": zone,
            "version": "v1",
            "slots": 16,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        if engine.born is not None:
            entry["born"] = engine.born
        if service == "llm":
            entry["models"] = [{"name": MODEL, "version": version, "adapters": []}]
            if version:
                held = {"from": 0, "target_version": LAYERS, "version": version}
                entry["layers"] = held
        self.store.put_target(target, entry)
        return target

    def start(self, config: dict[str, Any] | None = None) -> None:
        self.store.put_config(config or make_config())
        self.gateway.start()
        self.wait_until(lambda: self.ready() == 200)

    def wait_until(self, condition: Any, seconds: float = 20.0) -> None:
        limit = monotonic() + seconds
        while not condition():
            assert monotonic() < limit, "the condition did not come about"
            sleep(0.02)

    def ready(self) -> int:
        host, _, port = self.settings["listen"]["readiness"].rpartition(":")
        try:
            with socket.create_connection((host, int(port)), 1.0) as connection:
                connection.sendall(
                    b"GET /ridgecourse/readyz HTTP/1.1\r\nHost: x\r\n"
                    b"Connection: close\r\n\r\n"
                )
                return receive_answer(connection)[0]
        except OSError:
            return 0

    def open(self) -> socket.socket:
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
        self.attempts += 1
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: attempt-{self.attempts}",
        ]
        if key is not None:
            lines.append(f"Key: {key}")
        if deadline_ms is not None:
            lines.append(f"Deadline-Ms: {deadline_ms}")
        return "\r\n".join([*lines, *extra, "", ""])

    def send(
        self, connection: socket.socket, target: str, body: bytes = b"", **more: Any
    ) -> None:
        if body:
            length = f"Content-Length: {len(body)}"
            more["extra"] = (*more.get("extra", ()), length)
        connection.sendall(self.head(target, **more).encode() + body)

    def ask(self, target: str, body: bytes = b"", **more: Any) -> Answer:
        connection = self.open()
        self.send(connection, target, body, **more)
        return receive_answer(connection)

    def close(self) -> None:
        for connection in self.connections:
            connection.close()
        if self.gateway.process is not None:
            self.gateway.kill()
        for engine in self.engines:
            engine.close()
        self.store.close()


@pytest.fixture
def front(tmp_path: Path) -> Iterator[GatewaySite]:
    """A gateway with its surroundings; a test starts it."""
    site = GatewaySite(tmp_path)
    yield site
    site.close()
