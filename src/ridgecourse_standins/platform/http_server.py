"""HTTP server of the stand-ins."""

from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from ridgecourse_standins.ports import free_stand_in_port


class StandInServer(ThreadingHTTPServer):
    """HTTP server that many processes may connect to at the same moment.

    Its port is one of this process alone. At any other port it might replace a server
    of a test that runs at the same time, whose clients would then reach this one.
    """

    daemon_threads = True

    def __init__(
        self,
        host: str,
        handler: type[BaseHTTPRequestHandler],
        request_queue_size: int = 128,
    ) -> None:
        self.request_queue_size = request_queue_size
        super().__init__((host, free_stand_in_port()), handler)
