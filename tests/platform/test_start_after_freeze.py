"""An engine is not started from chunks that were verified before a freeze.

Guards against a failure in which an instance froze for 3.5 s between the check of some
staged chunks and the order to start the engine. Chunks that had turned corrupt at the
beginning of the freeze were started from: tokens came from corrupt layers until the
next version. The clock is moved at a given step, since a process that waits for an
answer when a freeze begins times out on waking and checks again by chance.
"""

from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest
from test_loader import CHUNKS, make_chunks
from urllib3.connection import HTTPConnection

from ridgecourse.core.ids import ModelName, WeightsVersion
from ridgecourse.core.manifest import FileEntry, Manifest
from ridgecourse.exchange.context import sha256_digest
from ridgecourse.exchange.store import ChunkStore
from ridgecourse.loader import engine_start as engine_start_module
from ridgecourse.loader import rollout as rollout_module
from ridgecourse.loader import staging as staging_module
from ridgecourse.loader.engine_control import EngineUnavailable
from ridgecourse.loader.rollout import Rollout
from ridgecourse.loader.staging import Staging
from ridgecourse.net import clock, kept_connections
from ridgecourse.net.http_client import HttpClient
from ridgecourse.platform.engine import PlatformEngine
from ridgecourse.platform.origin import WEIGHTS_FILE
from ridgecourse_standins.platform.weights import StagingEngine

FREEZE_SECONDS = 3.5
KEY = ModelName("m0"), WeightsVersion(2)
SLOW_READ_SECONDS = 0.25
"""Duration of each read of a chunk at a slow engine; a pass takes 3 s."""
MAX_STEPS = 4


class FreezingLoader:
    """A rollout with a real client of a staging engine, and a clock that can jump.

    Attributes:
        engine: The engine.
        key: The version that is complete in the loader.
        chunks: Chunks of that version.
        passes: Complete passes over the staging area.
        frozen: Whether the instance has been frozen.
    """

    def __init__(self) -> None:
        self.offset = 0.0
        self.passes = 0
        self.frozen = False
        self.engine = StagingEngine(layers=16)
        self.engine.staged = dict(enumerate(make_chunks(2)))
        self.engine.start()
        self.http = HttpClient()
        self.control = PlatformEngine(self.engine.address, self.http, "127.0.0.1")
        store = ChunkStore(1 << 20)
        self.context = SimpleNamespace(store=store, digest=sha256_digest, events=Mock())
        self.set_version(KEY[1])
        self.rollout = self.make_rollout()

    def set_version(self, version: int) -> None:
        """Make a version the one that is complete in the loader."""
        self.key = KEY[0], WeightsVersion(version)
        self.chunks = make_chunks(version)
        size = sum(map(len, self.chunks))
        entry = FileEntry(WEIGHTS_FILE, size, tuple(self.digests()))
        manifest = Manifest(len(self.chunks[0]), (entry,))
        self.holding = SimpleNamespace(manifest=manifest, root=f"root-{version}")
        for digest, chunk in zip(self.digests(), self.chunks, strict=True):
            self.context.store.put(digest, chunk)

    def digests(self) -> list[Any]:
        return [sha256_digest(chunk) for chunk in self.chunks]

    def make_rollout(self) -> Rollout:
        site = Mock(first_start=False)
        rollout = Rollout(
            site,
            Mock(),
            self.context,  # type: ignore[arg-type]
            Mock(),
            self.control,
            Mock(),
            Mock(),
            (1, 2),
        )
        rollout.turn_wait = lambda key, report: 0.0  # type: ignore[method-assign]
        return rollout

    def now(self) -> float:
        return clock.boottime() + self.offset

    def freeze(self) -> None:
        """Let a chunk turn corrupt, and time pass, once."""
        if not self.frozen:
            self.frozen = True
            self.engine.staged[0] = bytes(len(self.chunks[0]))
            self.offset += FREEZE_SECONDS

    def step(self) -> float:
        """Run one step of the rollout, in which the version is complete."""
        staging = Staging(self.context, self.control, KEY[0])  # type: ignore[arg-type]
        return self.rollout._stage_and_start(
            self.key,
            self.holding,  # type: ignore[arg-type]
            staging,
            self.control.report(),
        )

    def run(self) -> None:
        """Run steps until the engine has been started."""
        for _ in range(MAX_STEPS):
            self.step()
            if self.engine.version == KEY[1]:
                return

    def close(self) -> None:
        self.engine.close()


@pytest.fixture
def loader(monkeypatch: pytest.MonkeyPatch) -> Iterator[FreezingLoader]:
    freezing_loader = FreezingLoader()
    modules = rollout_module, engine_start_module, staging_module, kept_connections
    for module in modules:
        monkeypatch.setattr(module, "boottime", freezing_loader.now, raising=False)
    yield freezing_loader
    freezing_loader.close()


def freeze_in_check(loader: FreezingLoader, _: pytest.MonkeyPatch) -> None:
    """Freeze in the middle of the last check."""
    watch_last_check(loader, CHUNKS // 2, loader.freeze)


def freeze_after_check(loader: FreezingLoader, _: pytest.MonkeyPatch) -> None:
    """Freeze after the last chunk was read, before the report."""
    watch_last_check(loader, CHUNKS - 1, loader.freeze)


def freeze_after_report(
    loader: FreezingLoader, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Freeze after the report that follows the last check."""
    is_checked: list[bool] = []
    watch_last_check(loader, CHUNKS - 1, lambda: is_checked.append(True))
    read_report = loader.control.report

    def report() -> Any:
        result = read_report()
        if is_checked:
            loader.freeze()
        return result

    monkeypatch.setattr(loader.control, "report", report)


def freeze_in_connect(loader: FreezingLoader, monkeypatch: pytest.MonkeyPatch) -> None:
    """Freeze while the connection for the order is opened."""
    is_checked: list[bool] = []

    def close_idle_connections() -> None:
        loader.http.close()
        is_checked.append(True)

    watch_last_check(loader, CHUNKS - 1, close_idle_connections)
    connect = HTTPConnection.connect

    def connect_slowly(connection: HTTPConnection) -> None:
        connect(connection)
        if is_checked:
            loader.freeze()

    monkeypatch.setattr(HTTPConnection, "connect", connect_slowly)


def watch_last_check(
    loader: FreezingLoader, index: int, act: Callable[[], None]
) -> None:
    """Act when the last check before the start reads a chunk."""

    def watch(read_index: int) -> None:
        loader.passes += read_index == 0
        if loader.passes == 2 and read_index == index:
            act()

    loader.engine.on_staging_read = watch


@pytest.mark.parametrize(
    "arrange",
    [freeze_in_check, freeze_after_check, freeze_after_report, freeze_in_connect],
)
def test_chunk_corrupt_since_before_a_freeze_is_repaired_before_the_start(
    loader: FreezingLoader,
    monkeypatch: pytest.MonkeyPatch,
    arrange: Callable[[FreezingLoader, pytest.MonkeyPatch], None],
) -> None:
    # A start order that relied on checks from before a freeze gave corrupt tokens.
    arrange(loader, monkeypatch)
    loader.run()
    assert loader.frozen
    assert loader.engine.staged_at_start[KEY[1]] == dict(enumerate(loader.chunks))


def test_repeated_start_order_is_sent_only_after_a_new_check(
    loader: FreezingLoader,
) -> None:
    # The checks that preceded a lost order say nothing about the next order.
    loader.run()
    assert loader.engine.orders == 1
    loader.engine.version = 0
    loader.engine.staged[3] = b""
    loader.run()
    assert loader.engine.orders == 2
    assert loader.engine.staged_at_start[KEY[1]] == dict(enumerate(loader.chunks))


def test_engine_too_slow_for_the_longest_age_of_a_check_is_started(
    loader: FreezingLoader,
) -> None:
    # A check that starts over whenever it took too long would never end here.
    def pass_time(_: int) -> None:
        loader.offset += SLOW_READ_SECONDS

    loader.engine.on_staging_read = pass_time
    loader.run()
    assert loader.engine.version == KEY[1]


def test_freeze_at_a_slow_engine_outdates_the_checks(loader: FreezingLoader) -> None:
    # The longer bound of a slow engine must not excuse a freeze.
    def pass_time(index: int) -> None:
        loader.offset += SLOW_READ_SECONDS
        loader.passes += index == 0
        if loader.passes == 2 and index == CHUNKS // 2:
            loader.freeze()

    loader.engine.on_staging_read = pass_time
    loader.run()
    assert loader.frozen
    assert loader.engine.staged_at_start[KEY[1]] == dict(enumerate(loader.chunks))


def test_write_that_was_pending_at_a_freeze_delays_the_start_after_it(
    loader: FreezingLoader,
) -> None:
    # A write of an older chunk, carried out late, got among chunks just verified.
    write, pending = loader.control.stage, []

    def stage(model: ModelName, index: int, data: bytes) -> None:
        if not pending:
            pending.append(index)
            raise EngineUnavailable("no answer")
        write(model, index, data)

    loader.control.stage = stage  # type: ignore[method-assign]
    loader.engine.staged.pop(5)
    loader.rollout._step = loader.step  # type: ignore[assignment, method-assign]
    loader.rollout._run_step()
    assert pending
    loader.offset += FREEZE_SECONDS
    loader.rollout._run_step()
    assert loader.engine.orders == 0
    loader.offset += 0.5
    loader.rollout._run_step()
    assert loader.engine.orders == 0
    for _ in range(4):
        loader.offset += 0.5
        loader.rollout._run_step()
    assert loader.engine.version == KEY[1]


def test_late_start_order_finds_no_chunks_of_another_version(
    loader: FreezingLoader,
) -> None:
    # An order whose answer was lost started the engine from chunks of two versions.
    loader.engine.loses_next_order = True
    loader.step()
    assert (loader.engine.orders, loader.engine.version) == (1, 0)
    loader.set_version(3)
    loader.offset += FREEZE_SECONDS
    loader.step()
    assert loader.engine.staged == dict(enumerate(make_chunks(2)))
    for _ in range(5):
        loader.offset += 0.5
        loader.step()
    assert loader.engine.staged_at_start[3] == dict(enumerate(make_chunks(3)))
