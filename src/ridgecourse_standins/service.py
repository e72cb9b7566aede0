"""What all stand-ins share: a command line, a server, a way to set faults."""

import sys
from argparse import ArgumentParser, Namespace
from typing import Any

from eventlet.event import Event as Signal
from msgspec.json import decode, encode

from ridgecourse.net.address import parse_address
from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter, HttpServer

MAX_FAULT_BYTES = 64 * 1024


class Faults:
    """Switches that tests set over ``POST /faults``.

    Attributes:
        values: Present values by name.
    """

    def __init__(self, **values: Any) -> None:
        self.values = values

    def __getattr__(self, name: str) -> Any:
        try:
            return self.__dict__["values"][name]
        except KeyError as error:
            raise AttributeError(name) from error

    def set(self, request: HttpRequest) -> HttpReply:
        """Take new values from a request; unknown names are an error."""
        values = decode(request.read_body(MAX_FAULT_BYTES))
        unknown = set(values) - set(self.values)
        if unknown:
            return HttpReply(400, f"unknown: {sorted(unknown)}\n".encode())
        self.values.update(values)
        return HttpReply(200, encode(self.values))

    def spend(self, name: str) -> bool:
        """Use up one of a counted fault; tell whether there was one."""
        if self.values[name] <= 0:
            return False
        self.values[name] -= 1
        return True


def json_reply(value: Any, status: int = 200) -> HttpReply:
    """Return a reply with a JSON body."""
    return HttpReply(status, encode(value), [("Content-Type", "application/json")])


def make_parser(description: str) -> ArgumentParser:
    """Return the parser of a stand-in's arguments."""
    parser = ArgumentParser(description=description)
    parser.add_argument("--listen", default="127.0.0.1:0", help="HOST:PORT")
    return parser


def serve(arguments: Namespace, *routers: HttpRouter) -> int:
    """Serve until ended; a line of output for each router tells its address.

    Args:
        arguments: ``listen`` names an address for each router, by commas.
        routers: What to serve.
    """
    for address, router in zip(arguments.listen.split(","), routers, strict=True):
        server = HttpServer(parse_address(address), router)
        server.start()
        sys.stdout.write(encode({"listening": str(server.address)}).decode() + "\n")
    sys.stdout.flush()
    Signal().wait()
    return 0
