"""Makes the manifest of a version from a directory of weight files."""

from collections.abc import Callable, Iterator
from pathlib import Path

from returns.result import Failure, Result, Success

from ridgecourse.core.finding import Finding, Findings
from ridgecourse.core.ids import ChunkDigest
from ridgecourse.core.manifest import (
    FileEntry,
    Manifest,
    chunk_digest,
    encode_manifest,
    find_faults,
)

MANIFEST_NAME = "manifest.json"
DEFAULT_CHUNK_BYTES = 1024 * 1024

Progress = Callable[[int], None]


def make_manifest(
    directory: Path, chunk_bytes: int, progress: Progress
) -> Result[Manifest, Findings]:
    """Read all files of a version and return its manifest.

    Args:
        directory: The version's files.
        chunk_bytes: Length of every chunk but a file's last.
        progress: Told the length of each chunk read.

    Returns:
        The manifest, or what is wrong with the directory.
    """
    if not directory.is_dir():
        return Failure((Finding(str(directory), "is no directory"),))
    paths = [path for path in sorted(directory.rglob("*")) if is_weight_file(path)]
    entries = [make_entry(directory, path, chunk_bytes, progress) for path in paths]
    entries.sort(key=lambda entry: entry.path)
    manifest = Manifest(chunk_bytes, tuple(entries))
    findings = tuple(find_faults(manifest))
    return Failure(findings) if findings else Success(manifest)


def is_weight_file(path: Path) -> bool:
    """Tell whether a file is part of a version."""
    return path.is_file() and path.name != MANIFEST_NAME


def total_bytes(directory: Path) -> int:
    """Return the length of a version's files together."""
    return sum(p.stat().st_size for p in directory.rglob("*") if is_weight_file(p))


def make_entry(
    directory: Path, path: Path, chunk_bytes: int, progress: Progress
) -> FileEntry:
    """Return the manifest's entry for a file."""
    digests = tuple(read_digests(path, chunk_bytes, progress))
    relative = path.relative_to(directory).as_posix()
    return FileEntry(relative, path.stat().st_size, digests)


def read_digests(
    path: Path, chunk_bytes: int, progress: Progress
) -> Iterator[ChunkDigest]:
    """Yield the digests of a file's chunks."""
    with path.open("rb") as file:
        while data := file.read(chunk_bytes):
            progress(len(data))
            yield chunk_digest(data)


def write_manifest(directory: Path, manifest: Manifest) -> bytes:
    """Write a manifest beside the files and return its bytes."""
    data = encode_manifest(manifest)
    (directory / MANIFEST_NAME).write_bytes(data)
    return data
