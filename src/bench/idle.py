"""Measures the processor time of gateways and loaders, idle and under load.

Runs the real programs, with one engine per loader, against stand-ins of the platform
in one other process. Under load, an engine reports a different number of requests at
each poll, so that loaders send a report after every poll.
"""

import os
import sys
from argparse import ArgumentParser
from collections.abc import Iterator, Sequence
from pathlib import Path
from statistics import mean
from tempfile import TemporaryDirectory
from threading import Event, Thread
from time import monotonic, sleep
from typing import Any

from msgspec.json import encode

from bench.result import print_result
from ridgecourse_standins.managed_process import ManagedProcess
from ridgecourse_standins.platform.sample_settings import (
    LAYERS,
    make_config,
    make_engine_entry,
    make_settings,
)
from ridgecourse_standins.platform.store import StoreStandIn
from ridgecourse_standins.platform.weights import StagingEngine
from ridgecourse_standins.ports import LAST_PORT, free_address, free_port

HEARTBEAT_SECONDS = 1.2
"""Interval between two writes of an engine's entry, as on the platform."""
SETTLE_SECONDS = 6.0
"""Time from the last start until the measurement, by which all processes have
discovered each other."""
PROGRESS_SECONDS = 5.0
"""Interval between two progress messages."""
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
DOMAIN = "a"


class LoadedEngine(StagingEngine):
    """An engine stand-in whose reported number of requests changes with each poll.

    Attributes:
        max_active: Highest number of requests reported; 0 for an idle engine.
        poll_count: Number of polls.
    """

    def __init__(self, host: str, max_active: int) -> None:
        super().__init__(LAYERS, host)
        self.version = 1
        self.max_active = max_active
        self.poll_count = 0

    def make_report(self) -> dict[str, Any]:
        """Return the fields of the engine's report."""
        self.poll_count += 1
        active = self.max_active - self.poll_count % 3 if self.max_active else 0
        return {**super().make_report(), "active": active}


class Site:
    """Gateways and loaders of one failure domain, with the store that they use.

    Attributes:
        directory: Directory for settings, logs and profiles.
        profile: Whether to run each process under cProfile.
        store: Stand-in of the platform's store.
        engines: Engine stand-ins, one for each loader.
        ports: First and last internal port.
        seeds: Addresses of the seed nodes.
        processes: Processes by role.
        stopped: Set when heartbeats must end.
        heartbeat_thread: Thread that writes the engines' entries.
    """

    def __init__(
        self, directory: Path, gateways: int, loaders: int, active: int, profile: bool
    ) -> None:
        self.directory = directory
        self.profile = profile
        self.store = StoreStandIn()
        self.engines = [
            LoadedEngine(f"127.0.1.{number}", active)
            for number in range(1, loaders + 1)
        ]
        hosts = [f"127.0.0.{number}" for number in range(2, gateways + 2)]
        listen_addresses = {
            host: {name: free_address(host) for name in ("frontend", "readiness")}
            for host in hosts
        }
        self.ports = [free_port(), LAST_PORT]
        self.seeds = [f"{host}:1" for host in hosts[:3]]
        self.processes = {
            "gateway": [
                self._make_process("gateway", host, listen=listen_addresses[host])
                for host in hosts
            ],
            "loader": [
                self._make_process(
                    "loader",
                    f"127.0.1.{number}",
                    listen={},
                    app=engine.address,
                    service="llm",
                )
                for number, engine in enumerate(self.engines, 1)
            ],
        }
        self.stopped = Event()
        self.heartbeat_thread = Thread(target=self._write_heartbeats, daemon=True)

    def _make_process(
        self, role: str, host: str, **extra_settings: Any
    ) -> ManagedProcess:
        settings = make_settings(
            self.store.address,
            node_name=host,
            ip=host,
            internal_port_range=self.ports,
            seed_nodes=self.seeds,
            **extra_settings,
        )
        path = self.directory / f"{host}.json"
        path.write_bytes(encode(settings))
        command = ["-m", f"ridgecourse.platform.{role}_main", str(path)]
        if self.profile:
            output = self.directory / f"{role}-{host}.profile"
            command = ["-m", "cProfile", "-o", str(output), *command]
        return ManagedProcess(host, command, self.directory)

    def start(self) -> None:
        """Start all processes and wait until each loader knows all gateways."""
        self.store.start()
        self.store.put_config(make_config())
        for engine in self.engines:
            engine.start()
        self.heartbeat_thread.start()
        for process in self.all_processes():
            process.start()
        for loader in self.processes["loader"]:
            loader.wait_event(
                "gateways-known", after=len(self.processes["gateway"]) - 1
            )

    def all_processes(self) -> Iterator[ManagedProcess]:
        """Yield all processes."""
        for processes in self.processes.values():
            yield from processes

    def _write_heartbeats(self) -> None:
        """Write the engines' entries in turn, each every ``HEARTBEAT_SECONDS``."""
        sequence = 0
        while not self.stopped.is_set():
            sequence += 1
            for number, engine in enumerate(self.engines):
                entry = make_engine_entry(engine.address, DOMAIN, sequence=sequence)
                self.store.put_target(f"i-{number}", entry)
                self.stopped.wait(HEARTBEAT_SECONDS / len(self.engines))

    def close(self) -> None:
        """Stop all processes, the engines and the store."""
        self.stopped.set()
        for process in self.all_processes():
            if process.process is not None and self.profile:
                process.stop()
            process.close()
        for engine in self.engines:
            engine.close()
        self.store.close()


def processor_seconds(process: ManagedProcess) -> float:
    """Return the processor time that a process has used, in seconds."""
    stat_line = Path(f"/proc/{process.started_process.pid}/stat").read_text()
    user, system = stat_line.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_SECOND


def wait_with_progress(seconds: float) -> None:
    """Wait and print the progress to standard error."""
    started_at = monotonic()
    while (elapsed := monotonic() - started_at) < seconds:
        print(f"{elapsed:.0f} of {seconds:.0f} s", file=sys.stderr)
        sleep(min(PROGRESS_SECONDS, seconds - elapsed))


def measure(site: Site, seconds: float) -> Iterator[dict[str, Any]]:
    """Yield, for each role, the processor time per process and minute, in seconds."""
    before = {
        process.name: processor_seconds(process) for process in site.all_processes()
    }
    calls_before, started_at = site.store.calls, monotonic()
    wait_with_progress(seconds)
    minutes = (monotonic() - started_at) / 60.0
    for role, processes in site.processes.items():
        used_seconds = [
            processor_seconds(process) - before[process.name] for process in processes
        ]
        yield {
            "role": role,
            "processes": len(processes),
            "processor_per_minute": mean(used_seconds) / minutes,
            "processor_most": max(used_seconds) / minutes,
            "store_calls_per_minute": (site.store.calls - calls_before) / minutes,
        }


def parse_options(argv: Sequence[str]) -> Any:
    """Parse the command line and return the options."""
    parser = ArgumentParser(prog="bench idle", description=__doc__)
    parser.add_argument("--gateways", type=int, default=6)
    parser.add_argument("--loaders", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument(
        "--active",
        type=int,
        default=0,
        help="requests that each engine reports as running",
    )
    parser.add_argument(
        "--profile", type=Path, help="directory for a cProfile profile of each process"
    )
    return parser.parse_args(argv)


def main(argv: list[str]) -> int:
    """Run the benchmark and return the exit code."""
    options = parse_options(argv)
    with TemporaryDirectory() as temporary_directory:
        directory = options.profile or Path(temporary_directory)
        directory.mkdir(parents=True, exist_ok=True)
        site = Site(
            directory,
            options.gateways,
            options.loaders,
            options.active,
            options.profile is not None,
        )
        try:
            site.start()
            wait_with_progress(SETTLE_SECONDS)
            for row in measure(site, options.seconds):
                print_result({**row, "active": options.active})
        finally:
            site.close()
    return 0
