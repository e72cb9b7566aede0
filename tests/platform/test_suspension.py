"""A process on a machine that was suspended knows how old its decisions are.

The steady clock stands still meanwhile: after five seconds a gateway took what it had
read before them for fresh, and rejected by it.
"""

from collections.abc import Iterator
from pathlib import Path

import pytest
from gateway_site import MODEL, GatewaySite

from ridgecourse_standins.platform.store import StoreMode

SUSPENDED_SECONDS = 5
MORE_THAN_ANY_BOUND = 10
RUNNER = Path(__file__).parent / "suspended.py"


class SuspendedSite(GatewaySite):
    """A gateway on a machine that may be suspended."""

    def __init__(self, directory: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        super().__init__(directory)
        self.seconds = directory / "suspended"
        self.seconds.write_text("0")
        monkeypatch.setenv("SUSPENDED_SECONDS_FILE", str(self.seconds))
        _, *rest = self.gateway.command
        self.gateway.command = [str(RUNNER), *rest]

    def suspend(self, seconds: float) -> None:
        told = self.seconds.with_suffix(".new")
        told.write_text(str(seconds))
        told.replace(self.seconds)


@pytest.fixture
def site(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[SuspendedSite]:
    made = SuspendedSite(tmp_path, monkeypatch)
    yield made
    made.close()


def test_decisions_from_before_a_suspension_reject_nobody(site) -> None:
    site.add_engine("app")
    site.start()
    assert site.ask("/nowhere/")[0] == 404
    site.store.set_mode(StoreMode.SILENT)
    site.suspend(SUSPENDED_SECONDS)
    # Another gateway may know a route by now.
    assert site.ask("/nowhere/")[0] == 503


def test_old_weights_run_nothing_after_a_suspension_beyond_their_bound(site) -> None:
    old = site.add_engine("llm", version=1)
    site.start()
    site.store.put_version(MODEL, 2)
    site.gateway.wait_event("version-named", version="2")
    site.suspend(MORE_THAN_ANY_BOUND)
    extra = ("Model: m0", "Token-Usage: 100,50")
    site.ask("/once-stream/x", method="POST", extra=extra)
    assert all(request.header("Expected-Version") == "2" for request in old.requests)
