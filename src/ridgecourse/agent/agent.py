"""The agent process: admission control and weight distribution for one target.

``Agent`` creates the gate, the weight exchange, the rollout and the control
server, connects them, and starts, drains and closes them.
"""

import eventlet
from msgspec.json import encode

from ridgecourse.agent.admission_gate import AdmissionGate
from ridgecourse.agent.context import AgentContext
from ridgecourse.agent.control import AgentControl
from ridgecourse.agent.rollout import Rollout
from ridgecourse.agent.settings import AgentSettings
from ridgecourse.exchange.server import Exchange
from ridgecourse.net.address import parse_address
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind
from ridgecourse.net.http_server import (
    PEER_DRAIN_SECONDS,
    HttpReply,
    HttpRequest,
    HttpRouter,
    HttpServer,
)
from ridgecourse.net.process import Process
from ridgecourse.net.threads import Broadcast, kill_threads, spawn_loop
from ridgecourse.net.usage import process_usage
from ridgecourse.net.websocket import ControlServer
from ridgecourse.wire.entry_control import AgentReport


class Agent(Process):
    """One agent process, which serves one target."""

    def __init__(self, settings: AgentSettings) -> None:
        self.context = AgentContext(settings)
        self.exchange = Exchange(self.context.exchange)
        self.rollout = Rollout(self.context, self.exchange)
        self.gate = AdmissionGate(self.context, self.rollout)
        self.changed = Broadcast()
        self.control = AgentControl(
            self.context, self.exchange, self.make_report, self.changed
        )
        self.router = HttpRouter()
        self.gate.add_routes(self.router)
        self.exchange.add_routes(self.router)
        self.router.add("GET", "/healthz", self.serve_health)
        self.router.add("GET", "/readyz", self.serve_ready)
        self.router.add("GET", "/status", self.serve_status)
        self.http_server = HttpServer(parse_address(settings.http), self.router)
        self.control_server = ControlServer(
            parse_address(settings.control), settings.shared_key, self.control.handle
        )
        self.threads: list[eventlet.greenthread.GreenThread] = []

    def start(self) -> None:
        """Open both servers and start to follow the configuration."""
        self.http_server.start()
        self.control_server.start()
        self.gate.start()
        self.rollout.start()
        for source in (
            self.rollout.changed,
            self.gate.changed,
            self.context.config.changed,
        ):
            self.threads.append(spawn_loop(self._forward_changes, source))
        self.context.events.emit(
            EventKind.STARTED,
            target=self.context.target,
            http=str(self.http_server.address),
            control=str(self.control_server.address),
        )

    def _forward_changes(self, source: Broadcast) -> None:
        while True:
            source.wait()
            self.changed.notify()

    def make_report(self) -> AgentReport:
        """Return the report that is sent to entries."""
        held_bytes, total_bytes = self.rollout.progress()
        return AgentReport(
            offset=self.context.config.offset,
            in_flight=self.gate.in_flight,
            slots=self.context.settings.engine.slots,
            ready=self.gate.is_ready(),
            serving=self.rollout.serving,
            phase=self.rollout.phase.value,
            bytes_held=held_bytes,
            bytes_total=total_bytes,
            error=self.rollout.error,
            clock=self.context.events.clock,
        )

    def serve_health(self, request: HttpRequest) -> HttpReply:
        """Answer with 200 while the process runs."""
        return HttpReply(200, b"ok\n")

    def serve_ready(self, request: HttpRequest) -> HttpReply:
        """Answer with 200 if the target accepts requests, else with 503."""
        return HttpReply(200 if self.gate.is_ready() else 503)

    def serve_status(self, request: HttpRequest) -> HttpReply:
        """Answer with the agent's state and counters as JSON."""
        counts = self.context.counts
        status = {
            "process": self.context.process,
            "target": self.context.target,
            "incarnation": self.context.incarnation,
            "offset": self.context.config.offset,
            "digest": self.context.config.state.digest(),
            "ready": self.gate.is_ready(),
            "phase": self.rollout.phase.value,
            "serving": self.rollout.serving,
            "error": self.rollout.error,
            "in_flight": self.gate.in_flight,
            "from_origin": counts.from_origin,
            "from_domain": counts.from_domain,
            "across_domains": counts.across_domains,
            "fetched_twice": counts.fetched_twice,
            "rejected": counts.rejected,
            "uploaded": self.exchange.link.total,
            "usage": process_usage(),
        }
        body = encode(status)
        return HttpReply(200, body, [("Content-Type", "application/json")])

    def drain(self) -> None:
        """Finish the requests in progress; refuse new requests as not run."""
        self.http_server.is_closing = True
        self.context.events.emit(EventKind.STOPPING, target=self.context.target)
        drain_deadline = boottime() + self.context.settings.drain_seconds
        self.gate.drain(drain_deadline)
        self.http_server.drain(min(drain_deadline, boottime() + PEER_DRAIN_SECONDS))

    def close(self) -> None:
        """Stop all components and close both servers."""
        open_connections = self.http_server.count_states()
        self.rollout.close()
        self.gate.close()
        kill_threads(self.threads)
        self.control_server.close()
        self.http_server.close()
        self.context.events.emit(
            EventKind.STOPPED,
            target=self.context.target,
            connections=open_connections,
        )
        self.context.close()
