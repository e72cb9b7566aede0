"""The agent's end of control connections.

An entry pushes configuration to the agent and receives reports. Another agent
follows the announcements of the chunks that this agent holds.
"""

from collections.abc import Callable

import eventlet
from returns.result import Failure

from ridgecourse.agent.context import AgentContext
from ridgecourse.exchange.server import Exchange
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind
from ridgecourse.net.threads import Broadcast
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

MIN_REPORT_INTERVAL_SECONDS = 0.1
"""Shortest interval, in seconds, between reports, however often state changes."""
HELLO_TIMEOUT_SECONDS = 3.0


class AgentControl:
    """Handles control connections.

    Attributes:
        make_report: Returns a report of the present state.
        changed: Notified when the report has changed.
    """

    def __init__(
        self,
        context: AgentContext,
        exchange: Exchange,
        make_report: Callable[[], AgentReport],
        changed: Broadcast,
    ) -> None:
        self.context = context
        self.exchange = exchange
        self.make_report = make_report
        self.changed = changed

    def handle(self, channel: ControlChannel) -> None:
        """Serve one connection until it ends.

        Raises:
            ChannelClosed: The connection ended, or its first message is invalid.
        """
        try:
            first_message = channel.receive(FirstMessage, HELLO_TIMEOUT_SECONDS)
            if first_message is None:
                raise ChannelClosed("peer sent no first message")
            protocol_check = check_protocol(first_message.protocol)
            if isinstance(protocol_check, Failure):
                raise ChannelClosed(str(protocol_check.failure()))
        except ChannelClosed as error:
            self.context.events.emit(EventKind.BAD_INPUT, error=str(error))
            raise
        if isinstance(first_message, Follow):
            self.exchange.announce_holdings(channel, first_message)
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
                self._handle_message(channel, message)
        finally:
            reporter.kill()

    def _handle_message(self, channel: ControlChannel, message: EntryMessage) -> None:
        config = self.context.config
        if isinstance(message, WantRecords):
            channel.send(config.updates_since(message.above, self.context.events.clock))
        elif isinstance(message, (ConfigRecords, ConfigFull)):
            self.context.events.merge(message.clock)
            previous_offset = config.offset
            if config.apply(message):
                self._report_applied()
            elif isinstance(message, ConfigRecords) and message.first > previous_offset:
                channel.send(WantRecords(previous_offset))

    def _report_applied(self) -> None:
        context = self.context
        context.events.emit(EventKind.CONFIG_FOLDED, offset=context.config.offset)
        target = context.config.state.targets.get((context.fleet, context.target))
        if target is not None and target.leaving:
            context.events.emit(EventKind.TARGET_LEAVING, target=context.target)

    def _send_reports(self, channel: ControlChannel) -> None:
        heartbeat = self.context.settings.heartbeat_seconds
        try:
            while True:
                channel.send(self.make_report())
                sent_at = boottime()
                self.changed.wait(heartbeat)
                eventlet.sleep(
                    max(0.0, sent_at + MIN_REPORT_INTERVAL_SECONDS - boottime())
                )
        except ChannelClosed:
            channel.close()
