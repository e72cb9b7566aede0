"""Choice of the version of weights to fetch, and cancellation of transfers.

A transfer is cancelled when its hubs change, when the engine becomes available during a
prefetch, or when another version takes precedence. A hub is a gateway that fetches a
version into the failure domain. A prefetch is a transfer while the engine is
unavailable.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence

import eventlet

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.hubs import Peer, choose_hubs
from ridgecourse.core.ids import Seconds, WeightsVersion
from ridgecourse.core.routes import EngineModel, OriginLocation
from ridgecourse.core.site import Site
from ridgecourse.core.supersession import (
    STAGING_SECONDS,
    TransferPlan,
    allows_newer_fetch,
    counts_as_available,
    takes_precedence,
)
from ridgecourse.exchange.catalogue import Catalogue, VersionKey
from ridgecourse.exchange.context import ExchangeContext
from ridgecourse.exchange.holding import Holding
from ridgecourse.exchange.transfer import Transfer
from ridgecourse.loader.engine_control import (
    EngineControl,
    EngineReport,
    EngineUnavailable,
    StartOrder,
)
from ridgecourse.loader.known_gateways import KnownGateways
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind
from ridgecourse.net.threads import spawn_loop

POLL_SECONDS = 0.5
"""Longest interval between two checks of the transfer. A change of the view triggers a
check at once."""


class TransferOwner(ABC):
    """Interface of a loader's rollout that ``TransferWatch`` uses.

    The rollout fetches versions and orders the engine to switch to them.

    Attributes:
        site: Current settings.
        view: Known configuration, versions and targets.
        context: Exchange context that the transfers share.
        engine: Control of the engine.
        gateways: Gateways that fetch weights into the domain.
        catalogue: Manifests of the versions that the loader exchanges.
        transfer: Transfer in progress; None for none.
        version: Version that the rollout is working on.
        hubs: Sources of the transfer in progress.
        is_prefetching: Whether the transfer runs while the engine is unavailable.
        ordered: Last order that the engine accepted; None for none.
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
    is_prefetching: bool
    ordered: StartOrder | None

    @abstractmethod
    def find_model(self) -> tuple[EngineModel, OriginLocation] | None:
        """Return the engine's model and its origin; None if the config lacks them."""

    @abstractmethod
    def transfer_seconds(self, holding: Holding) -> float:
        """Return the seconds to fetch what a holding lacks, at full link speed."""

    @abstractmethod
    def starts_early(self, key: VersionKey) -> bool:
        """Check whether the local engine is in the half that switches weights first."""

    @abstractmethod
    def turn_wait(self, key: VersionKey, report: EngineReport) -> float:
        """Return the seconds until it is this engine's turn to switch to a version."""

    @abstractmethod
    def is_needed(self, key: VersionKey) -> bool:
        """Check whether a version is still retained, whatever part is available."""


class TransferWatch:
    """Monitors the transfers of one loader and chooses the version to fetch.

    Attributes:
        rollout: The rollout whose transfers are monitored.
        abandoned: Versions that were superseded by a newer version or cannot be
            fetched.
    """

    def __init__(self, rollout: TransferOwner) -> None:
        self.rollout = rollout
        self.abandoned: set[VersionKey] = set()
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start to monitor transfers."""
        self.thread = spawn_loop(self._run)

    def close(self) -> None:
        """Stop monitoring transfers."""
        if self.thread is not None:
            self.thread.kill()

    def _run(self) -> None:
        """Check the transfer in progress repeatedly.

        If the transfer stalls, its version is requested from a hub again. If it should
        not continue, it is cancelled, and the rollout then chooses what to fetch next.
        """
        while True:
            self.rollout.view.changed.wait(POLL_SECONDS)
            transfer, configured = self.rollout.transfer, self.rollout.find_model()
            if transfer is None or configured is None:
                continue
            model = configured[0]
            if transfer.stalled:
                self._request_from_hub(self._current_key(model))
            if self._should_cancel(transfer, model):
                transfer.cancel()

    def _should_cancel(self, transfer: Transfer, model: EngineModel) -> bool:
        """Check whether a transfer should be cancelled."""
        wanted = self.rollout.view.wanted_version(model.model)
        if self.rollout.hubs != choose_hubs(
            str(self._current_key(model)), self.rollout.gateways
        ):
            # A hub appeared or disappeared; the transfer restarts with the current
            # hubs.
            return True
        if self.rollout.is_prefetching and self._poll_engine() is not None:
            # The engine is available again, and chunks that are already staged at the
            # engine need not be fetched. A prefetch does not take them into account.
            return True
        if wanted > self.rollout.version:
            return self._is_superseded(transfer, model, wanted)
        return self._yields_to_older(model, wanted)

    def _is_superseded(
        self, transfer: Transfer, model: EngineModel, wanted: WeightsVersion
    ) -> bool:
        """Check whether a transfer is cancelled in favour of a newer version.

        If so, its version is recorded as abandoned, and an event is emitted.
        """
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
        self.abandoned.add(self._current_key(model))
        return True

    def _yields_to_older(self, model: EngineModel, wanted: WeightsVersion) -> bool:
        """Check whether a transfer of the newest version yields to an older version.

        The newest version may be unavailable for seconds. Until then the engine can
        serve an older version that is complete at the hub, or that is complete in this
        loader if it is the engine's turn to switch to it. If the transfer yields, an
        event is emitted.
        """
        report = self._poll_engine()
        if report is None or self.rollout.version != wanted:
            return False
        preferred = self.choose(model, wanted, report)
        if preferred == (model.model, wanted):
            return False
        self.rollout.context.events.emit(
            EventKind.ROLLOUT_DROPPED, version=str(wanted), older=str(preferred[1])
        )
        return True

    def choose(
        self, model: EngineModel, wanted: WeightsVersion, report: EngineReport
    ) -> VersionKey:
        """Return the version to fetch: the newest, or a partially fetched older one.

        This is decided anew after each transfer, and a transfer also ends when a hub
        appears or disappears. If the loader then always changed to the newest version,
        and no hub had that version, the loader would wait although it holds most of an
        older version.

        Args:
            model: The engine's model.
            wanted: Newest version.
            report: Current report of the engine.
        """
        newest = model.model, wanted
        served = report.layers.version if report.layers else WeightsVersion(0)
        ordered = self.rollout.ordered
        if report.busy and ordered and ordered.started == report.started:
            # The engine is carrying out the order and has not restarted since.
            served = max(served, ordered.version)
        started_keys = sorted(
            key
            for key in self.rollout.catalogue.holdings
            if key[0] == model.model
            and served < key[1] < wanted
            and key not in self.abandoned
        )
        for key in reversed(started_keys):
            if self._takes_precedence(key, newest, model, report):
                return key
        return newest

    def _takes_precedence(
        self,
        key: VersionKey,
        newest: VersionKey,
        model: EngineModel,
        report: EngineReport,
    ) -> bool:
        """Check whether a partially fetched version precedes the newest one.

        Args:
            key: The partially fetched version.
            newest: The newest version.
            model: The engine's model.
            report: Current report of the engine.
        """
        holding = self.rollout.catalogue.holdings[key]
        if not holding.held or not self.rollout.is_needed(key):
            return False
        current, newer, now, starts_early = self._make_plans(
            key, holding, model, newest[1]
        )
        if not takes_precedence(
            current, newer, now, starts_early, newer_available=False
        ):
            return False
        share = self._share_at_hub(newest)
        wait = self.rollout.turn_wait(key, report) if holding.complete else 0.0
        if allows_newer_fetch(wait) and share is not None:
            # The version is complete, but would stay unused until the engine's turn to
            # switch to it. Nothing would be fetched during that time, so the newest
            # version is fetched.
            return False
        if not holding.complete and not self._hub_has_more(key, holding):
            # The hub has no further chunks of the older version. Thus the newest
            # version is fetched, unless the hub does not have that one either.
            return share is None
        return takes_precedence(
            current,
            newer,
            now,
            starts_early,
            counts_as_available(current, newer, share),
        )

    def _poll_engine(self) -> EngineReport | None:
        """Return the engine's report; None while the engine is unavailable."""
        try:
            return self.rollout.engine.report()
        except EngineUnavailable:
            # The error is not reported here: the rollout's phase shows it.
            return None

    def _request_from_hub(self, key: VersionKey) -> None:
        """Request a version's manifest from the nearest hub again.

        A hub that does not fetch the version yet starts to do so only when it is asked.
        """
        hubs = sorted(
            self.rollout.hubs, key=lambda hub: hub.domain != self.rollout.site.domain
        )
        for hub in hubs[:1]:
            eventlet.spawn(self.rollout.catalogue.fetch_manifest, hub, key)

    def _hub_has_more(self, key: VersionKey, holding: Holding) -> bool:
        """Check whether the nearest hub holds more of a version than this loader."""
        share = self._share_at_hub(key)
        return share is not None and share > holding.share

    def _share_at_hub(self, key: VersionKey) -> float | None:
        """Return the share of a version that the nearest hub holds.

        Returns:
            A share from 0 to 1; None if the hub does not fetch the version or does not
            answer. Without any hub the share is 1, because loaders then fetch from the
            origin and from each other.
        """
        hub = self._nearest_hub(key)
        return 1.0 if hub is None else self.rollout.catalogue.ask_share(hub, key)

    def _is_skipped_at_hub(self, key: VersionKey) -> bool:
        """Check whether the nearest hub skipped a version in favour of a newer one."""
        hub = self._nearest_hub(key)
        return hub is not None and self.rollout.catalogue.ask_skipped(hub, key)

    def _nearest_hub(self, key: VersionKey) -> Peer | None:
        """Return the hub of the local domain, else any hub; None without hubs."""
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
        """Check whether a transfer is to finish before the newest version is fetched.

        Args:
            transfer: The transfer in progress.
            model: The engine's model.
            newest: The newest version.
            share: Share of the newest version that the nearest hub holds.
        """
        if transfer.stalled:
            # The hub may have stopped fetching the version. Then the transfer never
            # completes, even if only a few chunks are missing.
            return False
        if self._is_skipped_at_hub(self._current_key(model)):
            return False
        current, newer, now, starts_early = self._make_plans(
            self._current_key(model), transfer.holding, model, newest[1]
        )
        newer_available = counts_as_available(current, newer, share)
        return takes_precedence(current, newer, now, starts_early, newer_available)

    def _make_plans(
        self,
        key: VersionKey,
        holding: Holding,
        model: EngineModel,
        wanted: WeightsVersion,
    ) -> tuple[TransferPlan, TransferPlan, Seconds, bool]:
        """Return the transfer plans of a partially fetched and of the newest version.

        The bound of a plan is the time from which on its version, or a newer one, is
        required. If no such version is named, the current time is used.

        Returns:
            The plan of the partially fetched version, the plan of the newest version,
            the current time, and whether the local engine starts early.
        """
        now = boottime()
        full_seconds = (
            model.chunks * model.chunk_bytes / self.rollout.site.upload_bytes_per_s
        )
        history = self.rollout.view.history(model.model)
        previous = WeightsVersion(key[1] - 1)
        newer = TransferPlan(
            full_seconds + STAGING_SECONDS, history.start_deadline(key[1]) or now
        )
        current = TransferPlan(
            self.rollout.transfer_seconds(holding) + STAGING_SECONDS,
            history.start_deadline(previous) or now,
        )
        return current, newer, now, self.rollout.starts_early(key)

    def _current_key(self, model: EngineModel) -> VersionKey:
        """Return the key of the version that the rollout is working on."""
        return model.model, self.rollout.version
