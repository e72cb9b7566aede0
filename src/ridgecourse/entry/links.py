"""Control connections from an entry to agents of its failure domain.

Each target of a domain is linked to a few of the domain's entries, chosen by
rendezvous hashing over the live ones. What others know of it (their own counts,
the load told with each answer) is enough to route by.
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
from ridgecourse.net.threads import spawn_loop
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
REPORT_LIFETIME = 3.0
"""Seconds after which a target's report no longer counts as its state."""


class AgentView(Struct):
    """What an entry knows of one target's agent.

    Attributes:
        load: For routing.
        report: The newest report, if any came.
        reported_at: When it came.
        incarnation: The agent's life, once known.
        connected: Whether a control connection is up.
    """

    load: TargetLoad
    report: AgentReport | None = None
    reported_at: Seconds = Seconds(-1e9)
    incarnation: Incarnation | None = None
    connected: bool = False

    def fresh_report(self, now: float) -> AgentReport | None:
        """Return the newest report unless it is too old."""
        if now - self.reported_at > REPORT_LIFETIME:
            return None
        return self.report


class AgentLinks:
    """Keeps control connections and what they tell.

    Attributes:
        views: By fleet and target.
        instances: The instance list as last read.
        changes: Times that the set of connections changed.
    """

    def __init__(self, context: EntryContext, follower: ConfigFollower) -> None:
        self.context = context
        self.follower = follower
        self.views: dict[tuple[str, TargetName], AgentView] = {}
        self.links: dict[tuple[str, TargetName, str], eventlet.greenthread.GreenThread]
        self.links = {}
        self.instances: InstanceSnapshot | None = None
        self.threads: list[eventlet.greenthread.GreenThread] = []
        self.changes = 0
        self.sent = 0
        self.received = 0

    def start(self) -> None:
        """Begin to connect."""
        self.threads.append(spawn_loop(self._keep_links))
        if self.context.settings.instances is not None:
            self.threads.append(spawn_loop(self._read_instances))

    def close(self) -> None:
        """Close all connections."""
        for thread in [*self.threads, *self.links.values()]:
            thread.kill()

    def is_linked(self, target: Target) -> bool:
        """Tell whether this entry keeps a connection to a target's agent."""
        return (target.fleet, target.target, target.control_address) in self.links

    def view(self, target: Target) -> AgentView:
        """Return what is known of a target's agent."""
        key = (target.fleet, target.target)
        found = self.views.get(key)
        if found is None:
            found = AgentView(TargetLoad(target.target, target.domain))
            self.views[key] = found
        return found

    def _read_instances(self) -> None:
        address = self.context.settings.instances
        assert address is not None
        client = InstanceListClient(address, self.context.http)
        while True:
            self.instances = client.read() or self.instances
            eventlet.sleep(
                INSTANCE_POLL_SECONDS * (0.75 + self.context.random.random() / 2)
            )

    def _linked_targets(self) -> Iterator[Target]:
        """Yield the targets that this entry connects to."""
        me = self.context.process
        for target in self.context.config.state.targets.values():
            if target.domain != self.context.domain:
                continue
            if self.instances is None:
                yield target
                continue
            names = {found.process for found in self.instances.entries(target.domain)}
            ranked = rendezvous_rank(target.target, names | {me})
            if me in ranked[: self.context.settings.agent_links]:
                yield target

    def _keep_links(self) -> None:
        while True:
            wanted = {
                (target.fleet, target.target, target.control_address): target
                for target in self._linked_targets()
            }
            changed = set(wanted) != set(self.links)
            for key in [key for key in self.links if key not in wanted]:
                self.links.pop(key).kill()
            for key, target in wanted.items():
                if key not in self.links:
                    self.links[key] = spawn_loop(self._keep_link, target)
            self.changes += changed
            self.context.config.changed.wait(INSTANCE_POLL_SECONDS)

    def _keep_link(self, target: Target) -> None:
        view = self.view(target)
        while True:
            try:
                channel = open_channel(
                    target.control_address,
                    self.context.settings.shared_key,
                    self.context.settings.source,
                )
                with closing(channel):
                    self._talk(channel, view)
            except ChannelClosed as error:
                logger.debug("link to %s: %s", target.target, error)
            finally:
                view.connected = False
            eventlet.sleep(RECONNECT_SECONDS * (0.5 + self.context.random.random()))

    def _talk(self, channel: ControlChannel, view: AgentView) -> None:
        context = self.context
        channel.send(
            Hello(
                PROTOCOL_VERSION,
                context.process,
                context.incarnation,
                context.config.offset,
            )
        )
        first = channel.receive(Hello, REPORT_LIFETIME)
        if first is None:
            raise ChannelClosed("no hello")
        view.incarnation = first.incarnation
        view.connected = True
        pusher = eventlet.spawn(self._push, channel, first.offset)
        try:
            for message in channel.messages(AgentMessage):
                self._take(channel, view, message)
                self.received += channel.received
                channel.received = 0
        finally:
            pusher.kill()

    def _push(self, channel: ControlChannel, offset: int) -> None:
        """Send the agent what it lacks, now and after each change."""
        config = self.context.config
        try:
            while True:
                if config.offset > offset:
                    channel.send(config.above(offset, self.context.events.clock))
                    offset = config.offset
                    self.sent += channel.sent
                    channel.sent = 0
                config.changed.wait()
        except ChannelClosed:
            channel.close()

    def _take(
        self, channel: ControlChannel, view: AgentView, message: AgentMessage
    ) -> None:
        config = self.context.config
        if isinstance(message, AgentReport):
            self._take_report(view, message)
            behind = message.offset > config.offset
            if behind and (self.follower.log_lost or not config.known):
                channel.send(WantRecords(config.offset))
        elif isinstance(message, (ConfigRecords, ConfigFull)):
            self.follower.take(message, view.load.target)
        elif isinstance(message, WantRecords):
            channel.send(config.above(message.above, self.context.events.clock))

    def _take_report(self, view: AgentView, report: AgentReport) -> None:
        now = boottime()
        self.context.events.merge(report.clock)
        view.report = report
        view.reported_at = now
        view.load.slots = report.slots
        view.load.report(report.in_flight, now)
