"""Builds the manifest of a version from a directory of weight files."""

from collections.abc import Callable, Iterator
from pathlib import Path

from returns.result import Failure, Result, Success

from ridgecourse.core.ids import ChunkDigest
from ridgecourse.core.manifest import (
    FileEntry,
    Manifest,
    chunk_digest,
    encode_manifest,
    find_problems,
)
from ridgecourse.core.problem import Problem, Problems

MANIFEST_NAME = "manifest.json"
DEFAULT_CHUNK_BYTES = 1024 * 1024

ProgressCallback = Callable[[int], None]
"""Called with the length of each chunk that was read, in bytes."""


def make_manifest(
    directory: Path, chunk_bytes: int, progress: ProgressCallback
) -> Result[Manifest, Problems]:
    """Read all files of a version and return its manifest.

    Args:
        directory: Directory of the version's files.
        chunk_bytes: Length of every chunk except the last chunk of a file.
        progress: Called with the length of each chunk that was read.

    Returns:
        The manifest, or the problems found in the directory.
    """
    if not directory.is_dir():
        return Failure((Problem(str(directory), "is no directory"),))
    paths = [path for path in sorted(directory.rglob("*")) if is_weight_file(path)]
    entries = [make_entry(directory, path, chunk_bytes, progress) for path in paths]
    entries.sort(key=lambda entry: entry.path)
    manifest = Manifest(chunk_bytes, tuple(entries))
    findings = tuple(find_problems(manifest))
    return Failure(findings) if findings else Success(manifest)


def is_weight_file(path: Path) -> bool:
    """Check whether a path is a weight file, as opposed to a directory or manifest."""
    return path.is_file() and path.name != MANIFEST_NAME


def total_bytes(directory: Path) -> int:
    """Return the total length of a version's files."""
    return sum(
        path.stat().st_size for path in directory.rglob("*") if is_weight_file(path)
    )


def make_entry(
    directory: Path, path: Path, chunk_bytes: int, progress: ProgressCallback
) -> FileEntry:
    """Return the manifest entry of a file."""
    digests = tuple(read_digests(path, chunk_bytes, progress))
    relative = path.relative_to(directory).as_posix()
    return FileEntry(relative, path.stat().st_size, digests)


def read_digests(
    path: Path, chunk_bytes: int, progress: ProgressCallback
) -> Iterator[ChunkDigest]:
    """Yield the digest of each chunk of a file, in order."""
    with path.open("rb") as file:
        while data := file.read(chunk_bytes):
            progress(len(data))
            yield chunk_digest(data)


def write_manifest(directory: Path, manifest: Manifest) -> bytes:
    """Write a manifest to the version's directory and return its bytes."""
    data = encode_manifest(manifest)
    (directory / MANIFEST_NAME).write_bytes(data)
    return data
