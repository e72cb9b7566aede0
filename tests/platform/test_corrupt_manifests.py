"""A manifest that the origin sends corrupt does not stop the rollout of a version.

Guards against manifests that are used as they come. One wrong digit stopped a version
everywhere: its chunk never matched, the manifest was never requested again, and other
processes copied it. After a loss of power no request was served.
"""

from collections.abc import Iterator
from pathlib import Path
from unittest.mock import Mock

import pytest
from gateway_site import MODEL
from test_byte_counters import make_context
from test_loader import LoaderSite

from ridgecourse.core.ids import ChunkDigest, ModelName, WeightsVersion
from ridgecourse.core.manifest import FileEntry, Manifest
from ridgecourse.exchange.catalogue import MAX_MANIFEST_ANSWERS, Catalogue
from ridgecourse.exchange.origin import OriginUnavailable

KEY = ModelName(MODEL), WeightsVersion(2)


@pytest.fixture
def site(tmp_path: Path) -> Iterator[LoaderSite]:
    loader_site = LoaderSite(tmp_path)
    yield loader_site
    loader_site.close()


@pytest.mark.parametrize("corrupt", [1, 2])
def test_an_engine_serves_though_a_manifest_was_corrupt(site, corrupt: int) -> None:
    site.origin.corrupt_manifests = corrupt
    site.start()
    site.store.put_version(MODEL, 2)
    site.wait_serving(2)


def make_manifest(number: int) -> Manifest:
    digest = ChunkDigest(f"{number:064x}")
    return Manifest(1024, (FileEntry("weights", 1024, (digest,)),))


class ListedAnswers:
    """A catalogue whose origin gives the listed answers one after the other."""

    def __init__(self, *answers: Manifest | OriginUnavailable) -> None:
        self.origin = Mock()
        self.origin.manifest.side_effect = answers
        context, _ = make_context(Mock())
        self.catalogue = Catalogue(context, self.origin)

    def find(self) -> Manifest | None:
        holding = self.catalogue.find(KEY, "origin:1", [], 0.0)
        return None if holding is None else holding.manifest


def test_a_manifest_is_used_once_two_answers_agree() -> None:
    right, corrupt = make_manifest(1), make_manifest(2)
    for answers in ([right, right], [corrupt, right, right], [right, corrupt, right]):
        assert ListedAnswers(*answers).find() == right


def test_answers_of_earlier_attempts_count() -> None:
    """An origin that gives every second answer only would otherwise never do."""
    away = OriginUnavailable("away")
    listed = ListedAnswers(make_manifest(1), away, away, make_manifest(1))
    assert [listed.find() for _ in range(3)] == [None, None, make_manifest(1)]


def test_an_attempt_ends_though_no_two_answers_agree() -> None:
    listed = ListedAnswers(*map(make_manifest, range(2 * MAX_MANIFEST_ANSWERS)))
    assert listed.find() is None
    assert listed.origin.manifest.call_count == MAX_MANIFEST_ANSWERS
