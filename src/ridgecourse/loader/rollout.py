"""Rollout of the wanted version on one engine.

Polls the engine, and fetches, stages and starts the version that the engine should
serve whenever the engine does not serve it.
"""

import logging
from collections.abc import Mapping, Sequence
from functools import partial
from math import inf

import eventlet

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.hubs import Peer, choose_hubs, loader_peers
from ridgecourse.core.ids import Seconds, TargetName, WeightsVersion
from ridgecourse.core.routes import EngineModel, OriginLocation
from ridgecourse.core.site import Site
from ridgecourse.core.supersession import switch_wait
from ridgecourse.exchange.catalogue import Catalogue, VersionKey
from ridgecourse.exchange.context import ExchangeContext
from ridgecourse.exchange.holding import Holding
from ridgecourse.exchange.origin import WeightsOrigin
from ridgecourse.exchange.server import Exchange
from ridgecourse.exchange.transfer import Transfer, TransferError
from ridgecourse.loader.early_staging import EarlyStaging
from ridgecourse.loader.engine_control import (
    EngineControl,
    EngineReport,
    EngineUnavailable,
    OrderOutcome,
    Phase,
    StagingUnanswered,
    StartOrder,
)
from ridgecourse.loader.engine_start import EngineStart
from ridgecourse.loader.known_gateways import KnownGateways
from ridgecourse.loader.service_engines import ServiceEngines
from ridgecourse.loader.staging import Staging
from ridgecourse.loader.transfer_watch import TransferOwner, TransferWatch
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind
from ridgecourse.net.threads import kill_threads, spawn_loop

logger = logging.getLogger(__name__)

IDLE_POLL_SECONDS = 0.5
"""Poll interval of an engine that serves the wanted version, in seconds; a crash of the
engine is detected within this time."""
BUSY_POLL_SECONDS = 0.1
"""Poll interval of an engine that carries out an order, in seconds."""
GATEWAY_WAIT_SECONDS = 3.0
"""Seconds from the loader's start during which it waits for a gateway before it fetches
from other loaders: gateways read the list of targets every 1.1 s."""
ENGINE_WAIT_SECONDS = 0.6
"""Seconds from the loader's start during which it waits for its engine before it
fetches weights without the engine. An engine that was restarted together with the
loader answers sooner, and has the weights."""
MANIFEST_PEERS_SECONDS = 1.0
"""Seconds for which hubs are asked for a manifest before the origin is asked: a
manifest from a hub takes some round trips."""


class Rollout(TransferOwner):
    """Rollout of versions on one engine.

    Attributes:
        phase: Current phase.
        version: Version that the phase applies to.
        error: Error that blocks the rollout; empty if none.
        ordered: Last order that the engine accepted; None for none.
        engine_start: Stages versions and orders the engine to start them.
        complete_since: Since when each version is complete in this loader; only a few
            versions are published in a day.
        transfer: Transfer in progress; None for none.
        hubs: Sources of the transfer in progress; empty if loaders fetch from each
            other.
        is_prefetching: Whether a transfer runs while the engine is unavailable.
        prefetch_at: Time from which weights are fetched without the engine.
        gateway_wait_until: Time until which the loader waits for a first gateway.
        offering: Versions whose staged chunks are being loaded for other processes.
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
        peer_ports: tuple[int, int],
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
        self.chunk_port, self.control_port = peer_ports
        self.catalogue = Catalogue(context, origin, self.offer)
        self.phase = Phase.WAITING
        self.version = WeightsVersion(0)
        self.error = ""
        self.gateway_wait_until = boottime() + GATEWAY_WAIT_SECONDS
        self.is_prefetching = False
        # When the whole site starts for the first time, engines start with the first
        # version staged.
        self.prefetch_at = inf if site.first_start else boottime() + ENGINE_WAIT_SECONDS
        self.ordered: StartOrder | None = None
        self.engine_start = EngineStart(context, engine)
        self.complete_since: dict[VersionKey, Seconds] = {}
        self.transfer: Transfer | None = None
        self.hubs: Sequence[Peer] = []
        self.offering: set[VersionKey] = set()
        self.watch = TransferWatch(self)
        self.threads: list = []

    def start(self) -> None:
        """Start to control the engine."""
        self.threads.append(spawn_loop(self._run))
        self.watch.start()

    def close(self) -> None:
        """Stop controlling the engine and close the transfer in progress."""
        self.watch.close()
        kill_threads(self.threads)
        if self.transfer is not None:
            self.transfer.close()

    def _run(self) -> None:
        """Run steps repeatedly; wait for changes of the view between them."""
        while True:
            self.view.changed.wait(self._run_step())

    def _run_step(self) -> float:
        """Run a step; return the longest wait, also if the engine gave no answer."""
        self.engine_start.count_down()
        try:
            return self._step()
        except EngineUnavailable as error:
            if isinstance(error, StagingUnanswered):
                self.engine_start.record_unanswered_write()
            self._set_phase(Phase.WAITING, f"engine: {error}")
            return BUSY_POLL_SECONDS

    def _step(self) -> float:
        """Carry out the next step; return the longest wait until the following step."""
        configured = self.find_model()
        if configured is None:
            self._set_phase(
                Phase.WAITING, "no configuration of the engine's model and origin"
            )
            return IDLE_POLL_SECONDS
        model, origin_place = configured
        wanted = self.view.wanted_version(model.model)
        try:
            report = self.engine.report()
        except EngineUnavailable as error:
            return self._prefetch((model.model, wanted), origin_place, str(error))
        if report.busy and self.ordered == StartOrder(wanted, report.started):
            return BUSY_POLL_SECONDS
        if report.serves(wanted, model.layers):
            self._set_phase(Phase.SERVING, "", wanted)
            return IDLE_POLL_SECONDS
        return self._fetch_and_start(
            self.watch.choose(model, wanted, report), origin_place, report
        )

    def _prefetch(
        self, key: VersionKey, origin_place: OriginLocation, error: str
    ) -> float:
        """Fetch a version's chunks while the engine is unavailable."""
        holding = self.catalogue.holdings.get(key)
        if boottime() < self.prefetch_at or (holding and holding.complete):
            self._set_phase(Phase.WAITING, f"engine: {error}")
        else:
            self.is_prefetching = True
            self._fetch_version(key, origin_place, None)
            self.is_prefetching = False
        return BUSY_POLL_SECONDS

    def find_model(self) -> tuple[EngineModel, OriginLocation] | None:
        """Return the engine's model and its origin; None if the config lacks them."""
        config = self.view.config
        if config is None or config.origin is None:
            return None
        service = config.services.get(self.service)
        if service is None or service.engine is None or not service.engine.chunks:
            return None
        return service.engine, config.origin

    def _set_phase(
        self, phase: Phase, error: str, version: WeightsVersion | None = None
    ) -> None:
        """Set the phase, and emit an event if the phase, error or version changed."""
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
        """Return the remaining seconds of a transfer at the full speed of the link."""
        return holding.missing_bytes() / self.site.upload_bytes_per_s

    def sources(self, key: VersionKey) -> tuple[Mapping[TargetName, Peer], list]:
        """Return the peers to fetch a version from, and the names of hubs among them.

        Without any gateway, loaders fetch the version from each other.
        """
        self.hubs = choose_hubs(str(key), self.gateways)
        if not self.hubs:
            return self.other_loaders(), []
        peers = {hub.name: hub for hub in self.hubs}
        return peers, list(peers)

    def other_loaders(self) -> Mapping[TargetName, Peer]:
        """Return the loaders of the service on other instances, by instance."""
        return loader_peers(self.engines.others(), (self.chunk_port, self.control_port))

    def starts_early(self, key: VersionKey) -> bool:
        """Check whether the local engine is in the half that switches weights first."""
        return self.engines.starts_early(key)

    def offer(self, key: VersionKey) -> None:
        """Offer the version that the engine serves to other processes.

        The chunks of that version are staged. So gateways can fetch the first version,
        which no hub fetched, without traffic from the origin across a domain border.
        """
        serving = self.phase is Phase.SERVING and key[1] == self.version
        if serving and key not in self.offering:
            self.offering.add(key)
            eventlet.spawn(self._offer_staged, key)

    def _offer_staged(self, key: VersionKey) -> None:
        try:
            self._load_and_join(key)
        finally:
            self.offering.discard(key)

    def _load_and_join(self, key: VersionKey) -> None:
        """Load the staged chunks of a version and join the exchange of the version."""
        configured = self.find_model()
        if configured is None:
            return
        holding = self.catalogue.find(key, configured[1].address, [], 0.0)
        if holding is None:
            return
        try:
            Staging(self.context, self.engine, key[0]).load_staged(holding.manifest)
        except EngineUnavailable as error:
            logger.warning("cannot offer version %s to other processes: %s", key, error)
            return
        self._join_exchange(key, holding)

    def _join_exchange(self, key: VersionKey, holding: Holding) -> None:
        """Join a version's exchange; drop versions that are not retained any more."""
        for dropped in self.catalogue.drop_old(key[0]):
            self.exchange.leave(dropped.root)
        self.catalogue.retain_chunks()
        if holding.root not in self.exchange.holdings:
            self.exchange.join(holding)

    def _fetch_and_start(
        self, key: VersionKey, origin_place: OriginLocation, report: EngineReport
    ) -> float:
        """Fetch, stage and start a version; return the wait until the next step."""
        staging = Staging(self.context, self.engine, key[0])
        holding = self._fetch_version(key, origin_place, staging)
        if holding is None:
            return BUSY_POLL_SECONDS
        return self._stage_and_start(key, holding, staging, report)

    def _fetch_version(
        self, key: VersionKey, origin_place: OriginLocation, staging: Staging | None
    ) -> Holding | None:
        """Fetch a version's missing chunks.

        Args:
            key: The version.
            origin_place: Address and domain of the origin.
            staging: Staging area that may contain chunks of the version; None while the
                engine is unavailable.

        Returns:
            The holding once it is complete; None if it is not.
        """
        if not self.gateways and boottime() < self.gateway_wait_until:
            return None
        known = self.catalogue.holdings.get(key)
        if known is not None and known.complete:
            self._join_exchange(key, known)
            return known
        self._set_phase(Phase.MANIFEST, "", key[1])
        peers, hubs = self.sources(key)
        sorted_peers = sorted(
            peers.values(), key=lambda peer: peer.domain != self.site.domain
        )
        manifest_peers = sorted_peers if hubs else []
        holding = self.catalogue.find(
            key, origin_place.address, manifest_peers, MANIFEST_PEERS_SECONDS
        )
        if holding is None:
            self._set_phase(
                Phase.MANIFEST, "no manifest from the hubs or the origin", key[1]
            )
            return None
        if staging is not None and not holding.complete:
            staging.load_staged(holding.manifest)
        self._join_exchange(key, holding)
        if holding.complete:
            return holding
        if hubs:
            # Even if the manifest is known, the hub may be new and may not have started
            # to fetch the version. The request makes the hub start.
            eventlet.spawn(self.catalogue.fetch_manifest, sorted_peers[0], key)
        origin = self.origin.chunks(origin_place.address, *key)
        needed, domain = partial(self.is_needed, key), origin_place.domain
        transfer = Transfer(
            self.context, origin, holding, peers, 1, hubs, domain, is_needed=needed
        )
        if staging is None:
            return holding if self._run_transfer(key, transfer) else None
        self.engine_start.staged = None
        may_stage = partial(self._may_stage_early, key)
        early_staging = EarlyStaging(staging, holding, may_stage)
        early_staging.start()
        try:
            is_complete = self._run_transfer(key, transfer)
        finally:
            early_staging.close()
        return holding if is_complete else None

    def is_required(self, key: VersionKey) -> bool:
        """Check whether requests may not be started on versions older than this one."""
        history = self.view.history(key[0])
        return history.required_version(boottime()) >= key[1]

    def _may_stage_early(self, key: VersionKey) -> bool:
        """Check whether chunks of a version may be staged before it is complete."""
        self.engine_start.count_down()
        return self.is_required(key) and not self.engine_start.write_wait(key)

    def _run_transfer(self, key: VersionKey, transfer: Transfer) -> bool:
        """Run a transfer; return whether the version is complete."""
        self._set_phase(Phase.TRANSFER, "", key[1])
        self.transfer = transfer
        try:
            return transfer.run()
        except TransferError as error:
            self._set_phase(Phase.TRANSFER, str(error), key[1])
            self.watch.abandoned.add(key)
            return False
        finally:
            self.transfer = None

    def _stage_and_start(
        self,
        key: VersionKey,
        holding: Holding,
        staging: Staging,
        report: EngineReport,
    ) -> float:
        """Stage a complete version and start it when it is the engine's turn.

        Returns:
            The longest wait until the next step, in seconds.
        """
        self._set_phase(Phase.STAGING, "", key[1])
        if write_wait := self.engine_start.write_wait(key):
            return min(write_wait, IDLE_POLL_SECONDS)
        self.engine_start.stage(holding, staging, report)
        wait = max(self.engine_start.start_wait(), self.turn_wait(key, report))
        if wait > 0:
            return min(wait, IDLE_POLL_SECONDS)
        outcome = self.engine_start.order(key, holding, staging, report)
        if outcome in (OrderOutcome.BEGUN, OrderOutcome.HELD):
            self.ordered = StartOrder(key[1], report.started)
            self._set_phase(Phase.STARTING, "", key[1])
        elif outcome is not None:
            self._set_phase(Phase.STARTING, f"start order {outcome.value}", key[1])
        return BUSY_POLL_SECONDS

    def turn_wait(self, key: VersionKey, report: EngineReport) -> float:
        """Return the seconds until it is this engine's turn to switch to a version."""
        layers = report.layers
        if layers is None:
            return 0.0
        history = self.view.history(key[0])
        bound, newer_bound = map(history.start_deadline, (layers.version, key[1]))
        now = boottime()
        complete_since = self.complete_since.setdefault(key, now)
        turn = self.engines.turn_fraction(key)
        return switch_wait(bound, newer_bound, now, complete_since, turn)

    def is_needed(self, key: VersionKey) -> bool:
        """Check whether a version is still needed, however complete it is."""
        return not self.catalogue.is_outdated(
            key, self.view.history(key[0]).count_newer(key[1])
        )
