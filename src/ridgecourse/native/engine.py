"""Client of a model engine or plain service; docs/ENGINE.md has the protocol."""

from contextlib import closing
from enum import Enum

from msgspec import DecodeError, Struct
from msgspec.json import decode, encode
from urllib3 import BaseHTTPResponse

from ridgecourse.core.ids import RootDigest
from ridgecourse.net.http_client import ExchangeFailed, HttpClient, NoConnection

LOAD_SECONDS = 3600.0
ORDER_SECONDS = 10.0


class OrderResult(Enum):
    """What became of an order to an engine."""

    DONE = "done"
    REFUSED_TOKEN = "refused-token"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class EngineState(Struct, frozen=True):
    """What an engine says of itself.

    Attributes:
        active: Root digest of the version it serves; empty for none.
        staged: Root digests of versions loaded but not served.
        token: Highest fencing token it has seen.
        running: Requests it runs.
    """

    active: str = ""
    staged: tuple[str, ...] = ()
    token: int = -1
    running: int = 0


class LoadOrder(Struct, frozen=True):
    """Order to load a version from an agent.

    Attributes:
        root: The version.
        source: HOST:PORT of the agent that holds its chunks.
        ticket: Lets the engine fetch from that agent.
        token: Fencing token.
    """

    root: RootDigest
    source: str
    ticket: str
    token: int


class ActivateOrder(Struct, frozen=True):
    """Order to serve a loaded version from now on."""

    root: RootDigest
    token: int


class GenerateOrder(Struct, frozen=True):
    """A request to an engine.

    Attributes:
        request_id: For cancelling.
        body: The caller's body, as text.
        start_at: Tokens that the caller already has.
        expect: Root digest that must answer.
        priority: Higher goes first.
    """

    request_id: str
    body: str
    start_at: int
    expect: str
    priority: int


class EngineClient:
    """Orders and requests to one engine.

    Attributes:
        address: HOST:PORT of the engine.
        api_token: Sent with every order, for engines that check who orders.
    """

    def __init__(self, address: str, http: HttpClient, api_token: str = "") -> None:
        self.address = address
        self.http = http
        self.api_token = api_token

    def state(self) -> EngineState | None:
        """Return the engine's state, None where it cannot be had."""
        try:
            status, data, _ = self.http.fetch(
                "GET", self.address, "/v1/state", headers=self._headers(), timeout=2.0
            )
            return decode(data, type=EngineState) if status == 200 else None
        except (NoConnection, ExchangeFailed, DecodeError):
            return None

    def load(self, order: LoadOrder) -> OrderResult:
        """Order the engine to fetch and verify a version."""
        return self._order("/v1/load", encode(order), LOAD_SECONDS)

    def activate(self, order: ActivateOrder) -> OrderResult:
        """Order the engine to serve a loaded version, all at once."""
        return self._order("/v1/activate", encode(order), ORDER_SECONDS)

    def generate(self, order: GenerateOrder, timeout: float) -> BaseHTTPResponse:
        """Start a request and return its streamed answer.

        Raises:
            NoConnection: The engine has not got it.
            ExchangeFailed: The engine may have got it.
        """
        return self.http.send(
            "POST",
            self.address,
            "/v1/generate",
            encode(order),
            self._headers(),
            timeout,
            fresh=True,
        )

    def call(self, path: str, body: bytes, timeout: float) -> BaseHTTPResponse:
        """Send a request to a plain service.

        Raises:
            NoConnection: The service has not got it.
            ExchangeFailed: The service may have got it.
        """
        return self.http.send(
            "POST", self.address, path, body, self._headers(), timeout, fresh=True
        )

    def cancel(self, request_id: str) -> None:
        """Ask the engine to stop a request; best effort."""
        try:
            with closing(
                self.http.send(
                    "POST",
                    self.address,
                    "/v1/cancel",
                    encode({"request_id": request_id}),
                    self._headers(),
                    timeout=1.0,
                )
            ) as response:
                response.drain_conn()
        except (NoConnection, ExchangeFailed):
            return

    def _headers(self) -> dict[str, str]:
        if not self.api_token:
            return {}
        return {"Authorization": f"Bearer {self.api_token}"}

    def _order(self, path: str, body: bytes, timeout: float) -> OrderResult:
        try:
            status, data, _ = self.http.fetch(
                "POST", self.address, path, body, self._headers(), timeout
            )
        except NoConnection:
            return OrderResult.REFUSED
        except ExchangeFailed:
            return OrderResult.UNKNOWN
        if status == 200:
            return OrderResult.DONE
        if status == 409 and b"token" in data:
            return OrderResult.REFUSED_TOKEN
        return OrderResult.REFUSED
