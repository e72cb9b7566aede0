"""Staging of complete versions at the engine, and the orders to start from them."""

from ridgecourse.core.ids import WeightsVersion
from ridgecourse.core.running_countdown import RunningCountdown
from ridgecourse.exchange.catalogue import VersionKey
from ridgecourse.exchange.context import ExchangeContext
from ridgecourse.exchange.holding import Holding
from ridgecourse.loader.engine_control import (
    EngineControl,
    EngineReport,
    OrderOutcome,
)
from ridgecourse.loader.staging import StagedVersion, Staging
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind

UNANSWERED_CALL_SECONDS = 2.0
"""Seconds after an unanswered call during which the engine may still carry it out. Such
a call has already waited 1 s. A freeze of the instance does not count, since the call
does not proceed in it."""


class EngineStart:
    """Stages complete versions and orders the engine to start them.

    Calls without an answer may be carried out late. After a write of a chunk the engine
    is not started, since the chunk could be of an older version and get among chunks
    that were just verified. After a start order no chunk of another version is written,
    since the engine could start from chunks of two versions.

    Attributes:
        context: Receives events.
        engine: Control of the engine.
        staged: Version that was staged last; None if the staging area may have changed
            since.
        unanswered_write: Time for which an unanswered write may be carried out.
        unanswered_order: Time for which an unanswered order may be carried out.
        ordered_version: Version of the last order.
    """

    def __init__(self, context: ExchangeContext, engine: EngineControl) -> None:
        self.context = context
        self.engine = engine
        self.staged: StagedVersion | None = None
        self.unanswered_write = RunningCountdown()
        self.unanswered_order = RunningCountdown()
        self.ordered_version = WeightsVersion(0)

    def record_unanswered_write(self) -> None:
        """Record that a write of a chunk got no answer."""
        self.unanswered_write.restart(UNANSWERED_CALL_SECONDS, boottime())

    def count_down(self) -> None:
        """Count the time down that unanswered calls still have."""
        now = boottime()
        self.unanswered_write.seconds_left(now)
        self.unanswered_order.seconds_left(now)

    def write_wait(self, key: VersionKey) -> float:
        """Return the seconds until chunks of a version may be written; 0 for now."""
        wait = self.unanswered_order.seconds_left(boottime())
        return 0.0 if key[1] == self.ordered_version else wait

    def start_wait(self) -> float:
        """Return the seconds until the engine may be ordered to start; 0 for now."""
        return self.unanswered_write.seconds_left(boottime())

    def stage(self, holding: Holding, staging: Staging, report: EngineReport) -> None:
        """Stage a complete version, unless it was the last one that was staged.

        It is not read back at every poll of the wait for the engine's turn.

        Raises:
            EngineUnavailable: The engine gave no usable answer.
        """
        staged = StagedVersion(holding.root, report.started)
        if self.staged != staged:
            staging.fill(holding.manifest)
            self.staged = staged

    def order(
        self,
        key: VersionKey,
        holding: Holding,
        staging: Staging,
        report: EngineReport,
    ) -> OrderOutcome | None:
        """Verify a staged version and order the engine to start it.

        All chunks are read again, since staged chunks may become corrupt. After a
        repair they are read once more: the answer to a write does not prove that it was
        carried out, for a late answer to an earlier write looks the same. If the checks
        are too old when the order could be sent, because the instance froze for
        example, the order expires, and the caller has to repeat the call.

        Returns:
            The outcome; None if chunks are corrupt again after their repair, or if the
            engine has restarted, so that the verified chunks may have been lost with
            its earlier incarnation.

        Raises:
            EngineUnavailable: The engine gave no usable answer.
        """
        repaired = staging.fill(holding.manifest)
        if repaired and staging.fill(holding.manifest):
            return None
        if self.engine.report().started != report.started:
            return None
        check_age = staging.checks.oldest_age(boottime())
        outcome = self.engine.start(*key, staging.checks.valid_until())
        self._record_outcome(key, outcome)
        self.context.events.emit(
            EventKind.VERSION_STARTED,
            version=str(key[1]),
            outcome=outcome.value,
            repaired=repaired,
            oldest_check_s=round(check_age, 3),
        )
        return outcome

    def _record_outcome(self, key: VersionKey, outcome: OrderOutcome) -> None:
        """Record whether an order may be carried out later."""
        if outcome is OrderOutcome.UNKNOWN:
            self.ordered_version = key[1]
            self.unanswered_order.restart(UNANSWERED_CALL_SECONDS, boottime())
        elif outcome in (OrderOutcome.BEGUN, OrderOutcome.HELD):
            # An earlier order finds the engine started, and changes nothing any more.
            self.unanswered_order.restart(0.0, boottime())
