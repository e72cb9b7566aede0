"""A loader brings versions of weights to its engine, whatever goes wrong."""

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
    """A loader process with its engine, the store and the origin."""

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

    def list_engine(self) -> None:
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


def chunk_calls(site: LoaderSite) -> int:
    return sum("/piece/" in target for _, target in site.origin.calls)


def test_an_empty_engine_is_filled_and_brought_to_each_named_version(
    loader_site,
) -> None:
    loader_site.start()
    loader_site.wait_serving(1)
    loader_site.store.put_version(MODEL, 2)
    loader_site.wait_serving(2)
    # Each chunk of each version was drawn once.
    assert chunk_calls(loader_site) == 2 * CHUNKS


def test_a_spoilt_chunk_is_drawn_again(loader_site) -> None:
    loader_site.origin.corrupt_chunks = {(1, 3), (1, 7)}
    loader_site.start()
    loader_site.wait_serving(1)
    assert chunk_calls(loader_site) == CHUNKS + 2


def test_chunks_that_turn_bad_where_they_lie_are_repaired_before_the_start(
    loader_site,
) -> None:
    bad = [2, 5]

    def spoil(staged: dict[int, bytes]) -> None:
        if len(staged) == CHUNKS:
            while bad:
                staged[bad.pop()] = bytes(CHUNK_BYTES)

    loader_site.engine.corrupt_staged = spoil
    loader_site.start()
    loader_site.wait_serving(1)
    assert bad == []


def test_a_restarted_engine_starts_from_what_lies_staged(loader_site) -> None:
    loader_site.start()
    loader_site.wait_serving(1)
    drawn = chunk_calls(loader_site)
    with loader_site.engine.changed:
        loader_site.engine.version = 0
        loader_site.engine.staged_at_start.clear()
    loader_site.wait_serving(1)
    assert chunk_calls(loader_site) == drawn


def test_a_restarted_loader_takes_the_chunks_from_the_engine(loader_site) -> None:
    loader_site.start()
    loader_site.wait_serving(1)
    drawn = chunk_calls(loader_site)
    loader_site.loader.kill()
    with loader_site.engine.changed:
        loader_site.engine.version = 0
        loader_site.engine.staged_at_start.clear()
    loader_site.loader.start()
    loader_site.wait_serving(1)
    assert chunk_calls(loader_site) == drawn


def test_a_version_named_while_the_store_is_away_is_brought_in_later(
    loader_site,
) -> None:
    loader_site.start()
    loader_site.wait_serving(1)
    loader_site.store.set_mode(StoreMode.DOWN)
    loader_site.store.put_version(MODEL, 2)
    loader_site.store.set_mode(StoreMode.UP)
    loader_site.wait_serving(2)


def test_two_versions_in_quick_succession_end_with_the_newer(loader_site) -> None:
    loader_site.start()
    loader_site.wait_serving(1)
    loader_site.store.put_version(MODEL, 2)
    loader_site.store.put_version(MODEL, 3)
    loader_site.wait_serving(3)


def test_at_the_first_start_of_all_the_engine_is_waited_for(tmp_path) -> None:
    site = LoaderSite(tmp_path, engine_started=False, first_start=True)
    try:
        site.start()
        # Each look at the engine that is not there ends after a second; a loader
        # that waited for no engine would have begun with the origin after three.
        site.loader.wait_event("rollout-phase", 20, after=5, version="0")
        assert chunk_calls(site) == 0
        site.engine.staged = dict(enumerate(site.origin.versions[1]))
        site.engine.start()
        site.wait_serving(1)
        assert chunk_calls(site) == 0
    finally:
        site.close()


def test_a_call_that_is_carried_out_late_spoils_no_start(loader_site) -> None:
    """A chunk of an older version lands on one of the newer, after the last look."""
    loader_site.start()
    loader_site.wait_serving(1)
    engine = loader_site.engine
    engine.late_chunk = loader_site.origin.versions[2][0]
    loader_site.store.put_version(MODEL, 2)
    engine.wait_until(lambda: engine.late_deadline > 0)
    loader_site.store.put_version(MODEL, 3)
    loader_site.wait_serving(3)
