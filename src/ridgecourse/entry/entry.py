"""The entry process: ties callers, operators and configuration together."""

import eventlet
from msgspec.json import encode

from ridgecourse.entry.admin import AdminService
from ridgecourse.entry.call import CALL_PREFIX
from ridgecourse.entry.changes import ChangeWriter
from ridgecourse.entry.claims import ClaimWriter
from ridgecourse.entry.config_follower import CONFIG_PATH, ConfigFollower
from ridgecourse.entry.context import EntryContext
from ridgecourse.entry.dispatch import Dispatcher
from ridgecourse.entry.links import AgentLinks
from ridgecourse.entry.reports import REPORTS_PATH, ReportCollector
from ridgecourse.entry.settings import EntrySettings
from ridgecourse.entry.strict_json import StrictJson
from ridgecourse.net.address import parse_address
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind
from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter, HttpServer
from ridgecourse.net.process import Process
from ridgecourse.net.usage import process_usage
from ridgecourse.wire.admin_connect import AdminWSGIApplication

ADMIN_PREFIX = "/ridgecourse.wire.Admin/"
DRAIN_POLL_SECONDS = 0.05


class Entry(Process):
    """One entry."""

    def __init__(self, settings: EntrySettings) -> None:
        self.context = EntryContext(settings)
        self.follower = ConfigFollower(self.context)
        self.links = AgentLinks(self.context, self.follower)
        self.claims = ClaimWriter(self.context)
        self.writer = ChangeWriter(self.context)
        self.dispatcher = Dispatcher(self.context, self.links, self.claims)
        self.reports = ReportCollector(self.context, self.links)
        admin = AdminService(self.context, self.writer, self.reports)
        self.router = HttpRouter()
        self.router.mount(ADMIN_PREFIX, StrictJson(AdminWSGIApplication(admin)))
        self.router.add("POST", CALL_PREFIX, self.dispatcher.handle)
        self.router.add("GET", CONFIG_PATH, self.follower.serve_config)
        self.router.add("GET", REPORTS_PATH, self.reports.serve)
        self.router.add("GET", "/healthz", self.serve_health)
        self.router.add("GET", "/readyz", self.serve_ready)
        self.router.add("GET", "/status", self.serve_status)
        self.http_server = HttpServer(parse_address(settings.http), self.router)

    def start(self) -> None:
        """Open the server and begin to follow the configuration."""
        self.http_server.start()
        self.follower.start()
        self.links.start()
        self.claims.start()
        self.context.events.emit(EventKind.STARTED, http=str(self.http_server.address))
        eventlet.spawn(self._announce_ready)

    def _announce_ready(self) -> None:
        while not self.ready():
            self.context.config.changed.wait(0.1)
        self.context.events.emit(EventKind.READY, offset=self.context.config.offset)

    def ready(self) -> bool:
        """Tell whether requests may come here: the configuration is known."""
        return self.context.config.known and not self.context.stopping

    def serve_health(self, request: HttpRequest) -> HttpReply:
        """Answer that the process lives."""
        return HttpReply(200, b"ok\n")

    def serve_ready(self, request: HttpRequest) -> HttpReply:
        """Answer whether the balancer may send requests here."""
        return HttpReply(200 if self.ready() else 503)

    def serve_status(self, request: HttpRequest) -> HttpReply:
        """Answer with the entry's state and counts as JSON."""
        status = {
            "process": self.context.process,
            "incarnation": self.context.incarnation,
            "offset": self.context.config.offset,
            "digest": self.context.config.state.digest(),
            "ready": self.ready(),
            "log_lost": self.follower.log_lost,
            "in_flight": self.dispatcher.total_in_flight(),
            "links": sum(view.connected for view in self.links.views.values()),
            "control_sent": self.links.sent,
            "control_received": self.links.received,
            "log_exchanges": self.context.log.exchanges,
            "log_moved": self.context.log.moved,
            "claims": self.claims.claims,
            "claim_appends": self.claims.appends,
            "usage": process_usage(),
        }
        body = encode(status)
        return HttpReply(200, body, [("Content-Type", "application/json")])

    def drain(self) -> None:
        """Let the requests in progress finish; refuse others as not run."""
        self.context.stopping = True
        self.context.events.emit(EventKind.STOPPING)
        limit = boottime() + self.context.settings.drain_seconds
        while self.dispatcher.total_in_flight() and boottime() < limit:
            eventlet.sleep(DRAIN_POLL_SECONDS)

    def close(self) -> None:
        """Release everything."""
        self.claims.close()
        self.links.close()
        self.follower.close()
        self.dispatcher.close()
        self.reports.close()
        self.http_server.close()
        self.context.events.emit(EventKind.STOPPED)
        self.context.close()
