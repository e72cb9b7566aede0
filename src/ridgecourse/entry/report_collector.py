"""Collects the agent reports of a service's targets.

Reports of targets that this entry has no link to are fetched from the other
entries.
"""

from collections.abc import Iterable, Iterator

from returns.result import Failure

from ridgecourse.core.config_objects import Target
from ridgecourse.core.ids import FleetName, ServiceName, TargetName
from ridgecourse.entry.agent_links import AgentLinks
from ridgecourse.entry.context import EntryContext
from ridgecourse.net.auth import AUTH_HEADER, sign_request
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_client import ExchangeFailed, NoConnection
from ridgecourse.net.http_server import HttpReply, HttpRequest
from ridgecourse.wire.codec import decode_message, encode_message
from ridgecourse.wire.control import MAX_CONTROL_BYTES
from ridgecourse.wire.entry_control import ReportList, TargetReport

REPORTS_PATH = "/internal/reports/"
PEER_TIMEOUT_SECONDS = 1.0


class ReportCollector:
    """Collects the newest report of every target of a service."""

    def __init__(self, context: EntryContext, links: AgentLinks) -> None:
        self.context = context
        self.links = links
        self.http = context.new_client(0.5)

    def close(self) -> None:
        """Close idle connections."""
        self.http.close()

    def local_reports(self, targets: Iterable[Target]) -> Iterator[TargetReport]:
        """Yield the reports received over this entry's own links that are not stale."""
        now = boottime()
        for target in targets:
            view = self.links.view(target)
            report = view.fresh_report(now)
            if report is not None:
                age_ms = int((now - view.reported_at) * 1000)
                yield TargetReport(target.target, report, age_ms)

    def collect(
        self, fleet: FleetName, service: ServiceName
    ) -> dict[TargetName, TargetReport]:
        """Return the reports of a service's targets.

        Targets without a report at this entry or at a reachable peer are left out.
        """
        state = self.context.config.state
        targets = list(state.service_targets(fleet, service))
        reports = {report.target: report for report in self.local_reports(targets)}
        for peer in self.context.settings.peers:
            if len(reports) >= len(targets):
                break
            for report in self._fetch_reports(peer, f"{REPORTS_PATH}{fleet}/{service}"):
                reports.setdefault(report.target, report)
        return reports

    def _fetch_reports(self, peer: str, path: str) -> ReportList:
        key = self.context.settings.shared_key
        headers = {AUTH_HEADER: sign_request(key, "GET", path)}
        try:
            status, encoded, _ = self.http.fetch(
                "GET",
                peer,
                path,
                headers=headers,
                timeout=PEER_TIMEOUT_SECONDS,
                limit=MAX_CONTROL_BYTES,
            )
        except (NoConnection, ExchangeFailed):
            return []
        decoded = decode_message(encoded, ReportList)
        if status != 200 or isinstance(decoded, Failure):
            return []
        return decoded.unwrap()

    def serve(self, request: HttpRequest) -> HttpReply:
        """Answer another entry with the reports from this entry's own links."""
        if not request.is_signed(self.context.settings.shared_key):
            return HttpReply(401)
        fleet, _, service = request.path.removeprefix(REPORTS_PATH).partition("/")
        targets = self.context.config.state.service_targets(
            FleetName(fleet), ServiceName(service)
        )
        return HttpReply(200, encode_message(list(self.local_reports(targets))))
