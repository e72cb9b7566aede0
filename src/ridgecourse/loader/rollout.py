"""Brings the engine to the version that is to be served, and keeps it there."""

import logging
from collections.abc import Mapping, Sequence
from functools import partial
from math import inf

import eventlet

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.hubs import Peer, choose_hubs, loader_peers
from ridgecourse.core.ids import Seconds, TargetName, WeightsVersion
from ridgecourse.core.routes import EngineModel, OriginPlace
from ridgecourse.core.site import Site
from ridgecourse.core.supersession import start_wait
from ridgecourse.exchange.catalogue import Catalogue, VersionKey
from ridgecourse.exchange.context import ExchangeContext
from ridgecourse.exchange.holding import Holding
from ridgecourse.exchange.origin import WeightsOrigin
from ridgecourse.exchange.server import Exchange
from ridgecourse.exchange.transfer import Transfer, TransferError
from ridgecourse.loader.early_staging import EarlyStaging
from ridgecourse.loader.gateways import KnownGateways
from ridgecourse.loader.protocol import (
    EngineControl,
    EngineReport,
    EngineUnavailable,
    OrderOutcome,
    Phase,
    StagingUnanswered,
    StartOrder,
)
from ridgecourse.loader.service_engines import ServiceEngines
from ridgecourse.loader.staging import StagedVersion, Staging
from ridgecourse.loader.transfer_watch import TransferOwner, TransferWatch
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind
from ridgecourse.net.threads import spawn_loop

logger = logging.getLogger(__name__)

IDLE_SECONDS = 0.5
"""Between two looks at an engine that serves what it should; a crash of the
engine is noticed within this."""
WORK_SECONDS = 0.1
"""Between two looks at an engine that carries out an order."""
SETTLE_SECONDS = 3.0
"""From its start on, how long a loader without any gateway waits for one before it
turns to other loaders: gateways read the list of targets each 1.1 s."""
ENGINE_SECONDS = 0.6
"""From its start on, how long a loader waits for its engine before it fetches weights
without it. An engine that was restarted beside it is there sooner, and has them."""
STRAY_SECONDS = 2.0
"""How long after a call that put a chunk into the staging area went unanswered the
engine is not started: carried out late, it would put a chunk of an older version among
those just checked. Such a call has waited a second already."""
MANIFEST_PATIENCE_SECONDS = 1.0
"""How long hubs are asked for a manifest before the origin is: theirs takes some
round trips."""


class Rollout(TransferOwner):
    """Drives one engine.

    Attributes:
        phase: What is being done.
        version: The version it is done for.
        error: What stands in the way; empty for nothing.
        ordered: The last order; None for none.
        staged: What was staged last; None where that may have changed since.
        whole_at: Since when each version is whole here; some are named in a day.
        hubs: Where the transfer in progress takes chunks from.
        prefetching: Whether it goes on without the engine.
        stray_until: Until when an unanswered call may still change what lies staged.
        offering: Versions whose staged chunks are being read for others.
    """

    def __init__(
        self,
        site: Site,
        view: ClusterView,
        context: ExchangeContext,
        exchange: Exchange,
        engine: EngineControl,
        origin: WeightsOrigin,
        gateways: KnownGateways,
        peer_address: tuple[int, int],
    ) -> None:
        assert site.target is not None
        self.site = site
        self.service = site.target.service
        self.engines = ServiceEngines(site, view)
        self.view = view
        self.context = context
        self.exchange = exchange
        self.engine = engine
        self.origin = origin
        self.gateways = gateways
        self.chunk_port, self.control_port = peer_address
        self.catalogue = Catalogue(context, origin, self.offer)
        self.phase = Phase.WAITING
        self.version = WeightsVersion(0)
        self.error = ""
        self.alone_until = boottime() + SETTLE_SECONDS
        self.stray_until = Seconds(0.0)
        self.prefetching = False
        # At the first start of all, engines come up with the first version staged.
        self.prefetch_at = inf if site.first_start else boottime() + ENGINE_SECONDS
        self.ordered: StartOrder | None = None
        self.staged: StagedVersion | None = None
        self.whole_at: dict[VersionKey, Seconds] = {}
        self.transfer: Transfer | None = None
        self.hubs: Sequence[Peer] = []
        self.offering: set[VersionKey] = set()
        self.watch = TransferWatch(self)
        self.threads: list = []

    def start(self) -> None:
        """Begin to drive the engine."""
        self.threads.append(spawn_loop(self._run))
        self.watch.start()

    def close(self) -> None:
        """Stop."""
        self.watch.close()
        for thread in self.threads:
            thread.kill()
        if self.transfer is not None:
            self.transfer.close()

    def _run(self) -> None:
        while True:
            try:
                wait = self._step()
            except EngineUnavailable as error:
                if isinstance(error, StagingUnanswered):
                    self.stray_until = Seconds(boottime() + STRAY_SECONDS)
                self._set(Phase.WAITING, f"engine: {error}")
                wait = WORK_SECONDS
            self.view.changed.wait(wait)

    def _step(self) -> float:
        """Do what is next; return the longest wait until the step after."""
        found = self.find_model()
        if found is None:
            self._set(Phase.WAITING, "no configuration")
            return IDLE_SECONDS
        model, place = found
        wanted = self.view.wanted_version(model.model)
        try:
            report = self.engine.report()
        except EngineUnavailable as error:
            return self._prefetch((model.model, wanted), place, str(error))
        if report.busy and self.ordered == StartOrder(wanted, report.started):
            return WORK_SECONDS
        if report.serves(wanted, model.layers):
            self._set(Phase.SERVING, "", wanted)
            return IDLE_SECONDS
        return self._bring(self.watch.choose(model, wanted, report), place, report)

    def _prefetch(self, key: VersionKey, place: OriginPlace, error: str) -> float:
        """Fetch a version's chunks while the engine is not there yet."""
        holding = self.catalogue.holdings.get(key)
        if boottime() < self.prefetch_at or (holding and holding.complete):
            self._set(Phase.WAITING, f"engine: {error}")
        else:
            self.prefetching = True
            self._obtain(key, place, None)
            self.prefetching = False
        return WORK_SECONDS

    def find_model(self) -> tuple[EngineModel, OriginPlace] | None:
        """Return the engine's model and its origin, None before they are known."""
        config = self.view.config
        if config is None or config.origin is None:
            return None
        service = config.services.get(self.service)
        if service is None or service.engine is None or not service.engine.chunks:
            return None
        return service.engine, config.origin

    def _set(
        self, phase: Phase, error: str, version: WeightsVersion | None = None
    ) -> None:
        if version is None:
            version = self.version
        if (phase, error, version) == (self.phase, self.error, self.version):
            return
        self.phase, self.error, self.version = phase, error, version
        self.context.events.emit(
            EventKind.ROLLOUT_PHASE,
            version=str(version),
            phase=phase.value,
            error=error,
        )

    def transfer_seconds(self, holding: Holding) -> float:
        """Return the seconds that a transfer still takes at the link's speed."""
        return holding.missing_bytes() / self.site.upload_bytes_per_s

    def sources(self, key: VersionKey) -> tuple[Mapping[TargetName, Peer], list]:
        """Return whom to take a version from, and which of them are hubs.

        Without any gateway the loaders take it from each other.
        """
        self.hubs = choose_hubs(str(key), self.gateways)
        if not self.hubs:
            return self.other_loaders(), []
        peers = {hub.name: hub for hub in self.hubs}
        return peers, list(peers)

    def other_loaders(self) -> Mapping[TargetName, Peer]:
        """Return the loaders of the service's other engines, by instance."""
        return loader_peers(self.engines.others(), (self.chunk_port, self.control_port))

    def starts_early(self, key: VersionKey) -> bool:
        """Tell whether this engine is in the half that takes new weights first."""
        return self.engines.starts_early(key)

    def offer(self, key: VersionKey) -> None:
        """Take part in the exchange of the version that the engine serves.

        Its chunks lie staged. So gateways get the first version, which nobody
        brought in, without the origin and its border.
        """
        serving = self.phase is Phase.SERVING and key[1] == self.version
        if serving and key not in self.offering:
            self.offering.add(key)
            eventlet.spawn(self._offer_staged, key)

    def _offer_staged(self, key: VersionKey) -> None:
        try:
            self._offer_once(key)
        finally:
            self.offering.discard(key)

    def _offer_once(self, key: VersionKey) -> None:
        found = self.find_model()
        if found is None:
            return
        holding = self.catalogue.find(key, found[1].address, [], 0.0)
        if holding is None:
            return
        try:
            Staging(self.context, self.engine, key[0]).take_in(holding.manifest)
        except EngineUnavailable as error:
            logger.warning("cannot offer %s: %s", key, error)
            return
        self._join(key, holding)

    # Steps.

    def _join(self, key: VersionKey, holding: Holding) -> None:
        """Take part in a version's exchange; drop what is older than needed."""
        for old in self.catalogue.drop_old(key[0]):
            self.exchange.leave(old.root)
        self.catalogue.retain_chunks()
        if holding.root not in self.exchange.holdings:
            self.exchange.join(holding)

    def _bring(
        self, key: VersionKey, place: OriginPlace, report: EngineReport
    ) -> float:
        """Bring a version in and start it."""
        staging = Staging(self.context, self.engine, key[0])
        holding = self._obtain(key, place, staging)
        if holding is None:
            return WORK_SECONDS
        return self._take(key, holding, staging, report)

    def _obtain(
        self, key: VersionKey, place: OriginPlace, staging: Staging | None
    ) -> Holding | None:
        """Return a version's holding once all its chunks are here, else None.

        Args:
            key: The version.
            place: Where its origin stands.
            staging: Where some of it may lie; None while the engine is away.
        """
        if not self.gateways and boottime() < self.alone_until:
            return None
        known = self.catalogue.holdings.get(key)
        if known is not None and known.complete:
            self._join(key, known)
            return known
        self._set(Phase.MANIFEST, "", key[1])
        peers, hubs = self.sources(key)
        near = sorted(peers.values(), key=lambda peer: peer.domain != self.site.domain)
        asked = near if hubs else []
        holding = self.catalogue.find(
            key, place.address, asked, MANIFEST_PATIENCE_SECONDS
        )
        if holding is None:
            self._set(Phase.MANIFEST, "no manifest", key[1])
            return None
        if staging is not None and not holding.complete:
            staging.take_in(holding.manifest)
        self._join(key, holding)
        if holding.complete:
            return holding
        if hubs:
            # Known or not, the hub may be a new one that has not begun.
            eventlet.spawn(self.catalogue.ask, near[0], key)
        origin = self.origin.chunks(place.address, *key)
        needed, domain = partial(self.is_needed, key), place.domain
        transfer = Transfer(
            self.context, origin, holding, peers, 1, hubs, domain, is_needed=needed
        )
        if staging is None:
            return holding if self._run_transfer(key, transfer) else None
        self.staged = None
        required = partial(self.is_required, key)
        early = EarlyStaging(staging, holding, required)
        early.start()
        try:
            whole = self._run_transfer(key, transfer)
        finally:
            early.close()
        return holding if whole else None

    def is_required(self, key: VersionKey) -> bool:
        """Tell whether nothing may begin on older versions than this one."""
        history = self.view.history(key[0])
        return history.required(boottime()) >= key[1]

    def _run_transfer(self, key: VersionKey, transfer: Transfer) -> bool:
        """Fetch the missing chunks; tell whether all are held."""
        self._set(Phase.TRANSFER, "", key[1])
        self.transfer = transfer
        try:
            return transfer.run()
        except TransferError as error:
            self._set(Phase.TRANSFER, str(error), key[1])
            self.watch.given_up.add(key)
            return False
        finally:
            self.transfer = None

    def _take(
        self,
        key: VersionKey,
        holding: Holding,
        staging: Staging,
        report: EngineReport,
    ) -> float:
        """Stage a version that is held, and start it when its time has come."""
        self._set(Phase.STAGING, "", key[1])
        staged = StagedVersion(holding.root, report.started)
        if self.staged != staged:
            # Not at each look while it waits: a wait of 3 s took five readings of all.
            staging.fill(holding.manifest)
            self.staged = staged
        wait = self._start_wait(key, report)
        if wait > 0:
            return min(wait, IDLE_SECONDS)
        # Once more, shortly before it is taken: chunks turn bad where they lie.
        repaired = staging.fill(holding.manifest)
        if self.engine.report().started == report.started:
            self._start(key, repaired, report)
        # Else what was found whole may have gone with the engine's earlier life.
        return WORK_SECONDS

    def _start_wait(self, key: VersionKey, report: EngineReport) -> float:
        """Return the seconds after which to order the start; 0 for now."""
        stray = self.stray_until - boottime()
        return max(stray, self.turn_wait(key, report))

    def turn_wait(self, key: VersionKey, report: EngineReport) -> float:
        """Return the seconds until it is this engine's turn to take a whole version."""
        held = report.layers
        if held is None:
            return 0.0
        history = self.view.history(key[0])
        bound, newer_bound = map(history.begin_by, (held.version, key[1]))
        now = boottime()
        whole_at = self.whole_at.setdefault(key, now)
        place = self.engines.place(key)
        return start_wait(bound, newer_bound, now, whole_at, place)

    def _start(self, key: VersionKey, repaired: int, report: EngineReport) -> None:
        outcome = self.engine.start(*key)
        self.context.events.emit(
            EventKind.VERSION_STARTED,
            version=str(key[1]),
            outcome=outcome.value,
            repaired=repaired,
        )
        if outcome in (OrderOutcome.BEGUN, OrderOutcome.HELD):
            self.ordered = StartOrder(key[1], report.started)
            self._set(Phase.STARTING, "", key[1])
        else:
            self._set(Phase.STARTING, f"order {outcome.value}", key[1])

    def is_needed(self, key: VersionKey) -> bool:
        """Tell whether a version is still worth its transfer, nearly here or not."""
        return not self.catalogue.is_outdated(
            key, self.view.history(key[0]).count_newer(key[1])
        )
