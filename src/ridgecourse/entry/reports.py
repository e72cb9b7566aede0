"""Reports of targets that this entry has no link to, asked of other entries."""

from collections.abc import Iterable, Iterator

from returns.result import Failure

from ridgecourse.core.config_objects import Target
from ridgecourse.core.ids import FleetName, ServiceName, TargetName
from ridgecourse.entry.context import EntryContext
from ridgecourse.entry.links import AgentLinks
from ridgecourse.net.auth import AUTH_HEADER, sign_request
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_client import ExchangeFailed, NoConnection
from ridgecourse.net.http_server import HttpReply, HttpRequest
from ridgecourse.wire.codec import decode_message, encode_message
from ridgecourse.wire.control import MAX_CONTROL_BYTES
from ridgecourse.wire.entry_control import ReportList, TargetReport

REPORTS_PATH = "/internal/reports/"
PEER_SECONDS = 1.0


class ReportCollector:
    """Gathers the newest report of every target of a service."""

    def __init__(self, context: EntryContext, links: AgentLinks) -> None:
        self.context = context
        self.links = links
        self.http = context.new_client(0.5)

    def close(self) -> None:
        """Close idle connections."""
        self.http.close()

    def own(self, targets: Iterable[Target]) -> Iterator[TargetReport]:
        """Yield the fresh reports that came over this entry's own links."""
        now = boottime()
        for target in targets:
            view = self.links.view(target)
            report = view.fresh_report(now)
            if report is not None:
                age = int((now - view.reported_at) * 1000)
                yield TargetReport(target.target, report, age)

    def collect(
        self, fleet: FleetName, service: ServiceName
    ) -> dict[TargetName, TargetReport]:
        """Return the reports of a service's targets, as far as they can be had."""
        state = self.context.config.state
        targets = list(state.service_targets(fleet, service))
        found = {report.target: report for report in self.own(targets)}
        for peer in self.context.settings.peers:
            if len(found) >= len(targets):
                break
            for report in self._ask(peer, f"{REPORTS_PATH}{fleet}/{service}"):
                found.setdefault(report.target, report)
        return found

    def _ask(self, peer: str, path: str) -> ReportList:
        key = self.context.settings.shared_key
        headers = {AUTH_HEADER: sign_request(key, "GET", path)}
        try:
            status, data, _ = self.http.fetch(
                "GET",
                peer,
                path,
                headers=headers,
                timeout=PEER_SECONDS,
                limit=MAX_CONTROL_BYTES,
            )
        except (NoConnection, ExchangeFailed):
            return []
        decoded = decode_message(data, ReportList)
        if status != 200 or isinstance(decoded, Failure):
            return []
        return decoded.unwrap()

    def serve(self, request: HttpRequest) -> HttpReply:
        """Answer another entry with the reports that came over own links."""
        if not request.is_signed(self.context.settings.shared_key):
            return HttpReply(401)
        fleet, _, service = request.path.removeprefix(REPORTS_PATH).partition("/")
        targets = self.context.config.state.service_targets(
            FleetName(fleet), ServiceName(service)
        )
        return HttpReply(200, encode_message(list(self.own(targets))))
