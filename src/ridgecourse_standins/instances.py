"""Stand-in of the platform's instance list; tests set its content."""

import ridgecourse.net.patch  # noqa: F401, I001

import sys

from msgspec.json import decode

from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter
from ridgecourse.native.instances import Instance
from ridgecourse_standins.service import (
    Faults,
    json_reply,
    make_parser,
    serve,
)

MAX_BODY_BYTES = 8 * 1024 * 1024


class InstanceList:
    """Serves the list of instances.

    Faults: ``down`` refuses reads of the list with 503.
    """

    def __init__(self) -> None:
        self.instances: tuple[Instance, ...] = ()
        self.faults = Faults(down=False)
        self.router = HttpRouter()
        self.router.add("GET", "/instances", self.read)
        self.router.add("POST", "/instances", self.write)
        self.router.add("POST", "/faults", self.faults.set)

    def read(self, request: HttpRequest) -> HttpReply:
        """Return the list."""
        return HttpReply(503) if self.faults.down else json_reply(self.instances)

    def write(self, request: HttpRequest) -> HttpReply:
        """Replace the list by the list in the request body."""
        body = request.read_body(MAX_BODY_BYTES)
        self.instances = decode(body, type=tuple[Instance, ...])
        return HttpReply(200)


def main() -> int:
    """Run the stand-in."""
    arguments = make_parser(__doc__ or "").parse_args()
    return serve(arguments, InstanceList().router)


if __name__ == "__main__":
    sys.exit(main())
