"""Manifests: the files and chunks of one version of a model."""

from collections.abc import Iterator
from typing import NamedTuple

from blake3 import blake3
from msgspec import DecodeError, Struct
from msgspec.json import decode, encode
from returns.result import Failure, Result, Success

from ridgecourse.core.ids import ChunkDigest, RootDigest
from ridgecourse.core.problem import Problem, Problems

DIGEST_HEX_LENGTH = 64
MIN_CHUNK_BYTES = 1024
MAX_CHUNK_BYTES = 64 * 1024 * 1024


class FileEntry(Struct, frozen=True, forbid_unknown_fields=True):
    """A file of a version.

    Attributes:
        path: Relative path with forward slashes.
        size: Length in bytes.
        chunks: Digests of the chunks in order. All chunks but the last have the chunk
            size of the manifest.
    """

    path: str
    size: int
    chunks: tuple[ChunkDigest, ...]


class ChunkLocation(NamedTuple):
    """The location of a chunk in a version.

    Attributes:
        digest: Digest of the chunk.
        path: Path of the file that contains the chunk.
        start: Offset of the chunk's first byte in the file.
        length: Length in bytes.
    """

    digest: ChunkDigest
    path: str
    start: int
    length: int


class Manifest(Struct, frozen=True, forbid_unknown_fields=True):
    """The content of a version.

    Attributes:
        chunk_size: Length in bytes of every chunk but the last one of a file.
        files: The files, sorted by path.
    """

    chunk_size: int
    files: tuple[FileEntry, ...]

    def total_bytes(self) -> int:
        """Return the length of all files together."""
        return sum(entry.size for entry in self.files)

    def chunk_locations(self) -> Iterator[ChunkLocation]:
        """Yield each chunk of each file, repeated content included."""
        for entry in self.files:
            for index, digest in enumerate(entry.chunks):
                start = index * self.chunk_size
                length = min(self.chunk_size, entry.size - start)
                yield ChunkLocation(digest, entry.path, start, length)

    def unique_chunks(self) -> tuple[ChunkLocation, ...]:
        """Return each distinct chunk once, in the order of first occurrence."""
        locations: dict[ChunkDigest, ChunkLocation] = {}
        for location in self.chunk_locations():
            locations.setdefault(location.digest, location)
        return tuple(locations.values())


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the bytes from which the root digest is computed."""
    return encode(manifest)


def chunk_digest(data: bytes) -> ChunkDigest:
    """Return the digest of a chunk's bytes."""
    return ChunkDigest(blake3(data).hexdigest())


def root_digest(manifest_bytes: bytes) -> RootDigest:
    """Return the digest that identifies a version's content."""
    return RootDigest(blake3(manifest_bytes).hexdigest())


def parse_manifest(
    data: bytes, expected: RootDigest | None = None
) -> Result[Manifest, Problems]:
    """Decode and validate a manifest.

    Args:
        data: The bytes as published.
        expected: The expected digest of ``data``, if known.

    Returns:
        The manifest, or all problems found.
    """
    if expected is not None and root_digest(data) != expected:
        message = f"has digest {root_digest(data)}, expected {expected}"
        return Failure((Problem("manifest", message),))
    try:
        manifest = decode(data, type=Manifest)
    except DecodeError as error:
        return Failure((Problem("manifest", str(error)),))
    findings = tuple(find_problems(manifest))
    if findings:
        return Failure(findings)
    return Success(manifest)


def find_problems(manifest: Manifest) -> Iterator[Problem]:
    """Yield the problems of a decoded manifest."""
    if not MIN_CHUNK_BYTES <= manifest.chunk_size <= MAX_CHUNK_BYTES:
        bounds = f"{MIN_CHUNK_BYTES} to {MAX_CHUNK_BYTES}"
        yield Problem("chunk_size", f"is {manifest.chunk_size}, expected {bounds}")
        return
    if not manifest.files:
        yield Problem("files", "is empty, expected at least one file")
    paths = [entry.path for entry in manifest.files]
    if paths != sorted(set(paths)):
        yield Problem("files", "expected distinct paths in sorted order")
    lengths: dict[ChunkDigest, int] = {}
    for index, entry in enumerate(manifest.files):
        yield from _find_file_problems(f"files[{index}]", entry, manifest.chunk_size)
    for location in manifest.chunk_locations():
        if lengths.setdefault(location.digest, location.length) != location.length:
            yield Problem(
                location.path, f"chunk {location.digest} occurs with two lengths"
            )


def _find_file_problems(
    location: str, entry: FileEntry, chunk_size: int
) -> Iterator[Problem]:
    parts = [part for part in entry.path.split("/") if part not in ("", ".")]
    if entry.path.startswith("/") or ".." in parts or not parts:
        yield Problem(location, f"path {entry.path!r} must be relative, without '..'")
    if entry.size < 0:
        yield Problem(location, f"size is {entry.size}, expected 0 or more")
    expected = -(-entry.size // chunk_size)
    if len(entry.chunks) != expected:
        message = f"{entry.path} has {len(entry.chunks)} chunks, expected {expected}"
        yield Problem(location, message)
    for digest in entry.chunks:
        if not is_digest(digest):
            yield Problem(location, f"{digest!r} is not a BLAKE3 digest in hexadecimal")


def is_digest(text: str) -> bool:
    """Check whether a text has the form of a BLAKE3 digest in hexadecimal."""
    return len(text) == DIGEST_HEX_LENGTH and set(text) <= set("0123456789abcdef")
