"""Drops a transfer of weights where something better can be done."""

from time import monotonic
from typing import TYPE_CHECKING

import eventlet

from ridgecourse.core.hubs import choose_hubs
from ridgecourse.core.ids import Seconds, WeightsVersion
from ridgecourse.core.routes import EngineModel
from ridgecourse.core.supersession import START_SECONDS, TransferPlan, goes_on
from ridgecourse.exchange.catalogue import VersionKey
from ridgecourse.exchange.transfer import Transfer
from ridgecourse.net.events import EventKind
from ridgecourse.net.threads import spawn_loop

if TYPE_CHECKING:
    from ridgecourse.loader.rollout import Rollout

LOOK_SECONDS = 0.5
"""Longest time between two looks, if nothing changes."""


class TransferWatch:
    """Watches the transfer of one loader."""

    def __init__(self, rollout: "Rollout") -> None:
        self.rollout = rollout
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Begin to watch."""
        self.thread = spawn_loop(self._run)

    def close(self) -> None:
        """Stop."""
        if self.thread is not None:
            self.thread.kill()

    def _run(self) -> None:
        """Drop a transfer where its successor had better go first."""
        while True:
            self.rollout.view.changed.wait(LOOK_SECONDS)
            transfer, found = self.rollout.transfer, self.rollout.find_model()
            if transfer is None or found is None:
                continue
            model = found[0]
            if transfer.stalled:
                self._ask_again(self._key(model))
            wanted = self.rollout.view.wanted_version(model.model)
            if self.rollout.hubs != choose_hubs(
                str(self._key(model)), self.rollout.gateways
            ):
                # A hub came or went: begin again with those that are there now.
                transfer.cancel()
            elif self.rollout.prefetching and self.rollout.is_engine_back():
                # What lies staged there need not be fetched.
                transfer.cancel()
            elif (
                wanted > self.rollout.version
                and not self._should_finish(transfer, model)
                and self._is_available((model.model, wanted))
            ):
                self.rollout.context.events.emit(
                    EventKind.ROLLOUT_DROPPED,
                    version=str(self.rollout.version),
                    newer=str(wanted),
                    missing=len(transfer.planner.missing),
                )
                transfer.cancel()

    def _ask_again(self, key: VersionKey) -> None:
        """Ask the hub once more: one that takes no part waits until asked on."""
        hubs = sorted(
            self.rollout.hubs, key=lambda hub: hub.domain != self.rollout.site.domain
        )
        for hub in hubs[:1]:
            eventlet.spawn(self.rollout.catalogue.ask, hub, key)

    def _is_available(self, key: VersionKey) -> bool:
        """Tell whether a version can be had by now.

        While its origin is away a newer version must not stop an older one.
        """
        hubs = choose_hubs(str(key), self.rollout.gateways)
        if key in self.rollout.catalogue.holdings or not hubs:
            return True
        near = sorted(hubs, key=lambda hub: hub.domain != self.rollout.site.domain)
        return self.rollout.catalogue.ask(near[0], key) is not None

    def _should_finish(self, transfer: Transfer, model: EngineModel) -> bool:
        if transfer.stalled:
            # The hub may have given it up: then it is never done, however near.
            return False
        now = Seconds(monotonic())
        copy = model.chunks * model.chunk_bytes / self.rollout.site.upload_bytes_per_s
        history = self.rollout.view.history(model.model)
        older = WeightsVersion(self.rollout.version - 1)
        newer = TransferPlan(
            copy + START_SECONDS, history.begin_by(self.rollout.version) or now
        )
        current = TransferPlan(
            self.rollout.transfer_seconds(transfer, model) + START_SECONDS,
            history.begin_by(older) or now,
        )
        early = self.rollout.starts_early(self._key(model))
        return goes_on(current, newer, now, early)

    def _key(self, model: EngineModel) -> VersionKey:
        return model.model, self.rollout.version
