"""The entry process: accepts client requests and administration calls.

``Entry`` creates the components of the process, routes HTTP requests to them, and
starts, drains and closes them.
"""

import eventlet
from msgspec.json import encode

from ridgecourse.entry.admin import AdminService
from ridgecourse.entry.agent_links import AgentLinks
from ridgecourse.entry.call import CALL_PREFIX
from ridgecourse.entry.change_writer import ChangeWriter
from ridgecourse.entry.claim_writer import ClaimWriter
from ridgecourse.entry.config_follower import CONFIG_PATH, ConfigFollower
from ridgecourse.entry.context import EntryContext
from ridgecourse.entry.dispatch import Dispatcher
from ridgecourse.entry.report_collector import REPORTS_PATH, ReportCollector
from ridgecourse.entry.settings import EntrySettings
from ridgecourse.entry.strict_json import StrictJsonMiddleware
from ridgecourse.net.address import parse_address
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind
from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter, HttpServer
from ridgecourse.net.process import Process
from ridgecourse.net.usage import process_usage
from ridgecourse.wire.admin_connect import AdminWSGIApplication

ADMIN_PREFIX = "/ridgecourse.wire.Admin/"
DRAIN_POLL_SECONDS = 0.05
LAST_REQUESTS_SECONDS = 5.0
"""Longest wait for requests that are still being received when no dispatched request is
in progress any more; a slow or silent client does not hold a stop for longer."""


class Entry(Process):
    """One entry process."""

    def __init__(self, settings: EntrySettings) -> None:
        self.context = EntryContext(settings)
        self.follower = ConfigFollower(self.context)
        self.links = AgentLinks(self.context, self.follower)
        self.claim_writer = ClaimWriter(self.context)
        self.change_writer = ChangeWriter(self.context)
        self.dispatcher = Dispatcher(self.context, self.links, self.claim_writer)
        self.reports = ReportCollector(self.context, self.links)
        admin = AdminService(self.context, self.change_writer, self.reports)
        self.router = HttpRouter()
        self.router.mount(
            ADMIN_PREFIX, StrictJsonMiddleware(AdminWSGIApplication(admin))
        )
        self.router.add("POST", CALL_PREFIX, self.dispatcher.handle)
        self.router.add("GET", CONFIG_PATH, self.follower.serve_config)
        self.router.add("GET", REPORTS_PATH, self.reports.serve)
        self.router.add("GET", "/healthz", self.serve_health)
        self.router.add("GET", "/readyz", self.serve_ready)
        self.router.add("GET", "/status", self.serve_status)
        self.http_server = HttpServer(parse_address(settings.http), self.router)

    def start(self) -> None:
        """Open the HTTP server and start to follow the configuration."""
        self.http_server.start()
        self.follower.start()
        self.links.start()
        self.claim_writer.start()
        self.context.events.emit(EventKind.STARTED, http=str(self.http_server.address))
        eventlet.spawn(self._announce_ready)

    def _announce_ready(self) -> None:
        while not self.is_ready():
            self.context.config.changed.wait(0.1)
        self.context.events.emit(EventKind.READY, offset=self.context.config.offset)

    def is_ready(self) -> bool:
        """Check whether this entry can serve requests.

        The entry is ready once the configuration is known, until it stops.
        """
        return self.context.config.is_known and not self.context.stopping

    def serve_health(self, request: HttpRequest) -> HttpReply:
        """Answer with 200 while the process runs."""
        return HttpReply(200, b"ok\n")

    def serve_ready(self, request: HttpRequest) -> HttpReply:
        """Answer the load balancer: 200 if this entry accepts requests, else 503."""
        return HttpReply(200 if self.is_ready() else 503)

    def serve_status(self, request: HttpRequest) -> HttpReply:
        """Answer with the entry's state and counters as JSON."""
        status = {
            "process": self.context.process,
            "incarnation": self.context.incarnation,
            "offset": self.context.config.offset,
            "digest": self.context.config.state.digest(),
            "ready": self.is_ready(),
            "log_lost": self.follower.log_lost,
            "in_flight": self.dispatcher.total_in_flight(),
            "links": sum(view.connected for view in self.links.views.values()),
            "control_sent": self.links.sent_bytes,
            "control_received": self.links.received_bytes,
            "log_exchanges": self.context.log.exchanges,
            "log_moved": self.context.log.bytes_transferred,
            "claims": self.claim_writer.claim_count,
            "claim_appends": self.claim_writer.append_count,
            "usage": process_usage(),
        }
        body = encode(status)
        return HttpReply(200, body, [("Content-Type", "application/json")])

    def drain(self) -> None:
        """Finish the requests in progress; refuse new requests as not run."""
        self.context.stopping = True
        self.http_server.is_closing = True
        self.context.events.emit(EventKind.STOPPING)
        drain_deadline = boottime() + self.context.settings.drain_seconds
        while self.dispatcher.total_in_flight() and boottime() < drain_deadline:
            eventlet.sleep(DRAIN_POLL_SECONDS)
        self.http_server.drain(min(drain_deadline, boottime() + LAST_REQUESTS_SECONDS))

    def close(self) -> None:
        """Stop all components and close the server."""
        open_connections = self.http_server.count_states()
        self.claim_writer.close()
        self.links.close()
        self.follower.close()
        self.dispatcher.close()
        self.reports.close()
        self.http_server.close()
        self.context.events.emit(EventKind.STOPPED, connections=open_connections)
        self.context.close()
