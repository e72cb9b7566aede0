"""Availability of one version's chunks at the local agent and at other agents."""

from collections import Counter

from ridgecourse.core.ids import ChunkDigest, RootDigest
from ridgecourse.core.manifest import Manifest
from ridgecourse.net.threads import Broadcast


class Holding:
    """A version in the exchange between agents, with the availability of its chunks.

    Attributes:
        root: Root digest, which identifies the version.
        manifest: Manifest of the version.
        manifest_bytes: Encoded manifest, from which the root digest is computed.
        places: Distinct chunks of the version; control messages refer to a chunk by
            its index in this list.
        index: Index of each chunk, by digest.
        unique_bytes: Total size of the distinct chunks.
        held: Indexes of the chunks held locally, in order of arrival.
        seen: Indexes of the chunks that any agent of the fleet holds.
        uploads: Number of uploads of each chunk.
        changed: Notified when ``held`` or ``seen`` grows.
    """

    def __init__(
        self, root: RootDigest, manifest: Manifest, manifest_bytes: bytes
    ) -> None:
        self.root = root
        self.manifest = manifest
        self.manifest_bytes = manifest_bytes
        self.places = manifest.unique_chunks()
        self.index = {
            place.digest: position for position, place in enumerate(self.places)
        }
        self.unique_bytes = sum(place.length for place in self.places)
        self.held: dict[int, None] = {}
        self.seen: dict[int, None] = {}
        # Keyed by chunk and by whether the receiver is in another domain.
        self.uploads: Counter[tuple[ChunkDigest, bool]] = Counter()
        self.changed = Broadcast()

    def add_held(self, digest: ChunkDigest) -> None:
        """Record that a chunk is held locally."""
        index = self.index[digest]
        self.held[index] = None
        self.seen[index] = None
        self.changed.notify()

    def add_seen(self, indexes: list[int]) -> list[ChunkDigest]:
        """Record chunks that other agents hold.

        Args:
            indexes: Indexes as received; indexes out of range are ignored.

        Returns:
            The digests of the valid indexes.
        """
        valid = [index for index in indexes if 0 <= index < len(self.places)]
        unseen = [index for index in valid if index not in self.seen]
        if unseen:
            self.seen.update(dict.fromkeys(unseen))
            self.changed.notify()
        return [self.places[index].digest for index in valid]

    @property
    def complete(self) -> bool:
        """Whether every chunk is held locally."""
        return len(self.held) == len(self.places)

    @property
    def share(self) -> float:
        """Share of the chunks that is held locally, from 0 to 1."""
        return len(self.held) / max(1, len(self.places))

    def missing_bytes(self) -> int:
        """Return the missing bytes, with every chunk counted at the full chunk size."""
        return (len(self.places) - len(self.held)) * self.manifest.chunk_size

    def held_bytes(self) -> int:
        """Return the number of bytes held locally."""
        return sum(self.places[index].length for index in self.held)
