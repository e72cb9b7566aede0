"""Keeps an entry's configuration up to date, from the log or from its peers.

Also writes checkpoints, so that a starting process can begin where the log's
retention has cut the oldest records off.
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
from ridgecourse.net.config_store import Folded
from ridgecourse.net.events import EventKind
from ridgecourse.net.http_client import ExchangeFailed, NoConnection
from ridgecourse.net.http_server import HttpReply, HttpRequest
from ridgecourse.net.metrics import Metric
from ridgecourse.net.threads import spawn_loop
from ridgecourse.wire.codec import decode_message, encode_message
from ridgecourse.wire.control import MAX_CONTROL_BYTES
from ridgecourse.wire.entry_control import ConfigFull, ConfigRecords

logger = logging.getLogger(__name__)

POLL_SECONDS = 5.0
"""Length of one long poll of the log."""
RETRY_SECONDS = 0.3
PEER_POLL_SECONDS = 0.5
CONFIG_PATH = "/internal/config"


class ConfigFollower:
    """Tails the configuration's stream.

    Attributes:
        log_lost: Whether the log was unreachable at the last try.
        checkpoint_seen: When the newest checkpoint was noticed.
    """

    def __init__(self, context: EntryContext) -> None:
        self.context = context
        self.config = context.config
        self.peer_http = context.new_client(0.5)
        self.log_lost = False
        self.checkpoint_seen = boottime()
        self.checkpoint_known: CheckpointNotice | None = None
        self.threads: list[eventlet.greenthread.GreenThread] = []

    def start(self) -> None:
        """Begin to follow the log, the peers and the age of checkpoints."""
        for work in (self._follow_log, self._follow_peers, self._keep_checkpoints):
            self.threads.append(spawn_loop(work))

    def close(self) -> None:
        """Stop following."""
        for thread in self.threads:
            thread.kill()
        self.peer_http.close()

    def _follow_log(self) -> None:
        while True:
            try:
                self.read_once(POLL_SECONDS)
                self._note_log(lost=False)
            except LogUnavailable as error:
                self._note_log(lost=True, detail=str(error))
                eventlet.sleep(RETRY_SECONDS)

    def read_once(self, wait: float) -> None:
        """Read and fold what the log has above the own offset.

        Raises:
            LogUnavailable: The log gave no usable answer.
        """
        batch = self.context.log.read(Stream.CONFIG, self.config.offset, wait)
        if batch.truncated:
            self._restore_checkpoint(batch.earliest)
            return
        if batch.next < self.config.offset:
            # An accepted change is never taken back, whatever the log says.
            raise LogUnavailable(f"log ends at {batch.next}, before the own offset")
        self._note_folded(self.config.fold(batch.first, batch.records))

    def _restore_checkpoint(self, earliest: Offset) -> None:
        data = self.context.log.last(Stream.CHECKPOINTS)
        if data is None:
            raise LogUnavailable("records are gone and there is no checkpoint")
        decoded = decode_message(data, ConfigSnapshot)
        if isinstance(decoded, Failure):
            raise LogUnavailable(f"bad checkpoint: {decoded.failure()}")
        self.config.restore(decoded.unwrap())
        if self.config.offset < earliest:
            raise LogUnavailable("the newest checkpoint is older than the log")

    def _note_folded(self, folded: list[Folded]) -> None:
        context = self.context
        for record, outcome in folded:
            context.events.emit(
                EventKind.CHANGE_DECIDED,
                change=record.change_id,
                offset=outcome.offset,
                status=outcome.status.value,
                reason=outcome.reason,
            )
        context.metrics.gauge(Metric.CONFIG_OFFSET, self.config.offset)

    def _note_log(self, lost: bool, detail: str = "") -> None:
        if lost:
            self.context.metrics.count(Metric.LOG_FAILURES)
        if lost != self.log_lost:
            kind = EventKind.LOG_LOST if lost else EventKind.LOG_BACK
            self.context.events.emit(kind, detail=detail)
        self.log_lost = lost

    def _follow_peers(self) -> None:
        """While the log is lost, take what the freshest peer has."""
        while True:
            eventlet.sleep(
                PEER_POLL_SECONDS * (0.75 + self.context.random.random() / 2)
            )
            if not self.log_lost:
                continue
            for peer in self.context.settings.peers:
                self._ask_peer(peer)

    def _ask_peer(self, peer: str) -> None:
        path = f"{CONFIG_PATH}/{self.config.offset}"
        headers = {
            AUTH_HEADER: sign_request(self.context.settings.shared_key, "GET", path)
        }
        try:
            status, data, _ = self.peer_http.fetch(
                "GET", peer, path, headers=headers, timeout=1.0, limit=MAX_CONTROL_BYTES
            )
        except (NoConnection, ExchangeFailed):
            return
        if status != 200:
            return
        decoded = decode_message(data, ConfigRecords | ConfigFull)
        if isinstance(decoded, Failure):
            logger.warning("peer %s sent no configuration: %s", peer, decoded.failure())
            return
        self.take(decoded.unwrap(), peer)

    def take(self, message: ConfigRecords | ConfigFull, sender: str) -> None:
        """Take in configuration from another process, if it is ahead."""
        self.context.events.merge(message.clock)
        if self.config.take(message):
            self.context.events.emit(
                EventKind.CONFIG_FROM_PEER, offset=self.config.offset, sender=sender
            )

    def serve_config(self, request: HttpRequest) -> HttpReply:
        """Answer another entry with what it lacks; 404 while nothing is known."""
        if not request.is_signed(self.context.settings.shared_key):
            return HttpReply(401)
        offset = request.path.removeprefix(f"{CONFIG_PATH}/")
        if not offset.isdecimal():
            return HttpReply(400)
        if not self.config.known or int(offset) > self.config.offset:
            return HttpReply(404)
        message = self.config.above(int(offset), self.context.events.clock)
        return HttpReply(200, encode_message(message))

    def _keep_checkpoints(self) -> None:
        """Write a checkpoint when the newest one is ageing.

        Whoever wakes first writes; the others notice it in the stream. Two at
        once do no harm, since both are functions of the same prefix.
        """
        seconds = self.context.settings.checkpoint_seconds
        while True:
            eventlet.sleep(seconds * (0.05 + 0.1 * self.context.random.random()))
            notice = self.config.checkpoint
            if notice != self.checkpoint_known:
                self.checkpoint_known = notice
                self.checkpoint_seen = boottime()
            if boottime() - self.checkpoint_seen >= seconds and self.config.offset:
                self.write_checkpoint()

    def write_checkpoint(self) -> None:
        """Append a checkpoint and tell all readers."""
        snapshot = self.config.state.snapshot()
        if self.log_lost or not self.config.known:
            return
        try:
            place = self.context.log.append(
                Stream.CHECKPOINTS, [encode_message(snapshot)]
            )
            notice = CheckpointNotice(snapshot.offset, place)
            self.context.log.append(Stream.CONFIG, [encode_message(notice)])
        except LogUnavailable:
            return
        self.checkpoint_seen = boottime()
        self.context.events.emit(
            EventKind.CHECKPOINT_WRITTEN, offset=snapshot.offset, place=place
        )
