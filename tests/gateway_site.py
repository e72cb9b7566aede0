import socket
from collections.abc import Iterator
from pathlib import Path
from time import monotonic, sleep
from typing import Any

import pytest
from msgspec.json import encode

from ridgecourse_standins.managed import Managed
from ridgecourse_standins.platform.engine import (
    Behaviour,
    EngineStandIn,
    send_whole,
)
from ridgecourse_standins.platform.store import StoreStandIn
from ridgecourse_standins.ports import LAST_PORT, free_address, free_port

HOST = "shop.example"
KEY = "key-of-shop"
MODEL = "m0"
LAYERS = 16
LARGE_ROUTES = 1960

Answer = tuple[int, dict[str, str], bytes, bool]


def make_route(prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    route = {
        "name": f"route{prefix}",
        "hostname": HOST,
        "path_prefix": prefix,
        "type": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
    }
    return {**route, **more}


def make_config(version: int = 1, **more: Any) -> dict[str, Any]:
    engine = {
        "slots": 16,
        "kv_capacity_tokens": 317000,
        "models": [{"name": MODEL}],
        "step_ms": 9.3,
        "per_seq_ms": 0.02,
        "context_per_k": 0.03,
        "read_per_s": 20700,
        "pairs_per_m": 1.18,
        "usual": {"prompt": 900, "answer": 90},
        "layers": LAYERS,
        "chunks": 96,
        "chunk_bytes": 24576,
    }
    config = {
        "version": version,
        "routes": [
            make_route("/stream/", "streaming", "llm", timeout_ms=8000, resumable=True),
            make_route("/once-stream/", "streaming", "llm"),
            make_route("/once/", "unsafe", "app", max_attempts=1),
            make_route("/safe/", "safe", "app"),
            make_route("/safe/deep/", "safe", "other"),
            make_route("/open/", "safe", "app", public=True),
            make_route("/short/", "safe", "app", timeout_ms=300),
        ],
        "services": [
            {"name": "llm", "health_path": "/healthz", "engine": engine},
            {"name": "app", "health_path": "/healthz"},
            {"name": "other", "health_path": "/healthz"},
            {"name": "kafi", "origin": "127.0.0.1:1", "zone": "a"},
        ],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 1500,
        },
        "tenants": [{"name": "shop", "api_keys": [KEY]}],
    }
    return {**config, **more}


def make_large_config(version: int) -> dict[str, Any]:
    """Return a configuration that takes a second on a slow link."""
    config = make_config(version)
    idle = [make_route(f"/idle-{n}/", "safe", "app") for n in range(LARGE_ROUTES)]
    config["routes"].extend(idle)
    return config


def make_settings(store: str, **more: Any) -> dict[str, Any]:
    settings = {
        "node_name": "edge-a-1",
        "ip": "127.0.0.1",
        "zone": "a",
        "zones": {"a": "north", "b": "south"},
        "listen": {"frontend": free_address(), "readiness": free_address()},
        "internal_port_range": [free_port(), LAST_PORT],
        "seed_nodes": [],
        "limits": {"bandwidth_mbps": 1000.0},
        "bounds": {
            "grace_s": 8,
            "drain_ms": 2000,
            "config_apply_ms": 2000,
            "version_ms": 8000,
            "reuse_after_s": 2,
            "retry_budget_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 100,
        },
        "platform": {"address": store},
        "a field of later days": True,
    }
    return {**settings, **more}


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
        self.gateway = Managed("gateway", command, directory)
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
        behaviour: Behaviour = send_whole,
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
