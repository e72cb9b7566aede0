"""Appends operators' changes to the log and reports their outcome.

A change is accepted or rejected when its record has been read back from the log
and applied to the configuration; until then its outcome is unknown.
"""

from ridgecourse.core.change import ChangeOutcome, ChangeRecord, ChangeStatus
from ridgecourse.core.ids import ChangeId
from ridgecourse.entry.context import EntryContext
from ridgecourse.native.log import LogClient, LogUnavailable, Stream
from ridgecourse.net.clock import boottime
from ridgecourse.wire.codec import encode_message

APPEND_RETRY_SECONDS = 0.3
DEFAULT_DEADLINE_SECONDS = 10.0

UNKNOWN_OUTCOME = ChangeOutcome(
    ChangeStatus.UNKNOWN, -1, 0, "not read back from the log; ask for its fate later"
)


class ChangeWriter:
    """Appends changes and waits until they are read back from the log."""

    def __init__(self, context: EntryContext) -> None:
        self.context = context
        # A separate client, so that an append does not wait behind a long poll.
        self.log = LogClient(context.settings.log, context.new_client(), seconds=1.0)

    def submit(self, record: ChangeRecord, timeout_seconds: float) -> ChangeOutcome:
        """Append a change and return its outcome.

        The outcome is accepted or rejected only if the record was read back
        from the log and applied. After a lost reply of the log the record is
        appended again; applying the records ignores the second copy.

        Args:
            record: The change.
            timeout_seconds: Longest wait for a definite outcome, in seconds.
        """
        deadline = boottime() + timeout_seconds
        appended = False
        while boottime() < deadline:
            known_outcome = self.context.config.outcome(record.change_id)
            if known_outcome is not None:
                return known_outcome
            if not appended:
                appended = self._append(record)
                if appended:
                    # The record may have been applied before the append returned.
                    continue
            remaining = deadline - boottime()
            self.context.config.changed.wait(
                max(0.0, min(APPEND_RETRY_SECONDS, remaining))
            )
        return self.context.config.outcome(record.change_id) or UNKNOWN_OUTCOME

    def _append(self, record: ChangeRecord) -> bool:
        try:
            self.log.append(Stream.CONFIG, [encode_message(record)])
        except LogUnavailable:
            return False
        return True

    def outcome(self, change_id: ChangeId) -> ChangeOutcome:
        """Return the outcome of a change, as far as this entry knows it."""
        return self.context.config.outcome(change_id) or UNKNOWN_OUTCOME
