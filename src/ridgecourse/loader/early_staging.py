"""Staging of chunks during a transfer, so that they survive a restart of the loader."""

from collections.abc import Callable

import eventlet

from ridgecourse.exchange.holding import Holding
from ridgecourse.loader.engine_control import EngineUnavailable
from ridgecourse.loader.staging import Staging

POLL_SECONDS = 0.5
"""Longest interval between checks whether chunks may be staged, in seconds."""


class EarlyStaging:
    """Stages the chunks of one version while other chunks are still being fetched.

    Fetched chunks in memory are lost with the loader process. Staged chunks are not,
    and a restarted loader reads them back. All staged chunks are verified again before
    the engine is started.

    Attributes:
        may_stage: Returns whether chunks may be staged yet.
        staged: Indexes of the chunks that were staged.
        is_closing: Whether staging is to stop.
        error: Error that ended the staging; None if there was none.
    """

    def __init__(
        self, staging: Staging, holding: Holding, may_stage: Callable[[], bool]
    ) -> None:
        self.staging = staging
        self.holding = holding
        self.may_stage = may_stage
        self.staged: set[int] = set()
        self.is_closing = False
        self.error: EngineUnavailable | None = None
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start to stage chunks as they arrive."""
        self.thread = eventlet.spawn(self._run)

    def close(self) -> None:
        """Stop after the chunk in progress.

        An aborted call might still be carried out by the engine later.

        Raises:
            EngineUnavailable: The engine gave no usable answer during the staging.
        """
        self.is_closing = True
        self.holding.changed.notify()
        if self.thread is not None:
            self.thread.wait()
        if self.error is not None:
            raise self.error

    def _run(self) -> None:
        try:
            while not self.is_closing:
                self._stage_new()
                if not self.is_closing:
                    self.holding.changed.wait(POLL_SECONDS)
        except EngineUnavailable as error:
            self.error = error

    def _stage_new(self) -> None:
        """Stage the chunks that arrived since the last call, if staging is allowed."""
        for index, place in enumerate(self.holding.manifest.chunk_locations()):
            if self.is_closing or not self.may_stage():
                return
            if index not in self.staged and self.staging.has_chunk(place.digest):
                self.staging.put(self.holding.manifest, index)
                self.staged.add(index)
