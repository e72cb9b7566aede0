"""Deploys the version that the configuration places to the target's engine.

A rollout fetches the manifest and the chunks, orders the engine to load and verify
the complete version, orders it to switch to the version in one step, and reads
back which version the engine serves. After a failure in any phase the old version
keeps serving.
"""

import logging
from enum import Enum
from secrets import token_hex

import eventlet
from returns.result import Failure, Result, Success

from ridgecourse.agent.context import AgentContext
from ridgecourse.agent.lease import LeaseKeeper
from ridgecourse.agent.manifest_fetch import (
    RETRY_SECONDS,
    ManifestFetcher,
    RolloutStopped,
)
from ridgecourse.core.config_objects import Service, Target, Version
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import Offset, TargetName
from ridgecourse.exchange.holding import Holding
from ridgecourse.exchange.server import Exchange
from ridgecourse.exchange.store import OutOfBudget
from ridgecourse.exchange.transfer import Transfer, TransferError
from ridgecourse.native.engine import (
    ActivateOrder,
    EngineState,
    LoadOrder,
    OrderResult,
)
from ridgecourse.native.log import LogUnavailable
from ridgecourse.net.events import EventKind
from ridgecourse.net.threads import Broadcast, kill_threads, spawn_loop

logger = logging.getLogger(__name__)

ENGINE_POLL_SECONDS = 1.0


class Phase(Enum):
    """Phase of a rollout at a target."""

    IDLE = "idle"
    MANIFEST = "manifest"
    TRANSFER = "transfer"
    ACTIVATE = "activate"
    SERVING = "serving"
    HALTED = "halted"
    FAILED = "failed"


class Rollout:
    """Runs rollouts one after another.

    Attributes:
        phase: Phase of the present rollout.
        serving: Root digest of the version that the engine served at the last
            poll.
        error: Error that blocks the present rollout; empty if there is none.
        engine_reachable: Whether the engine answered the last poll.
        changed: Notified when any of these attributes change.
    """

    def __init__(self, context: AgentContext, exchange: Exchange) -> None:
        self.context = context
        self.exchange = exchange
        self.leases = LeaseKeeper(context)
        self.manifests = ManifestFetcher(
            context, self._is_wanted, self._report_manifest_failure
        )
        self.phase = Phase.IDLE
        self.serving = ""
        self.error = ""
        self.engine_reachable = False
        self.changed = Broadcast()
        self.wanted: Version | None = None
        self.holding: Holding | None = None
        self.transfer: Transfer | None = None
        self.transfer_version: Version | None = None
        self.threads: list[eventlet.greenthread.GreenThread] = []

    def start(self) -> None:
        """Start the threads that follow the configuration and the engine."""
        for loop in (self._watch_config, self._watch_engine, self._run):
            self.threads.append(spawn_loop(loop))

    def close(self) -> None:
        """Stop the transfer in progress and all threads."""
        if self.transfer is not None:
            self.transfer.close()
        kill_threads(self.threads)

    def target(self) -> Target | None:
        """Return the configuration of this agent's target, None if there is none."""
        key = (self.context.fleet, self.context.target)
        return self.context.config.state.targets.get(key)

    def service(self) -> Service | None:
        """Return the service that this agent's target belongs to."""
        target = self.target()
        if target is None:
            return None
        services = self.context.config.state.services
        return services.get((target.fleet, target.service))

    def progress(self) -> tuple[int, int]:
        """Return the bytes held, and the total bytes, of the version in rollout."""
        if self.holding is None:
            return 0, 0
        return self.holding.held_bytes(), self.holding.unique_bytes

    def _set_phase(self, phase: Phase, error: str = "") -> None:
        if (phase, error) != (self.phase, self.error):
            self.phase = phase
            self.error = error
            self.changed.notify()

    def _wanted_version(self) -> Version | None:
        """Return the version that the engine must serve; None if there is none."""
        target = self.target()
        service = self.service()
        if service is None or target is None or target.leaving or service.halted:
            return None
        return service.placed

    def _watch_config(self) -> None:
        """Cancel a transfer as soon as its version is not wanted any more."""
        while True:
            self.wanted = self._wanted_version()
            transfer = self.transfer
            version = self.transfer_version
            if transfer is not None and version is not None:
                if not self._is_wanted(version):
                    transfer.cancel()
            # The wait is bounded, since a change may arrive during a cancellation.
            self.context.config.changed.wait(RETRY_SECONDS)

    def _is_wanted(self, version: Version) -> bool:
        wanted = self._wanted_version()
        return wanted is not None and wanted.root_digest == version.root_digest

    def _watch_engine(self) -> None:
        """Poll the engine for the version that it serves."""
        while True:
            state = self.context.engine.state()
            self._record_engine_state(state)
            eventlet.sleep(ENGINE_POLL_SECONDS)

    def _record_engine_state(self, state: EngineState | None) -> None:
        serving = "" if state is None else state.active
        reachable = state is not None
        if (serving, reachable) != (self.serving, self.engine_reachable):
            self.serving = serving
            self.engine_reachable = reachable
            self.changed.notify()

    def _run(self) -> None:
        while True:
            version = self._wanted_version()
            if version is None:
                service = self.service()
                halted = service is not None and service.halted
                self._set_phase(Phase.HALTED if halted else Phase.IDLE)
                self.context.config.changed.wait(RETRY_SECONDS)
            elif not self.engine_reachable:
                # The served version is unknown; it may already be the wanted one.
                self.changed.wait(RETRY_SECONDS)
            elif version.root_digest == self.serving:
                self._set_phase(Phase.SERVING)
                self.changed.wait(RETRY_SECONDS)
            else:
                self._try_deploy(version)

    def _try_deploy(self, version: Version) -> None:
        """Try to deploy a version; record an error, so that the caller retries."""
        try:
            self._deploy(version)
        except RolloutStopped as error:
            self._handle_failure(version, str(error))
        except (TransferError, OutOfBudget) as error:
            prefix = "out-of-budget: " if isinstance(error, OutOfBudget) else ""
            self._handle_failure(version, f"{prefix}{error}")
        except LogUnavailable as error:
            self._handle_failure(version, f"no-lease: {error}")

    def _handle_failure(self, version: Version, error: str) -> None:
        if not self._is_wanted(version):
            self.context.events.emit(
                EventKind.ROLLOUT_DROPPED,
                target=self.context.target,
                version=version.root_digest,
            )
            return
        self._report_failure(version, error)
        self._set_phase(Phase.FAILED, error)
        eventlet.sleep(RETRY_SECONDS)

    def _report_failure(self, version: Version, error: str) -> None:
        """Emit an event for an error, once for as long as the error lasts."""
        if error != self.error:
            self.context.events.emit(
                EventKind.ROLLOUT_FAILED,
                target=self.context.target,
                version=version.root_digest,
                error=error,
            )

    def _report_manifest_failure(self, version: Version, error: str) -> None:
        self._report_failure(version, error)
        self._set_phase(Phase.MANIFEST, error)

    def _deploy(self, version: Version) -> None:
        self._emit(EventKind.ROLLOUT_STARTED, version)
        holding = self._prepare_holding(version)
        # The engine loads while chunks arrive, so that loading ends soon after them.
        load = eventlet.spawn(self._load, version)
        try:
            self._transfer(version, holding)
            self._emit(EventKind.VERSION_COMPLETE, version)
            result = load.wait()
        finally:
            self.exchange.tickets = {}
            load.kill()
        if isinstance(result, Failure):
            raise RolloutStopped(result.failure())
        self._activate(version)
        self._emit(EventKind.VERSION_SERVING, version)

    def _emit(self, kind: EventKind, version: Version) -> None:
        self.context.events.emit(
            kind, target=self.context.target, version=version.root_digest
        )

    def _prepare_holding(self, version: Version) -> Holding:
        """Fetch the manifest, make room and join the exchange of the version."""
        holding = self.exchange.holdings.get(version.root_digest)
        if holding is None:
            self._set_phase(Phase.MANIFEST, self.error)
            holding = self.manifests.fetch(version, self._peers())
        other_manifests = [
            other_holding.manifest
            for root, other_holding in reversed(self.exchange.holdings.items())
            if root != version.root_digest
        ]
        self.context.store.make_room(holding.manifest, *other_manifests)
        for root in list(self.exchange.holdings):
            other_holding = self.exchange.holdings[root]
            if root != version.root_digest and not self._is_complete(other_holding):
                self.exchange.leave(root)
        self.holding = holding
        self.exchange.join(holding)
        return holding

    def _is_complete(self, holding: Holding) -> bool:
        stored_digests = self.context.store.stored_digests(holding.places)
        return len(stored_digests) == len(holding.places)

    def _peers(self) -> dict[TargetName, Target]:
        target = self.target()
        if target is None:
            return {}
        service_targets = self.context.config.state.service_targets(
            target.fleet, target.service
        )
        return {
            peer.target: peer
            for peer in service_targets
            if peer.target != self.context.target
        }

    def _transfer(self, version: Version, holding: Holding) -> None:
        self._set_phase(Phase.TRANSFER, self.error)
        fleet = self.context.config.state.fleets[self.context.fleet]
        origin = self.context.origin.version(version.origin_path)
        peers = {
            name: Peer(name, peer.domain, peer.address, peer.control_address)
            for name, peer in self._peers().items()
        }
        self.transfer = Transfer(
            self.context.exchange, origin, holding, peers, fleet.origin_copies
        )
        self.transfer_version = version
        reporter = eventlet.spawn(self._report_progress, self.transfer)
        try:
            complete = self.transfer.run()
        finally:
            reporter.kill()
            self.transfer = None
        if not complete:
            self.exchange.leave(version.root_digest)
            raise RolloutStopped("superseded")

    def _report_progress(self, transfer: Transfer) -> None:
        while True:
            eventlet.sleep(RETRY_SECONDS)
            self._set_phase(Phase.TRANSFER, transfer.error)
            self.changed.notify()

    def _acquire_fencing_token(self, version: Version) -> Offset:
        """Acquire the lease and return a fencing token for an order to the engine.

        Raises:
            RolloutStopped: The version is superseded, or another agent holds the
                lease.
            LogUnavailable: The log does not answer.
        """
        self.leases.acquire()
        eventlet.sleep(self.leases.seconds_to_wait())
        if not self._is_wanted(version):
            raise RolloutStopped("superseded")
        token = self.leases.lease.token
        if token is None or not self.leases.may_order():
            raise RolloutStopped("no-lease: another agent holds the engine")
        return token

    def _load(self, version: Version) -> Result[OrderResult, str]:
        """Order the engine to load a version.

        This method runs in a thread of its own, so that it returns an error to
        the waiting thread instead of raising it.
        """
        try:
            token = self._acquire_fencing_token(version)
        except RolloutStopped as error:
            return Failure(str(error))
        except LogUnavailable as error:
            return Failure(f"no-lease: {error}")
        ticket = token_hex(16)
        self.exchange.tickets = {ticket: version.root_digest}
        target = self.target()
        source = self.context.settings.http if target is None else target.address
        order = LoadOrder(version.root_digest, source, ticket, token)
        result = self.context.engine.load(order)
        if result is not OrderResult.DONE:
            return Failure(self._report_failed_order(result, "load"))
        self._emit(EventKind.VERSION_LOADED, version)
        return Success(result)

    def _activate(self, version: Version) -> None:
        self._set_phase(Phase.ACTIVATE)
        token = self._acquire_fencing_token(version)
        result = self.context.engine.activate(ActivateOrder(version.root_digest, token))
        # The version that the engine serves decides, not the reply to the order.
        self._record_engine_state(self.context.engine.state())
        if self.serving != version.root_digest:
            raise RolloutStopped(self._report_failed_order(result, "activate"))
        self._set_phase(Phase.SERVING)

    def _report_failed_order(self, result: OrderResult, order: str) -> str:
        """Emit an event for an order that failed and return the error text."""
        self.context.events.emit(
            EventKind.ORDER_REFUSED,
            target=self.context.target,
            order=order,
            result=result.value,
        )
        return f"engine-{result.value}: {order}"
