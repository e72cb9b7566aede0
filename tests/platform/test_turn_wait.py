"""A loader keeps an available version whose turn to switch is near.

The tests guard against a failure in which a loader abandoned such a version 20 ms
before its turn. Version 2 was available at the loader 3.93 s after it was named, and
its turn came 4.50 s after it was named. Version 3 was named meanwhile, and the hub had
a quarter of it. All chunks of version 2 had been read back by 4.48 s; the event that
then woke the loader came 20 ms before the turn, so the loader started version 3. This
took 0.54 s, since the staging area is read first. The loader returned to version 2 at
5.33 s, too late for version 2 to be usable, and served neither version until the rest
of version 3 was available.

The events of this failure are `rollout-phase` of version 2 `staging` at 3.93 s, of
version 3 `manifest` at 4.48 s and `transfer` at 5.02 s, `rollout-dropped` of version 3
in favour of the older version at 5.33 s, and no `version-started` of version 2.
"""

from unittest.mock import Mock

import pytest

from ridgecourse.core.ids import ModelName, Seconds, WeightsVersion
from ridgecourse.core.supersession import RESUME_SECONDS, allows_newer_fetch
from ridgecourse.core.weights import VersionHistory
from ridgecourse.exchange.catalogue import VersionKey
from ridgecourse.loader.engine_control import EngineReport
from ridgecourse.loader.transfer_watch import TransferWatch

MODEL = ModelName("m")
AVAILABLE: VersionKey = (MODEL, WeightsVersion(2))
NEWEST: VersionKey = (MODEL, WeightsVersion(3))
VERSION_DEADLINE_SECONDS = 4.5
HUB_SHARE = 0.25
LONG_WAIT_SECONDS = 3.0


def make_watch(monkeypatch: pytest.MonkeyPatch, turn_wait: float) -> TransferWatch:
    """Return the transfer watch of a loader at 4.48 s, with version 2 available."""
    now = Seconds(4.48)
    clock = "ridgecourse.loader.transfer_watch.boottime"
    monkeypatch.setattr(clock, lambda: now)
    history = VersionHistory(VERSION_DEADLINE_SECONDS)
    history.record_version(AVAILABLE[1], now, Seconds(0.0))
    history.record_version(NEWEST[1], now, Seconds(1.39))
    owner = Mock(ordered=None)
    owner.view.history.return_value = history
    owner.site.upload_bytes_per_s = 8000.0
    owner.catalogue.holdings = {AVAILABLE: Mock(complete=True, share=1.0)}
    owner.catalogue.ask_share.return_value = HUB_SHARE
    owner.turn_wait.return_value = turn_wait
    owner.transfer_seconds.return_value = 0.0
    watch = TransferWatch(owner)
    hub = Mock(domain=owner.site.domain)
    choose_hubs = "ridgecourse.loader.transfer_watch.choose_hubs"
    monkeypatch.setattr(choose_hubs, lambda key, gateways: [hub])
    return watch


def choose_version(watch: TransferWatch) -> VersionKey:
    report = EngineReport(None, 1, False, 0, 0, 0, 1)
    model = Mock(model=MODEL, chunks=12, chunk_bytes=2048)
    return watch.choose(model, NEWEST[1], report)


@pytest.mark.parametrize("turn_wait", [0.0, 0.02, 0.5])
def test_loader_keeps_available_version_whose_turn_is_near(
    monkeypatch, turn_wait
) -> None:
    assert choose_version(make_watch(monkeypatch, turn_wait)) == AVAILABLE


def test_loader_starts_newer_version_during_long_wait(monkeypatch) -> None:
    assert choose_version(make_watch(monkeypatch, LONG_WAIT_SECONDS)) == NEWEST


def test_newer_fetch_is_allowed_only_if_loader_can_return_before_its_turn() -> None:
    """Check the durations of the failure: 0.54 s to start, 0.31 s until the return."""
    assert not allows_newer_fetch(0.54 + 0.31)
    assert allows_newer_fetch(RESUME_SECONDS)
