"""Takes operators' changes to the log and tells their fate."""

from ridgecourse.core.change import ChangeOutcome, ChangeRecord, ChangeStatus
from ridgecourse.core.ids import ChangeId
from ridgecourse.entry.context import EntryContext
from ridgecourse.native.log import LogClient, LogUnavailable, Stream
from ridgecourse.net.clock import boottime
from ridgecourse.wire.codec import encode_message

APPEND_RETRY_SECONDS = 0.3
DEFAULT_DEADLINE_SECONDS = 10.0

NOT_KNOWN = ChangeOutcome(
    ChangeStatus.UNKNOWN, -1, 0, "not read back from the log; ask for its fate later"
)


class ChangeWriter:
    """Appends changes and answers once they are read back."""

    def __init__(self, context: EntryContext) -> None:
        self.context = context
        # A client of its own: an append is not to wait behind a long poll.
        self.log = LogClient(context.settings.log, context.new_client(), seconds=1.0)

    def submit(self, record: ChangeRecord, seconds: float) -> ChangeOutcome:
        """Make a change and return its fate.

        Accepted and rejected are said only of a record folded from the log. A
        lost reply is answered by appending again; the fold ignores the second.

        Args:
            record: The change.
            seconds: Longest wait for a definite answer.
        """
        deadline = boottime() + seconds
        appended = False
        while boottime() < deadline:
            known = self.context.config.outcome(record.change_id)
            if known is not None:
                return known
            if not appended:
                appended = self._append(record)
                if appended:
                    # It may have been folded while the append was answered.
                    continue
            left = deadline - boottime()
            self.context.config.changed.wait(max(0.0, min(APPEND_RETRY_SECONDS, left)))
        return self.context.config.outcome(record.change_id) or NOT_KNOWN

    def _append(self, record: ChangeRecord) -> bool:
        try:
            self.log.append(Stream.CONFIG, [encode_message(record)])
        except LogUnavailable:
            return False
        return True

    def fate(self, change_id: ChangeId) -> ChangeOutcome:
        """Return what is known of a change."""
        return self.context.config.outcome(change_id) or NOT_KNOWN
