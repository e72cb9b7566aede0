"""A stand-in for the loader beside an engine: tells a load that a test sets."""

from threading import Thread
from typing import Any

from websockets.exceptions import ConnectionClosed
from websockets.sync.server import ServerConnection, serve

from ridgecourse.core.engine_load import EngineStatus
from ridgecourse.core.ids import WeightsVersion
from ridgecourse.wire.codec import encode_message
from ridgecourse.wire.control import EngineReport, GatewaysChanged, Named

TELL_SECONDS = 0.05
IDLE = EngineStatus(WeightsVersion(1), False, 0, 0, 0, 317_000)
"""The load of an engine that has nothing to do."""


class LoaderStandIn:
    """Tells whoever connects the load of its engine.

    Attributes:
        status: The load.
        told: The load that was told last, some milliseconds ago.
        watchers: Connections so far.
    """

    def __init__(self, host: str, port: int, status: EngineStatus = IDLE) -> None:
        self.status = status
        self.told: EngineStatus | None = None
        self.watchers = 0
        self.closed = False
        self.server: Any = serve(self._tell, host, port, compression=None)
        self.thread = Thread(target=self.server.serve_forever, daemon=True)

    def start(self) -> None:
        """Begin to tell."""
        self.thread.start()

    def close(self) -> None:
        """Stop."""
        self.closed = True
        self.server.shutdown()

    def _tell(self, connection: ServerConnection) -> None:
        connection.recv(5.0)
        self.watchers += 1
        try:
            connection.send(encode_message(Named([])))
            connection.send(encode_message(GatewaysChanged([], [])))
            number = 0
            while not self.closed:
                # Numbered as datagrams are, so that each is taken in at once.
                number += 1
                status = self.status
                connection.send(encode_message(EngineReport(status, number)))
                self.told = status
                try:
                    connection.recv(TELL_SECONDS)
                except TimeoutError:
                    continue
        except ConnectionClosed:
            return
