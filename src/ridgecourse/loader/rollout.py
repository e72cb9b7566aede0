"""Brings the engine to the version that is to be served, and keeps it there."""

from collections.abc import Mapping
from enum import Enum
from time import monotonic

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.engine_load import EngineStatus
from ridgecourse.core.ids import Seconds, TargetName, WeightsVersion
from ridgecourse.core.routes import EngineModel, OriginPlace
from ridgecourse.core.site import Site
from ridgecourse.core.supersession import TransferPlan, should_finish
from ridgecourse.exchange.context import ExchangeContext, Peer
from ridgecourse.exchange.holding import Holding
from ridgecourse.exchange.server import Exchange
from ridgecourse.exchange.transfer import Transfer, TransferError
from ridgecourse.loader.catalogue import Catalogue, VersionKey
from ridgecourse.loader.protocol import (
    EngineControl,
    EngineReport,
    EngineUnavailable,
    OrderOutcome,
    WeightsOrigin,
)
from ridgecourse.loader.staging import Staging
from ridgecourse.net.events import EventKind
from ridgecourse.net.threads import spawn_loop

IDLE_SECONDS = 0.5
"""Between two looks at an engine that serves what it should; a crash of the
engine is noticed within this."""
WORK_SECONDS = 0.1
"""Between two looks at an engine that carries out an order."""
KEPT_VERSIONS = 2
"""Versions kept for others: the newest and the one before, which the origin has."""
START_SECONDS = 1.0
"""From the last chunk to serving: staging, checking, the engine's own start."""


class Phase(Enum):
    """What a loader is doing."""

    WAITING = "waiting"
    MANIFEST = "manifest"
    TRANSFER = "transfer"
    STAGING = "staging"
    STARTING = "starting"
    SERVING = "serving"


class Rollout:
    """Drives one engine.

    Attributes:
        phase: What is being done.
        version: The version it is done for.
        error: What stands in the way; empty for nothing.
    """

    def __init__(
        self,
        site: Site,
        view: ClusterView,
        context: ExchangeContext,
        exchange: Exchange,
        engine: EngineControl,
        origin: WeightsOrigin,
        peer_address: tuple[int, int],
    ) -> None:
        assert site.target is not None
        self.site = site
        self.service = site.target.service
        self.view = view
        self.context = context
        self.exchange = exchange
        self.engine = engine
        self.origin = origin
        self.chunk_port, self.control_port = peer_address
        self.catalogue = Catalogue(context, origin)
        self.phase = Phase.WAITING
        self.version = WeightsVersion(0)
        self.error = ""
        self.transfer: Transfer | None = None
        self.threads: list = []

    def start(self) -> None:
        """Begin to drive the engine."""
        self.threads.append(spawn_loop(self._run))
        self.threads.append(spawn_loop(self._watch_versions))

    def close(self) -> None:
        """Stop."""
        for thread in self.threads:
            thread.kill()
        if self.transfer is not None:
            self.transfer.close()

    def _run(self) -> None:
        while True:
            try:
                wait = self._step()
            except EngineUnavailable as error:
                self._set(Phase.WAITING, f"engine: {error}")
                wait = WORK_SECONDS
            self.view.changed.wait(wait)

    def _step(self) -> float:
        """Do what is next; return the longest wait until the step after."""
        found = self._find_model()
        if found is None:
            self._set(Phase.WAITING, "no configuration")
            return IDLE_SECONDS
        model, place = found
        wanted = self.view.wanted_version(model.model)
        report = self.engine.report()
        if report.busy:
            return WORK_SECONDS
        if report.serves(wanted, model.layers):
            self._set(Phase.SERVING, "", wanted)
            self._share((model.model, wanted), place)
            return IDLE_SECONDS
        return self._bring((model.model, wanted), model, place, report)

    def _find_model(self) -> tuple[EngineModel, OriginPlace] | None:
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

    def describe(self, report: EngineReport) -> EngineStatus:
        """Return what gateways are told of the engine."""
        held = report.layers
        found = self._find_model()
        layers = found[0].layers if found else 0
        whole = held is not None and report.serves(held.version, layers)
        return EngineStatus(
            version=held.version if held and whole else WeightsVersion(0),
            busy=report.busy,
            queued=report.queued,
            active=report.active,
            cache_used=report.cache_used,
            cache_total=report.cache_total,
            pace=report.pace,
        )

    def peers(self) -> Mapping[TargetName, Peer]:
        """Return the other loaders of the service's engines, by instance."""
        found = {}
        for target in self.view.targets.targets.values():
            if target.service != self.service or target.host == self.site.host:
                continue
            name = TargetName(target.host)
            found[name] = Peer(
                name,
                target.domain,
                f"{target.host}:{self.chunk_port}",
                f"{target.host}:{self.control_port}",
            )
        return found

    # Steps.

    def _share(self, key: VersionKey, place: OriginPlace) -> None:
        """Offer the version that the engine serves to others."""
        if key in self.catalogue.holdings:
            return
        holding = self.catalogue.find(key, place.address, self.peers())
        if holding is not None:
            Staging(self.context, self.engine, key[0]).take_in(holding.manifest)
            self._join(key, holding)

    def _join(self, key: VersionKey, holding: Holding) -> None:
        """Take part in a version's exchange; drop what is older than needed."""
        known = sorted(k for k in self.catalogue.holdings if k[0] == key[0])
        for old in known[:-KEPT_VERSIONS]:
            self.exchange.leave(self.catalogue.holdings.pop(old).root)
        holdings = self.catalogue.holdings.values()
        places = [place for held in holdings for place in held.places]
        self.context.store.retain([place.digest for place in places])
        if holding.root not in self.exchange.holdings:
            self.exchange.join(holding)

    def _bring(
        self,
        key: VersionKey,
        model: EngineModel,
        place: OriginPlace,
        report: EngineReport,
    ) -> float:
        """Bring a version in and start it."""
        self._set(Phase.MANIFEST, "", key[1])
        holding = self.catalogue.find(key, place.address, self.peers())
        if holding is None:
            self._set(Phase.MANIFEST, "no manifest", key[1])
            return WORK_SECONDS
        staging = Staging(self.context, self.engine, key[0])
        if len(holding.held) < len(holding.places):
            staging.take_in(holding.manifest)
        self._join(key, holding)
        if not self._complete(key, holding, place):
            return WORK_SECONDS
        self._set(Phase.STAGING, "", key[1])
        staging.fill(holding.manifest)
        # Once more, shortly before it is taken: chunks turn bad where they lie.
        repaired = staging.fill(holding.manifest)
        self._start(key, repaired)
        return WORK_SECONDS

    def _complete(self, key: VersionKey, holding: Holding, place: OriginPlace) -> bool:
        """Fetch the missing chunks; tell whether all are held."""
        if len(holding.held) == len(holding.places):
            return True
        self._set(Phase.TRANSFER, "", key[1])
        origin = self.origin.chunks(place.address, *key)
        self.transfer = Transfer(self.context, origin, holding, self.peers(), 1)
        try:
            return self.transfer.run()
        except TransferError as error:
            self._set(Phase.TRANSFER, str(error), key[1])
            return False
        finally:
            self.transfer = None

    def _start(self, key: VersionKey, repaired: int) -> None:
        outcome = self.engine.start(*key)
        self.context.events.emit(
            EventKind.VERSION_STARTED,
            version=str(key[1]),
            outcome=outcome.value,
            repaired=repaired,
        )
        if outcome in (OrderOutcome.BEGUN, OrderOutcome.HELD):
            self._set(Phase.STARTING, "", key[1])
        else:
            self._set(Phase.STARTING, f"order {outcome.value}", key[1])

    # Supersession.

    def _watch_versions(self) -> None:
        """Drop a transfer where its successor had better go first."""
        while True:
            self.view.changed.wait(IDLE_SECONDS)
            transfer, found = self.transfer, self._find_model()
            if transfer is None or found is None:
                continue
            model = found[0]
            wanted = self.view.wanted_version(model.model)
            if wanted > self.version and not self._should_finish(transfer, model):
                self.context.events.emit(
                    EventKind.ROLLOUT_DROPPED,
                    version=str(self.version),
                    newer=str(wanted),
                    missing=len(transfer.planner.missing),
                )
                transfer.cancel()

    def _should_finish(self, transfer: Transfer, model: EngineModel) -> bool:
        now = Seconds(monotonic())
        copy = model.chunks * model.chunk_bytes / self.site.upload_bytes_per_s
        missing = len(transfer.planner.missing) / max(1, len(transfer.holding.places))
        history = self.view.history(model.model)
        older = WeightsVersion(self.version - 1)
        newer = TransferPlan(
            copy + START_SECONDS, history.begin_by(self.version) or now
        )
        current = TransferPlan(
            copy * missing + START_SECONDS, history.begin_by(older) or now
        )
        return should_finish(current, newer, now)
