"""Relays in front of processes, which let tests partition domains from each other.

A relay forwards connections to one process. The relay finds the side that a connection
comes from by the source address, because the processes of each domain connect from an
address of their own. The relay closes connections that cross a cut.
"""

import ridgecourse.net.patch  # noqa: F401, I001

import sys
from contextlib import suppress
from socket import SHUT_RDWR
from typing import Any, NamedTuple

import eventlet
from msgspec.json import decode

from ridgecourse.net.address import parse_address
from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter
from ridgecourse_standins.service import json_reply, make_parser, serve

READ_BYTES = 64 * 1024
MAX_BODY_BYTES = 1024 * 1024


class Route(NamedTuple):
    """A relayed address.

    Attributes:
        side: Domain of the process behind the relay, or "platform".
        listen: Address at which the relay accepts connections.
        forward: Address of the process.
    """

    side: str
    listen: str
    forward: str


class Relays:
    """All relays of a deployment and the cuts between sides.

    Attributes:
        sides: Side by source address.
        cuts: Pairs of sides between which connections are closed.
        open_connections: Forwarded connections: the two sides, the socket to the client
            and the socket to the process.
    """

    def __init__(self) -> None:
        self.sides: dict[str, str] = {}
        self.cuts: set[frozenset[str]] = set()
        self.open_connections: list[tuple[frozenset[str], Any, Any]] = []
        self.router = HttpRouter()
        self.router.add("POST", "/routes", self.add_routes)
        self.router.add("POST", "/cuts", self.set_cuts)

    def add_routes(self, request: HttpRequest) -> HttpReply:
        """Start relays: ``{"sides": {...}, "routes": [[side, listen, forward]]}``."""
        body = decode(request.read_body(MAX_BODY_BYTES))
        self.sides.update(body["sides"])
        for route in [Route(*fields) for fields in body["routes"]]:
            listener = eventlet.listen(parse_address(route.listen), reuse_port=False)
            eventlet.spawn(self._accept, listener, route)
        return json_reply({"relays": len(body["routes"])})

    def set_cuts(self, request: HttpRequest) -> HttpReply:
        """Set which pairs of sides are cut; close the connections between cut sides."""
        pairs = decode(request.read_body(MAX_BODY_BYTES))
        self.cuts = {frozenset(pair) for pair in pairs}
        for pair, client, upstream in list(self.open_connections):
            if pair in self.cuts:
                shut_down(client)
                shut_down(upstream)
        return json_reply({"cuts": len(self.cuts)})

    def _accept(self, listener: Any, route: Route) -> None:
        while True:
            connection, source = listener.accept()
            side = self.sides.get(source[0], "")
            eventlet.spawn(
                self._relay, connection, frozenset((side, route.side)), route
            )

    def _relay(self, connection: Any, pair: frozenset[str], route: Route) -> None:
        if pair in self.cuts:
            connection.close()
            return
        try:
            upstream = eventlet.connect(parse_address(route.forward))
        except OSError:
            connection.close()
            return
        forwarded = (pair, connection, upstream)
        self.open_connections.append(forwarded)
        return_copy = eventlet.spawn(copy_bytes, upstream, connection)
        copy_bytes(connection, upstream)
        return_copy.wait()
        self.open_connections.remove(forwarded)
        connection.close()
        upstream.close()


def copy_bytes(source: Any, destination: Any) -> None:
    """Copy bytes until either connection ends, then shut both down."""
    with suppress(OSError):
        while data := source.recv(READ_BYTES):
            destination.sendall(data)
    shut_down(source)
    shut_down(destination)


def shut_down(connection: Any) -> None:
    """Shut a connection down; the reader of the connection closes the socket."""
    with suppress(OSError):
        connection.shutdown(SHUT_RDWR)


def main() -> int:
    """Run the relays."""
    arguments = make_parser(__doc__ or "").parse_args()
    return serve(arguments, Relays().router)


if __name__ == "__main__":
    sys.exit(main())
