"""Stages chunks as they come, so that they outlast the loader."""

from collections.abc import Callable

import eventlet

from ridgecourse.exchange.holding import Holding
from ridgecourse.loader.protocol import EngineUnavailable
from ridgecourse.loader.staging import Staging

LOOK_SECONDS = 0.5
"""Longest time between two looks whether chunks may be staged by now."""


class EarlyStaging:
    """Stages the chunks of one version while others are still on their way.

    What a loader has drawn dies with it; what lies staged does not, and a loader that
    starts takes it in. All of it is checked again before the engine is started.

    Attributes:
        error: Why it ended; None while it goes on.
    """

    def __init__(
        self, staging: Staging, holding: Holding, may_stage: Callable[[], bool]
    ) -> None:
        self.staging = staging
        self.holding = holding
        self.may_stage = may_stage
        self.staged: set[int] = set()
        self.closing = False
        self.error: EngineUnavailable | None = None
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Begin to stage what comes."""
        self.thread = eventlet.spawn(self._run)

    def close(self) -> None:
        """Stop, after the chunk in progress: given up, it might be staged later.

        Raises:
            EngineUnavailable: The engine gave no usable answer meanwhile.
        """
        self.closing = True
        self.holding.changed.notify()
        if self.thread is not None:
            self.thread.wait()
        if self.error is not None:
            raise self.error

    def _run(self) -> None:
        try:
            while not self.closing:
                self._stage_new()
                if not self.closing:
                    self.holding.changed.wait(LOOK_SECONDS)
        except EngineUnavailable as error:
            self.error = error

    def _stage_new(self) -> None:
        for index, place in enumerate(self.holding.manifest.chunk_places()):
            if self.closing or not self.may_stage():
                return
            if index not in self.staged and self.staging.holds(place.digest):
                self.staging.put(self.holding.manifest, index)
                self.staged.add(index)
