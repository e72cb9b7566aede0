"""Drops a transfer of weights where something better can be done."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

import eventlet

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.hubs import Peer, choose_hubs
from ridgecourse.core.ids import Seconds, WeightsVersion
from ridgecourse.core.routes import EngineModel, OriginPlace
from ridgecourse.core.site import Site
from ridgecourse.core.supersession import (
    START_SECONDS,
    TransferPlan,
    comes_first,
    counts_as_here,
    leaves_time,
)
from ridgecourse.exchange.catalogue import Catalogue, VersionKey
from ridgecourse.exchange.context import ExchangeContext
from ridgecourse.exchange.holding import Holding
from ridgecourse.exchange.transfer import Transfer
from ridgecourse.loader.gateways import KnownGateways
from ridgecourse.loader.protocol import (
    EngineControl,
    EngineReport,
    EngineUnavailable,
    StartOrder,
)
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind
from ridgecourse.net.threads import spawn_loop

LOOK_SECONDS = 0.5
"""Longest time between two looks, if nothing changes."""


class TransferOwner(ABC):
    """Who drives an engine, as the watch over its transfers needs it.

    Attributes:
        site: The settings in force.
        view: What is known of configuration, versions and targets.
        context: What its transfers share.
        engine: The engine.
        gateways: Those that bring weights in.
        catalogue: Manifests of the versions that it takes part in.
        transfer: The one in progress; None for none.
        version: Which version is being worked on.
        hubs: Where the transfer in progress takes chunks from.
        prefetching: Whether it goes on without the engine.
        ordered: The last order that the engine took; None for none.
    """

    site: Site
    view: ClusterView
    context: ExchangeContext
    engine: EngineControl
    gateways: KnownGateways
    catalogue: Catalogue
    transfer: Transfer | None
    version: WeightsVersion
    hubs: Sequence[Peer]
    prefetching: bool
    ordered: StartOrder | None

    @abstractmethod
    def find_model(self) -> tuple[EngineModel, OriginPlace] | None:
        """Return the engine's model and its origin, None before they are known."""

    @abstractmethod
    def transfer_seconds(self, holding: Holding) -> float:
        """Return the seconds that a transfer still takes at the link's speed."""

    @abstractmethod
    def starts_early(self, key: VersionKey) -> bool:
        """Tell whether this engine is in the half that takes new weights first."""

    @abstractmethod
    def turn_wait(self, key: VersionKey, report: EngineReport) -> float:
        """Return the seconds until it is this engine's turn to change its weights."""

    @abstractmethod
    def is_needed(self, key: VersionKey) -> bool:
        """Tell whether a version is still worth its transfer, nearly here or not."""


class TransferWatch:
    """Watches the transfer of one loader, and says which version goes first.

    Attributes:
        given_up: Versions that gave way to a newer one, or cannot be had.
    """

    def __init__(self, rollout: TransferOwner) -> None:
        self.rollout = rollout
        self.given_up: set[VersionKey] = set()
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Begin to watch."""
        self.thread = spawn_loop(self._run)

    def close(self) -> None:
        """Stop."""
        if self.thread is not None:
            self.thread.kill()

    def _run(self) -> None:
        """Drop a transfer where another version had better go first."""
        while True:
            self.rollout.view.changed.wait(LOOK_SECONDS)
            transfer, found = self.rollout.transfer, self.rollout.find_model()
            if transfer is None or found is None:
                continue
            model = found[0]
            if transfer.stalled:
                self._ask_again(self._key(model))
            if self._is_outlived(transfer, model):
                transfer.cancel()

    def _is_outlived(self, transfer: Transfer, model: EngineModel) -> bool:
        """Tell whether something else than a transfer is to be done now."""
        wanted = self.rollout.view.wanted_version(model.model)
        if self.rollout.hubs != choose_hubs(
            str(self._key(model)), self.rollout.gateways
        ):
            # A hub came or went: begin again with those that are there now.
            return True
        if self.rollout.prefetching and self._find_report() is not None:
            # What lies staged at an engine that is back need not be fetched.
            return True
        if wanted > self.rollout.version:
            return self._gives_way(transfer, model, wanted)
        return self._turns_back(model, wanted)

    def _gives_way(
        self, transfer: Transfer, model: EngineModel, wanted: WeightsVersion
    ) -> bool:
        """Tell whether a transfer is dropped for a newer version."""
        newest = model.model, wanted
        share = self._share_at_hub(newest)
        if share is None or self._should_finish(transfer, model, newest, share):
            return False
        self.rollout.context.events.emit(
            EventKind.ROLLOUT_DROPPED,
            version=str(self.rollout.version),
            newer=str(wanted),
            missing=len(transfer.planner.missing),
        )
        self.given_up.add(self._key(model))
        return True

    def _turns_back(self, model: EngineModel, wanted: WeightsVersion) -> bool:
        """Tell whether an older version goes first though the newest was begun.

        The newest one may not be had for seconds, while an older one lies whole at the
        hub and may be served until then; or lies whole here, and its turn has come.
        """
        report = self._find_report()
        if report is None or self.rollout.version != wanted:
            return False
        first = self.choose(model, wanted, report)
        if first == (model.model, wanted):
            return False
        self.rollout.context.events.emit(
            EventKind.ROLLOUT_DROPPED, version=str(wanted), older=str(first[1])
        )
        return True

    def choose(
        self, model: EngineModel, wanted: WeightsVersion, report: EngineReport
    ) -> VersionKey:
        """Return the version to bring in: what was begun may still come first.

        A transfer also ends because a hub came or went. Turned to a newer version that
        no hub has, the loader would wait with most of the older one here.
        """
        newest = model.model, wanted
        served = report.layers.version if report.layers else WeightsVersion(0)
        ordered = self.rollout.ordered
        if report.busy and ordered and ordered.started == report.started:
            served = max(served, ordered.version)
        begun = sorted(
            key
            for key in self.rollout.catalogue.holdings
            if key[0] == model.model
            and served < key[1] < wanted
            and key not in self.given_up
        )
        for key in reversed(begun):
            if self._comes_first(key, newest, model, report):
                return key
        return newest

    def _comes_first(
        self,
        key: VersionKey,
        newest: VersionKey,
        model: EngineModel,
        report: EngineReport,
    ) -> bool:
        holding = self.rollout.catalogue.holdings[key]
        if not holding.held or not self.rollout.is_needed(key):
            return False
        current, newer, now, early = self._weigh(key, holding, model, newest[1])
        if not comes_first(current, newer, now, early, newer_here=False):
            return False
        share = self._share_at_hub(newest)
        wait = self.rollout.turn_wait(key, report) if holding.complete else 0.0
        if leaves_time(wait) and share is not None:
            # It would lie there until its turn, and nothing would be drawn meanwhile.
            return False
        if not holding.complete and not self._has_more(key, holding):
            # Of the older one nothing more can be had either.
            return share is None
        return comes_first(
            current, newer, now, early, counts_as_here(current, newer, share)
        )

    def _find_report(self) -> EngineReport | None:
        """Return what the engine tells; None while it is away."""
        try:
            return self.rollout.engine.report()
        except EngineUnavailable:
            # Still away, as the phase says.
            return None

    def _ask_again(self, key: VersionKey) -> None:
        """Ask the hub once more: one that takes no part waits until asked on."""
        hubs = sorted(
            self.rollout.hubs, key=lambda hub: hub.domain != self.rollout.site.domain
        )
        for hub in hubs[:1]:
            eventlet.spawn(self.rollout.catalogue.ask, hub, key)

    def _has_more(self, key: VersionKey, holding: Holding) -> bool:
        """Tell whether the nearest hub holds more of a version than is here."""
        share = self._share_at_hub(key)
        return share is not None and share > holding.share

    def _share_at_hub(self, key: VersionKey) -> float | None:
        """Return how much of a version the nearest hub holds.

        None if it takes no part in it. Without any hub the loaders draw for
        themselves, so that all of it is there.
        """
        hub = self._nearest_hub(key)
        return 1.0 if hub is None else self.rollout.catalogue.ask_share(hub, key)

    def _is_left_at_hub(self, key: VersionKey) -> bool:
        """Tell whether the nearest hub draws no more of a version."""
        hub = self._nearest_hub(key)
        return hub is not None and self.rollout.catalogue.ask_left(hub, key)

    def _nearest_hub(self, key: VersionKey) -> Peer | None:
        """Return the hub of the own domain, else another one; None without any."""
        hubs = choose_hubs(str(key), self.rollout.gateways)
        domain = self.rollout.site.domain
        return min(hubs, key=lambda hub: hub.domain != domain, default=None)

    def _should_finish(
        self,
        transfer: Transfer,
        model: EngineModel,
        newest: VersionKey,
        share: float,
    ) -> bool:
        if transfer.stalled:
            # The hub may have given it up: then it is never done, however near.
            return False
        if self._is_left_at_hub(self._key(model)):
            return False
        current, newer, now, early = self._weigh(
            self._key(model), transfer.holding, model, newest[1]
        )
        newer_here = counts_as_here(current, newer, share)
        return comes_first(current, newer, now, early, newer_here)

    def _weigh(
        self,
        key: VersionKey,
        holding: Holding,
        model: EngineModel,
        wanted: WeightsVersion,
    ) -> tuple[TransferPlan, TransferPlan, Seconds, bool]:
        """Return what is known of a version that was begun and of the newest one."""
        now = boottime()
        copy = model.chunks * model.chunk_bytes / self.rollout.site.upload_bytes_per_s
        history = self.rollout.view.history(model.model)
        older = WeightsVersion(key[1] - 1)
        newer = TransferPlan(copy + START_SECONDS, history.begin_by(key[1]) or now)
        current = TransferPlan(
            self.rollout.transfer_seconds(holding) + START_SECONDS,
            history.begin_by(older) or now,
        )
        return current, newer, now, self.rollout.starts_early(key)

    def _key(self, model: EngineModel) -> VersionKey:
        return model.model, self.rollout.version
