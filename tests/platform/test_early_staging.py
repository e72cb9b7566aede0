"""What a loader had drawn of a version was lost when its process was stopped.

The engine's staging area outlasts the loader, but a version was staged once all of its
chunks were there. Five loaders were stopped at 27.0 s of a day on which version 3 was
named at 21.0 s, and began again with nothing, over links on which a copy takes 5 s.
Once no request may begin on older weights, what lies staged of them is of no use.
"""

from collections.abc import Iterator
from pathlib import Path

import pytest
from gateway_site import MODEL
from test_loader import CHUNKS, LoaderSite

DRAWN = 5


@pytest.fixture
def loader_site(tmp_path: Path) -> Iterator[LoaderSite]:
    site = LoaderSite(tmp_path)
    yield site
    site.close()


def count_staged(site: LoaderSite, version: int) -> int:
    """Return how many chunks of a version lie staged."""
    chunks = site.origin.versions[version]
    staged = dict(site.engine.staged)
    return sum(staged.get(index) == chunk for index, chunk in enumerate(chunks))


def hold_back(site: LoaderSite) -> None:
    """Have the origin send a few more chunks only."""
    site.origin.send_limit = site.origin.sent + DRAWN


def test_a_loader_that_is_killed_finds_what_it_drew(loader_site) -> None:
    """A loader that starts alone can't date the name: it counts as required."""
    site = loader_site
    site.start()
    site.wait_serving(1)
    site.loader.kill()
    site.store.put_version(MODEL, 2)
    hold_back(site)
    site.loader.start()
    site.engine.wait_until(lambda: count_staged(site, 2) == DRAWN, 30.0)
    site.loader.kill()
    calls = len(site.origin.calls)
    site.origin.release()
    site.loader.start()
    site.wait_serving(2)
    drawn = [target for _, target in site.origin.calls[calls:] if "/piece/" in target]
    assert len(set(drawn)) == CHUNKS - DRAWN


def test_what_lies_staged_stays_while_requests_may_begin_on_it(loader_site) -> None:
    """An engine that crashes meanwhile has nothing else to start from."""
    site = loader_site
    site.start()
    site.wait_serving(1)
    hold_back(site)
    site.store.put_version(MODEL, 2)
    site.origin.wait_until(lambda: site.origin.sent == site.origin.send_limit)
    told = [e for e in site.loader.events() if e.get("kind") == "transfer-progress"]
    site.loader.wait_event("transfer-progress", after=len(told) + 1)
    assert count_staged(site, 1) == CHUNKS
