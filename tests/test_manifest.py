"""Tests that manifests are made, encoded, parsed and validated correctly."""

from pathlib import Path

from returns.result import Failure

from ridgecourse.core.manifest import (
    FileEntry,
    Manifest,
    chunk_digest,
    encode_manifest,
    parse_manifest,
    root_digest,
)
from ridgecourse.ctl.publish import make_manifest


def make_directory(path: Path) -> Path:
    (path / "a.safetensors").write_bytes(b"x" * 5000)
    (path / "b.safetensors").write_bytes(b"x" * 2048 + b"y" * 10)
    return path


def test_manifest_lists_each_distinct_chunk_once(tmp_path: Path) -> None:
    manifest = make_manifest(make_directory(tmp_path), 1024, lambda _: None).unwrap()
    assert manifest.total_bytes() == 5000 + 2058
    lengths = [location.length for location in manifest.unique_chunks()]
    assert sorted(lengths) == [10, 5000 - 4 * 1024, 1024]


def test_encoded_manifest_parses_to_same_manifest(tmp_path: Path) -> None:
    manifest = make_manifest(make_directory(tmp_path), 1024, lambda _: None).unwrap()
    data = encode_manifest(manifest)
    assert parse_manifest(data, root_digest(data)).unwrap() == manifest


def test_manifest_with_other_digest_is_rejected() -> None:
    data = encode_manifest(Manifest(1024, ()))
    failure = parse_manifest(data, root_digest(b"other"))
    assert isinstance(failure, Failure)
    assert "expected" in str(failure.failure()[0])


def test_all_problems_of_manifest_are_reported_together() -> None:
    entry = FileEntry("../out", 3000, (chunk_digest(b"a"),))
    failure = parse_manifest(encode_manifest(Manifest(1024, (entry,))))
    messages = " ".join(map(str, failure.failure()))
    assert "without '..'" in messages
    assert "has 1 chunks, expected 3" in messages


def test_directory_without_files_is_rejected(tmp_path: Path) -> None:
    assert isinstance(make_manifest(tmp_path, 1024, lambda _: None), Failure)
    missing = make_manifest(tmp_path / "none", 1024, lambda _: None)
    assert "is no directory" in str(missing.failure()[0])
