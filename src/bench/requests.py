"""Measures the processor time of one gateway for its requests and reads of the store.

Runs the real program between stand-ins of the store and the engines in this process.
Each row states the cost of one unit of work, without what the idle process uses in the
same time.
"""

from argparse import ArgumentParser
from collections.abc import Callable, Iterator, Sequence
from functools import partial
from http.client import HTTPException
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, sleep
from typing import Any, NamedTuple

from msgspec.json import encode
from urllib3.exceptions import HTTPError

from bench.result import print_result
from ridgecourse.net.address import parse_address
from ridgecourse.net.answer_connection import AnswerConnection
from ridgecourse.platform.names import (
    API_KEY_HEADER,
    ATTEMPT_ID_HEADER,
    DEADLINE_HEADER,
    READY_PATH,
)
from ridgecourse_standins.managed_process import ManagedProcess
from ridgecourse_standins.platform.engine import (
    EngineStandIn,
    ReceivedRequest,
    format_event,
    send_chunk,
    send_response,
    send_stream_head,
)
from ridgecourse_standins.platform.loader import LoaderStandIn
from ridgecourse_standins.platform.sample_settings import (
    HOST,
    KEY,
    make_config,
    make_engine_entry,
    make_route,
    make_settings,
)
from ridgecourse_standins.platform.store import StoreStandIn

IDLE_SECONDS = 3.0
"""Time over which the cost of the idle process is measured."""
CONFIG_SECONDS = 1.5
"""Interval between two configurations, by which a gateway has read and applied one."""
HEARTBEAT_SECONDS = 1.2
"""Interval between two writes of an engine's entry, as on the platform."""
REPORT_SECONDS = 1.0
"""Interval between two reports of a loader, so that few of them are measured."""
HEARTBEAT_ROUNDS = 4
CONFIGS = 4
NANOSECONDS_PER_SECOND = 1e9


class Usage(NamedTuple):
    """What a process has used so far.

    Attributes:
        at: Monotonic time, in seconds.
        processor: Processor time of all threads, in seconds.
        wakeups: Number of times that a thread waited and was woken.
    """

    at: float
    processor: float
    wakeups: int


def read_usage(pid: int) -> Usage:
    """Return what a process has used so far."""
    processor, wakeups = 0, 0
    for thread in Path(f"/proc/{pid}/task").iterdir():
        processor += int((thread / "schedstat").read_text().split()[0])
        for line in (thread / "status").read_text().splitlines():
            if line.startswith("voluntary_ctxt_switches"):
                wakeups += int(line.split()[1])
    return Usage(monotonic(), processor / NANOSECONDS_PER_SECOND, wakeups)


def connect_to(address: str, timeout: float) -> AnswerConnection:
    """Return a connection to HOST:PORT whose answers are checked."""
    socket_address = parse_address(address)
    return AnswerConnection(socket_address.host, socket_address.port, timeout=timeout)


class RequestSite:
    """A gateway with stand-ins of the store and of engines that stream events.

    Attributes:
        options: Options of the command line.
        store: Stand-in of the store.
        settings: Settings of the gateway.
        engines: Stand-ins of the engines.
        loaders: Stand-ins of the loaders beside the engines of the model service.
        gateway: The gateway process.
        attempts: Number of requests made so far; numbers the attempt ids.
        version: Version of the next configuration.
    """

    def __init__(self, directory: Path, options: Any) -> None:
        self.options = options
        self.store = StoreStandIn()
        self.settings = make_settings(self.store.address)
        hosts = [f"127.0.1.{number}" for number in range(1, options.engines + 1)]
        self.engines = [EngineStandIn(self.answer, host) for host in hosts]
        control_port = self.settings["internal_port_range"][0]
        self.loaders = [
            LoaderStandIn(host, control_port, report_seconds=REPORT_SECONDS)
            for host in hosts
        ]
        path = directory / "gateway.json"
        path.write_bytes(encode(self.settings))
        command = ["-m", "ridgecourse.platform.gateway_main", str(path)]
        if options.profile:
            command = ["-m", "cProfile", "-o", str(options.profile), *command]
        self.gateway = ManagedProcess("gateway", command, directory)
        self.attempts = 0
        self.version = 1

    def answer(self, request: ReceivedRequest) -> None:
        """Answer a request: a stream at the model service, else a short body."""
        if "/stream/" not in request.request_line:
            send_response(request)
            return
        send_stream_head(request)
        for number in range(1, self.options.events + 1):
            sleep(self.options.event_seconds)
            send_chunk(request, format_event(number))
        send_chunk(request, b"")

    def start(self) -> Usage:
        """Start the gateway; return what it has used when it is ready."""
        self.store.start()
        self.put_config(len(make_config()["routes"]))
        for engine in self.engines:
            engine.start()
        for loader in self.loaders:
            loader.start()
        self.put_targets()
        app = EngineStandIn(self.answer)
        app.start()
        self.engines.append(app)
        self.store.put_target("app", make_engine_entry(app.address, "a", service="app"))
        self.gateway.start()
        while not self.is_ready():
            sleep(0.01)
        return self.usage()

    def put_config(self, routes: int) -> None:
        """Write a configuration with a number of routes, one of them new."""
        config = make_config(self.version)
        missing = routes - len(config["routes"])
        config["routes"].extend(
            make_route(f"/idle-{number}/", "safe", "app")
            for number in range(self.version, self.version + missing)
        )
        self.version += 1
        self.store.put_config(config)

    def put_targets(self, sequence: int = 1) -> None:
        """Write the entries of the engines of the model service."""
        for number, engine in enumerate(self.engines[: self.options.engines]):
            entry = make_engine_entry(engine.address, "a", sequence=sequence)
            self.store.put_target(f"i-{number}", entry)

    def is_ready(self) -> bool:
        """Check whether the gateway is ready for requests."""
        connection = connect_to(self.settings["listen"]["readiness"], 1.0)
        try:
            connection.request("GET", READY_PATH)
            return connection.getresponse().status == 200
        except (OSError, HTTPError, HTTPException):
            return False
        finally:
            connection.close()

    def usage(self) -> Usage:
        """Return what the gateway has used so far."""
        return read_usage(self.gateway.started_process.pid)

    def ask(self, path: str, status: int, key: str = KEY) -> None:
        """Send a request on a new connection and check the status of the answer."""
        self.attempts += 1
        headers = {
            "Host": HOST,
            ATTEMPT_ID_HEADER: f"attempt-{self.attempts}",
            API_KEY_HEADER: key,
            DEADLINE_HEADER: "4000",
        }
        connection = connect_to(self.settings["listen"]["frontend"], 10.0)
        connection.request("GET", path, headers=headers)
        answer = connection.getresponse()
        answer.read()
        connection.close()
        if answer.status != status:
            raise SystemExit(f"{path}: status {answer.status}, expected {status}")

    def close(self) -> None:
        """Stop the gateway and all stand-ins."""
        if self.options.profile and self.gateway.process is not None:
            self.gateway.stop()
        self.gateway.close()
        for engine in self.engines:
            engine.close()
        for loader in self.loaders:
            loader.close()
        self.store.close()


def put_configs(site: RequestSite, routes: int) -> None:
    """Write configurations that differ in one route each."""
    for _ in range(CONFIGS):
        site.put_config(routes)
        sleep(CONFIG_SECONDS)


def put_heartbeats(site: RequestSite) -> None:
    """Write all entries several times."""
    for sequence in range(2, 2 + HEARTBEAT_ROUNDS):
        site.put_targets(sequence)
        sleep(HEARTBEAT_SECONDS)


def ask_often(site: RequestSite, path: str, status: int, key: str = KEY) -> None:
    """Send a number of requests, one after the other."""
    for _ in range(site.options.requests):
        site.ask(path, status, key)


def measure(site: RequestSite) -> Iterator[dict[str, Any]]:
    """Yield the cost of the start, and of each kind of work."""
    started = site.start()
    yield {
        "work": "start",
        "processor_ms": started.processor * 1000.0,
        "wakeups": started.wakeups,
    }
    sleep(IDLE_SECONDS)
    before = site.usage()
    sleep(IDLE_SECONDS)
    after = site.usage()
    idle_processor = (after.processor - before.processor) / (after.at - before.at)
    idle_wakeups = (after.wakeups - before.wakeups) / (after.at - before.at)
    yield {
        "work": "idle second",
        "processor_ms": idle_processor * 1000.0,
        "wakeups": idle_wakeups,
    }
    requests = site.options.requests
    kinds: dict[str, tuple[int, Callable[[], None]]] = {
        "stream": (requests, partial(ask_often, site, "/stream/x", 200)),
        "plain": (requests, partial(ask_often, site, "/safe/x", 200)),
        "refused": (requests, partial(ask_often, site, "/safe/x", 401, "no key")),
        "heartbeats": (HEARTBEAT_ROUNDS, partial(put_heartbeats, site)),
        "config of 200": (CONFIGS, partial(put_configs, site, 200)),
        "config of 2000": (CONFIGS, partial(put_configs, site, 2000)),
    }
    for name in site.options.work or kinds:
        count, run = kinds[name]
        before = site.usage()
        run()
        after = site.usage()
        seconds = after.at - before.at
        processor = after.processor - before.processor - idle_processor * seconds
        wakeups = after.wakeups - before.wakeups - idle_wakeups * seconds
        yield {
            "work": name,
            "processor_ms": processor / count * 1000.0,
            "wakeups": wakeups / count,
        }


def parse_options(argv: Sequence[str]) -> Any:
    """Parse the command line and return the options."""
    parser = ArgumentParser(prog="bench requests", description=__doc__)
    parser.add_argument("--engines", type=int, default=20)
    parser.add_argument("--events", type=int, default=30, help="events of a stream")
    parser.add_argument(
        "--event-seconds", type=float, default=0.004, help="time between two events"
    )
    parser.add_argument("--requests", type=int, default=40)
    parser.add_argument("--work", nargs="*", help="kinds of work; all by default")
    parser.add_argument("--profile", type=Path, help="file for a cProfile profile")
    return parser.parse_args(argv)


def main(argv: list[str]) -> int:
    """Run the benchmark and return the exit code."""
    options = parse_options(argv)
    with TemporaryDirectory() as directory:
        site = RequestSite(Path(directory), options)
        try:
            for row in measure(site):
                print_result(row)
        finally:
            site.close()
    return 0
