"""Stand-in of a plain service, whose calls must not run more than once."""

import ridgecourse.net.patch  # noqa: F401, I001
import eventlet

import sys

from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter
from ridgecourse_standins.service import (
    Faults,
    json_reply,
    make_parser,
    serve,
)

MAX_BODY_BYTES = 8 * 1024 * 1024


class PlainService:
    """Counts the calls with each body and answers with the count.

    Faults: ``slow_seconds`` delays the answer after the call took effect,
    ``lose_replies`` carries out that many calls and answers them with 500.

    Attributes:
        calls: Number of calls by body.
        faults: Faults that tests set.
    """

    def __init__(self) -> None:
        self.calls: dict[str, int] = {}
        self.faults = Faults(slow_seconds=0.0, lose_replies=0)
        self.router = HttpRouter()
        self.router.add("POST", "/call", self.call)
        self.router.add("GET", "/v1/state", self.state)
        self.router.add("GET", "/calls", self.list_calls)
        self.router.add("POST", "/faults", self.faults.set)

    def call(self, request: HttpRequest) -> HttpReply:
        """Run a call and return the number of calls with its body."""
        body = request.read_body(MAX_BODY_BYTES).decode("utf-8", "replace")
        self.calls[body] = self.calls.get(body, 0) + 1
        if self.faults.slow_seconds:
            eventlet.sleep(self.faults.slow_seconds)
        if self.faults.consume("lose_replies"):
            return HttpReply(500)
        return json_reply({"done": body, "times": self.calls[body]})

    def state(self, request: HttpRequest) -> HttpReply:
        """Return an empty state, which shows that the service is running."""
        return json_reply({})

    def list_calls(self, request: HttpRequest) -> HttpReply:
        """Return the number of times that each call ran."""
        return json_reply(self.calls)


def main() -> int:
    """Run the stand-in."""
    arguments = make_parser(__doc__ or "").parse_args()
    return serve(arguments, PlainService().router)


if __name__ == "__main__":
    sys.exit(main())
