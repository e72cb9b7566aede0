"""A small deployment on loopback addresses, for the cases of the second review.

The programs of the system run as separate processes with the commands of the deploy
file. The store is the stand-in of the project; engines, origin and clients are below
and do what the platform's pages say of them, and no more.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from hashlib import sha256
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from itertools import count
from pathlib import Path
from random import Random
from threading import Event, Lock, Thread
from time import monotonic, sleep
from typing import Any
from urllib.parse import parse_qs, urlsplit

from ridgecourse.platform.names import LOG_NEWEST_PATH
from ridgecourse_standins.platform.store import StoreStandIn

ROOT = Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, CONTROL_PORT, APP_PORT = 8005, 8002, 8000, 8001
INTERNAL_PORTS = [7700, 7715]
HOST, KEY, MODEL, SERVICE, PLAIN = "quote.example", "key-1", "m0", "llm", "app"
LAYERS, CHUNKS, CHUNK_BYTES = 16, 96, 24_576
ORIGIN_MBPS, SIDE_MBPS, EDGE_MBPS = 7.3, 3.65, 1000.0
WARM_SECONDS = 0.3
RESTART_SECONDS = 0.5
HEARTBEAT_SECONDS = 1.2
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "downgrade_slack_ms": 250,
    "partition_max_ms": 5000,
    "revoke_fail_closed": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 102,
    "recover_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "version_ms": 8000,
    "version_all_ms": 0,
}
"""Bounds of the deployment carq."""


class Record:
    """What was sent, answered and run, written to ``record.txt``.

    Attributes:
        started_at: Time to which the times of the lines refer.
        lines: The lines so far.
    """

    def __init__(self) -> None:
        self.started_at = monotonic()
        self.lines: list[tuple[float, str]] = []
        self.lock = Lock()

    def add(self, text: str) -> float:
        """Add a line; return its time in seconds since the start."""
        at = monotonic() - self.started_at
        with self.lock:
            self.lines.append((at, text))
        return at

    def write(self, path: Path) -> None:
        """Write all lines in the order of their times."""
        with self.lock:
            lines = [f"{at:8.3f} s  {text}\n" for at, text in sorted(self.lines)]
        path.write_text("".join(lines))


def make_chunks(version: int) -> list[bytes]:
    """Return the pieces of a version of the weights."""
    random = Random(version)
    return [random.randbytes(CHUNK_BYTES) for _ in range(CHUNKS)]


class Store(StoreStandIn):
    """The platform's store.

    Attributes:
        on_newest: Called before the newest records of a topic are read, with the host
            that reads them and the name of the topic.
    """

    def __init__(self) -> None:
        super().__init__()
        self.on_newest: Callable[[str, str], None] = lambda host, topic: None

    def _handle(self, host: str, target: str, data: bytes) -> tuple[int, bytes]:
        parts = urlsplit(target)
        if parts.path == LOG_NEWEST_PATH:
            self.on_newest(host, parse_qs(parts.query)["topic"][0])
        return super()._handle(host, target, data)


class Server:
    """An HTTP server on a loopback address, one thread for each connection."""

    def __init__(self, host: str, port: int) -> None:
        owner = self

        class Handler(BaseHTTPRequestHandler):
            """Passes each request to the server."""

            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def handle_one_request(self) -> None:
                """Answer one request; a lost connection ends quietly."""
                try:
                    super().handle_one_request()
                except OSError:
                    self.close_connection = True

            def answer(self) -> None:
                """Read the body and answer."""
                length = int(self.headers.get("Content-Length") or 0)
                owner.answer(self, self.rfile.read(length))

            do_GET = do_POST = do_PUT = answer  # noqa: N815

            def log_message(self, *_: Any) -> None:
                """Log nothing."""

        class Listener(ThreadingHTTPServer):
            """Accepts many connections at a time."""

            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_: Any) -> None:
                """Ignore connections that are reset while nothing is read."""

        self.server = Listener((host, port), Handler)
        self.address = f"{host}:{self.server.server_address[1]}"
        self.is_closed = False
        self.thread = Thread(target=self.server.serve_forever, daemon=True)

    def start(self) -> None:
        """Start to accept connections."""
        self.thread.start()

    def close(self) -> None:
        """Stop the server; its address then refuses connections."""
        if not self.is_closed:
            self.is_closed = True
            self.server.shutdown()
            self.server.server_close()

    def answer(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        """Answer a request."""
        raise NotImplementedError


def reply(
    handler: BaseHTTPRequestHandler,
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> None:
    """Send an answer with a length."""
    handler.send_response(status)
    for name, value in (headers or {}).items():
        handler.send_header(name, value)
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    if body:
        handler.wfile.write(body)


class Origin(Server):
    """The origin of the weights, with a link of ``ORIGIN_MBPS`` for all answers."""

    def __init__(self, host: str) -> None:
        super().__init__(host, 0)
        self.versions = {1: make_chunks(1)}
        self.link = Lock()

    def answer(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        """Answer with the digests or with a piece of a version."""
        parts = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        version = int(query.get("version", max(self.versions)))
        chunks = self.versions.get(version)
        if chunks is None or version < max(self.versions) - 1:
            reply(handler, 410)
        elif parts.path == f"/ridgecourse/manifest/{MODEL}":
            manifest = {
                "model": MODEL,
                "version": version,
                "chunk_bytes": CHUNK_BYTES,
                "layers": LAYERS,
                "digests": [sha256(chunk).hexdigest() for chunk in chunks],
            }
            reply(handler, 200, json.dumps(manifest).encode())
        elif parts.path == f"/ridgecourse/piece/{MODEL}":
            data = chunks[int(query["sample_count"])]
            with self.link:
                sleep(len(data) * 8 / (ORIGIN_MBPS * 1e6))
            reply(handler, 200, data)
        else:
            reply(handler, 404)


@dataclass
class Run:
    """One run of a request at an engine.

    Attributes:
        request: Attempt id.
        target: The engine.
        version: Version of the weights; 0 for an engine without weights.
        at: When the run began, in seconds since the start of the record.
        sender: Address that sent the request.
    """

    request: str
    target: str
    version: int
    at: float
    sender: str


class Engine(Server):
    """A target: a model engine, or a plain one.

    Attributes:
        target: Identity; each start has a new one.
        version: Version of the weights that it serves; 0 for none.
        staged: Pieces that lie in its staging area.
        runs: The runs so far.
        answer_delay: Seconds of work on a request.
    """

    def __init__(
        self, record: Record, store: Store, host: str, zone: str, target: str
    ) -> None:
        super().__init__(host, APP_PORT)
        self.record, self.store, self.zone, self.target = record, store, zone, target
        self.service = SERVICE
        self.version = 0
        self.staged: dict[int, bytes] = {}
        self.sequence = 0
        self.busy = False
        self.active = 0
        self.state = "ready"
        self.is_leaving = False
        self.has_ended = False
        self.lost: list[str] = []
        self.born = monotonic()
        self.runs: list[Run] = []
        self.answer_delay = 0.09
        self.lock = Lock()

    def end(self) -> None:
        """End the engine; the requests that run there are lost with it."""
        self.has_ended = True
        self.close()
        self.record.add(f"{self.target} has ended")

    def models(self) -> dict[str, Any]:
        """Return the fields that tell the weights."""
        fields: dict[str, Any] = {
            "models": [{"name": MODEL, "version": self.version, "adapters": []}]
        }
        if self.version:
            fields["layers"] = {
                "from": 0,
                "target_version": LAYERS,
                "version": self.version,
            }
        return fields

    def heartbeat(self) -> int:
        """Return the number of heartbeats since the start."""
        return 1 + int((monotonic() - self.born) / HEARTBEAT_SECONDS)

    def make_entry(self) -> dict[str, Any]:
        """Return the entry that the engine would write now."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 16,
            "state": self.state,
            "cold_remaining_ms": 0,
            "phase": "both",
            "sequence": self.heartbeat(),
        }
        if self.service == SERVICE:
            entry.update(self.models())
        return entry

    def publish(self) -> None:
        """Write the entry into the store.

        The store makes no record of a heartbeat that changes nothing else, so that only
        changes are written here.
        """
        self.store.put_target(self.target, self.make_entry())
        self.record.add(f"{self.target} writes its entry: version {self.version}")

    def answer(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        """Answer a call of the loader or run a request."""
        parts = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/ridgecourse/report":
            report = {
                "phase": "both",
                "utilization": self.busy,
                "sequence": self.sequence,
                "queued": 0,
                "active": self.active,
                "kv_used": 0,
                "kv_total": 317_000 * LAYERS,
                "capabilities": 0,
                **self.models(),
            }
            reply(handler, 200, json.dumps(report).encode())
        elif parts.path == "/ridgecourse/order":
            self.begin_order(handler, json.loads(body))
        elif parts.path == f"/ridgecourse/stage-put/{MODEL}":
            self.staged[int(query["sample_count"])] = body
            reply(handler, 200)
        elif parts.path == f"/ridgecourse/stage-get/{MODEL}":
            data = self.staged.get(int(query["sample_count"]))
            reply(handler, 404 if data is None else 200, data or b"")
        elif parts.path == "/healthz":
            status = 503 if self.is_leaving else 200
            reply(handler, status, b"", {"Instance-Id": self.target})
        else:
            self.run(handler)

    def begin_order(
        self, handler: BaseHTTPRequestHandler, order: dict[str, Any]
    ) -> None:
        """Take what lies in the staging area, and serve it after the warm-up."""
        if order.get("op") != "start":
            reply(handler, 400)
            return
        version = order["version"]
        if version == self.version:
            reply(handler, 200)
            return
        self.sequence += 1
        self.busy = True
        taken = dict(self.staged)
        is_whole = [taken.get(i) for i in range(CHUNKS)] == make_chunks(version)
        whole = "whole" if is_whole else "NOT WHOLE"
        self.record.add(f"{self.target} starts version {version}, {whole}")
        Thread(target=self.end_order, args=(version,), daemon=True).start()
        reply(handler, 202)

    def end_order(self, version: int) -> None:
        """Serve a version once what runs has ended and the engine is warm."""
        while self.active:
            sleep(0.01)
        sleep(WARM_SECONDS)
        self.version, self.busy = version, False
        self.publish()

    def run(self, handler: BaseHTTPRequestHandler) -> None:
        """Run a request, or answer that it was not run."""
        headers = handler.headers
        request = headers.get("Attempt-Id", "")
        expected = headers.get("Expected-Instance", self.target)
        version = headers.get("Expected-Version", str(self.version))
        if expected != self.target or version != str(self.version):
            self.record.add(f"{self.target} answers {request} with 421")
            reply(handler, 421, b"", {"Instance-Id": self.target})
            return
        with self.lock:
            is_refused = self.busy or (self.service == SERVICE and not self.version)
            if not is_refused:
                self.active += 1
        if is_refused:
            self.record.add(f"{self.target} answers {request} with 503, not run")
            reply(handler, 503, b"", {"Not-Executed": "1"})
            return
        try:
            sender = handler.client_address[0]
            text = f"{self.target} runs {request} on version {self.version}"
            at = self.record.add(text)
            self.runs.append(Run(request, self.target, self.version, at, sender))
            self.send_answer(handler, request)
        finally:
            self.active -= 1

    def send_answer(self, handler: BaseHTTPRequestHandler, request: str) -> None:
        """Answer with a stream of events, or with a body of a plain service."""
        headers = {"Attempt-Id": request, "Response-Signature": f"{self.target}.1"}
        if self.service != SERVICE:
            sleep(self.answer_delay)
            if self.has_ended:
                self.lost.append(request)
                handler.connection.shutdown(socket.SHUT_RDWR)
                handler.close_connection = True
                return
            reply(handler, 200, b"x" * 800, headers)
            return
        headers["Weights-Versions"] = str(self.version)
        headers["Content-Type"] = "text/event-stream"
        events = [f"id: {number}\ndata: token\n\n".encode() for number in (1, 2, 3)]
        handler.send_response(200)
        for name, value in headers.items():
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(sum(map(len, events))))
        handler.end_headers()
        for event in events:
            sleep(self.answer_delay / len(events))
            handler.wfile.write(event)


def deployed_roles() -> dict[str, dict[str, Any]]:
    """Return the roles of the deploy file by name."""
    with (ROOT / "deploy/system.toml").open("rb") as file:
        return tomllib.load(file)["roles"]


@dataclass
class Machine:
    """A machine with one process of the system.

    Attributes:
        name: Name of the machine.
        role: Name of the role in the deploy file.
        settings: Settings of the process.
        directory: Folder of the settings file and of the output.
        process: The process; None before the first start.
        exits: Exit codes of processes that nobody had stopped.
    """

    name: str
    role: str
    settings: dict[str, Any]
    directory: Path
    process: subprocess.Popen[bytes] | None = None
    exits: list[int] = field(default_factory=list)

    @property
    def host(self) -> str:
        """Address of the machine."""
        return str(self.settings["ip"])

    def start(self, is_first: bool = False) -> None:
        """Start the process with the command of the deploy file."""
        path = self.directory / f"{self.name}.json"
        path.write_text(json.dumps({**self.settings, "bootstrap": is_first}))
        role = deployed_roles()[self.role]
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment.update(role.get("env", {}))
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["RIDGECOURSE_BOOT"] = str(path)
        with (self.directory / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        with suppress(ProcessLookupError):
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.send_signal(signal.SIGKILL)
            self.process.wait()

    def restart_by_term(self) -> None:
        """Stop the process with SIGTERM, at last with SIGKILL, and start it again."""
        assert self.process is not None
        self.send_signal(signal.SIGTERM)
        try:
            self.process.wait(BOUNDS["grace_s"])
        except subprocess.TimeoutExpired:
            self.kill()
        sleep(RESTART_SECONDS)
        self.start()

    def is_ready(self) -> bool:
        """Return whether the readiness check is answered with 200."""
        with suppress(OSError), socket.create_connection((self.host, READY_PORT), 1.0):
            return ask(self.host, READY_PORT, "/ridgecourse/readyz", {}, 1.0) == 200
        return False


def ask(
    host: str, port: int, path: str, headers: dict[str, str], timeout: float
) -> int:
    """Send a GET or, with an attempt id, a POST; return the status, 0 for none."""
    method = "POST" if "Attempt-Id" in headers else "GET"
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if method == "POST":
        lines.append("Content-Length: 0")
    data = b""
    with suppress(OSError), socket.create_connection((host, port), timeout) as sock:
        sock.settimeout(timeout)
        sock.sendall("\r\n".join([*lines, "Connection: close", "", ""]).encode())
        while received := sock.recv(65536):
            data += received
    words = data.split(maxsplit=2)
    return int(words[1]) if len(words) > 1 else 0


class Site:
    """The deployment of a case.

    Attributes:
        record: What was sent, answered and run.
        store: The platform's store.
        origin: The origin of the weights.
        engines: All engines.
        machines: All machines with a process of the system.
        acknowledged: When each version of the weights was acknowledged.
        has_trouble: Whether the disruption takes place.
    """

    def __init__(self, record: Record) -> None:
        random = Random(os.getpid() * 1000 + int(monotonic() * 100))
        self.net = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}"
        self.record = record
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = tempfile.TemporaryDirectory()
        self.directory = Path(self.temporary.name)
        self.store = Store()
        self.store.start()
        self.origin = Origin(f"{self.net}.250")
        self.origin.start()
        self.engines: list[Engine] = []
        self.machines: list[Machine] = []
        self.acknowledged: dict[int, float] = {1: 0.0}
        self.numbers = count(1)
        self.sent: dict[str, tuple[float, str]] = {}
        self.answers: list[tuple[float, str, str, int]] = []
        self.stopped = Event()
        self.zones = {"mtl-hall-a": "montreal"}

    def make_settings(self, host: str, name: str, zone: str) -> dict[str, Any]:
        """Return the settings that all processes have."""
        return {
            "node_name": name,
            "ip": host,
            "zone": zone,
            "region": self.zones[zone],
            "zones": self.zones,
            "listen": {},
            "internal_port_range": INTERNAL_PORTS,
            "seed_nodes": [f"{self.net}.{i}:{CONTROL_PORT}" for i in (1, 2)],
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {"address": self.store.address},
        }

    def add_gateway(self, number: int, zone: str = "mtl-hall-a") -> Machine:
        """Add a machine with a gateway, not started."""
        host, name = f"{self.net}.{number}", f"edge-{number}"
        settings = self.make_settings(host, name, zone)
        settings["listen"] = {
            "frontend": f"{host}:{FRONT_PORT}",
            "readiness": f"{host}:{READY_PORT}",
            "control_plane": f"{host}:{CONTROL_PORT}",
        }
        settings["limits"] = {"memory_mb": 300, "bandwidth_mbps": EDGE_MBPS}
        machine = Machine(name, "gateway", settings, self.directory)
        self.machines.append(machine)
        return machine

    def add_loader(self, number: int, zone: str = "mtl-hall-a") -> Machine:
        """Add a machine with a model engine, started, and a loader, not started."""
        host, name = f"{self.net}.{number}", f"side-{number}"
        engine = Engine(self.record, self.store, host, zone, f"i-{number}")
        engine.version, engine.staged = 1, dict(enumerate(make_chunks(1)))
        engine.start()
        engine.publish()
        self.engines.append(engine)
        settings = self.make_settings(host, name, zone)
        settings["limits"] = {"memory_mb": 168, "bandwidth_mbps": SIDE_MBPS}
        settings["app"] = engine.address
        settings["service"] = SERVICE
        machine = Machine(name, "loader", settings, self.directory)
        self.machines.append(machine)
        return machine

    def add_plain_engine(self, number: int, zone: str = "mtl-hall-a") -> Engine:
        """Add an engine of the plain service, started and listed."""
        host = f"{self.net}.{number}"
        engine = Engine(self.record, self.store, host, zone, f"i-{number}")
        engine.service = PLAIN
        engine.start()
        engine.publish()
        self.engines.append(engine)
        return engine

    def config(self, version: int, **changes: Any) -> dict[str, Any]:
        """Return a configuration with a route of each kind."""

        def route(prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
            return {
                "name": f"r{prefix}",
                "hostname": HOST,
                "path_prefix": prefix,
                "type": kind,
                "timeout_ms": 6000,
                "target_latency_ms": 406,
                "priority": 1,
                "service": service,
                "max_attempts": 2,
                "public": False,
                **more,
            }

        engine = {
            "slots": 16,
            "kv_capacity_tokens": 317_000,
            "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}],
            "step_ms": 9.27,
            "per_seq_ms": 0.0232,
            "context_per_k": 0.0322,
            "read_per_s": 20_700.0,
            "pairs_per_m": 1.18,
            "chunk": 2048,
            "usual": {"prompt": 979, "answer": 92},
            "layers": LAYERS,
            "chunks": CHUNKS,
            "chunk_bytes": CHUNK_BYTES,
        }
        return {
            "version": version,
            "routes": [
                route("/quote/", "streaming", SERVICE, resumable=True),
                route("/order/", "unsafe", PLAIN),
                route("/look/", "safe", PLAIN),
            ],
            "services": [
                {
                    "name": SERVICE,
                    "health_path": "/healthz",
                    "max_connections": 424,
                    "engine": engine,
                },
                {"name": PLAIN, "health_path": "/healthz", "max_connections": 100},
                {
                    "name": "weights",
                    "origin": self.origin.address,
                    "zone": "mtl-hall-a",
                    "bandwidth_mbps": ORIGIN_MBPS,
                    "max_connections": 48,
                },
            ],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 4_194_304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": [{"name": "shop", "api_keys": [KEY], "priority": 1}],
            **changes,
        }

    def name_version(self, version: int) -> None:
        """Name new weights, as the operator does."""
        self.origin.versions[version] = make_chunks(version)
        self.store.put_version(MODEL, version)
        text = f"version {version} is named and acknowledged"
        self.acknowledged[version] = self.record.add(text)

    def wait_until(self, condition: Callable[[], bool], seconds: float) -> None:
        """Wait until a condition holds.

        Raises:
            CaseFailed: It did not hold in time.
        """
        deadline = monotonic() + seconds
        while not condition():
            if monotonic() > deadline:
                raise CaseFailed("the deployment did not get ready in time")
            sleep(0.02)

    def send(
        self, machine: Machine, path: str, key: str = KEY, deadline_ms: int = 6000
    ) -> None:
        """Send a request to a gateway and record its answer."""
        request = f"{next(self.numbers):04x}-{machine.name}"
        headers = {"Attempt-Id": request, "Key": key, "Deadline-Ms": str(deadline_ms)}
        if path.startswith("/quote/"):
            headers["Model"] = MODEL
            headers["Token-Usage"] = "600,20"
        sent_at = self.record.add(f"client sends {request} {path} to {machine.name}")
        self.sent[request] = sent_at, path
        status = ask(machine.host, FRONT_PORT, path, headers, deadline_ms / 1000 + 0.5)
        self.record.add(f"client gets {status or 'no answer'} for {request}")
        self.answers.append((sent_at, request, machine.name, status))

    def send_steadily(
        self,
        machines: Callable[[], list[Machine]],
        path: str,
        interval: float,
        key: str = KEY,
    ) -> None:
        """Start to send requests to machines in turn until the site is closed."""

        def run() -> None:
            while not self.stopped.wait(interval):
                for machine in machines():
                    arguments = (machine, path, key)
                    Thread(target=self.send, args=arguments, daemon=True).start()

        Thread(target=run, daemon=True).start()

    def close(self) -> None:
        """End all processes and servers."""
        self.stopped.set()
        for machine in self.machines:
            machine.kill()
        for engine in self.engines:
            engine.close()
        self.origin.close()
        self.store.close()
        if folder := os.environ.get("KEEP_LOGS"):
            for path in self.directory.iterdir():
                (Path(folder) / path.name).write_bytes(path.read_bytes())
        self.temporary.cleanup()


class CaseFailed(Exception):
    """The case could not run."""


def run_case(play: Callable[[Site], list[str]], folder: Path) -> None:
    """Play a case, write its record and exit.

    The exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not
    run.

    Args:
        play: Plays the case; returns what broke the rule.
        folder: Folder of the case.
    """
    site: Site | None = None
    record = Record()
    code = 2
    try:
        site = Site(record)
        broken = play(site)
        code = 1 if broken else 0
        for text in broken:
            record.add(f"BROKEN: {text}")
        print("\n".join(broken) or "the rule held")
    except Exception as error:
        # Any other code would be taken for a broken rule.
        record.add(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
    finally:
        if site is not None:
            with suppress(Exception):
                site.close()
        record.write(folder / "record.txt")
    sys.exit(code)
