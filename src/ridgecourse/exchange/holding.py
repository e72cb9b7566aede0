"""What an agent holds of one version, and what it knows that others hold."""

from collections import Counter

from ridgecourse.core.ids import ChunkDigest, RootDigest
from ridgecourse.core.manifest import Manifest
from ridgecourse.net.broadcast import Broadcast


class Holding:
    """A version in the exchange between agents.

    Attributes:
        root: The version.
        manifest: Its content.
        manifest_bytes: The bytes of which the root digest is taken.
        places: Its distinct chunks; control messages name them by index.
        held: Indexes of chunks held here.
        seen: Indexes of chunks that someone of the fleet holds.
        changed: Notified when held or seen grow.
    """

    def __init__(
        self, root: RootDigest, manifest: Manifest, manifest_bytes: bytes
    ) -> None:
        self.root = root
        self.manifest = manifest
        self.manifest_bytes = manifest_bytes
        self.places = manifest.unique_chunks()
        self.index = {place.digest: i for i, place in enumerate(self.places)}
        self.unique_bytes = sum(place.length for place in self.places)
        self.held: dict[int, None] = {}
        self.seen: dict[int, None] = {}
        # By chunk and whether it went to another domain.
        self.uploads: Counter[tuple[ChunkDigest, bool]] = Counter()
        self.changed = Broadcast()

    def add_held(self, digest: ChunkDigest) -> None:
        """Note a chunk that is held here."""
        index = self.index[digest]
        self.held[index] = None
        self.seen[index] = None
        self.changed.notify()

    def add_seen(self, indexes: list[int]) -> list[ChunkDigest]:
        """Note chunks held by others; return those that exist."""
        valid = [index for index in indexes if 0 <= index < len(self.places)]
        fresh = [index for index in valid if index not in self.seen]
        if fresh:
            self.seen.update(dict.fromkeys(fresh))
            self.changed.notify()
        return [self.places[index].digest for index in valid]

    @property
    def complete(self) -> bool:
        """Whether every chunk is held."""
        return len(self.held) == len(self.places)

    @property
    def share(self) -> float:
        """Share of the chunks that is held."""
        return len(self.held) / max(1, len(self.places))

    def missing_bytes(self) -> int:
        """Return the bytes missing, as if all chunks were whole."""
        return (len(self.places) - len(self.held)) * self.manifest.chunk_size

    def held_bytes(self) -> int:
        """Return the bytes held."""
        return sum(self.places[index].length for index in self.held)
