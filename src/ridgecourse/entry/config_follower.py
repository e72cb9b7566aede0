"""Keeps an entry's configuration up to date, from the log or from its peers.

The follower reads the log by long polling. While the log cannot be reached, it
asks the other entries for newer configuration. It also writes checkpoints, so
that a starting process can load the configuration after the log's retention has
removed the oldest records.
"""

import logging

import eventlet
from returns.result import Failure

from ridgecourse.core.change import CheckpointNotice
from ridgecourse.core.config_objects import ConfigSnapshot
from ridgecourse.core.ids import Offset
from ridgecourse.entry.context import EntryContext
from ridgecourse.native.log import LogUnavailable, Stream
from ridgecourse.net.auth import AUTH_HEADER, sign_request
from ridgecourse.net.clock import boottime
from ridgecourse.net.config_store import FoldedChange
from ridgecourse.net.events import EventKind
from ridgecourse.net.http_client import ExchangeFailed, NoConnection
from ridgecourse.net.http_server import HttpReply, HttpRequest
from ridgecourse.net.metrics import Metric
from ridgecourse.net.threads import kill_threads, spawn_loop
from ridgecourse.wire.codec import decode_message, encode_message
from ridgecourse.wire.control import MAX_CONTROL_BYTES
from ridgecourse.wire.entry_control import ConfigFull, ConfigRecords

logger = logging.getLogger(__name__)

POLL_SECONDS = 5.0
"""Duration of one long poll of the log."""
RETRY_SECONDS = 0.3
PEER_POLL_SECONDS = 0.5
CONFIG_PATH = "/internal/config"


class ConfigFollower:
    """Follows the configuration stream of the log.

    Attributes:
        log_lost: Whether the log was unreachable at the last poll.
        checkpoint_seen_at: Time at which the notice of the newest checkpoint
            was read.
        checkpoint_notice: The newest checkpoint notice seen so far.
    """

    def __init__(self, context: EntryContext) -> None:
        self.context = context
        self.config = context.config
        self.peer_http = context.new_client(0.5)
        self.log_lost = False
        self.checkpoint_seen_at = boottime()
        self.checkpoint_notice: CheckpointNotice | None = None
        self.threads: list[eventlet.greenthread.GreenThread] = []

    def start(self) -> None:
        """Start the threads that follow the log and the peers and write checkpoints."""
        for loop in (self._follow_log, self._follow_peers, self._write_due_checkpoints):
            self.threads.append(spawn_loop(loop))

    def close(self) -> None:
        """Stop all threads and close idle connections."""
        kill_threads(self.threads)
        self.peer_http.close()

    def _follow_log(self) -> None:
        while True:
            try:
                self.poll_log(POLL_SECONDS)
                self._record_log_state(lost=False)
            except LogUnavailable as error:
                self._record_log_state(lost=True, detail=str(error))
                eventlet.sleep(RETRY_SECONDS)

    def poll_log(self, wait: float) -> None:
        """Read and apply the records that follow the entry's offset.

        Args:
            wait: Duration of the long poll, in seconds.

        Raises:
            LogUnavailable: The log sent no usable reply.
        """
        batch = self.context.log.read(Stream.CONFIG, self.config.offset, wait)
        if batch.truncated:
            self._restore_checkpoint(batch.earliest)
            return
        if batch.next < self.config.offset:
            # An accepted change is never undone, even if the log has lost it.
            raise LogUnavailable(
                f"log ends at offset {batch.next}, before the offset of this entry"
            )
        self._report_applied(self.config.fold(batch.first, batch.records))

    def _restore_checkpoint(self, earliest: Offset) -> None:
        encoded = self.context.log.read_newest(Stream.CHECKPOINTS)
        if encoded is None:
            raise LogUnavailable("records are gone and there is no checkpoint")
        decoded = decode_message(encoded, ConfigSnapshot)
        if isinstance(decoded, Failure):
            raise LogUnavailable(f"invalid checkpoint: {decoded.failure()}")
        self.config.restore(decoded.unwrap())
        if self.config.offset < earliest:
            raise LogUnavailable(
                "the newest checkpoint ends before the oldest record of the log"
            )

    def _report_applied(self, applied: list[FoldedChange]) -> None:
        context = self.context
        for record, outcome in applied:
            context.events.emit(
                EventKind.CHANGE_DECIDED,
                change=record.change_id,
                offset=outcome.offset,
                status=outcome.status.value,
                reason=outcome.reason,
            )
        context.metrics.gauge(Metric.CONFIG_OFFSET, self.config.offset)

    def _record_log_state(self, lost: bool, detail: str = "") -> None:
        if lost:
            self.context.metrics.count(Metric.LOG_FAILURES)
        if lost != self.log_lost:
            kind = EventKind.LOG_LOST if lost else EventKind.LOG_BACK
            self.context.events.emit(kind, detail=detail)
        self.log_lost = lost

    def _follow_peers(self) -> None:
        """Ask the peers for newer configuration while the log is unreachable."""
        while True:
            eventlet.sleep(
                PEER_POLL_SECONDS * (0.75 + self.context.random.random() / 2)
            )
            if not self.log_lost:
                continue
            for peer in self.context.settings.peers:
                self._fetch_from_peer(peer)

    def _fetch_from_peer(self, peer: str) -> None:
        path = f"{CONFIG_PATH}/{self.config.offset}"
        headers = {
            AUTH_HEADER: sign_request(self.context.settings.shared_key, "GET", path)
        }
        try:
            status, encoded, _ = self.peer_http.fetch(
                "GET", peer, path, headers=headers, timeout=1.0, limit=MAX_CONTROL_BYTES
            )
        except (NoConnection, ExchangeFailed):
            return
        if status != 200:
            return
        decoded = decode_message(encoded, ConfigRecords | ConfigFull)
        if isinstance(decoded, Failure):
            logger.warning(
                "peer %s sent an invalid configuration message: %s",
                peer,
                decoded.failure(),
            )
            return
        self.apply(decoded.unwrap(), peer)

    def apply(self, message: ConfigRecords | ConfigFull, sender: str) -> None:
        """Apply configuration from another process if it is newer than the own."""
        self.context.events.merge(message.clock)
        if self.config.apply(message):
            self.context.events.emit(
                EventKind.CONFIG_FROM_PEER, offset=self.config.offset, sender=sender
            )

    def serve_config(self, request: HttpRequest) -> HttpReply:
        """Send another entry the configuration that follows its offset.

        The status is 404 if this entry has no configuration yet, or if its
        offset is below the offset in the request.
        """
        if not request.is_signed(self.context.settings.shared_key):
            return HttpReply(401)
        offset = request.path.removeprefix(f"{CONFIG_PATH}/")
        if not offset.isdecimal():
            return HttpReply(400)
        if not self.config.is_known or int(offset) > self.config.offset:
            return HttpReply(404)
        message = self.config.updates_since(int(offset), self.context.events.clock)
        return HttpReply(200, encode_message(message))

    def _write_due_checkpoints(self) -> None:
        """Write a checkpoint when the newest one reaches its maximum age.

        The entry that wakes first writes the checkpoint; the others read its
        notice in the stream. Two checkpoints written at the same time are
        harmless, since each depends only on the log up to its offset.
        """
        max_age_seconds = self.context.settings.checkpoint_seconds
        while True:
            eventlet.sleep(
                max_age_seconds * (0.05 + 0.1 * self.context.random.random())
            )
            notice = self.config.checkpoint
            if notice != self.checkpoint_notice:
                self.checkpoint_notice = notice
                self.checkpoint_seen_at = boottime()
            if (
                boottime() - self.checkpoint_seen_at >= max_age_seconds
                and self.config.offset
            ):
                self.write_checkpoint()

    def write_checkpoint(self) -> None:
        """Append a checkpoint, and a notice of it to the configuration stream."""
        snapshot = self.config.state.snapshot()
        if self.log_lost or not self.config.is_known:
            return
        try:
            checkpoint_offset = self.context.log.append(
                Stream.CHECKPOINTS, [encode_message(snapshot)]
            )
            notice = CheckpointNotice(snapshot.offset, checkpoint_offset)
            self.context.log.append(Stream.CONFIG, [encode_message(notice)])
        except LogUnavailable:
            return
        self.checkpoint_seen_at = boottime()
        self.context.events.emit(
            EventKind.CHECKPOINT_WRITTEN,
            offset=snapshot.offset,
            place=checkpoint_offset,
        )
