"""Tests that a loader stages weights and starts its engine despite faults."""

from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

import pytest
from gateway_site import LAYERS, MODEL, make_config, make_settings
from msgspec.json import encode

from ridgecourse_standins.managed_process import ManagedProcess
from ridgecourse_standins.platform.store import StoreMode, StoreStandIn
from ridgecourse_standins.platform.weights import OriginStandIn, StagingEngine
from ridgecourse_standins.ports import free_port

CHUNKS = 12
CHUNK_BYTES = 2048


def make_chunks(seed: int) -> list[bytes]:
    random = Random(seed)
    return [random.randbytes(CHUNK_BYTES) for _ in range(CHUNKS)]


class LoaderSite:
    """A loader process with stand-ins of its engine, the store and the origin."""

    seeds: tuple[str, ...] = ()

    def __init__(
        self,
        directory: Path,
        engine_started: bool = True,
        first_start: bool = False,
    ) -> None:
        self.store = StoreStandIn()
        self.engine = StagingEngine(LAYERS)
        self.origin = OriginStandIn()
        self.origin.versions = {n: make_chunks(n) for n in (1, 2, 3)}
        self.store.start()
        self.origin.start()
        if engine_started:
            self.engine.start()
        port = free_port()
        self.ports = [port, port + 9]
        settings = make_settings(
            self.store.address,
            node_name="side-a-1",
            listen={},
            internal_port_range=self.ports,
            seed_nodes=self.seeds,
            bootstrap=first_start,
            app=self.engine.address,
            service="llm",
        )
        path = directory / "node.json"
        path.write_bytes(encode(settings))
        command = ["-m", "ridgecourse.platform.loader_main", str(path)]
        self.loader = ManagedProcess("loader", command, directory)

    def config(self) -> dict[str, Any]:
        config = make_config()
        engine = config["services"][0]["engine"]
        engine.update(chunks=CHUNKS, chunk_bytes=CHUNK_BYTES)
        config["services"][3]["origin"] = self.origin.address
        return config

    def register_engine(self) -> None:
        entry: dict[str, Any] = {
            "service": "llm",
            "address": self.engine.address,
            "zone": "a",
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        if self.engine.version:
            held = {"name": MODEL, "version": self.engine.version, "adapters": []}
            entry["models"] = [held]
        self.store.put_target("i-0", entry)

    def start(self) -> None:
        self.store.put_config(self.config())
        self.loader.start()

    def wait_serving(self, version: int) -> None:
        self.engine.wait_until(lambda: self.engine.version == version, 30.0)
        staged = self.engine.staged_at_start[version]
        assert [staged[n] for n in range(CHUNKS)] == self.origin.versions[version]

    def close(self) -> None:
        if self.loader.process is not None:
            self.loader.kill()
        for stand_in in (self.store, self.engine, self.origin):
            stand_in.close()


@pytest.fixture
def loader_site(tmp_path: Path) -> Iterator[LoaderSite]:
    site = LoaderSite(tmp_path)
    yield site
    site.close()


def count_chunk_requests(site: LoaderSite) -> int:
    return sum("/piece/" in target for _, target in site.origin.calls)


def test_engine_without_weights_gets_each_announced_version(
    loader_site,
) -> None:
    loader_site.start()
    loader_site.wait_serving(1)
    loader_site.store.put_version(MODEL, 2)
    loader_site.wait_serving(2)
    # Each chunk of each version was fetched once.
    assert count_chunk_requests(loader_site) == 2 * CHUNKS


def test_corrupt_chunk_is_fetched_again(loader_site) -> None:
    loader_site.origin.corrupt_chunks = {(1, 3), (1, 7)}
    loader_site.start()
    loader_site.wait_serving(1)
    assert count_chunk_requests(loader_site) == CHUNKS + 2


def test_chunks_corrupted_in_staging_are_repaired_before_the_start(
    loader_site,
) -> None:
    indexes_to_corrupt = [2, 5]

    def corrupt(staged: dict[int, bytes]) -> None:
        if len(staged) == CHUNKS:
            while indexes_to_corrupt:
                staged[indexes_to_corrupt.pop()] = bytes(CHUNK_BYTES)

    loader_site.engine.corrupt_staged = corrupt
    loader_site.start()
    loader_site.wait_serving(1)
    assert indexes_to_corrupt == []


def test_restarted_engine_starts_from_the_staged_chunks(loader_site) -> None:
    loader_site.start()
    loader_site.wait_serving(1)
    fetch_count = count_chunk_requests(loader_site)
    with loader_site.engine.changed:
        loader_site.engine.version = 0
        loader_site.engine.staged_at_start.clear()
    loader_site.wait_serving(1)
    assert count_chunk_requests(loader_site) == fetch_count


def test_restarted_loader_reuses_the_chunks_staged_at_the_engine(loader_site) -> None:
    loader_site.start()
    loader_site.wait_serving(1)
    fetch_count = count_chunk_requests(loader_site)
    loader_site.loader.kill()
    with loader_site.engine.changed:
        loader_site.engine.version = 0
        loader_site.engine.staged_at_start.clear()
    loader_site.loader.start()
    loader_site.wait_serving(1)
    assert count_chunk_requests(loader_site) == fetch_count


def test_version_announced_during_a_store_outage_is_fetched_later(
    loader_site,
) -> None:
    loader_site.start()
    loader_site.wait_serving(1)
    loader_site.store.set_mode(StoreMode.DOWN)
    loader_site.store.put_version(MODEL, 2)
    loader_site.store.set_mode(StoreMode.UP)
    loader_site.wait_serving(2)


def test_newer_of_two_versions_in_quick_succession_is_served(loader_site) -> None:
    loader_site.start()
    loader_site.wait_serving(1)
    loader_site.store.put_version(MODEL, 2)
    loader_site.store.put_version(MODEL, 3)
    loader_site.wait_serving(3)


def test_loader_waits_for_the_engine_at_the_first_start(tmp_path) -> None:
    site = LoaderSite(tmp_path, engine_started=False, first_start=True)
    try:
        site.start()
        # Each poll of the missing engine fails after 1 s; a loader that did not wait
        # for the engine would have called the origin after 3 s.
        site.loader.wait_event("rollout-phase", 20, after=5, version="0")
        assert count_chunk_requests(site) == 0
        site.engine.staged = dict(enumerate(site.origin.versions[1]))
        site.engine.start()
        site.wait_serving(1)
        assert count_chunk_requests(site) == 0
    finally:
        site.close()


def test_late_staging_write_corrupts_no_start(loader_site) -> None:
    """A chunk of an older version overwrites a newer chunk after the last check."""
    loader_site.start()
    loader_site.wait_serving(1)
    engine = loader_site.engine
    engine.late_chunk = loader_site.origin.versions[2][0]
    loader_site.store.put_version(MODEL, 2)
    engine.wait_until(lambda: engine.late_deadline > 0)
    loader_site.store.put_version(MODEL, 3)
    loader_site.wait_serving(3)
