"""Control connections from an entry to the agents of its failure domain.

Each target of a domain is linked to a few of the domain's entries, chosen by
rendezvous hashing over the live entries. An entry without a link to a target
routes by its own counts and by the load that the agent reports with each answer.
"""

import logging
from collections.abc import Iterator
from contextlib import closing

import eventlet
from msgspec import Struct

from ridgecourse.core.config_objects import Target
from ridgecourse.core.ids import Incarnation, Seconds, TargetName
from ridgecourse.core.rendezvous import rendezvous_rank
from ridgecourse.core.routing import TargetLoad
from ridgecourse.entry.config_follower import ConfigFollower
from ridgecourse.entry.context import EntryContext
from ridgecourse.native.instances import InstanceListClient, InstanceSnapshot
from ridgecourse.net.clock import boottime
from ridgecourse.net.threads import kill_threads, spawn_loop
from ridgecourse.net.websocket import ChannelClosed, ControlChannel, open_channel
from ridgecourse.wire.control import PROTOCOL_VERSION
from ridgecourse.wire.entry_control import (
    AgentMessage,
    AgentReport,
    ConfigFull,
    ConfigRecords,
    Hello,
    WantRecords,
)

logger = logging.getLogger(__name__)

RECONNECT_SECONDS = 0.5
INSTANCE_POLL_SECONDS = 5.0
REPORT_LIFETIME_SECONDS = 3.0
"""Age, in seconds, at which the report of a target becomes stale."""


class AgentView(Struct):
    """An entry's state of one target's agent.

    Attributes:
        load: Load estimate of the target, used for routing.
        report: The newest report; None before the first one.
        reported_at: Time at which the newest report arrived.
        incarnation: Incarnation of the agent; None while it is unknown.
        connected: Whether a control connection to the agent is open.
    """

    load: TargetLoad
    report: AgentReport | None = None
    reported_at: Seconds = Seconds(-1e9)
    incarnation: Incarnation | None = None
    connected: bool = False

    def fresh_report(self, now: float) -> AgentReport | None:
        """Return the newest report, or None if it is stale."""
        if now - self.reported_at > REPORT_LIFETIME_SECONDS:
            return None
        return self.report


class AgentLinks:
    """Maintains control connections and the state received over them.

    Attributes:
        views: State of each agent, by fleet and target.
        links: Thread of each connection, by fleet, target and control address.
        instances: The instance list as last read; None before the first read.
        change_count: Number of changes to the set of connections.
        sent_bytes: Bytes of control messages sent.
        received_bytes: Bytes of control messages received.
    """

    def __init__(self, context: EntryContext, follower: ConfigFollower) -> None:
        self.context = context
        self.follower = follower
        self.views: dict[tuple[str, TargetName], AgentView] = {}
        self.links: dict[tuple[str, TargetName, str], eventlet.greenthread.GreenThread]
        self.links = {}
        self.instances: InstanceSnapshot | None = None
        self.threads: list[eventlet.greenthread.GreenThread] = []
        self.change_count = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    def start(self) -> None:
        """Start to maintain the connections and to poll the instance list."""
        self.threads.append(spawn_loop(self._maintain_links))
        if self.context.settings.instances is not None:
            self.threads.append(spawn_loop(self._read_instances))

    def close(self) -> None:
        """Close all connections."""
        kill_threads([*self.threads, *self.links.values()])

    def is_linked(self, target: Target) -> bool:
        """Check whether this entry maintains a connection to a target's agent."""
        return (target.fleet, target.target, target.control_address) in self.links

    def view(self, target: Target) -> AgentView:
        """Return the state of a target's agent; create it if there is none."""
        key = (target.fleet, target.target)
        agent_view = self.views.get(key)
        if agent_view is None:
            agent_view = AgentView(TargetLoad(target.target, target.domain))
            self.views[key] = agent_view
        return agent_view

    def _read_instances(self) -> None:
        address = self.context.settings.instances
        assert address is not None
        client = InstanceListClient(address, self.context.http)
        while True:
            self.instances = client.read() or self.instances
            eventlet.sleep(
                INSTANCE_POLL_SECONDS * (0.75 + self.context.random.random() / 2)
            )

    def _targets_to_link(self) -> Iterator[Target]:
        """Yield the targets that this entry must be connected to."""
        local_process = self.context.process
        for target in self.context.config.state.targets.values():
            if target.domain != self.context.domain:
                continue
            if self.instances is None:
                yield target
                continue
            live_entries = {
                instance.process
                for instance in self.instances.live_entries(target.domain)
            }
            ranked = rendezvous_rank(target.target, live_entries | {local_process})
            if local_process in ranked[: self.context.settings.agent_links]:
                yield target

    def _maintain_links(self) -> None:
        while True:
            wanted_links = {
                (target.fleet, target.target, target.control_address): target
                for target in self._targets_to_link()
            }
            links_changed = set(wanted_links) != set(self.links)
            for key in [key for key in self.links if key not in wanted_links]:
                self.links.pop(key).kill()
            for key, target in wanted_links.items():
                if key not in self.links:
                    self.links[key] = spawn_loop(self._maintain_link, target)
            self.change_count += links_changed
            self.context.config.changed.wait(INSTANCE_POLL_SECONDS)

    def _maintain_link(self, target: Target) -> None:
        view = self.view(target)
        while True:
            try:
                channel = open_channel(
                    target.control_address,
                    self.context.settings.shared_key,
                    self.context.settings.source,
                )
                with closing(channel):
                    self._run_session(channel, view)
            except ChannelClosed as error:
                logger.debug(
                    "control connection to target %s ended: %s", target.target, error
                )
            finally:
                view.connected = False
            eventlet.sleep(RECONNECT_SECONDS * (0.5 + self.context.random.random()))

    def _run_session(self, channel: ControlChannel, view: AgentView) -> None:
        context = self.context
        channel.send(
            Hello(
                PROTOCOL_VERSION,
                context.process,
                context.incarnation,
                context.config.offset,
            )
        )
        agent_hello = channel.receive(Hello, REPORT_LIFETIME_SECONDS)
        if agent_hello is None:
            raise ChannelClosed("agent sent no hello")
        view.incarnation = agent_hello.incarnation
        view.connected = True
        push_thread = eventlet.spawn(self._push_config, channel, agent_hello.offset)
        try:
            for message in channel.messages(AgentMessage):
                self._handle_message(channel, view, message)
                self.received_bytes += channel.received_bytes
                channel.received_bytes = 0
        finally:
            push_thread.kill()

    def _push_config(self, channel: ControlChannel, offset: int) -> None:
        """Send the agent the configuration it lacks, at once and after each change."""
        config = self.context.config
        try:
            while True:
                if config.offset > offset:
                    channel.send(
                        config.updates_since(offset, self.context.events.clock)
                    )
                    offset = config.offset
                    self.sent_bytes += channel.sent_bytes
                    channel.sent_bytes = 0
                config.changed.wait()
        except ChannelClosed:
            channel.close()

    def _handle_message(
        self, channel: ControlChannel, view: AgentView, message: AgentMessage
    ) -> None:
        config = self.context.config
        if isinstance(message, AgentReport):
            self._apply_report(view, message)
            is_behind = message.offset > config.offset
            if is_behind and (self.follower.log_lost or not config.is_known):
                channel.send(WantRecords(config.offset))
        elif isinstance(message, (ConfigRecords, ConfigFull)):
            self.follower.apply(message, view.load.target)
        elif isinstance(message, WantRecords):
            channel.send(config.updates_since(message.above, self.context.events.clock))

    def _apply_report(self, view: AgentView, report: AgentReport) -> None:
        now = boottime()
        self.context.events.merge(report.clock)
        view.report = report
        view.reported_at = now
        view.load.slots = report.slots
        view.load.record_report(report.in_flight, now)
