"""Relays before processes, so that tests can cut domains off from each other.

A relay forwards connections to one process. It knows the side that a connection
comes from by its source address, since every domain's processes send from an
address of their own, and closes what crosses a cut.
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
        side: The domain, or "platform", that the process behind is in.
        listen: Where connections come in.
        forward: Where they go.
    """

    side: str
    listen: str
    forward: str


class Relays:
    """All relays of a deployment, and which sides are cut from each other.

    Attributes:
        sides: Side by source address.
        cuts: Pairs of sides between which nothing passes.
    """

    def __init__(self) -> None:
        self.sides: dict[str, str] = {}
        self.cuts: set[frozenset[str]] = set()
        self.open: list[tuple[frozenset[str], Any, Any]] = []
        self.router = HttpRouter()
        self.router.add("POST", "/routes", self.add_routes)
        self.router.add("POST", "/cuts", self.set_cuts)

    def add_routes(self, request: HttpRequest) -> HttpReply:
        """Start relays: ``{"sides": {...}, "routes": [[side, listen, to]]}``."""
        body = decode(request.read_body(MAX_BODY_BYTES))
        self.sides.update(body["sides"])
        for route in [Route(*fields) for fields in body["routes"]]:
            listener = eventlet.listen(parse_address(route.listen), reuse_port=False)
            eventlet.spawn(self._accept, listener, route)
        return json_reply({"relays": len(body["routes"])})

    def set_cuts(self, request: HttpRequest) -> HttpReply:
        """Set which pairs of sides are cut; what is open between them is closed."""
        pairs = decode(request.read_body(MAX_BODY_BYTES))
        self.cuts = {frozenset(pair) for pair in pairs}
        for pair, first, second in list(self.open):
            if pair in self.cuts:
                shut(first)
                shut(second)
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
            behind = eventlet.connect(parse_address(route.forward))
        except OSError:
            connection.close()
            return
        entry = (pair, connection, behind)
        self.open.append(entry)
        back = eventlet.spawn(pump, behind, connection)
        pump(connection, behind)
        back.wait()
        self.open.remove(entry)
        connection.close()
        behind.close()


def pump(source: Any, sink: Any) -> None:
    """Copy bytes until either end ends, then end both."""
    with suppress(OSError):
        while data := source.recv(READ_BYTES):
            sink.sendall(data)
    shut(source)
    shut(sink)


def shut(connection: Any) -> None:
    """End a connection; whoever reads it closes it."""
    with suppress(OSError):
        connection.shutdown(SHUT_RDWR)


def main() -> int:
    """Run the relays."""
    arguments = make_parser(__doc__ or "").parse_args()
    return serve(arguments, Relays().router)


if __name__ == "__main__":
    sys.exit(main())
