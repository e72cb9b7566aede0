"""Stand-in of the loader beside an engine; reports a load that a test sets."""

from threading import Thread
from typing import Any

from websockets.exceptions import ConnectionClosed
from websockets.sync.server import ServerConnection, serve

from ridgecourse.core.engine_load import EngineStatus
from ridgecourse.core.ids import WeightsVersion
from ridgecourse.wire.codec import encode_message
from ridgecourse.wire.control import EngineReport, GatewaysChanged, VersionAges

REPORT_SECONDS = 0.05
IDLE_STATUS = EngineStatus(WeightsVersion(1), False, 0, 0, 0, 317_000)
"""Load of an idle engine."""


class LoaderStandIn:
    """Reports the load of its engine to every process that connects.

    Attributes:
        status: Load to report.
        last_reported: Load in the last report, which was sent some milliseconds ago.
        connection_count: Number of connections accepted so far.
        report_seconds: Interval between two reports.
        closed: Whether the stand-in was closed; ends the connections.
        server: WebSocket server.
    """

    def __init__(
        self,
        host: str,
        port: int,
        status: EngineStatus = IDLE_STATUS,
        report_seconds: float = REPORT_SECONDS,
    ) -> None:
        self.status = status
        self.report_seconds = report_seconds
        self.last_reported: EngineStatus | None = None
        self.connection_count = 0
        self.closed = False
        self.server: Any = serve(self._send_reports, host, port, compression=None)
        self.thread = Thread(target=self.server.serve_forever, daemon=True)

    def start(self) -> None:
        """Start accepting connections."""
        self.thread.start()

    def close(self) -> None:
        """Close the server and stop reporting."""
        self.closed = True
        self.server.shutdown()

    def _send_reports(self, connection: ServerConnection) -> None:
        connection.recv(5.0)
        self.connection_count += 1
        try:
            connection.send(encode_message(VersionAges([])))
            connection.send(encode_message(GatewaysChanged([], [])))
            number = 0
            while not self.closed:
                # Reports are numbered like datagrams, so that the receiver applies
                # each report at once.
                number += 1
                status = self.status
                connection.send(encode_message(EngineReport(status, number)))
                self.last_reported = status
                try:
                    connection.recv(self.report_seconds)
                except TimeoutError:
                    continue
        except ConnectionClosed:
            return
