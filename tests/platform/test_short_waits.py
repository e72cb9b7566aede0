"""A loader whose version was whole turned away from it 20 ms before its turn.

What happened: version 2 was whole at the loader 3.93 s after it was named, and its turn
came 4.50 s after that. Version 3 was named meanwhile, with a quarter of it at the hub.
All chunks of version 2 had been read back by 4.48 s; what woke the loader then found it
20 ms short of its turn, and so the loader began with version 3. That took 0.54 s, since
the staging area is read first. The loader turned back at 5.33 s, too late by then for
version 2 to be of use, and served neither until the rest of version 3 could be had.

What settled it: `rollout-phase` of version 2 `staging` at 3.93 s, of version 3
`manifest` at 4.48 s and `transfer` at 5.02 s, `rollout-dropped` of version 3 for the
older one at 5.33 s, and no `version-started` of version 2.
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
WHOLE: VersionKey = (MODEL, WeightsVersion(2))
NEWEST: VersionKey = (MODEL, WeightsVersion(3))
BOUND_SECONDS = 4.5
SHARE_AT_HUB = 0.25
LONG_WAIT_SECONDS = 3.0


def make_watch(monkeypatch: pytest.MonkeyPatch, turn_wait: float) -> TransferWatch:
    """Return the watch of a loader at 4.48 s, whose version 2 is whole."""
    now = Seconds(4.48)
    clock = "ridgecourse.loader.transfer_watch.boottime"
    monkeypatch.setattr(clock, lambda: now)
    history = VersionHistory(BOUND_SECONDS)
    history.record_version(WHOLE[1], now, Seconds(0.0))
    history.record_version(NEWEST[1], now, Seconds(1.39))
    owner = Mock(ordered=None)
    owner.view.history.return_value = history
    owner.site.upload_bytes_per_s = 8000.0
    owner.catalogue.holdings = {WHOLE: Mock(complete=True, share=1.0)}
    owner.catalogue.ask_share.return_value = SHARE_AT_HUB
    owner.turn_wait.return_value = turn_wait
    owner.transfer_seconds.return_value = 0.0
    watch = TransferWatch(owner)
    hub = Mock(domain=owner.site.domain)
    choose_hubs = "ridgecourse.loader.transfer_watch.choose_hubs"
    monkeypatch.setattr(choose_hubs, lambda key, gateways: [hub])
    return watch


def chosen(watch: TransferWatch) -> VersionKey:
    report = EngineReport(None, 1, False, 0, 0, 0, 1)
    model = Mock(model=MODEL, chunks=12, chunk_bytes=2048)
    return watch.choose(model, NEWEST[1], report)


@pytest.mark.parametrize("turn_wait", [0.0, 0.02, 0.5])
def test_a_whole_version_whose_turn_is_near_is_stayed_with(
    monkeypatch, turn_wait
) -> None:
    assert chosen(make_watch(monkeypatch, turn_wait)) == WHOLE


def test_during_a_long_wait_the_newer_version_is_begun(monkeypatch) -> None:
    assert chosen(make_watch(monkeypatch, LONG_WAIT_SECONDS)) == NEWEST


def test_a_loader_is_back_before_its_turn() -> None:
    """What it took above: 0.54 s to begin, 0.31 s until it turned back."""
    assert not allows_newer_fetch(0.54 + 0.31)
    assert allows_newer_fetch(RESUME_SECONDS)
