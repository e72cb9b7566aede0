"""Measures the processor time of gateways and loaders, idle and at their load.

Real programs, each with an engine of its own beside a loader, against stand-ins of the
platform in one other process. At a load, engines tell another number of requests at
each look, so that reports go out as often as loaders look.
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
from ridgecourse_standins.managed import Managed
from ridgecourse_standins.platform.site import (
    LAYERS,
    make_config,
    make_engine_entry,
    make_settings,
)
from ridgecourse_standins.platform.store import StoreStandIn
from ridgecourse_standins.platform.weights import StagingEngine
from ridgecourse_standins.ports import LAST_PORT, free_address, free_port

HEARTBEAT_SECONDS = 1.2
"""Between two writes of an engine's entry, as on the platform."""
SETTLE_SECONDS = 6.0
"""From the last start until processor time counts: all have met by then."""
PROGRESS_SECONDS = 5.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
DOMAIN = "a"


class LoadedEngine(StagingEngine):
    """An engine whose number of requests changes with each look.

    Attributes:
        most: Requests that it tells at most; 0 for an idle engine.
        looks: Looks so far.
    """

    def __init__(self, host: str, most: int) -> None:
        super().__init__(LAYERS, host)
        self.version = 1
        self.most = most
        self.looks = 0

    def describe(self) -> dict[str, Any]:
        """Return the report's fields."""
        self.looks += 1
        active = self.most - self.looks % 3 if self.most else 0
        return {**super().describe(), "active": active}


class Site:
    """Gateways and loaders of one failure domain around a store.

    Attributes:
        processes: The programs, by role.
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
        listens = {
            host: {name: free_address(host) for name in ("frontend", "readiness")}
            for host in hosts
        }
        self.ports = [free_port(), LAST_PORT]
        self.seeds = [f"{host}:1" for host in hosts[:3]]
        self.processes = {
            "gateway": [
                self._make("gateway", host, listen=listens[host]) for host in hosts
            ],
            "loader": [
                self._make(
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
        self.heart = Thread(target=self._beat, daemon=True)

    def _make(self, role: str, host: str, **more: Any) -> Managed:
        settings = make_settings(
            self.store.address,
            node_name=host,
            ip=host,
            internal_port_range=self.ports,
            seed_nodes=self.seeds,
            **more,
        )
        path = self.directory / f"{host}.json"
        path.write_bytes(encode(settings))
        command = ["-m", f"ridgecourse.platform.{role}_main", str(path)]
        if self.profile:
            output = self.directory / f"{role}-{host}.profile"
            command = ["-m", "cProfile", "-o", str(output), *command]
        return Managed(host, command, self.directory)

    def start(self) -> None:
        """Start all, and wait until gateways follow the engines."""
        self.store.start()
        self.store.put_config(make_config())
        for engine in self.engines:
            engine.start()
        self.heart.start()
        for process in self.all():
            process.start()
        for loader in self.processes["loader"]:
            loader.wait_event(
                "gateways-known", after=len(self.processes["gateway"]) - 1
            )

    def all(self) -> Iterator[Managed]:
        """Yield all programs."""
        for processes in self.processes.values():
            yield from processes

    def _beat(self) -> None:
        """Write the engines' entries, one after the other."""
        turns = 0
        while not self.stopped.is_set():
            turns += 1
            for number, engine in enumerate(self.engines):
                entry = make_engine_entry(engine.address, DOMAIN, sequence=turns)
                self.store.put_target(f"i-{number}", entry)
                self.stopped.wait(HEARTBEAT_SECONDS / len(self.engines))

    def close(self) -> None:
        """End all."""
        self.stopped.set()
        for process in self.all():
            if process.process is not None and self.profile:
                process.stop()
            process.close()
        for engine in self.engines:
            engine.close()
        self.store.close()


def processor_seconds(process: Managed) -> float:
    """Return the processor time that a process has used so far."""
    text = Path(f"/proc/{process.running.pid}/stat").read_text()
    user, system = text.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_SECOND


def watch(seconds: float) -> None:
    """Wait, and tell on standard error how far it is."""
    begun = monotonic()
    while (passed := monotonic() - begun) < seconds:
        print(f"{passed:.0f} of {seconds:.0f} s", file=sys.stderr)
        sleep(min(PROGRESS_SECONDS, seconds - passed))


def measure(site: Site, seconds: float) -> Iterator[dict[str, Any]]:
    """Yield the processor seconds that each role takes a process-minute."""
    before = {process.name: processor_seconds(process) for process in site.all()}
    calls, begun = site.store.calls, monotonic()
    watch(seconds)
    minutes = (monotonic() - begun) / 60.0
    for role, processes in site.processes.items():
        used = [processor_seconds(p) - before[p.name] for p in processes]
        yield {
            "role": role,
            "processes": len(processes),
            "processor_per_minute": mean(used) / minutes,
            "processor_most": max(used) / minutes,
            "store_calls_per_minute": (site.store.calls - calls) / minutes,
        }


def parse(argv: Sequence[str]) -> Any:
    """Return the options."""
    parser = ArgumentParser(prog="bench idle", description=__doc__)
    parser.add_argument("--gateways", type=int, default=6)
    parser.add_argument("--loaders", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument(
        "--active", type=int, default=0, help="requests that each engine runs"
    )
    parser.add_argument(
        "--profile", type=Path, help="folder for a profile of each process (cProfile)"
    )
    return parser.parse_args(argv)


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    options = parse(argv)
    with TemporaryDirectory() as scratch:
        directory = options.profile or Path(scratch)
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
            watch(SETTLE_SECONDS)
            for row in measure(site, options.seconds):
                print_result({**row, "active": options.active})
        finally:
            site.close()
    return 0
