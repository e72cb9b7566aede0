"""Common parts of the stand-ins: command line, HTTP server and settable faults."""

import sys
from argparse import ArgumentParser, Namespace
from typing import Any

from eventlet.event import Event as Signal
from msgspec.json import decode, encode

from ridgecourse.net.address import parse_address
from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter, HttpServer

MAX_FAULT_BYTES = 64 * 1024


class Faults:
    """Named faults that tests set with ``POST /faults``.

    Each fault can also be read as an attribute.

    Attributes:
        values: Current values by name.
    """

    def __init__(self, **values: Any) -> None:
        self.values = values

    def __getattr__(self, name: str) -> Any:
        try:
            return self.__dict__["values"][name]
        except KeyError as error:
            raise AttributeError(name) from error

    def set(self, request: HttpRequest) -> HttpReply:
        """Set the values in the request body; unknown names are answered with 400."""
        values = decode(request.read_body(MAX_FAULT_BYTES))
        unknown = set(values) - set(self.values)
        if unknown:
            return HttpReply(400, f"unknown: {sorted(unknown)}\n".encode())
        self.values.update(values)
        return HttpReply(200, encode(self.values))

    def consume(self, name: str) -> bool:
        """Decrement a counted fault; return whether the count was positive."""
        if self.values[name] <= 0:
            return False
        self.values[name] -= 1
        return True


def json_reply(value: Any, status: int = 200) -> HttpReply:
    """Return a reply with a JSON body."""
    return HttpReply(status, encode(value), [("Content-Type", "application/json")])


def make_parser(description: str) -> ArgumentParser:
    """Return the argument parser of a stand-in."""
    parser = ArgumentParser(description=description)
    parser.add_argument("--listen", default="127.0.0.1:0", help="HOST:PORT")
    return parser


def serve(arguments: Namespace, *routers: HttpRouter) -> int:
    """Serve routers until the process ends.

    For each router, a line of JSON with the listening address is written to the
    standard output.

    Args:
        arguments: Parsed arguments; ``listen`` has an address for each router,
            separated by commas.
        routers: Routers to serve, each at an address of its own.
    """
    for address, router in zip(arguments.listen.split(","), routers, strict=True):
        server = HttpServer(parse_address(address), router)
        server.start()
        sys.stdout.write(encode({"listening": str(server.address)}).decode() + "\n")
    sys.stdout.flush()
    Signal().wait()
    return 0
