"""Chunks of a version that are staged at the engine before the version is complete.

Guards against a loader that fetches all chunks of a version again after a restart. The
staging area of the engine outlives the loader, but a version was staged only when all
of its chunks were available. 5 loaders were stopped 27.0 s after the start of a run in
which version 3 was named at 21.0 s. They restarted without any chunk, over links on
which a copy takes 5 s. Staged chunks of older weights are of no use once no request may
start on these weights.
"""

from collections.abc import Iterator
from pathlib import Path

import pytest
from gateway_site import MODEL
from test_loader import CHUNKS, LoaderSite

FETCHED_COUNT = 5


@pytest.fixture
def loader_site(tmp_path: Path) -> Iterator[LoaderSite]:
    site = LoaderSite(tmp_path)
    yield site
    site.close()


def count_staged(site: LoaderSite, version: int) -> int:
    """Return the number of staged chunks of a version."""
    chunks = site.origin.versions[version]
    staged = dict(site.engine.staged)
    return sum(staged.get(index) == chunk for index, chunk in enumerate(chunks))


def limit_origin(site: LoaderSite) -> None:
    """Limit the origin to ``FETCHED_COUNT`` further chunks."""
    site.origin.send_limit = site.origin.sent + FETCHED_COUNT


def test_a_killed_loader_reuses_the_chunks_it_staged(loader_site) -> None:
    """A loader without peers cannot learn when a version was named.

    Therefore it treats the version as required.
    """
    site = loader_site
    site.start()
    site.wait_serving(1)
    site.loader.kill()
    site.store.put_version(MODEL, 2)
    limit_origin(site)
    site.loader.start()
    site.engine.wait_until(lambda: count_staged(site, 2) == FETCHED_COUNT, 30.0)
    site.loader.kill()
    call_count = len(site.origin.calls)
    site.origin.release()
    site.loader.start()
    site.wait_serving(2)
    fetched = [
        target for _, target in site.origin.calls[call_count:] if "/piece/" in target
    ]
    assert len(set(fetched)) == CHUNKS - FETCHED_COUNT


def test_staged_chunks_are_kept_while_requests_may_start_on_them(loader_site) -> None:
    """An engine that crashes in the meantime can start from no other chunks."""
    site = loader_site
    site.start()
    site.wait_serving(1)
    limit_origin(site)
    site.store.put_version(MODEL, 2)
    site.origin.wait_until(lambda: site.origin.sent == site.origin.send_limit)
    reported = [
        event
        for event in site.loader.events()
        if event.get("kind") == "transfer-progress"
    ]
    site.loader.wait_event("transfer-progress", after=len(reported) + 1)
    assert count_staged(site, 1) == CHUNKS
