"""HTTP server of the stand-ins."""

from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from ridgecourse_standins.ports import free_stand_in_port


class StandInServer(ThreadingHTTPServer):
    """HTTP server that many processes may connect to at the same moment.

    Its port is one of this process alone. At any other port it might replace a server
    of a test that runs at the same time, whose clients would then reach this one.
    """

    request_queue_size = 128
    daemon_threads = True

    def __init__(self, host: str, handler: type[BaseHTTPRequestHandler]) -> None:
        super().__init__((host, free_stand_in_port()), handler)
