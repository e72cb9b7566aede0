"""The agent's end of control connections: entries push, other agents follow."""

from collections.abc import Callable

import eventlet
from returns.result import Failure

from ridgecourse.agent.context import AgentContext
from ridgecourse.exchange.server import Exchange
from ridgecourse.net.broadcast import Broadcast
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind
from ridgecourse.net.websocket import ChannelClosed, ControlChannel
from ridgecourse.wire.control import PROTOCOL_VERSION, Follow
from ridgecourse.wire.entry_control import (
    AgentReport,
    ConfigFull,
    ConfigRecords,
    EntryMessage,
    FirstMessage,
    Hello,
    WantRecords,
)
from ridgecourse.wire.version import check_protocol

MIN_REPORT_SECONDS = 0.1
"""Between two reports, however much changes."""
HELLO_SECONDS = 3.0


class AgentControl:
    """Handles control connections.

    Attributes:
        report: Makes the report of the moment.
        changed: Notified when a report would say something new.
    """

    def __init__(
        self,
        context: AgentContext,
        exchange: Exchange,
        report: Callable[[], AgentReport],
        changed: Broadcast,
    ) -> None:
        self.context = context
        self.exchange = exchange
        self.report = report
        self.changed = changed

    def handle(self, channel: ControlChannel) -> None:
        """Serve one connection until it ends.

        Raises:
            ChannelClosed: It ended.
        """
        try:
            first = channel.receive(FirstMessage, HELLO_SECONDS)
            if first is None:
                raise ChannelClosed("no first message")
            checked = check_protocol(first.protocol)
            if isinstance(checked, Failure):
                raise ChannelClosed(str(checked.failure()))
        except ChannelClosed as error:
            self.context.events.emit(EventKind.BAD_INPUT, error=str(error))
            raise
        if isinstance(first, Follow):
            self.exchange.tell_holdings(channel, first)
        else:
            self._serve_entry(channel)

    def _serve_entry(self, channel: ControlChannel) -> None:
        context = self.context
        channel.send(
            Hello(
                PROTOCOL_VERSION,
                context.process,
                context.incarnation,
                context.config.offset,
            )
        )
        reporter = eventlet.spawn(self._send_reports, channel)
        try:
            for message in channel.messages(EntryMessage):
                self._take(channel, message)
        finally:
            reporter.kill()

    def _take(self, channel: ControlChannel, message: EntryMessage) -> None:
        config = self.context.config
        if isinstance(message, WantRecords):
            channel.send(config.above(message.above, self.context.events.clock))
        elif isinstance(message, (ConfigRecords, ConfigFull)):
            self.context.events.merge(message.clock)
            before = config.offset
            if config.take(message):
                self._note_fold()
            elif isinstance(message, ConfigRecords) and message.first > before:
                channel.send(WantRecords(before))

    def _note_fold(self) -> None:
        context = self.context
        context.events.emit(EventKind.CONFIG_FOLDED, offset=context.config.offset)
        target = context.config.state.targets.get((context.fleet, context.target))
        if target is not None and target.leaving:
            context.events.emit(EventKind.TARGET_LEAVING, target=context.target)

    def _send_reports(self, channel: ControlChannel) -> None:
        heartbeat = self.context.settings.heartbeat_seconds
        try:
            while True:
                channel.send(self.report())
                sent = boottime()
                self.changed.wait(heartbeat)
                eventlet.sleep(max(0.0, sent + MIN_REPORT_SECONDS - boottime()))
        except ChannelClosed:
            channel.close()
