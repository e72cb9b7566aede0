"""A process on a machine that was suspended knows the age of its decisions.

The monotonic clock stands still during a suspension. The tests guard against a failure
in which a gateway took decisions read before a suspension of 5 s for fresh, and
rejected requests by them.
"""

from collections.abc import Iterator
from pathlib import Path

import pytest
from gateway_site import MODEL, GatewaySite

from ridgecourse_standins.platform.store import StoreMode

SUSPENDED_SECONDS = 5
SECONDS_BEYOND_ALL_BOUNDS = 10
SUSPENDED_RUNNER = Path(__file__).parent / "run_suspended.py"


class SuspendedSite(GatewaySite):
    """A gateway on a machine whose suspension can be simulated.

    Attributes:
        seconds_file: File with the simulated length of the suspension in seconds.
    """

    def __init__(self, directory: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        super().__init__(directory)
        self.seconds_file = directory / "suspended"
        self.seconds_file.write_text("0")
        monkeypatch.setenv("SUSPENDED_SECONDS_FILE", str(self.seconds_file))
        _, *arguments = self.gateway.command
        self.gateway.command = [str(SUSPENDED_RUNNER), *arguments]

    def suspend(self, seconds: float) -> None:
        new_file = self.seconds_file.with_suffix(".new")
        new_file.write_text(str(seconds))
        new_file.replace(self.seconds_file)


@pytest.fixture
def site(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[SuspendedSite]:
    suspended_site = SuspendedSite(tmp_path, monkeypatch)
    yield suspended_site
    suspended_site.close()


def test_decisions_from_before_suspension_reject_no_request(site) -> None:
    site.add_engine("app")
    site.start()
    assert site.ask("/nowhere/")[0] == 404
    site.store.set_mode(StoreMode.SILENT)
    site.suspend(SUSPENDED_SECONDS)
    # Another gateway may know a newer route, so this gateway must not reject.
    assert site.ask("/nowhere/")[0] == 503


def test_old_weights_run_no_request_after_suspension_beyond_their_bound(site) -> None:
    old_engine = site.add_engine("llm", version=1)
    site.start()
    site.store.put_version(MODEL, 2)
    site.gateway.wait_event("version-named", version="2")
    site.suspend(SECONDS_BEYOND_ALL_BOUNDS)
    extra = ("Model: m0", "Token-Usage: 100,50")
    site.ask("/once-stream/x", method="POST", extra=extra)
    assert all(
        request.header("Expected-Version") == "2" for request in old_engine.requests
    )
