"""Brings the engine to the version that the configuration places.

Phases: fetch the manifest, fetch the chunks, have the engine load and verify
the whole, order it to serve the version all at once, read back what it serves.
A failure at any point leaves the old version serving.
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
    ManifestFetch,
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
from ridgecourse.net.broadcast import Broadcast
from ridgecourse.net.events import EventKind
from ridgecourse.net.threads import spawn_loop

logger = logging.getLogger(__name__)

ENGINE_POLL_SECONDS = 1.0


class Phase(Enum):
    """Where a rollout stands at a target."""

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
        phase: Where the present one stands.
        serving: Root digest that the engine was last seen to serve.
        error: What keeps the present one from going on.
        changed: Notified when any of these change.
    """

    def __init__(self, context: AgentContext, exchange: Exchange) -> None:
        self.context = context
        self.exchange = exchange
        self.leases = LeaseKeeper(context)
        self.manifests = ManifestFetch(
            context, self._still_wanted, self._note_no_manifest
        )
        self.phase = Phase.IDLE
        self.serving = ""
        self.error = ""
        self.engine_seen = False
        self.changed = Broadcast()
        self.wanted: Version | None = None
        self.holding: Holding | None = None
        self.transfer: Transfer | None = None
        self.transferred: Version | None = None
        self.threads: list[eventlet.greenthread.GreenThread] = []

    def start(self) -> None:
        """Follow configuration and engine."""
        for work in (self._watch_config, self._watch_engine, self._work):
            self.threads.append(spawn_loop(work))

    def close(self) -> None:
        """Stop what is in progress."""
        if self.transfer is not None:
            self.transfer.close()
        for thread in self.threads:
            thread.kill()

    def target(self) -> Target | None:
        """Return this agent's target as configured."""
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
        """Return bytes held and bytes in all of the version being placed."""
        if self.holding is None:
            return 0, 0
        return self.holding.held_bytes(), self.holding.unique_bytes

    def _set(self, phase: Phase, error: str = "") -> None:
        if (phase, error) != (self.phase, self.error):
            self.phase = phase
            self.error = error
            self.changed.notify()

    def _find_wanted(self) -> Version | None:
        """Return the version to bring in, None for nothing to do."""
        target = self.target()
        service = self.service()
        if service is None or target is None or target.leaving or service.halted:
            return None
        return service.placed

    def _watch_config(self) -> None:
        """Drop a transfer as soon as its version is no longer wanted."""
        while True:
            self.wanted = self._find_wanted()
            transfer = self.transfer
            version = self.transferred
            if transfer is not None and version is not None:
                if not self._still_wanted(version):
                    transfer.cancel()
            # With a bound, since a change may come while a transfer is cancelled.
            self.context.config.changed.wait(RETRY_SECONDS)

    def _still_wanted(self, version: Version) -> bool:
        wanted = self._find_wanted()
        return wanted is not None and wanted.root_digest == version.root_digest

    def _watch_engine(self) -> None:
        """Keep track of what the engine really serves."""
        while True:
            state = self.context.engine.state()
            self._see_engine(state)
            eventlet.sleep(ENGINE_POLL_SECONDS)

    def _see_engine(self, state: EngineState | None) -> None:
        serving = "" if state is None else state.active
        seen = state is not None
        if (serving, seen) != (self.serving, self.engine_seen):
            self.serving = serving
            self.engine_seen = seen
            self.changed.notify()

    def _work(self) -> None:
        while True:
            version = self._find_wanted()
            if version is None:
                service = self.service()
                halted = service is not None and service.halted
                self._set(Phase.HALTED if halted else Phase.IDLE)
                self.context.config.changed.wait(RETRY_SECONDS)
            elif not self.engine_seen:
                # What it serves is not known; it may be the version wanted.
                self.changed.wait(RETRY_SECONDS)
            elif version.root_digest == self.serving:
                self._set(Phase.SERVING)
                self.changed.wait(RETRY_SECONDS)
            else:
                self._attempt(version)

    def _attempt(self, version: Version) -> None:
        """Try once to bring a version in; errors are kept and tried again."""
        try:
            self._bring_in(version)
        except RolloutStopped as error:
            self._fail(version, str(error))
        except (TransferError, OutOfBudget) as error:
            kind = "out-of-budget: " if isinstance(error, OutOfBudget) else ""
            self._fail(version, f"{kind}{error}")
        except LogUnavailable as error:
            self._fail(version, f"no-lease: {error}")

    def _fail(self, version: Version, error: str) -> None:
        if not self._still_wanted(version):
            self.context.events.emit(
                EventKind.ROLLOUT_DROPPED,
                target=self.context.target,
                version=version.root_digest,
            )
            return
        self._note_failure(version, error)
        self._set(Phase.FAILED, error)
        eventlet.sleep(RETRY_SECONDS)

    def _note_failure(self, version: Version, error: str) -> None:
        """Report an error in the event stream, once while it lasts."""
        if error != self.error:
            self.context.events.emit(
                EventKind.ROLLOUT_FAILED,
                target=self.context.target,
                version=version.root_digest,
                error=error,
            )

    def _note_no_manifest(self, version: Version, error: str) -> None:
        self._note_failure(version, error)
        self._set(Phase.MANIFEST, error)

    def _bring_in(self, version: Version) -> None:
        self._emit(EventKind.ROLLOUT_STARTED, version)
        holding = self._hold(version)
        # The engine loads while chunks come in, so that it is done soon after.
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

    def _hold(self, version: Version) -> Holding:
        """Get the manifest, make room, and join the version's exchange."""
        holding = self.exchange.holdings.get(version.root_digest)
        if holding is None:
            self._set(Phase.MANIFEST, self.error)
            holding = self.manifests.fetch(version, self._peers())
        kept = [
            other.manifest
            for root, other in reversed(self.exchange.holdings.items())
            if root != version.root_digest
        ]
        self.context.store.make_room(holding.manifest, *kept)
        for root in list(self.exchange.holdings):
            other = self.exchange.holdings[root]
            if root != version.root_digest and not self._is_whole(other):
                self.exchange.leave(root)
        self.holding = holding
        self.exchange.join(holding)
        return holding

    def _is_whole(self, holding: Holding) -> bool:
        held = self.context.store.held_of(holding.places)
        return len(held) == len(holding.places)

    def _peers(self) -> dict[TargetName, Target]:
        target = self.target()
        if target is None:
            return {}
        found = self.context.config.state.service_targets(target.fleet, target.service)
        return {t.target: t for t in found if t.target != self.context.target}

    def _transfer(self, version: Version, holding: Holding) -> None:
        self._set(Phase.TRANSFER, self.error)
        fleet = self.context.config.state.fleets[self.context.fleet]
        origin = self.context.origin.version(version.origin_path)
        peers = {
            name: Peer(name, peer.domain, peer.address, peer.control_address)
            for name, peer in self._peers().items()
        }
        self.transfer = Transfer(
            self.context.exchange, origin, holding, peers, fleet.origin_copies
        )
        self.transferred = version
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
            self._set(Phase.TRANSFER, transfer.error)
            self.changed.notify()

    def _order(self, version: Version) -> Offset:
        """Return a fencing token under which an order may be given right now."""
        self.leases.acquire()
        eventlet.sleep(self.leases.seconds_to_wait())
        if not self._still_wanted(version):
            raise RolloutStopped("superseded")
        token = self.leases.lease.token
        if token is None or not self.leases.may_order():
            raise RolloutStopped("no-lease: another agent holds the engine")
        return token

    def _load(self, version: Version) -> Result[OrderResult, str]:
        """Have the engine load; a fault is returned for the one who waits."""
        try:
            token = self._order(version)
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
            return Failure(self._describe_order(result, "load"))
        self._emit(EventKind.VERSION_LOADED, version)
        return Success(result)

    def _activate(self, version: Version) -> None:
        self._set(Phase.ACTIVATE)
        token = self._order(version)
        result = self.context.engine.activate(ActivateOrder(version.root_digest, token))
        # Whatever the answer was, what counts is what the engine serves.
        self._see_engine(self.context.engine.state())
        if self.serving != version.root_digest:
            raise RolloutStopped(self._describe_order(result, "activate"))
        self._set(Phase.SERVING)

    def _describe_order(self, result: OrderResult, order: str) -> str:
        """Note an order that was not carried out; return it as an error."""
        self.context.events.emit(
            EventKind.ORDER_REFUSED,
            target=self.context.target,
            order=order,
            result=result.value,
        )
        return f"engine-{result.value}: {order}"
