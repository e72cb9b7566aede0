"""Access to the engine's staging area: fills, verifies and repairs it."""

from msgspec import Struct

from ridgecourse.core.chunk_checks import ChunkCheck, ChunkChecks
from ridgecourse.core.ids import ChunkDigest, EngineStart, ModelName, RootDigest
from ridgecourse.core.manifest import Manifest
from ridgecourse.exchange.context import ExchangeContext
from ridgecourse.loader.engine_control import (
    EngineControl,
    EngineUnavailable,
    StagingUnanswered,
)
from ridgecourse.net.clock import boottime


class StagedVersion(Struct, frozen=True):
    """A version that was staged completely.

    Attributes:
        root: Root digest of the version.
        started: Start time of the engine incarnation in which the version was staged;
            None if the engine does not report it.
    """

    root: RootDigest
    started: EngineStart | None


class Staging:
    """Chunks of one model in the engine's staging area.

    The engine does not verify staged chunks, and they may become corrupt. So all
    chunks are read back and verified immediately before the engine is started.

    Attributes:
        checks: Last check of each chunk by ``fill``.
    """

    def __init__(
        self, context: ExchangeContext, engine: EngineControl, model: ModelName
    ) -> None:
        self.context = context
        self.engine = engine
        self.model = model
        self.checks = ChunkChecks()

    def load_staged(self, manifest: Manifest) -> int:
        """Load the valid staged chunks of a version into the chunk store.

        Returns:
            The number of chunks loaded.

        Raises:
            EngineUnavailable: The engine gave no usable answer.
        """
        loaded = 0
        for index, place in enumerate(manifest.chunk_locations()):
            if self.context.store.get(place.digest) is not None:
                continue
            data = self.engine.staged(self.model, index)
            if data is not None and self.context.digest(data) == place.digest:
                self.context.store.put(place.digest, data)
                loaded += 1
        return loaded

    def fill(self, manifest: Manifest) -> int:
        """Stage every chunk that is missing from the staging area or corrupt in it.

        Returns:
            The number of chunks staged.

        Raises:
            EngineUnavailable: The engine gave no usable answer, or the chunk store
                lacks a chunk.
        """
        return sum(
            self._check(manifest, index, place.digest)
            for index, place in enumerate(manifest.chunk_locations())
        )

    def _check(self, manifest: Manifest, index: int, digest: ChunkDigest) -> bool:
        """Stage a chunk if it is missing or corrupt; return whether it was."""
        first_read_at = correct_at = boottime()
        data = self.engine.staged(self.model, index)
        is_invalid = data is None or self.context.digest(data) != digest
        if is_invalid:
            correct_at = boottime()
            self.put(manifest, index)
        seconds = boottime() - first_read_at
        self.checks.record(index, ChunkCheck(correct_at, seconds))
        return is_invalid

    def has_chunk(self, digest: ChunkDigest) -> bool:
        """Check whether the chunk store has a chunk, so that it can be staged."""
        return self.context.store.get(digest) is not None

    def put(self, manifest: Manifest, index: int) -> None:
        """Stage a chunk, replacing the data at its index.

        Raises:
            EngineUnavailable: The engine gave no usable answer, or the chunk store
                lacks the chunk.
        """
        digest = manifest.files[0].chunks[index]
        data = self.context.store.get(digest)
        if data is None:
            raise EngineUnavailable(f"chunk {index} is not in the chunk store")
        try:
            self.engine.stage(self.model, index, data)
        except EngineUnavailable as error:
            raise StagingUnanswered(str(error)) from error
