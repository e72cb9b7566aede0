"""Fetches that are ended at a stop, and stops that meet an error."""

from collections.abc import Callable, Iterator
from pathlib import Path
from time import monotonic, sleep

import eventlet
import pytest
from gateway_site import MODEL
from test_hubs import HubSite, make_hub
from test_loader import make_chunks

from ridgecourse.core.ids import ModelName, WeightsVersion
from ridgecourse.gateway.hub import Hub
from ridgecourse.net.exit_code import EXIT_FAILED
from ridgecourse.net.process import Process, stop_process

VERSIONS = [(ModelName(MODEL), WeightsVersion(number)) for number in (1, 2, 3)]


class WaitingHub(Hub):
    """A hub whose attempts to fetch wait until they are ended."""

    def _attempt_fetch(self, key: tuple) -> bool:
        eventlet.sleep(60.0)
        return False


@pytest.mark.parametrize("end", [Hub.withdraw, Hub.close])
def test_all_fetches_end_although_each_removes_itself(
    end: Callable[[Hub], None],
) -> None:
    # The loop that ended them raised on the second fetch: the drain of a stopping
    # gateway stopped there, and its requests in progress were cut off.
    hub = make_hub()
    hub.__class__ = WaitingHub
    hub.is_needed = lambda key: True  # type: ignore[method-assign]
    threads = []
    for key in VERSIONS:
        hub.request_version(key)
        threads.append(hub.fetching[key])
    eventlet.sleep(0)
    end(hub)
    assert all(thread.dead for thread in threads)
    assert not hub.fetching


def test_withdrawn_gateway_starts_no_prefetch() -> None:
    # A gateway that stopped soon after its start fetched a version for nobody.
    hub = make_hub()
    hub.prefetch.start()
    eventlet.sleep(0)
    hub.withdraw()
    assert hub.prefetch.thread is not None
    assert hub.prefetch.thread.dead


@pytest.fixture
def hub_site(tmp_path: Path) -> Iterator[HubSite]:
    site = HubSite(tmp_path)
    yield site
    site.close()


def test_gateway_that_fetches_two_versions_stops_without_an_error(
    hub_site: HubSite,
) -> None:
    # The process ended with the error of its first step, 3 s before its listener was
    # to close.
    hub_site.start()
    hub, _ = hub_site.hosts_hub_first()
    gateway = hub_site.gateways[hub]
    hub_site.origin.unreachable = True
    hub_site.origin.versions[3] = make_chunks(3)
    for version in (2, 3):
        hub_site.store.put_version(MODEL, version)
        gateway.wait_event("version-named", version=str(version))
        hub_site.ask(hub, version)
    sleep(0.5)
    stop_started_at = monotonic()
    gateway.started_process.terminate()
    assert gateway.started_process.wait(10) == 0
    assert monotonic() - stop_started_at > 3.0


class FailingProcess(Process):
    """A process whose drain fails."""

    def __init__(self) -> None:
        self.is_closed = False

    def start(self) -> None:
        """Do nothing."""

    def drain(self) -> None:
        """Fail."""
        raise RuntimeError("drain failed")

    def close(self) -> None:
        """Record the call."""
        self.is_closed = True


def test_process_whose_drain_fails_is_closed_and_exits_with_an_error() -> None:
    # The error ended the process without closing it: nothing was flushed or told.
    process = FailingProcess()
    assert stop_process(process) == EXIT_FAILED
    assert process.is_closed
