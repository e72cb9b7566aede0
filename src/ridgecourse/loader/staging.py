"""The engine's staging area: filled, checked, repaired."""

from collections.abc import Iterator

from msgspec import Struct

from ridgecourse.core.ids import ChunkDigest, EngineStart, ModelName, RootDigest
from ridgecourse.core.manifest import Manifest
from ridgecourse.exchange.context import ExchangeContext
from ridgecourse.loader.protocol import (
    EngineControl,
    EngineUnavailable,
    StagingUnanswered,
)


class StagedVersion(Struct, frozen=True):
    """A version that was staged whole.

    Attributes:
        root: The version.
        started: When the engine's life started in which that was; None if it does not
            tell.
    """

    root: RootDigest
    started: EngineStart | None


class Staging:
    """One model's chunks in the engine's staging area.

    The engine does not check what lies there, and it may turn bad, so that all
    of it is read back right before it is taken.
    """

    def __init__(
        self, context: ExchangeContext, engine: EngineControl, model: ModelName
    ) -> None:
        self.context = context
        self.engine = engine
        self.model = model

    def take_in(self, manifest: Manifest) -> int:
        """Take the chunks of a version that lie staged into the store.

        Returns:
            How many did.

        Raises:
            EngineUnavailable: The engine gave no usable answer.
        """
        taken = 0
        for index, place in enumerate(manifest.chunk_places()):
            if self.context.store.get(place.digest) is not None:
                continue
            data = self.engine.staged(self.model, index)
            if data is not None and self.context.digest(data) == place.digest:
                self.context.store.put(place.digest, data)
                taken += 1
        return taken

    def fill(self, manifest: Manifest) -> int:
        """Stage every chunk that does not lie there as it should.

        Returns:
            How many were staged.

        Raises:
            EngineUnavailable: The engine gave no usable answer, or the store
                lacks a chunk.
        """
        staged = 0
        for index in self._wrong(manifest):
            self.put(manifest, index)
            staged += 1
        return staged

    def _wrong(self, manifest: Manifest) -> Iterator[int]:
        for index, place in enumerate(manifest.chunk_places()):
            data = self.engine.staged(self.model, index)
            if data is None or self.context.digest(data) != place.digest:
                yield index

    def holds(self, digest: ChunkDigest) -> bool:
        """Tell whether a chunk can be staged."""
        return self.context.store.get(digest) is not None

    def put(self, manifest: Manifest, index: int) -> None:
        """Stage a chunk, over what lies there.

        Raises:
            EngineUnavailable: The engine gave no usable answer, or the store
                lacks the chunk.
        """
        digest = manifest.files[0].chunks[index]
        data = self.context.store.get(digest)
        if data is None:
            raise EngineUnavailable(f"chunk {index} is not held")
        try:
            self.engine.stage(self.model, index, data)
        except EngineUnavailable as error:
            raise StagingUnanswered(str(error)) from error
