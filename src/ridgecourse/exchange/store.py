"""In-memory store of an agent's chunks, within a budget of bytes.

Chunks are addressed by digest, so a chunk that two versions share is stored once.
"""

from collections.abc import Iterable

from ridgecourse.core.ids import ChunkDigest
from ridgecourse.core.manifest import ChunkLocation, Manifest


class OutOfBudget(Exception):
    """A version is larger than the budget of the chunk store."""


class ChunkStore:
    """Verified chunks by digest.

    Attributes:
        budget: Maximum size of the stored chunks, in bytes.
        held_bytes: Current size of the stored chunks, in bytes.
        chunks: Bytes of each chunk.
    """

    def __init__(self, budget: int) -> None:
        self.budget = budget
        self.held_bytes = 0
        self.chunks: dict[ChunkDigest, bytes] = {}

    def put(self, digest: ChunkDigest, data: bytes) -> None:
        """Store a verified chunk."""
        if digest not in self.chunks:
            self.chunks[digest] = data
            self.held_bytes += len(data)

    def get(self, digest: ChunkDigest) -> bytes | None:
        """Return a chunk's bytes; None if the chunk is not stored."""
        return self.chunks.get(digest)

    def stored_digests(self, places: Iterable[ChunkLocation]) -> list[ChunkDigest]:
        """Return the digests of a version's chunks that are stored."""
        return [place.digest for place in places if place.digest in self.chunks]

    def make_room(self, wanted: Manifest, *keep: Manifest) -> None:
        """Drop chunks until a version fits into the budget.

        Args:
            wanted: The version that must fit.
            keep: Versions whose chunks are kept if they fit as well, in order of
                priority.

        Raises:
            OutOfBudget: The wanted version alone exceeds the budget.
        """
        kept: dict[ChunkDigest, int] = {}
        for manifest in (wanted, *keep):
            lengths = {place.digest: place.length for place in manifest.unique_chunks()}
            total = sum({**kept, **lengths}.values())
            if total <= self.budget:
                kept.update(lengths)
            elif manifest is wanted:
                message = f"version needs {total} bytes, staging_bytes is {self.budget}"
                raise OutOfBudget(message)
        self.retain(kept)

    def retain(self, digests: Iterable[ChunkDigest]) -> None:
        """Drop every chunk except the given ones."""
        wanted = set(digests)
        for digest in [stored for stored in self.chunks if stored not in wanted]:
            self.held_bytes -= len(self.chunks.pop(digest))
