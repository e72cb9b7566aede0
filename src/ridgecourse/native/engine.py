"""HTTP client for a model engine or a plain service.

An agent uses the client to load and activate versions and to forward requests.
docs/ENGINE.md specifies the protocol.
"""

from contextlib import closing
from enum import Enum

from msgspec import DecodeError, Struct
from msgspec.json import decode, encode
from urllib3 import BaseHTTPResponse

from ridgecourse.core.ids import RootDigest
from ridgecourse.net.http_client import ExchangeFailed, HttpClient, NoConnection

LOAD_SECONDS = 3600.0
"""Timeout of a load order, in seconds."""
ORDER_SECONDS = 10.0
"""Timeout of an activation order, in seconds."""


class OrderResult(Enum):
    """Outcome of an order to an engine.

    Attributes:
        DONE: The engine carried out the order.
        REFUSED_TOKEN: The engine has seen a higher fencing token.
        REFUSED: The engine rejected the order or could not be reached.
        UNKNOWN: The exchange failed; the engine may have carried out the order.
    """

    DONE = "done"
    REFUSED_TOKEN = "refused-token"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class EngineState(Struct, frozen=True):
    """State that an engine reports in reply to ``/v1/state``.

    Attributes:
        active: Root digest of the version being served; empty if there is none.
        staged: Root digests of the versions that are loaded but not served.
        token: Highest fencing token that the engine has seen; -1 if none.
        running: Number of requests in progress.
    """

    active: str = ""
    staged: tuple[str, ...] = ()
    token: int = -1
    running: int = 0


class LoadOrder(Struct, frozen=True):
    """Order to load a version from an agent.

    Attributes:
        root: Root digest of the version.
        source: HOST:PORT of the agent that stores the version's chunks.
        ticket: Credential with which the engine fetches chunks from the agent.
        token: Fencing token.
    """

    root: RootDigest
    source: str
    ticket: str
    token: int


class ActivateOrder(Struct, frozen=True):
    """Order to switch serving to a loaded version.

    Attributes:
        root: Root digest of the version.
        token: Fencing token.
    """

    root: RootDigest
    token: int


class GenerateOrder(Struct, frozen=True):
    """Inference request to an engine.

    Attributes:
        request_id: Identifier with which the request can be cancelled.
        body: Body of the client's request, as text.
        start_at: Number of answer tokens that the client has already received.
        expect: Root digest of the version that must produce the answer.
        priority: Scheduling priority; higher values run first.
    """

    request_id: str
    body: str
    start_at: int
    expect: str
    priority: int


class EngineClient:
    """Sends orders and requests to one engine.

    Attributes:
        address: HOST:PORT of the engine.
        http: HTTP client that carries the exchanges.
        api_token: Bearer token sent with every order and request, for engines that
            authenticate their callers; empty for none.
    """

    def __init__(self, address: str, http: HttpClient, api_token: str = "") -> None:
        self.address = address
        self.http = http
        self.api_token = api_token

    def state(self) -> EngineState | None:
        """Return the engine's state, or None if it cannot be read within 2.0 s."""
        try:
            status, data, _ = self.http.fetch(
                "GET", self.address, "/v1/state", headers=self._headers(), timeout=2.0
            )
            return decode(data, type=EngineState) if status == 200 else None
        except (NoConnection, ExchangeFailed, DecodeError):
            return None

    def load(self, order: LoadOrder) -> OrderResult:
        """Order the engine to fetch and verify a version."""
        return self._send_order("/v1/load", encode(order), LOAD_SECONDS)

    def activate(self, order: ActivateOrder) -> OrderResult:
        """Order the engine to switch atomically to a loaded version."""
        return self._send_order("/v1/activate", encode(order), ORDER_SECONDS)

    def generate(self, order: GenerateOrder, timeout: float) -> BaseHTTPResponse:
        """Start an inference request and return the streamed response.

        Args:
            order: The request.
            timeout: Timeout of the exchange, in seconds.

        Raises:
            NoConnection: The request was not sent to the engine.
            ExchangeFailed: The exchange failed; the engine may have received the
                request.
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
        """Send a request to a plain service and return the response.

        Args:
            path: Path of the request.
            body: Body of the request.
            timeout: Timeout of the exchange, in seconds.

        Raises:
            NoConnection: The request was not sent to the service.
            ExchangeFailed: The exchange failed; the service may have received the
                request.
        """
        return self.http.send(
            "POST", self.address, path, body, self._headers(), timeout, fresh=True
        )

    def cancel(self, request_id: str) -> None:
        """Ask the engine to cancel a request, on a best-effort basis."""
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

    def _send_order(self, path: str, body: bytes, timeout: float) -> OrderResult:
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
