"""The agent's chunks in memory, within a budget.

Chunks are named by their content, so what two versions share is held once.
"""

from collections.abc import Iterable

from ridgecourse.core.ids import ChunkDigest
from ridgecourse.core.manifest import ChunkPlace, Manifest


class OutOfBudget(Exception):
    """A version does not fit into the memory for chunks."""


class ChunkStore:
    """Verified chunks by digest.

    Attributes:
        budget: Most bytes held.
        held_bytes: Bytes held now.
    """

    def __init__(self, budget: int) -> None:
        self.budget = budget
        self.held_bytes = 0
        self.chunks: dict[ChunkDigest, bytes] = {}

    def put(self, digest: ChunkDigest, data: bytes) -> None:
        """Keep a verified chunk."""
        if digest not in self.chunks:
            self.chunks[digest] = data
            self.held_bytes += len(data)

    def get(self, digest: ChunkDigest) -> bytes | None:
        """Return a chunk's bytes."""
        return self.chunks.get(digest)

    def held_of(self, places: Iterable[ChunkPlace]) -> list[ChunkDigest]:
        """Return those of a version's chunks that are held."""
        return [place.digest for place in places if place.digest in self.chunks]

    def make_room(self, wanted: Manifest, *keep: Manifest) -> None:
        """Drop what is in the way of a version.

        Args:
            wanted: The version that must fit.
            keep: Versions kept as long as there is room, the most wanted first.

        Raises:
            OutOfBudget: The version alone does not fit.
        """
        kept: dict[ChunkDigest, int] = {}
        for manifest in (wanted, *keep):
            lengths = {p.digest: p.length for p in manifest.unique_chunks()}
            total = sum({**kept, **lengths}.values())
            if total <= self.budget:
                kept.update(lengths)
            elif manifest is wanted:
                message = f"needs {total} bytes, staging_bytes is {self.budget}"
                raise OutOfBudget(message)
        self.retain(kept)

    def retain(self, digests: Iterable[ChunkDigest]) -> None:
        """Drop every chunk that is not among the given ones."""
        wanted = set(digests)
        for digest in [d for d in self.chunks if d not in wanted]:
            self.held_bytes -= len(self.chunks.pop(digest))
