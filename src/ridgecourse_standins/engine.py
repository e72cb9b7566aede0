"""Stand-in of a model engine; docs/ENGINE.md describes its protocol."""

import ridgecourse.net.patch  # noqa: F401, I001
import eventlet

import sys
from collections import OrderedDict
from collections.abc import Iterator
from contextlib import closing, suppress
from time import monotonic

from msgspec import DecodeError, Struct
from msgspec.json import decode, encode
from returns.result import Failure
from urllib3.exceptions import HTTPError

from ridgecourse.core.manifest import DIGEST_HEX_LENGTH, chunk_digest, parse_manifest
from ridgecourse.net.threads import Broadcast
from ridgecourse.net.http_client import ExchangeFailed, HttpClient, NoConnection
from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter
from ridgecourse.exchange.server import FRAME_HEADER_BYTES, TICKET_HEADER
from ridgecourse.native.engine import (
    LOAD_SECONDS,
    ActivateOrder,
    EngineState,
    GenerateOrder,
    LoadOrder,
)
from ridgecourse.wire.request import StreamEnd, TokenEvent
from ridgecourse_standins.oracle import Weights, join_files
from ridgecourse_standins.service import (
    Faults,
    json_reply,
    make_parser,
    serve,
)

MAX_BODY_BYTES = 8 * 1024 * 1024
DEFAULT_TOKENS = 16
CACHED_PREFIXES = 32
PREFIX_LENGTH = 64
PREFILL_STEPS = 2
STEP_GROWTH = 0.01
"""Relative increase of the step duration for each further request in the batch."""


class Prompt(Struct):
    """Body of a client request in the format of this engine."""

    prompt: str
    max_tokens: int = DEFAULT_TOKENS


class Execution(Struct):
    """A request that the engine started.

    Attributes:
        request_id: Id of the request.
        prompt: The prompt.
        root: Root digest of the version that computes the answer.
        start_at: Index of the first token to send.
        tokens: Number of tokens sent so far.
        whole: Whether all tokens were sent.
    """

    request_id: str
    prompt: str
    root: str
    start_at: int
    tokens: int = 0
    whole: bool = False


class Engine:
    """Runs requests in batched steps; each step produces one token for each request.

    Faults: ``step_seconds`` sets the duration of a step, ``fail_after`` breaks
    streams off after that many tokens, ``refuse_load`` refuses orders to load,
    ``down`` refuses status and generation requests.

    Attributes:
        slots: Maximum number of requests that run at once.
        fenced: Whether orders with an old fencing token are refused.
        faults: Faults that tests set.
        active: Root digest of the version that is served; empty for none.
        loaded: Weights of the loaded versions, by root digest.
        token: Highest fencing token so far.
        orders: Orders carried out, as kind, fencing token and root digest.
        running: Requests in progress, by request id.
        cancelled: Ids of the requests that are to stop.
        executions: All requests that were started.
        prefixes: Prompt prefixes in the prefix cache, least recently used first.
        step_ended: Notified at the end of every step.
    """

    def __init__(self, slots: int, step_seconds: float, fenced: bool) -> None:
        self.slots = slots
        self.fenced = fenced
        self.faults = Faults(
            step_seconds=step_seconds, fail_after=-1, refuse_load=False, down=False
        )
        self.active = ""
        self.loaded: dict[str, Weights] = {}
        self.token = -1
        self.orders: list[tuple[str, int, str]] = []
        self.running: dict[str, Execution] = {}
        self.cancelled: set[str] = set()
        self.executions: list[Execution] = []
        self.prefixes: OrderedDict[str, None] = OrderedDict()
        self.step_ended = Broadcast()
        self.http = HttpClient()
        self.router = HttpRouter()
        self.router.add("GET", "/v1/state", self.state)
        self.router.add("POST", "/v1/load", self.load)
        self.router.add("POST", "/v1/activate", self.activate)
        self.router.add("POST", "/v1/generate", self.generate)
        self.router.add("POST", "/v1/cancel", self.cancel)
        self.router.add("GET", "/executions", self.list_executions)
        self.router.add("POST", "/faults", self.faults.set)

    def start(self) -> None:
        """Start running steps."""
        eventlet.spawn(self._run_steps)

    def _run_steps(self) -> None:
        while True:
            factor = 1 + STEP_GROWTH * max(0, len(self.running) - 1)
            eventlet.sleep(self.faults.step_seconds * factor)
            self.step_ended.notify()

    def state(self, request: HttpRequest) -> HttpReply:
        """Return the served version, the loaded versions and the number of requests."""
        if self.faults.down:
            return HttpReply(503)
        state = EngineState(
            self.active, tuple(self.loaded), self.token, len(self.running)
        )
        return json_reply(state)

    def _accept_token(self, token: int) -> bool:
        """Check whether the fencing token of an order is accepted; record the token."""
        if self.fenced and token < self.token:
            return False
        self.token = max(self.token, token)
        return True

    def load(self, request: HttpRequest) -> HttpReply:
        """Fetch and verify a version; the served version stays active."""
        order = decode(request.read_body(MAX_BODY_BYTES), type=LoadOrder)
        if not self._accept_token(order.token):
            return HttpReply(409, b"old token\n")
        if self.faults.refuse_load:
            return HttpReply(503, b"no memory\n")
        try:
            weights = self._fetch(order)
        except (NoConnection, ExchangeFailed, HTTPError, ValueError) as error:
            return HttpReply(503, f"{error}\n".encode())
        self.loaded = {
            root: weights
            for root, weights in self.loaded.items()
            if root == self.active
        }
        self.loaded[order.root] = weights
        self.orders.append(("load", order.token, order.root))
        return json_reply({"loaded": order.root})

    def _fetch(self, order: LoadOrder) -> Weights:
        parsed = parse_manifest(
            self._fetch_path(order, f"manifest/{order.root}"), order.root
        )
        if isinstance(parsed, Failure):
            raise ValueError(f"bad manifest: {parsed.failure()}")
        chunks = dict(self._stream_chunks(order))
        expected = {location.digest for location in parsed.unwrap().unique_chunks()}
        if set(chunks) != expected:
            raise ValueError(f"{len(chunks)} chunks of {len(expected)}")
        return Weights(join_files(parsed.unwrap().chunk_locations(), chunks))

    def _stream_chunks(self, order: LoadOrder) -> Iterator[tuple[str, bytes]]:
        """Yield digest and data of each chunk that the agent sends, after verification.

        Raises:
            ValueError: A chunk does not match its digest.
        """
        headers = {TICKET_HEADER: order.ticket}
        path = f"/engine/stream/{order.root}"
        response = self.http.send(
            "GET", order.source, path, headers=headers, timeout=LOAD_SECONDS, fresh=True
        )
        with closing(response):
            while header := response.read(FRAME_HEADER_BYTES):
                digest = header[:DIGEST_HEX_LENGTH].decode()
                length = int.from_bytes(header[DIGEST_HEX_LENGTH:], "big")
                data = response.read(length)
                if chunk_digest(data) != digest:
                    raise ValueError(f"bad chunk {digest}")
                yield digest, data

    def _fetch_path(self, order: LoadOrder, path: str) -> bytes:
        status, data, _ = self.http.fetch(
            "GET",
            order.source,
            f"/engine/{path}",
            headers={TICKET_HEADER: order.ticket},
        )
        if status != 200:
            raise ValueError(f"{path}: status {status}")
        return data

    def activate(self, request: HttpRequest) -> HttpReply:
        """Activate a loaded version for all requests that start afterwards."""
        order = decode(request.read_body(MAX_BODY_BYTES), type=ActivateOrder)
        if not self._accept_token(order.token):
            return HttpReply(409, b"old token\n")
        if order.root not in self.loaded:
            return HttpReply(409, b"not loaded\n")
        self.active = order.root
        self.orders.append(("activate", order.token, order.root))
        return json_reply({"active": self.active})

    def generate(self, request: HttpRequest) -> HttpReply:
        """Start a request, or refuse it with a status that says it was not started."""
        try:
            order = decode(request.read_body(MAX_BODY_BYTES), type=GenerateOrder)
            prompt = decode(order.body, type=Prompt)
        except DecodeError as error:
            return HttpReply(400, f"{error}\n".encode())
        if self.faults.down:
            return HttpReply(503)
        if not self.active or order.expect != self.active:
            return HttpReply(409, b"another version is served\n")
        if len(self.running) >= self.slots:
            return HttpReply(429)
        execution = Execution(
            order.request_id, prompt.prompt, self.active, order.start_at
        )
        self.executions.append(execution)
        # The stream uses these weights to its end, also after another activation.
        weights = self.loaded[self.active]
        self.running[order.request_id] = execution
        lines = self._stream(execution, weights, prompt)
        return HttpReply(200, lines, [("Content-Type", "application/x-ndjson")])

    def _stream(
        self, execution: Execution, weights: Weights, prompt: Prompt
    ) -> Iterator[bytes]:
        try:
            for _ in range(self._prefill_steps(prompt.prompt)):
                self.step_ended.wait()
            for index in range(execution.start_at, prompt.max_tokens):
                self.step_ended.wait()
                if self._is_interrupted(execution):
                    return
                token = weights.token(prompt.prompt, index)
                execution.tokens += 1
                yield encode(TokenEvent(index, token)) + b"\n"
            execution.whole = True
            end = TokenEvent(
                end=StreamEnd.DONE, count=prompt.max_tokens, version=execution.root
            )
            yield encode(end) + b"\n"
        finally:
            self.running.pop(execution.request_id, None)
            self.cancelled.discard(execution.request_id)

    def _is_interrupted(self, execution: Execution) -> bool:
        fail_after = self.faults.fail_after
        is_failing = 0 <= fail_after <= execution.tokens
        return is_failing or execution.request_id in self.cancelled

    def _prefill_steps(self, prompt: str) -> int:
        prefix = prompt[:PREFIX_LENGTH]
        cached = prefix in self.prefixes
        self.prefixes[prefix] = None
        self.prefixes.move_to_end(prefix)
        if len(self.prefixes) > CACHED_PREFIXES:
            self.prefixes.popitem(last=False)
        return 0 if cached else PREFILL_STEPS

    def cancel(self, request: HttpRequest) -> HttpReply:
        """Cancel a running request."""
        with suppress(DecodeError, KeyError):
            request_id = decode(request.read_body(MAX_BODY_BYTES))["request_id"]
            if request_id in self.running:
                self.cancelled.add(request_id)
        return HttpReply(200)

    def list_executions(self, request: HttpRequest) -> HttpReply:
        """Return all started requests, all orders and the current monotonic time."""
        return json_reply(
            {"executions": self.executions, "orders": self.orders, "now": monotonic()}
        )


def main() -> int:
    """Run the stand-in."""
    parser = make_parser(__doc__ or "")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--step-seconds", type=float, default=0.0095)
    parser.add_argument("--ignore-tokens", action="store_true")
    arguments = parser.parse_args()
    engines = [
        Engine(arguments.slots, arguments.step_seconds, not arguments.ignore_tokens)
        for _ in arguments.listen.split(",")
    ]
    for engine in engines:
        engine.start()
    return serve(arguments, *(engine.router for engine in engines))


if __name__ == "__main__":
    sys.exit(main())
